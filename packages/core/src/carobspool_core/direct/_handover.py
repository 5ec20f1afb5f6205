"""When a leaving entry hands its batch jobs over, and to whom.

Load pattern: a rolling restart stops the next entry before the last one is back, so that for some
seconds every entry is leaving. Jobs that are let go then have no owner until one has started again,
and all batch work stands still for a large part of the time in which it is due. A leaving entry
therefore works on until another can take its jobs.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

from carobspool_core._clock import Millis

LAST_HANDOVER: Millis = 1_600.0
"""Time before its exit at which a leaving entry lets its jobs go although nobody is there to take
them: its last commits may take as long as one call to a store that does not answer, 1.5 s."""


class Successor(Struct, frozen=True, kw_only=True):
    """Another entry, as one that could take jobs over.

    Attributes:
        silent_for: Time since it was heard.
        leaving: Whether it is shutting down too.
        store_ok: Whether it reaches the store; a takeover is a conditional write there.
    """

    silent_for: Millis
    leaving: bool
    store_ok: bool


def lets_jobs_go(
    successors: Iterable[Successor], *, time_left: Millis, silent_after: Millis
) -> bool:
    """Return whether a leaving entry gives up its jobs now.

    Args:
        successors: The other entries.
        time_left: Until this process exits.
        silent_after: Silence after which an entry may be gone.
    """
    if time_left <= LAST_HANDOVER:
        return True
    return any(
        not each.leaving and each.store_ok and each.silent_for < silent_after for each in successors
    )
