"""Bytes and datagrams of hints that an entry sends, by kind and crossing, direct and relayed.

python tools/cost_hints.py [--seconds 6] [--fleets 24 100 380] [--hot never always]

Plays a fleet in virtual time with the real encoders, senders and relays; no datagram leaves the
process and none is lost. The printed figures are payload bytes per entry and second. ``datagrams``
counts the datagrams that an entry sends and receives in a second: the mean of all entries and the
busiest entry. ``hot`` states whether an organisation is near its limit all the time; entries then
send more hints, and send counts directly to all entries.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import random
import time
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

import cbor2
from msgspec import Struct

from carobspool_core import Millis
from carobspool_core.direct import Load, WaitingGroup, group_count, group_of_entry
from carobspool_core.hint_relays import RelayEntry, RelayPeers, WaitingHint
from carobspool_node.direct._announcement import Sender
from carobspool_node.direct._hint_sender import HintSender
from carobspool_node.direct._hint_targets import HintTargets
from carobspool_node.direct._peer import AnnouncementContent
from carobspool_node.direct._relay_view import targets_with_relays
from carobspool_node.hint_relays import HintRelays, HintTraffic, read_bundle

HEARTBEAT: Millis = 500.0
HEARTBEATS_PER_ANNOUNCEMENT = 4
HEARTBEATS_PER_UNRELATED_ANNOUNCEMENT = 12
UNRELATED_COUNTS_TIME: Millis = 600.0
RELAY_RUN: Millis = 10.0
DELAY: Millis = 5.0
"""Time from the sending of a datagram until its batch is read."""
HOT_HINT_PER_ENTRY: Millis = 3.5
LOADED_UPSTREAMS = 10
"""Upstreams at which an entry has requests in flight."""
ORGANISATIONS = 81


class Fleet(Struct, frozen=True, kw_only=True):
    """A fleet, and the requests that each of its entries serves in a second."""

    entries: int
    domains: int
    upstreams: int
    requests: float = 5.1


FLEETS = {
    24: Fleet(entries=24, domains=4, upstreams=25),
    100: Fleet(entries=100, domains=6, upstreams=760),
    300: Fleet(entries=300, domains=6, upstreams=2_300),
    380: Fleet(entries=380, domains=6, upstreams=2_900),
}


class _VirtualClock:
    def __init__(self) -> None:
        self.time: Millis = 1_000.0

    def now(self) -> Millis:
        return self.time


class _Entry:
    """One entry: its sender, its relays and what it has sent and received."""

    def __init__(self, play: Play, name: str, domain: str, peers: list[RelayEntry]) -> None:
        self.play, self.name, self.domain = play, name, domain
        self.number = int(name.rpartition("-")[2])
        self.sent: Counter[tuple[str, str, str]] = Counter()
        self.handled = 0
        names = [each.name for each in peers] + [name]
        groups = group_count(entries=len(names), upstreams=play.fleet.upstreams)
        self.group = None if groups == 1 else group_of_entry(name, names, groups)[1]
        self.counts: dict[int, Millis] = {}
        self.last_sent: Millis = 0.0
        self.direct_sequences: dict[tuple[str, str], int] = {}
        self.relays = HintRelays(
            play.clock,
            RelayEntry(name=name, domain=domain, heard_at=0.0, relays=play.relayed),
            "0a1b2c3d",
            peers=lambda: RelayPeers(entries=peers),
            group=lambda: self.group,
            is_leaving=lambda: False,
            send=lambda data, to: self.hints.send_bundle(data, [(each, 1) for each in to]),
            set_relay_gauge=lambda value: None,
        )
        self.hints = HintSender(
            play.clock,
            self,  # type: ignore[arg-type]
            Sender(
                name=name,
                incarnation="0a1b2c3d",
                address=("10.0.0.1", 7_000),
                failure_domain=domain,
                host_capacity=0.5 if play.relayed else None,
            ),
            HintTraffic(self.record, domain, lambda: play.domains_by_address),
            self.relays.collect,
        )
        current = {each.name: (each.name, 1) for each in peers}
        self.targets = HintTargets(
            current=current,
            count_readers=frozenset(current),
            others=[],
            suspect_readers=frozenset(),
            kind_separators=frozenset(current),
        )

    def record(self, name: str, value: int = 1, **labels: str) -> None:
        """Add to the counters in place of the metrics."""
        self.sent[(name, labels["kind"], labels["crossing"])] += value

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Take a datagram in place of the socket."""
        self.handled += 1
        self.play.send(self.name, address[0], data)

    def change(self, *, loads_changed: bool = True) -> None:
        """Send the loads and counts after a change, or counts alone without one."""
        plan = self.relays.plan_for_sending()
        self.last_sent = self.play.clock.time
        self.hints.send_loads(
            self.play.draw_loads(),
            [WaitingGroup(5e5, 9)],
            self._counts(200.0),
            targets=targets_with_relays(self.targets, plan, sends_counts_directly=self.play.is_hot),
            sharers=self.group,
            loads_changed=loads_changed,
        )

    def beat(self, number: int) -> None:
        """Send a heartbeat; the announcements of the entries are spread over time."""
        number += self.number
        counts = self._counts(1_300.0)
        recent = counts if self.play.is_hot else self._counts(UNRELATED_COUNTS_TIME)
        targets, unrelated = self.targets, self.relays.unrelated()
        if number % HEARTBEATS_PER_ANNOUNCEMENT == 0:
            if number % HEARTBEATS_PER_UNRELATED_ANNOUNCEMENT and unrelated:
                self.hints.send_heartbeat_without_loads(recent, targets, unrelated)
                targets = targets.without(unrelated)
            content = self.play.describe(self._counts(10_000.0))
            to = list(targets.current.values())
            self.hints.announce(content, current=to, others=(), silent=(), ended=())
            return
        if unrelated:
            self.hints.send_heartbeat_without_loads(recent, targets, unrelated)
            targets = targets.without(unrelated)
        backlog = [WaitingGroup(5e5, 9)]
        loads = self.play.draw_loads()
        self.hints.send_loads(loads, backlog, counts, targets=targets, sharers=None)

    def admit(self) -> None:
        """Count a request of a random organisation."""
        key = self.play.random.randrange(ORGANISATIONS) * 50_000_000
        self.counts[key] = self.play.clock.time

    def _counts(self, within: Millis) -> dict[int, int]:
        now = self.play.clock.time
        return {key: 7 for key, at in self.counts.items() if now - at < within}

    def receive(self, data: bytes) -> None:
        """Do what the receiver of hints does for the relays."""
        self.handled += 1
        message = cbor2.loads(data)
        bundle = read_bundle(message)
        if bundle is not None:
            self.relays.record_bundle(bundle.relay, is_empty=not bundle.hints)
            if self.play.domains[bundle.relay] != self.domain:
                for each in bundle.hints:
                    hint = _waiting(cbor2.loads(each), each)
                    kinds = ("l",) if hint.kind == "load" else ("l", "u")
                    newest = max(self.direct_sequences.get((hint.name, kind), 0) for kind in kinds)
                    if hint.sequence > newest:
                        self.relays.distribute(hint)
        elif isinstance(message, list):
            self.direct_sequences[(message[1], message[0])] = message[3]
            if self.play.domains[message[1]] == self.domain:
                self.relays.collect(_waiting(message, data))


