"""Fingerprints: of a request, which recognise it when it is sent again, and of a prompt's part."""

from __future__ import annotations

from hashlib import blake2b

from xxhash import xxh32_hexdigest

from carobspool_core import ITEM_PREFIX, PART_PREFIX

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


def item_fingerprint(*, organisation: str | None, host: str, target: bytes, body: bytes) -> str:
    """Return the fingerprint of a batch item, by which it is recognised in each of its runs."""
    return ITEM_PREFIX + request_fingerprint(
        organisation=organisation, method=b"POST", host=host, target=target, body=body
    )


def part_fingerprint(model: bytes, part: str) -> str:
    """Return the fingerprint of a part of prompts, which begins with the part's id.

    A part crashes the servers of one model whatever else a prompt holds and whoever sends it, so
    neither callers nor the parts before it are in the fingerprint.

    Args:
        model: Name of the model that reads the part.
        part: Id of the part.
    """
    return f"{PART_PREFIX}{part}-{xxh32_hexdigest(model)}"
