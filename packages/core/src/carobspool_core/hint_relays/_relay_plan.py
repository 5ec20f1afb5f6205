"""Where an entry sends its hints: directly to an entry, or through the relays.

Load pattern: each of two dozen to hundreds of entries reports dozens of load changes a second to
every entry that uses the same upstreams. Sent directly, each change crosses the links between
failure domains once for every entry of the other domains. Through relays it crosses them once for
each domain.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Mapping

from msgspec import Struct, field

from carobspool_core._clock import Millis
from carobspool_core.hint_relays._relay_choice import RelayEntry, choose_relay

MIN_ENTRIES = 12
"""Fewest live entries for which relays pay off; with fewer, the direct hints cost less than the
delay that relays add."""
MIN_DOMAINS = 2
MIN_ENTRIES_IN_DOMAIN = 3
"""Fewest live entries of the own domain; with two, a relay saves no datagram to its only fellow and
its loss leaves nobody to relay for."""
SEND_DIRECTLY_AFTER: Millis = 150.0
"""Time without an empty bundle of the own domain's relay after which an entry sends directly. The
relay sends one every 50 ms, so that one lost datagram causes no direct hints, and heartbeats
replace the information only after 500 ms."""


class RelayPlan(Struct, frozen=True, kw_only=True):
    """The relays of the failure domains as one entry sees them.

    Attributes:
        in_force: Whether relays are in force.
        own_relay: Name of the relay of the own domain, ``None`` if there is none.
        is_relay: Whether this entry is the relay of its domain.
        relays: Names of the relays of the other domains, by domain.
        sharers: Other entries of the own domain that use the same upstreams.
        others: Other entries of the own domain that use other upstreams.
        served: Entries of the other domains that the relays serve.
        unrelated: Entries of the other domains that share no upstream with this entry.
    """

    in_force: bool = False
    own_relay: str | None = None
    is_relay: bool = False
    relays: Mapping[str, str] = field(default_factory=dict)
    sharers: frozenset[str] = frozenset()
    others: frozenset[str] = frozenset()
    served: frozenset[str] = frozenset()
    unrelated: frozenset[str] = frozenset()


NO_RELAYS = RelayPlan()


def relays_in_force(domains: Iterable[str], own_domain: str) -> bool:
    """Return whether relays are in force.

    Args:
        domains: The failure domain of each live entry that reads bundles, the own entry included.
        own_domain: Failure domain of the own entry.
    """
    entries = Counter(domains)
    return (
        entries.total() >= MIN_ENTRIES
        and len(entries) >= MIN_DOMAINS
        and entries[own_domain] >= MIN_ENTRIES_IN_DOMAIN
    )


def make_relay_plan(
    own: RelayEntry, peers: Collection[RelayEntry], group: frozenset[str] | None, now: Millis
) -> RelayPlan:
    """Return the relays as this entry sees them.

    Args:
        own: This entry.
        peers: The other live entries that read bundles.
        group: Names of the entries that use the same upstreams, ``None`` for all entries.
        now: Current time.
    """
    candidates: dict[str, list[RelayEntry]] = defaultdict(list)
    candidates[own.domain].append(own)
    sharers: set[str] = set()
    others: set[str] = set()
    unrelated: set[str] = set()
    for each in peers:
        is_sharer = group is None or each.name in group
        if is_sharer:
            candidates[each.domain].append(each)
        if each.domain == own.domain:
            (sharers if is_sharer else others).add(each.name)
        elif not is_sharer:
            unrelated.add(each.name)
    if not relays_in_force([own.domain, *(each.domain for each in peers)], own.domain):
        # Entries of larger domains may still choose this entry as the relay of its domain.
        return RelayPlan(sharers=frozenset(sharers), others=frozenset(others))
    relays = {}
    for domain, entries in candidates.items():
        name = choose_relay(domain, entries, now)
        if name is not None:
            relays[domain] = name
    own_relay = relays.pop(own.domain, None)
    return RelayPlan(
        in_force=True,
        own_relay=own_relay,
        is_relay=own_relay == own.name,
        relays=relays,
        sharers=frozenset(sharers),
        others=frozenset(others),
        served=frozenset(each.name for each in peers if each.domain in relays),
        unrelated=frozenset(unrelated),
    )


def sends_directly(plan: RelayPlan, present_at: Millis | None, now: Millis) -> bool:
    """Return whether this entry sends its hints to all other domains itself.

    Args:
        plan: The relays as this entry sees them.
        present_at: Arrival of the last empty bundle of the own domain's relay, ``None`` if none
            arrived. Only an entry that acts as the relay sends empty bundles, so that an entry also
            sends directly while its choice differs from that of the relay.
        now: Current time.
    """
    if not plan.in_force or plan.own_relay is None:
        return True
    if plan.is_relay:
        return False
    return present_at is None or now - present_at > SEND_DIRECTLY_AFTER
