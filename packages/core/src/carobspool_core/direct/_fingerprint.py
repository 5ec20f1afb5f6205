"""Fingerprint of a request: recognises a request that is sent again under another id."""

from __future__ import annotations

from hashlib import blake2b

FINGERPRINT_BYTES = 16


def request_fingerprint(
    *, organisation: str | None, method: bytes, host: str, target: bytes, body: bytes
) -> str:
    """Return the fingerprint of a request, in hexadecimal.

    Headers are not part of it: ids, deadlines and the position at which a stream resumes differ
    between two copies of one request.

    Args:
        organisation: Name of the caller's organisation, ``None`` or empty if it has none. A caller
            of another organisation cannot produce the same fingerprint.
        method: HTTP method.
        host: Host that the request names.
        target: Path and query.
        body: The whole body.
    """
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in ((organisation or "").encode(), method, host.encode(), target):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(body)
    return digest.hexdigest()
