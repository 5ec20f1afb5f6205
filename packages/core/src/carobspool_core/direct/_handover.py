"""When an entry that shuts down releases its batch jobs.

Load pattern: a rolling restart stops the next entry before the previous one is back, so that for
some seconds every entry is shutting down. Jobs that are released then have no owner until an entry
has started again, and all batch work stops for a large part of its completion target. An entry that
shuts down therefore keeps its jobs running until another entry can take them over.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

from carobspool_core._clock import Millis

FORCED_RELEASE_TIME_LEFT: Millis = 1_600.0
"""Time before its exit at which an entry releases its jobs even if no other entry can take them
over: its last commits may take as long as one call to an unresponsive store, 1.5 s."""


class HandoverCandidate(Struct, frozen=True, kw_only=True):
    """Another entry that might take over jobs.

    Attributes:
        since_last_hint: Time since its last hint.
        leaving: Whether it is shutting down too.
        store_ok: Whether it reaches the store; a takeover is a conditional write to the store.
    """

    since_last_hint: Millis
    leaving: bool
    store_ok: bool


def should_release_jobs(
    candidates: Iterable[HandoverCandidate], *, time_left: Millis, silent_after: Millis
) -> bool:
    """Return whether an entry that shuts down should release its jobs now.

    Args:
        candidates: The other entries.
        time_left: Time until this process exits.
        silent_after: Time without a hint after which another entry may be down.
    """
    if time_left <= FORCED_RELEASE_TIME_LEFT:
        return True
    return any(
        not each.leaving and each.store_ok and each.since_last_hint < silent_after
        for each in candidates
    )
