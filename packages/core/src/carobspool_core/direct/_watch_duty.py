"""Which entries follow the store on behalf of all.

Load pattern: each change of a registration ends the watches of all who follow it, and each of them
asks again. With dozens of entries, rolling releases of servers and outages of the store, that is
most of all calls to it. A few entries follow the store, and the others take from them what has
changed, within the time of a hint and a call between entries. Small fleets follow it all.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

from carobspool_core._rendezvous import preferred_nodes

WATCHERS = 5
"""Entries that follow the store. They may be lost, cut off or turned away, several at a time; the
next ones take their place once that is known."""
_DUTY = "watch"


class DutyCandidate(Struct, frozen=True, kw_only=True):
    """An entry, as one that could follow the store.

    Attributes:
        name: Its name.
        store_ok: Whether the store answered when it last asked.
    """

    name: str
    store_ok: bool


def has_watch_duty(own: DutyCandidate, others: Iterable[DutyCandidate]) -> bool:
    """Return whether an entry follows the store.

    Args:
        own: The entry that asks.
        others: Those that live and do not leave.
    """
    candidates = [own, *others]
    # While the store answers nobody, some have to find out when it does.
    reaching = [each.name for each in candidates if each.store_ok] or [
        each.name for each in candidates
    ]
    return own.name in preferred_nodes(_DUTY, reaching, WATCHERS)
