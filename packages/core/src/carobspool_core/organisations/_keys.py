"""Bearer keys: how a request presents one, and the digest by which it is looked up.

Keys are looked up by their digest: the time that a look-up takes then tells nothing of how much of
a guess is right, and what is kept in memory is no key.
"""

from __future__ import annotations

import hashlib

_SCHEME = "bearer"


def read_bearer(value: str) -> str | None:
    """Return the key in an ``Authorization`` header, ``None`` when it holds no single one."""
    scheme, _, key = value.strip().partition(" ")
    key = key.strip()
    if scheme.lower() != _SCHEME or not key or any(each.isspace() for each in key):
        return None
    return key


def key_digest(key: str) -> bytes:
    """Return the SHA-256 digest of a key."""
    return hashlib.sha256(key.encode("utf-8", "surrogatepass")).digest()
