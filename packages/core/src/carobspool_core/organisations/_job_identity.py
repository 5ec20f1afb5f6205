"""Internal names of jobs, which include the organisation that owns the job.

Two organisations that submit jobs under the same id have two jobs. A caller names a job by its id
alone and reaches the job of its own organisation. The job of another organisation does not exist
for that caller, at any entry, in any record or call, so that no separate check can be forgotten.
"""

from __future__ import annotations

import hashlib

ID_SEPARATOR = "~"
"""Separates the caller's id from the digest of the organisation."""
_DIGEST_BYTES = 8


def qualified_job_id(job_id: str, organisation: str | None) -> str:
    """Return the internal name of a job.

    Args:
        job_id: The id that the caller gave the job.
        organisation: The organisation that owns the job; empty or ``None`` for a job without an
            owner.
    """
    if not organisation:
        # An id that equals the internal name of an organisation's job must not reach that job.
        return job_id + ID_SEPARATOR if ID_SEPARATOR in job_id else job_id
    digest = hashlib.blake2b(organisation.encode(), digest_size=_DIGEST_BYTES).hexdigest()
    return f"{job_id}{ID_SEPARATOR}{digest}"


def waiting_tokens_key(route: str, organisation: str | None) -> str:
    """Return the key under which the waiting tokens of a route and organisation are counted."""
    if not organisation:
        return route
    return f"{route}{ID_SEPARATOR}{organisation}"
