"""Slots that entries hand over: one test for each failure, with hints in the form of the wire."""

from __future__ import annotations

import threading
from random import Random
from types import SimpleNamespace
from typing import Any, cast

import cbor2
import pytest

from carobspool_core.direct import FleetLoads, Load, Upstream, short_key_of
from carobspool_core.online_queue import HANDOVER_TIME, HOLD_TIME, QueueReport
from carobspool_node.direct._load_hint import encode_load_hint, read_load_hint
from carobspool_node.direct._telemetry import Telemetry
from carobspool_node.online_queue._queue_log import QueueLog
from carobspool_node.online_queue._reports import pack_handovers, pack_waiting, unpack_waiting
from carobspool_node.online_queue._requests import Ticket, WaitingRequest
from carobspool_node.online_queue._service_queues import ServiceQueues

ENGINE = Upstream(
    instance="i", service="s", address=("", 1), failure_domain="z", slots=8, ready=True
)
SLOT = ENGINE.identity
TICK = 20.0


class _Node:
    """An entry without threads, whose hints the test delivers."""

    def __init__(self, name: str, own: int = 0) -> None:
        self.name, self.loads, self.own, self.now = name, FleetLoads(), own, 0.0
        self.loads.add_own(SLOT, online=own)
        self.queues: ServiceQueues[Any] = ServiceQueues(
            threading.Lock(),
            name=name,
            room=lambda service: (self._room(), 8),
            entries=lambda: 3,
            draw=Random(1),
            log=QueueLog(Telemetry()),
        )
        self.queues.service("s").times.add_run(2_000.0)

    @property
    def waiting(self) -> int:
        return len(self.queues.service("s").tickets)

    @property
    def handovers(self) -> Any:
        return self.queues.handovers

    def wait(self, number: int, rank: int) -> None:
        """Let a request wait here."""
        request = SimpleNamespace(
            service="s", organisation="", cost=1.0, arrived=0.0, target_latency=1e6, deadline=1e7
        )
        request.is_retry = request.is_continued = request.may_have_run = False
        request.place, request.refusal = self._place, lambda: None
        ticket = Ticket[Any](number, cast(WaitingRequest[Any], request), rank, 0.0)
        self.queues.service("s").add(ticket, 0.0)

    def end_one(self, now: float) -> None:
        """End a request of this entry."""
        self.queues.service("s").free.own_request_ended(SLOT)
        self._count(-1)
        self.play(now)

    def play(self, now: float) -> None:
        """Let the passes of the queue's thread run up to a time."""
        while self.now < now:
            self.now = min(now, self.now + TICK)
            self.queues.start_all(self.now)

    def hint(self, *, is_previous_build: bool = False) -> list[Any]:
        """Return this entry's load hint, as decoded."""
        waiting, services = pack_waiting(self.queues.counts())
        handovers = pack_handovers(self.handovers.lasting(self.now))
        data = encode_load_hint(
            name=self.name,
            incarnation="a",
            sequence=1,
            loads={SLOT: Load(self.own, 0)},
            backlog=(),
            queue=QueueReport(waiting, services, handovers),
        )
        message: list[Any] = cbor2.loads(data)
        return message[:8] if is_previous_build else message

    def receive(self, message: list[Any]) -> None:
        """Receive a hint."""
        hint = read_load_hint(message)
        assert hint is not None
        counts = unpack_waiting(hint.waiting, hint.waiting_services)
        self.queues.peers.update(hint.name, counts, self.now)
        self.queues.apply_handovers(hint.name, hint.handovers, hint.loads, self.now)
        self.loads.update_peer(hint.name, {SLOT: hint.loads[short_key_of(SLOT)]}, self.now)
        self.queues.start_all(self.now)

    def _place(self, usable: frozenset[str] | None) -> Any:
        if not self._room() or (usable is not None and SLOT not in usable):
            return None
        self._count(1)
        return SimpleNamespace(upstream=ENGINE)

    def _count(self, change: int) -> None:
        self.own += change
        self.loads.add_own(SLOT, online=change)

    def _room(self) -> dict[str, int]:
        free = 8 - self.loads.totals.get(SLOT, Load()).online
        return {SLOT: free} if free > 0 else {}


