"""Limit of the tokens that wait on a batch route, over all entries.

Load pattern: many jobs submitted at once, at several entries. Each entry knows its own count and
the others' by hints some 500 ms old, so near the limit two entries could both accept the last job
that fits. Far from the limit an entry counts alone; near it each entry accepts only its share of
what is left, which bounds the overrun without a call to the store.
"""

from __future__ import annotations

NEAR_LIMIT = 0.85
"""Share of the limit from which an entry accepts only its share of the rest: what is left is more
than a burst of jobs adds within one round of hints."""


def fits_quota(
    *, limit: int, own_tokens: int, other_tokens: int, job_tokens: int, entries: int
) -> bool:
    """Return whether a job may be accepted.

    Args:
        limit: Tokens that may wait on the route; 0 is no limit.
        own_tokens: Waiting tokens of the jobs that this entry owns.
        other_tokens: Those of the other entries, by their last hints.
        job_tokens: Tokens of the job.
        entries: Entries that may be accepting jobs now, this one included.
    """
    if limit == 0:
        return True
    waiting = own_tokens + other_tokens
    if waiting + job_tokens > limit:
        return False
    if waiting + job_tokens <= limit * NEAR_LIMIT:
        return True
    return job_tokens <= (limit - waiting) / max(1, entries) or entries <= 1
