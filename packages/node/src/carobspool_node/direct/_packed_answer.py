"""Long answers between entries, compressed.

Load pattern: every change of a registration has each entry ask one that follows the store for all
registrations. With thousands of them these answers are most of what entries send each other, and
they repeat the same few names of fields, services and failure domains.
"""

from __future__ import annotations

import threading
import zlib

import cbor2

from carobspool_core import Json
from carobspool_core.problems import Problem, UnusableRecordError
from carobspool_node.direct._peer_messages import decode_cbor

MAX_UNPACKED_BYTES = 64 * 1024 * 1024
"""Longest answer that is unpacked; a few bytes could otherwise stand for gigabytes."""
LEVEL = 3
"""Of zlib; higher levels take far longer for little, and an answer must not hold up requests."""


class AnswerPacker:
    """Compresses answers; one that is given again is not compressed again. Safe for threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._last: dict[str, tuple[bytes, bytes]] = {}

    def pack(self, kind: str, answer: Json) -> bytes:
        """Return an answer's compressed form.

        Args:
            kind: What is answered; the last answer of each kind is kept.
            answer: The answer.
        """
        plain = cbor2.dumps(answer)
        with self._lock:
            last = self._last.get(kind)
        if last is not None and last[0] == plain:
            return last[1]
        packed = zlib.compress(plain, LEVEL)
        with self._lock:
            self._last[kind] = (plain, packed)
        return packed


def unpack_answer(data: bytes) -> Json:
    """Return the answer that a peer has compressed.

    Raises:
        UnusableRecordError: It is none, or longer than `MAX_UNPACKED_BYTES`.
    """
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(data, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise _unusable(str(error), "compressed CBOR") from error
    if not unpacker.eof:
        raise _unusable("an incomplete or longer answer", f"{MAX_UNPACKED_BYTES} bytes at most")
    return decode_cbor(plain)


def _unusable(found: str, allowed: str) -> UnusableRecordError:
    return UnusableRecordError([Problem(file="", path="packed", found=found, allowed=allowed)])
