"""Choice of the entry that relays the hints of a failure domain.

Load pattern: two dozen to hundreds of entries in a few failure domains report dozens of load
changes a second each, on hosts whose processor and link capacities differ by a factor of seven. A
relay handles the changes of its whole domain, so it should run on one of the larger hosts, and
another entry must replace it within moments of its failure, without an agreement among entries.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping, Sequence

from msgspec import Struct
from msgspec.structs import replace

from carobspool_core._clock import Millis
from carobspool_core._rendezvous import preferred_node

RELAY_SILENT_AFTER: Millis = 600.0
"""Time without a message from an entry after which another entry is chosen as the relay. Each entry
sends a heartbeat every 500 ms, so a shorter time would replace healthy relays that are idle."""

RELAY_STOPPED_AFTER: Millis = 100.0
"""Time without a bundle after which a relay of another domain, which sends one every 50 ms, counts
as out of reach. Each side of a partition would otherwise send the hints of its entries to relays on
the other side for 600 ms, and a request limit would be exceeded by the requests of that time."""
STOPPED_MEMORY: Millis = 2_200.0
"""Time after the last bundle in which its end counts against an entry, which may just not be a
relay any more; after that time a partition shows as a dead entry."""


class RelayEntry(Struct, frozen=True, kw_only=True):
    """A live entry that reads bundles.

    Attributes:
        name: Name of the entry.
        domain: Failure domain of the entry.
        heard_at: Time at which the last message that the entry itself sent has arrived.
        capacity: Share of processor times cores, 0 if unknown.
        leaving: Whether the entry is shutting down.
        relays: Whether the entry acts as a relay if it is chosen.
        is_cut_off: Whether the entry and another live entry do not hear each other.
    """

    name: str
    domain: str
    heard_at: Millis
    capacity: float = 0.0
    leaving: bool = False
    relays: bool = True
    is_cut_off: bool = False


class RelayPeers(Struct, frozen=True, kw_only=True):
    """What an entry knows of the others.

    Attributes:
        entries: The other live entries that read bundles.
        is_cut_off: Whether the own entry and another live entry do not hear each other.
    """

    entries: Sequence[RelayEntry]
    is_cut_off: bool = False


def choose_relay(domain: str, entries: Iterable[RelayEntry], now: Millis) -> str | None:
    """Return the name of the relay of a failure domain, ``None`` if no entry can be the relay.

    Args:
        domain: The failure domain, which is the key of the rendezvous hash.
        entries: Entries of that domain.
        now: Current time.
    """
    able = [
        each
        for each in entries
        if each.relays and not each.leaving and now - each.heard_at <= RELAY_SILENT_AFTER
    ]
    if not able:
        return None
    # If reports concern all of them, the entry that reports may be the one that is cut off.
    able = [each for each in able if not each.is_cut_off] or able
    best = max(_capacity_class(each.capacity) for each in able)
    return preferred_node(
        domain, [each.name for each in able if _capacity_class(each.capacity) == best]
    )


def with_bundle(
    entry: RelayEntry, bundle_at: Millis | None, *, own_domain: str, now: Millis
) -> RelayEntry:
    """Return an entry with the conclusions from the last bundle that it sent to the own entry."""
    if bundle_at is None:
        return entry
    has_stopped = RELAY_STOPPED_AFTER < now - bundle_at <= STOPPED_MEMORY
    return replace(
        entry,
        heard_at=max(entry.heard_at, bundle_at),
        is_cut_off=entry.is_cut_off or (has_stopped and entry.domain != own_domain),
    )


def cut_off_entries(
    reports: Mapping[str, Collection[str]], heard: Collection[str], own: str
) -> frozenset[str]:
    """Return the entries that lack hints of another live entry, or whose hints another one lacks.

    A relay must reach the relays of all domains in both directions. Entries announce whom they do
    not hear, so that all entries find the same ones.

    Args:
        reports: Names of the silent entries that each live entry reports, the own entry included.
        heard: Names of the entries that the own entry hears.
        own: Name of the own entry.
    """
    found: set[str] = set()
    for name, silent in reports.items():
        for each in silent:
            if name != own and (each == own or each in heard):
                found |= {name, each}
            elif name == own and not any(
                each in others for other, others in reports.items() if other != own
            ):
                # Other entries hear it, so the fault is at this entry or on its link.
                found.add(own)
    return frozenset(found)


def _capacity_class(capacity: float) -> float:
    """Return the capacity rounded down to a power of two.

    Among hosts within a factor of two the hash decides, so that the relays of the groups of a
    domain are spread over several hosts.
    """
    return math.floor(math.log2(capacity)) if capacity > 0.0 else -math.inf
