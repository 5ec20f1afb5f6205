"""Packing of bulk text into JSON values: compressed, then in base64."""

from __future__ import annotations

import base64
import zlib

COMPRESSION_LEVEL = 3
MAX_PACKED_CHARACTERS = 900_000


def pack(data: bytes) -> str:
    """Return ``data`` as text that may stand in a JSON value."""
    return base64.b64encode(zlib.compress(data, COMPRESSION_LEVEL)).decode("ascii")


def unpack(text: str) -> bytes:
    """Return the data that `pack` was given.

    Raises:
        ValueError: If the text was not made by `pack`.
    """
    try:
        return zlib.decompress(base64.b64decode(text, validate=True))
    except zlib.error as error:
        raise ValueError(f"packed text is damaged: {error}") from error
