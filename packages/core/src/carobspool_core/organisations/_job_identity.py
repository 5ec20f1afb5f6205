"""Jobs belong to organisations: the organisation is part of what names a job inside the system.

Two organisations that submit jobs under one id have two jobs. A caller names a job by the id alone
and reaches its own organisation's; another organisation's job is one that does not exist, at every
entry, in every record and call, without a check that could be forgotten.
"""

from __future__ import annotations

import hashlib

ID_SEPARATOR = "~"
"""Between the caller's id and the organisation's digest."""
_DIGEST_BYTES = 8


def qualified_job_id(job_id: str, organisation: str | None) -> str:
    """Return the name of a job inside the system.

    Args:
        job_id: The caller's id of the job.
        organisation: Who owns it; empty or ``None`` for a job of nobody.
    """
    if not organisation:
        # An id that spells the name of an organisation's job must not reach it.
        return job_id + ID_SEPARATOR if ID_SEPARATOR in job_id else job_id
    digest = hashlib.blake2b(organisation.encode(), digest_size=_DIGEST_BYTES).hexdigest()
    return f"{job_id}{ID_SEPARATOR}{digest}"


def waiting_key(route: str, organisation: str | None) -> str:
    """Return the name under which the waiting tokens of a route and organisation are counted."""
    if not organisation:
        return route
    return f"{route}{ID_SEPARATOR}{organisation}"
