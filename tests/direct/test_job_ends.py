"""Batch jobs ended by their caller while the entry that is asked cannot reach the owner.

What callers saw: a job was ended, the end was acknowledged, and 3.8 s later one of its items still
reached an upstream. The owner had stopped shortly before, and another entry was just taking the job
over when the end was asked, so the end was written to the store and the new owner was not told. It
was to learn of it from the conflict of its next commit, but a job whose items receive nothing has
nothing to commit, and the proof of ownership that precedes a start looked only at the owner's name.
The evidence is the order in the store: the takeover, then the end, then no write of the owner.
"""

from __future__ import annotations

import signal
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import ExitStack
from pathlib import Path

import pytest
from direct_harness import Deployment, Entry, deployment, eventually, submission

from carobspool_standins.platform_server import ServedRequest, ServerConnection

END_BOUND_S = 3.0
"""Time after the acknowledgement beyond which nothing of an ended job may reach an upstream."""
IDS = [f"i{number}" for number in range(6)]


@pytest.fixture
def system(tmp_path: Path) -> Iterator[Deployment]:
    """Stand-ins without entries."""
    with deployment(tmp_path) as running:
        yield running


class _FullEngine:
    """Turns every item away, and notes when each came."""

    def __init__(self) -> None:
        self.arrivals: list[float] = []
        self._lock = threading.Lock()

    def behave(self, request: ServedRequest, connection: ServerConnection) -> None:
        with self._lock:
            self.arrivals.append(time.monotonic())
        connection.not_run(request)

    def since(self, moment: float) -> int:
        """Return how many items came after a moment."""
        with self._lock:
            return sum(1 for each in self.arrivals if each > moment)


def _owned_job(system: Deployment, engine: _FullEngine) -> tuple[Entry, Entry]:
    """Start two entries that know each other; the first owns a job that cannot go on."""
    system.server("engine", engine.behave)
    owner, other = system.entry("e1"), system.entry("e2")
    eventually(lambda: other.logged("event=peer_seen peer=e1"), 3)
    time.sleep(5.0)
    assert owner.call("POST", "/batch/j", body=submission(*IDS), request_id="j").status == 202
    eventually(lambda: engine.arrivals, 3)
    return owner, other


def _nothing_arrives_after_the_bound(engine: _FullEngine, acknowledged: float) -> None:
    time.sleep(max(0.0, acknowledged + END_BOUND_S + 2.0 - time.monotonic()))
    assert engine.since(acknowledged + END_BOUND_S) == 0


def test_an_owner_that_takes_no_calls_starts_nothing_of_an_ended_job(system: Deployment) -> None:
    """The owner's places for calls of other entries are all taken by silent connections, so the
    other entry writes the end to the store. Hints go on in both directions: neither entry has a
    sign that something is wrong. The upstream must get nothing more of the job."""
    engine = _FullEngine()
    owner, other = _owned_job(system, engine)
    with ExitStack() as silent:
        for _ in range(130):
            address = ("127.0.0.1", owner.peer_port)
            silent.enter_context(socket.create_connection(address))
        assert other.call("DELETE", "/api/lots/j").status == 200
        _nothing_arrives_after_the_bound(engine, time.monotonic())
    assert other.logged("event=job_ended job=j through=store")


def test_an_owner_that_was_frozen_starts_nothing_of_an_ended_job(system: Deployment) -> None:
    """The owner stands still while its job is ended through the other entry. When it wakes, it asks
    the store whether the job is still its own; it is, but it has been ended."""
    engine = _FullEngine()
    owner, other = _owned_job(system, engine)
    owner.signal(signal.SIGSTOP)
    time.sleep(0.5)
    assert other.call("DELETE", "/api/lots/j").status == 200
    acknowledged = time.monotonic()
    time.sleep(1.5)
    owner.signal(signal.SIGCONT)
    _nothing_arrives_after_the_bound(engine, acknowledged)


def test_an_end_that_may_come_into_force_is_not_told_as_not_done(system: Deployment) -> None:
    """The store refuses everything. The end is asked at another entry, which asks the owner; the
    owner ends the job in memory and cannot write it, nor can the other entry. The caller was told
    503, which promises that nothing was done; then the store came back, the owner wrote the end,
    and the job that its caller took for open was never finished."""
    engine = _FullEngine()
    _, other = _owned_job(system, engine)
    system.objects.faults.status = 503
    assert other.call("DELETE", "/api/lots/j").status == 504
    system.objects.faults.status = 0
    ended = eventually(lambda: other.call("DELETE", "/api/lots/j").status == 200, 5)
    assert ended
    _nothing_arrives_after_the_bound(engine, time.monotonic())


def test_an_end_that_nobody_was_asked_for_is_told_as_not_done(system: Deployment) -> None:
    """No entry owns the job and the store refuses everything: nothing of the end can be in force,
    and the caller may be told so."""
    owner, other = system.entry("e1"), system.entry("e2")
    assert owner.call("POST", "/batch/j", body=submission(*IDS), request_id="j").status == 202
    owner.signal(signal.SIGKILL)
    system.objects.faults.status = 503
    time.sleep(3.0)
    answer = other.call("DELETE", "/api/lots/j")
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
