"""Entries of several failure domains in one process, with a network and a clock of the test."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable, Iterable
from typing import Any

import cbor2
import pytest

from carobspool_core import Millis
from carobspool_core.direct import Load, short_key_of
from carobspool_node.direct import _peers
from carobspool_node.direct._hint_receiver import PeerCallbacks
from carobspool_node.direct._peer import AnnouncementContent, Peer
from carobspool_node.direct._peers import HintSources, Peers
from carobspool_node.direct._telemetry import Telemetry

STEP: Millis = 5.0
DELAY: Millis = 5.0
CHANGE_INTERVAL: Millis = 50.0
UPSTREAM = "engine/1764700000000"
MAX_LOAD = 60_000
DOMAINS = ("a", "b", "c")
RELAYED_AGE = 110.0
"""Oldest load through two relays: 50 ms between changes, two waits of 20 ms, and the network."""
FALLBACK_AGE = 150.0 + RELAYED_AGE
"""Oldest load while entries find out that their relay is silent and begin to send directly."""

Address = tuple[str, int]


class _Socket:
    """Takes the place of an entry's socket."""

    def __init__(self, net: Net) -> None:
        self._net = net
        self.address: Address = ("", 0)

    def bind(self, address: Address) -> None:
        self.address = address

    def sendto(self, data: bytes, address: Address) -> None:
        self._net.send(self.address, address, data)


class Entry:
    """One entry, and the loads of the others that it knows."""

    def __init__(
        self, net: Net, name: str, domain: str, port: int, *, capacity: float | None
    ) -> None:
        self.net, self.name, self.domain = net, name, domain
        self.address: Address = ("127.0.0.1", port)
        self.is_up = True
        self.frozen_until: Millis = 0.0
        self.is_leaving = False
        self.needs_direct_hints = False
        self.lost: list[str] = []
        self.known: dict[str, int] = {}
        self.counted: dict[str, int] = {}
        self.received: list[Any] = []
        self.telemetry = Telemetry()
        self.peers = Peers(
            net,
            self.telemetry,
            name=name,
            incarnation="1",
            address=self.address,
            own=HintSources(
                loads=self._loads,
                backlog=tuple,
                urgent=lambda: None,
                describe=self._describe,
                upstream_sharers=lambda: net.group,
                identities_by_key=lambda: {short_key_of(UPSTREAM): UPSTREAM},
                claim_unsent_counts=lambda is_heartbeat: {7: self._loads()[UPSTREAM].online},
                needs_direct_hints=lambda: self.needs_direct_hints,
                is_leaving=lambda: self.is_leaving,
            ),
            failure_domain=domain,
            host_capacity=capacity,
        )
        self.peers._events = self.peers._receiver._events = PeerCallbacks(
            loads=self._record, lost=self._record_lost, counts=self._record_counts
        )

    @property
    def runs(self) -> bool:
        """Whether the process is running now."""
        return self.is_up and self.net.time >= self.frozen_until

    @property
    def is_relay(self) -> bool:
        """Whether the entry acts as a relay."""
        return self.peers._relays.is_relay

    def change(self, *, loads_changed: bool = True) -> None:
        """Send a change of loads and counts, or of counts alone, as the sending thread does."""
        self.peers._hints.send_loads(
            self._loads(),
            (),
            {7: self.net.load_now()},
            targets=self.peers._targets_for_change(),
            sharers=self.net.group,
            loads_changed=loads_changed,
        )

    def _loads(self) -> dict[str, Load]:
        return {UPSTREAM: Load(self.net.load_now(), 0)}

    def _describe(self) -> AnnouncementContent:
        return AnnouncementContent(
            loads=self._loads(),
            failures={},
            open_jobs=frozenset({f"job-{self.name}"}),
            done_jobs=frozenset(),
            waiting={},
            versions={},
            leaving=self.is_leaving,
            released=frozenset(),
            store_ok=True,
            backlog=(),
            counts={7: self.net.load_now()},
        )

    def _record(self, peer: str, loads: Any, failures: Any, knows_starts: bool) -> None:
        load = loads[UPSTREAM].online
        # A load that is older than the known one would show that a late hint was applied.
        assert load >= self.known.get(peer, 0), f"{self.name} went back on the loads of {peer}"
        self.known[peer] = load

    def _record_counts(self, peer: str, incarnation: str, counts: Any) -> None:
        count = counts.get(7, self.counted.get(peer, 0))
        assert count >= self.counted.get(peer, 0), f"{self.name} went back on the counts of {peer}"
        self.counted[peer] = count

    def _record_lost(self, peer: Peer) -> None:
        self.lost.append(peer.name)


