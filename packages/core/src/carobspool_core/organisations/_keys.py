"""Bearer keys: how a request presents one, and the digest by which it is looked up.

Keys are looked up by their digest. The duration of a look-up then reveals nothing about how much of
a guessed key is correct, and no key is kept in memory.
"""

from __future__ import annotations

import hashlib

_SCHEME = "bearer"


def read_bearer(value: str) -> str | None:
    """Return the key of an ``Authorization`` header, ``None`` unless it holds exactly one."""
    scheme, _, key = value.strip().partition(" ")
    key = key.strip()
    if scheme.lower() != _SCHEME or not key or any(each.isspace() for each in key):
        return None
    return key


def key_digest(key: str) -> bytes:
    """Return the SHA-256 digest of a key."""
    return hashlib.sha256(key.encode("utf-8", "surrogatepass")).digest()
