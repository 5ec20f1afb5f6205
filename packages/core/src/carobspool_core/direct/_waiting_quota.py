"""Limit of the waiting tokens of a batch route across all entries.

Load pattern: many jobs are submitted at once to several entries. Each entry knows its own count and
the counts of the other entries from hints some 500 ms old, so near the limit two entries could both
accept the last job that fits. Far from the limit an entry decides by the known counts alone. Near
the limit each entry accepts only its share of the remaining tokens, which bounds the excess without
a call to the store.
"""

from __future__ import annotations

NEAR_LIMIT_SHARE = 0.85
"""Share of the limit above which an entry accepts only its share of the remaining tokens. The
remaining tokens exceed what a burst of jobs adds within one round of hints."""


def fits_unheard_share(
    *, limit: int, waiting_tokens: int, accepted_tokens: int, job_tokens: int, entries: int
) -> bool:
    """Return whether a job may be accepted while other entries may accept jobs unheard.

    Entries that start together do not know yet what the others accept. Each accepts no more than
    its share of what remained when they started, which bounds the sum.

    Args:
        limit: Number of tokens that may wait on the route; 0 is no limit.
        waiting_tokens: All waiting tokens that this entry knows.
        accepted_tokens: Those of them that this entry has accepted since its start.
        job_tokens: Tokens of the job.
        entries: Number of entries that may be accepting jobs now, including this entry.
    """
    if limit == 0:
        return True
    remaining = limit - waiting_tokens + accepted_tokens
    return accepted_tokens + job_tokens <= remaining / max(1, entries)


def fits_quota(
    *, limit: int, own_tokens: int, other_tokens: int, job_tokens: int, entries: int
) -> bool:
    """Return whether a job may be accepted.

    Args:
        limit: Number of tokens that may wait on the route; 0 is no limit.
        own_tokens: Waiting tokens of the jobs that this entry owns.
        other_tokens: Waiting tokens of the jobs of other entries, by their last hints.
        job_tokens: Tokens of the job.
        entries: Number of entries that may be accepting jobs now, including this entry.
    """
    if limit == 0:
        return True
    waiting = own_tokens + other_tokens
    if waiting + job_tokens > limit:
        return False
    if waiting + job_tokens <= limit * NEAR_LIMIT_SHARE:
        return True
    return job_tokens <= (limit - waiting) / max(1, entries) or entries <= 1