class Net:
    """The entries and the datagrams between them; also the clock of all entries.

    The load that an entry reports is the time at which it was reported.
    """

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.time: Millis = 100_000.0
        self.entries: dict[str, Entry] = {}
        self.group: frozenset[str] | None = None
        self.cut: Callable[[Entry, Entry], bool] = lambda sender, receiver: False
        self.loses: Callable[[Entry, Entry, Any], bool] = lambda sender, receiver, message: False
        self.previous_build: set[str] = set()
        self.sent: list[tuple[str, str, Any]] = []
        self._patch = patch
        self._by_address: dict[Address, Entry] = {}
        self._waiting: list[tuple[Millis, int, str, bytes]] = []
        self._numbers = itertools.count()

    def now(self) -> Millis:
        """Return the time."""
        return self.time

    def load_now(self) -> int:
        """Return the load that stands for the present time."""
        return int((self.time - 100_000.0) / STEP) % MAX_LOAD

    def add(self, name: str, domain: str, *, capacity: float | None = 0.0) -> Entry:
        """Add an entry; without a domain it is one of the previous build."""
        port = 1_000 + len(self.entries)
        with self._patch.context() as patch:
            patch.setattr(_peers.socket, "socket", lambda *kinds: _Socket(self))
            entry = Entry(self, name, domain, port, capacity=capacity)
        for other in self.entries.values():
            other.peers.set_address(name, entry.address)
            entry.peers.set_address(other.name, other.address)
        self.entries[name] = entry
        self._by_address[entry.address] = entry
        return entry

    def run(self, duration: Millis) -> None:
        """Advance the time; all entries change their loads, at times of their own."""
        until = self.time + duration
        while self.time < until:
            self.time += STEP
            self._deliver()
            for number, entry in enumerate(self.entries.values()):
                if not entry.runs:
                    continue
                if self._is_due(CHANGE_INTERVAL, number * STEP):
                    entry.peers._check_silence()
                    entry.peers._announce_to_new_peers()
                    entry.change()
                if self._is_due(500.0, number * 2 * STEP):
                    entry.peers._send_heartbeat(self.time)
                if self._is_due(10.0, 0.0):
                    entry.peers._relays.run_once()

    def worst_age(
        self, duration: Millis, pairs: Iterable[tuple[Entry, Entry]], *, of_counts: bool = False
    ) -> Millis:
        """Run for a time; return the greatest age of a load that a reader knew of an entry.

        Args:
            duration: How long to run.
            pairs: Pairs of the entry and the reader.
            of_counts: Whether to return the age of a count instead.
        """
        checked = list(pairs)
        worst = 0.0
        until = self.time + duration
        while self.time < until:
            self.run(STEP)
            now = self.load_now()
            known = [(r.counted if of_counts else r.known).get(e.name, 0) for e, r in checked]
            worst = max([worst, *((now - each) * STEP for each in known)])
        return worst

    def pairs(self, origin: str = "", reader: str = "") -> list[tuple[Entry, Entry]]:
        """Return the running entries with their running readers in other domains."""
        running = [each for each in self.entries.values() if each.runs]
        return [
            (one, other)
            for one in running
            for other in running
            if one.domain != other.domain
            and one.domain.startswith(origin)
            and other.domain.startswith(reader)
        ]

    def relay_of(self, domain: str) -> Entry:
        """Return the only running entry that relays for a domain."""
        (relay,) = [
            each
            for each in self.entries.values()
            if each.domain == domain and each.runs and each.is_relay
        ]
        return relay

    def domain_of(self, name: str) -> str:
        """Return the failure domain of an entry."""
        return self.entries[name].domain

    def lost(self) -> list[str]:
        """Return the entries that some other entry has taken for lost."""
        return [name for each in self.entries.values() for name in each.lost]

    def take_sent(self, kind: str) -> list[tuple[str, str, Any]]:
        """Return the datagrams of a kind since the last call, each with its sender and receiver."""
        found = [each for each in self.sent if isinstance(each[2], list) and each[2][0] == kind]
        self.sent.clear()
        return found

    def send(self, sender: Address, receiver: Address, data: bytes) -> None:
        """Send a datagram."""
        one, other = self._by_address[sender], self._by_address[receiver]
        message = cbor2.loads(data)
        if one.name in self.previous_build and isinstance(message, dict):
            message.pop("y", None)
            data = cbor2.dumps(message)
        self.sent.append((one.name, other.name, message))
        if not self.cut(one, other) and not self.loses(one, other, message):
            heapq.heappush(
                self._waiting, (self.time + DELAY, next(self._numbers), other.name, data)
            )

    def _deliver(self) -> None:
        held = []
        while self._waiting and self._waiting[0][0] <= self.time:
            datagram = heapq.heappop(self._waiting)
            entry = self.entries[datagram[2]]
            if entry.is_up and not entry.runs:
                held.append(datagram)
            elif entry.runs:
                entry.peers._receiver._receive_datagram(datagram[3], ("127.0.0.1", 1))
        for datagram in held:
            heapq.heappush(self._waiting, datagram)

    def _is_due(self, interval: Millis, phase: Millis) -> bool:
        return (self.time - phase) % interval < STEP


def settle(net: Net) -> None:
    """Run until all entries know each other and the relays are chosen."""
    for entry in net.entries.values():
        entry.peers.announce()
    net.run(3_000.0)
    net.sent.clear()


def net_with_relays(patch: pytest.MonkeyPatch) -> Net:
    """Return twelve settled entries in three domains, with relays in force."""
    net = Net(patch)
    for number in range(12):
        net.add(f"e{number}", DOMAINS[number % 3])
    settle(net)
    return net
