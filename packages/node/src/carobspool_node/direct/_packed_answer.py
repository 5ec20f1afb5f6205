"""Compress long answers between entries.

At every change of a registration, each entry fetches all registrations from an entry that follows
the store. With thousands of registrations these answers make up most of the traffic between
entries, and they repeat the same few names of fields, services and failure domains.
"""

from __future__ import annotations

import threading
import zlib

import cbor2

from carobspool_core import Json
from carobspool_core.problems import Problem, UnusableRecordError
from carobspool_node.direct._peer_messages import decode_cbor

MAX_UNPACKED_BYTES = 64 * 1024 * 1024
"""Longest answer that is decompressed; without a limit a few bytes could expand to gigabytes."""
ZLIB_LEVEL = 3
"""Higher levels take far longer for little gain, and an answer must not delay requests."""


class AnswerPacker:
    """Compresses answers and caches the last answer of each kind. Thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._last: dict[str, tuple[bytes, bytes]] = {}

    def pack(self, kind: str, answer: Json) -> bytes:
        """Return an answer's compressed form.

        Args:
            kind: Kind of the answer. An answer equal to the last one of its kind is not compressed
                again.
            answer: The answer to compress.
        """
        plain = cbor2.dumps(answer)
        with self._lock:
            last = self._last.get(kind)
        if last is not None and last[0] == plain:
            return last[1]
        packed = zlib.compress(plain, ZLIB_LEVEL)
        with self._lock:
            self._last[kind] = (plain, packed)
        return packed


def unpack_answer(data: bytes) -> Json:
    """Decompress and decode a peer's answer.

    Raises:
        UnusableRecordError: The answer is invalid, or longer than `MAX_UNPACKED_BYTES`.
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
