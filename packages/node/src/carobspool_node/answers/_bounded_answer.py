"""Receives the body of an answer over libcurl, up to a longest one."""

from __future__ import annotations

MAX_RECEIVED_BYTES = 8 * 1024 * 1024
"""Far above the largest page of objects, some 1 MB."""


class BoundedAnswer:
    """The body of an answer.

    libcurl ends a transfer whose bytes are not all accepted, with the error of a failed write.
    """

    __slots__ = ("_body",)

    def __init__(self) -> None:
        self._body = bytearray()

    def write(self, data: bytes) -> int:
        """Accept received bytes; return how many were accepted."""
        if len(self._body) + len(data) > MAX_RECEIVED_BYTES:
            return 0
        self._body += data
        return len(data)

    def value(self) -> bytes:
        """Return the body."""
        return bytes(self._body)