class Play:
    """A fleet in virtual time."""

    def __init__(self, fleet: Fleet, *, relayed: bool, is_hot: bool, seed: int = 1) -> None:
        self.fleet, self.relayed, self.is_hot = fleet, relayed, is_hot
        self.random = random.Random(seed)
        self.clock = _VirtualClock()
        self._events: list[tuple[Millis, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        names = [f"entry-{number:03}" for number in range(fleet.entries)]
        self.domains = {name: f"zone-{number % fleet.domains}" for number, name in enumerate(names)}
        self.domains_by_address = {(name, 1): domain for name, domain in self.domains.items()}
        self._upstreams = [f"i-{number:08x}/1764700000{number:03}" for number in range(60)]
        known = [
            RelayEntry(name=name, domain=domain, heard_at=float("inf"))
            for name, domain in self.domains.items()
        ]
        self.entries = {
            name: _Entry(self, name, domain, [each for each in known if each.name != name])
            for name, domain in self.domains.items()
        }

    def run(self, duration: Millis) -> None:
        """Play for a time; the first second, in which relays are chosen, is not counted."""
        end = self.clock.time + 1_000.0 + duration
        for entry in self.entries.values():
            self._every(HEARTBEAT, entry.beat)
            self._poisson(entry)
            if self.is_hot:
                hot = max(80.0, HOT_HINT_PER_ENTRY * self.fleet.entries)
                self._every(20.0, lambda number, entry=entry, hot=hot: self._hot_hint(entry, hot))
            if self.relayed:
                self._every(RELAY_RUN, lambda number, entry=entry: entry.relays.run_once())
        is_counted = False
        while self._events and self._events[0][0] < end:
            at, _, action = heapq.heappop(self._events)
            self.clock.time = at
            if not is_counted and at >= end - duration:
                is_counted = True
                for entry in self.entries.values():
                    entry.sent.clear()
                    entry.handled = 0
            action()

    def send(self, sender: str, to: str, data: bytes) -> None:
        """Deliver a datagram after `DELAY`, if the receiver may have to pass it on."""
        receiver = self.entries[to]
        if self.relayed:
            self._at(self.clock.time + DELAY, lambda: receiver.receive(data))
        else:
            receiver.handled += 1

    def draw_loads(self) -> dict[str, Load]:
        """Return the loads of an entry."""
        return {each: Load(1, 1) for each in self.random.sample(self._upstreams, LOADED_UPSTREAMS)}

    def describe(self, counts: dict[int, int]) -> AnnouncementContent:
        """Return the content of an announcement."""
        return AnnouncementContent(
            loads=self.draw_loads(),
            failures={},
            open_jobs=frozenset({"organisation-7/job-000000000001"}),
            done_jobs=frozenset(f"organisation-7/job-{number:012}" for number in range(5)),
            waiting={"batch": 4_000},
            versions=dict.fromkeys(("configuration", "upstreams", "entries", "quarantines"), 2**63),
            leaving=False,
            released=frozenset(),
            store_ok=True,
            backlog=[WaitingGroup(5e5, 9)],
            counts=counts,
        )

    def _hot_hint(self, entry: _Entry, interval: Millis) -> None:
        """Send a hint as an entry does while an organisation is near its limit."""
        if self.clock.time - entry.last_sent >= interval:
            entry.change(loads_changed=False)

    def _poisson(self, entry: _Entry) -> None:
        """Let an entry start and end requests at random times."""

        def start() -> None:
            entry.admit()
            entry.change()
            self._at(self.clock.time + 800.0, entry.change)
            pause = self.random.expovariate(self.fleet.requests) * 1_000.0
            self._at(self.clock.time + pause, start)

        self._at(self.clock.time + self.random.random() * 200.0, start)

    def _every(self, interval: Millis, action: Callable[[int], Any]) -> None:
        numbers = itertools.count()

        def run() -> None:
            action(next(numbers))
            self._at(self.clock.time + interval, run)

        self._at(self.clock.time + self.random.random() * interval, run)

    def _at(self, time: Millis, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time, next(self._numbers), action))


def _waiting(message: Any, data: bytes) -> WaitingHint:
    kind, name, incarnation, sequence = message[:4]
    return WaitingHint(
        name=name,
        incarnation=incarnation,
        sequence=sequence,
        kind="load" if kind == "l" else "counts",
        data=data,
    )


def report(play: Play, seconds: float) -> None:
    """Print the figures of a play."""
    fleet, entries = play.fleet, list(play.entries.values())
    label = f"entries={fleet.entries} domains={fleet.domains} hot={play.is_hot}"
    label += f" relayed={play.relayed}"
    per_entry = seconds * len(entries)
    sent: Counter[tuple[str, str, str]] = Counter()
    for entry in entries:
        sent.update(entry.sent)
    for (metric, kind, crossing), value in sorted(sent.items()):
        if metric == "hint_bytes":
            datagrams = sent[("hint_datagrams", kind, crossing)] / per_entry
            print(
                f"{label} kind={kind} crossing={crossing} bytes_s={value / per_entry:.0f}"
                f" datagrams_s={datagrams:.1f}"
            )
    other = _bytes(sent, crossings=("other",)) / per_entry
    total = [_bytes(entry.sent) / seconds for entry in entries]
    handled = [entry.handled / seconds for entry in entries]
    print(
        f"{label} between_domains_bytes_s={other:.0f} bytes_s={sum(total) / len(total):.0f}"
        f" busiest_bytes_s={max(total):.0f} datagrams_handled_s={sum(handled) / len(handled):.0f}"
        f" busiest_datagrams_s={max(handled):.0f}"
    )


def _bytes(
    sent: Counter[tuple[str, str, str]], crossings: Iterable[str] = ("same", "other")
) -> int:
    return sum(
        value
        for (metric, _, crossing), value in sent.items()
        if metric == "hint_bytes" and crossing in crossings
    )


def main() -> None:
    """Play each fleet directly and relayed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--fleets", type=int, nargs="+", default=[24, 100, 380])
    parser.add_argument(
        "--hot", choices=["never", "always"], nargs="+", default=["never", "always"]
    )
    options = parser.parse_args()
    for entries, hot in itertools.product(options.fleets, options.hot):
        for relayed in (False, True):
            started = time.process_time()
            play = Play(FLEETS[entries], relayed=relayed, is_hot=hot == "always")
            play.run(options.seconds * 1_000.0)
            report(play, options.seconds)
            print(f"processor_s={time.process_time() - started:.1f}")


if __name__ == "__main__":
    main()