@pytest.fixture
def fleet() -> tuple[_Node, _Node, _Node]:
    """An entry with requests in all slots, a peer with urgent requests and one with others."""
    nodes = _Node("sender", own=8), _Node("receiver"), _Node("other")
    for node in nodes:
        node.play(TICK)
        _tell(node, *(each for each in nodes if each is not node))
    nodes[1].wait(1, 0)
    nodes[1].wait(2, 0)
    nodes[2].wait(3, 2)
    for node in nodes:
        node.play(5 * TICK)
    for node in nodes[1:]:
        _tell(node, *(each for each in nodes if each is not node))
    nodes[0].end_one(6 * TICK)
    return nodes


def _tell(node: _Node, *others: _Node) -> None:
    for other in others:
        other.receive(node.hint())


def _time_to_start(node: _Node, limit: float) -> float:
    began = node.now
    while node.waiting and node.now < began + limit:
        node.play(node.now + TICK)
    assert not node.waiting
    return node.now - began


def test_only_the_receiver_uses_a_slot_that_is_handed_over(
    fleet: tuple[_Node, _Node, _Node],
) -> None:
    """Two entries would otherwise start a request at the same slot within one hint's age."""
    sender, receiver, other = fleet
    _tell(sender, other, receiver)
    other.play(other.now + HANDOVER_TIME - TICK)
    assert (receiver.own, other.own) == (1, 0)
    _tell(receiver, sender, other)
    assert not sender.handovers.lasting(sender.now)
    assert not other.handovers.taken


@pytest.mark.parametrize("gone", ["sender", "receiver"])
def test_a_slot_is_used_soon_if_an_entry_of_its_handover_is_gone(
    fleet: tuple[_Node, _Node, _Node], gone: str
) -> None:
    """The sender is killed before its receiver hears of the slot, or the receiver is frozen: the
    request of another entry must wait for the end of the handover and the hold, and no longer."""
    sender, receiver, other = fleet
    _tell(sender, other)
    began = other.now
    while other.waiting and other.now < began + 600.0:
        other.play(other.now + TICK)
        if gone == "receiver":
            sender.play(other.now)
            _tell(sender, other)
    assert HANDOVER_TIME < other.now - began <= HANDOVER_TIME + HOLD_TIME + 2 * TICK
    assert not other.waiting


def test_a_handover_that_was_lost_is_repeated(fleet: tuple[_Node, _Node, _Node]) -> None:
    """The hint with the handover is lost and nothing else changes: a further hint must be due in
    time, or the slot would stay empty until the handover ends."""
    sender, receiver, _ = fleet
    sender.hint()
    version = sender.handovers.version
    while sender.handovers.version == version:
        sender.play(sender.now + TICK)
    assert sender.now <= 6 * TICK + HANDOVER_TIME / 2.0
    receiver.play(sender.now)
    _tell(sender, receiver)
    assert receiver.own == 1


def test_a_handover_that_arrives_twice_is_used_once(fleet: tuple[_Node, _Node, _Node]) -> None:
    """A repeated hint must not entitle the receiver to the next slot of the engine."""
    sender, receiver, _ = fleet
    hint = sender.hint()
    receiver.receive(hint)
    receiver.receive(hint)
    assert receiver.own == 1
    assert receiver.waiting == 1
    assert not receiver.handovers.received


def test_an_entry_of_the_previous_build_gets_no_handover(
    fleet: tuple[_Node, _Node, _Node],
) -> None:
    """It would ignore the handover, and the slot would stay empty for its duration. Its reports
    count as before, and it reads the first eight elements of a hint as they were."""
    sender, receiver, other = fleet
    assert len(sender.hint()[8]) == 12
    _tell(sender, other, receiver)
    _tell(receiver, sender)
    sender.receive(receiver.hint(is_previous_build=True))
    sender.end_one(sender.now + TICK)
    waiting = sender.queues.peers.service(short_key_of("s"))
    assert waiting.by_peer((0, 0)) == {"receiver": 1}
    assert not sender.handovers.lasting(sender.now)
    assert not sender.handovers.readers.are_all
