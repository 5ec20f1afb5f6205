"""What the relays of hints have to know of the other entries."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from msgspec.structs import replace

from carobspool_core import Clock, Millis
from carobspool_core.direct import DEAD_AFTER
from carobspool_core.hint_relays import (
    RELAY_SILENT_AFTER,
    RelayEntry,
    RelayPeers,
    RelayPlan,
    cut_off_entries,
)
from carobspool_node.direct._hint_targets import HintTargets
from carobspool_node.direct._peer import Peer
from carobspool_node.direct._peer_table import PeerTable

DOMAINS_INTERVAL: Millis = 1_000.0
"""Time for which the domains by address are cached. They serve the counters of sent bytes only."""


class RelayView:
    """Answers questions of the relays from the table of peers. Thread-safe.

    Args:
        clock: The process's clock.
        table: The other entries.
        name: Name of this entry.
    """

    def __init__(self, clock: Clock, table: PeerTable, name: str) -> None:
        self._clock = clock
        self._table = table
        self._name = name
        self._addresses: dict[str, tuple[str, int]] = {}
        self._domains: dict[tuple[str, int], str] = {}
        self._domains_until: Millis = float("-inf")

    def peers(self) -> RelayPeers:
        """Return the live peers that read bundles."""
        now = self._clock.now()
        live = [each for each in self._table.peers() if now - each.last_heard_at < DEAD_AFTER]
        cut_off = self._cut_off(live, now)
        self._addresses = {each.name: each.address for each in live}
        entries = [
            RelayEntry(
                name=each.name,
                domain=each.failure_domain,
                heard_at=each.last_heard_at,
                capacity=each.host_capacity or 0.0,
                leaving=each.leaving,
                relays=each.host_capacity is not None,
                is_cut_off=each.name in cut_off,
            )
            for each in live
            if each.failure_domain is not None
        ]
        return RelayPeers(entries=entries, is_cut_off=self._name in cut_off)

    def addresses(self, names: Iterable[str]) -> list[tuple[str, int]]:
        """Return the addresses of live peers, as of the last call of `peers`."""
        return [self._addresses[name] for name in names if name in self._addresses]

    def domains(self) -> Mapping[tuple[str, int], str]:
        """Return the announced failure domains by address, at most `DOMAINS_INTERVAL` old."""
        now = self._clock.now()
        if now >= self._domains_until:
            self._domains_until = now + DOMAINS_INTERVAL
            self._domains = {
                each.address: each.failure_domain
                for each in self._table.peers()
                if each.failure_domain is not None
            }
        return self._domains

    def _cut_off(self, live: Iterable[Peer], now: Millis) -> frozenset[str]:
        """Return the entries, this one included, that some live entry does not hear."""
        reports = {each.name: each.silent for each in live if each.silent}
        reports[self._name] = frozenset(self._table.silent())
        heard = {each.name for each in live if now - each.last_heard_at <= RELAY_SILENT_AFTER}
        return cut_off_entries(reports, heard, self._name)


def targets_with_relays(
    targets: HintTargets, plan: RelayPlan, *, sends_counts_directly: bool
) -> HintTargets:
    """Return the targets of a change, of which relays serve those that read counts too.

    Entries of the previous build drop a relayed load hint after a direct counts hint of a higher
    number. While counts go directly, they get everything directly, and so do all entries if one of
    the relays is of the previous build, since it would not distribute the load hint.
    """
    if not plan.served:
        return targets
    relay = None if plan.is_relay else plan.own_relay
    served = plan.served & targets.count_readers
    if sends_counts_directly:
        served &= targets.kind_separators
        relays = {*plan.relays.values(), *(() if relay is None else (relay,))}
        if not served or not relays <= targets.kind_separators:
            return targets
    return replace(
        targets, relayed=served, relay=relay, sends_counts_directly=sends_counts_directly
    )
