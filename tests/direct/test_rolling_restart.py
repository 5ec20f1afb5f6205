"""Batch jobs while every entry is told to stop before the first one is back.

What callers saw: all entries were restarted 0.6 s apart, and every open job came 3.7 to 4.8 s later
than it had to; with a burst beside it, late. Each entry let its jobs go at the signal. The last one
had nobody left to take them, so no item ran until an entry was back, and an entry that had just
started waited another 2.5 s before it took over anything that was not its own. The evidence: the
last run was cut 40 ms after the last signal, and the next began when the first process was back.
"""

from __future__ import annotations

import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from direct_harness import Deployment, deployment, eventually, finished, submission

from carobspool_standins.platform_server import (
    ServedRequest,
    ServerConnection,
    stream_events,
)


@pytest.fixture
def system(tmp_path: Path) -> Iterator[Deployment]:
    """Stand-ins without entries."""
    with deployment(tmp_path) as running:
        yield running


def test_the_last_entry_works_on_while_nobody_can_take_its_jobs(system: Deployment) -> None:
    """The only entry is told to stop half a second into items of 1.5 s. It is there for another
    two seconds at least, and its caller reads the results from it before it has gone."""
    system.server("engine", stream_events(15, pause_s=0.1))
    entry = system.entry("e1")
    ids = [f"i{number}" for number in range(3)]
    assert entry.call("POST", "/batch/j", body=submission(*ids), request_id="j").status == 202
    time.sleep(0.5)
    entry.signal(signal.SIGTERM)
    results = eventually(lambda: finished(entry, "j"), 2.4)
    assert {each["state"] for each in results} == {"completed"}
    assert entry.process.wait(timeout=6) == 0


@pytest.mark.parametrize("first_start", [True, False])
def test_jobs_go_over_without_a_pause_to_the_first_entry_that_is_back(
    system: Deployment, first_start: bool
) -> None:
    """Two entries are told to stop, one after the other, with an item of five seconds; a third
    starts then. The item goes on there after its last event, less than a second after its last run
    was cut, although the third has hardly heard of anybody yet. On a restart it has read the job in
    the store before, and could not tell then whether it has an owner."""
    started: list[float] = []
    ended: list[float] = []
    behave = stream_events(50, pause_s=0.1)

    def note(request: ServedRequest, connection: ServerConnection) -> None:
        started.append(time.monotonic())
        try:
            behave(request, connection)
        finally:
            ended.append(time.monotonic())

    system.server("engine", note)
    first, second = system.entry("e1"), system.entry("e2")
    assert first.call("POST", "/batch/j", body=submission("i"), request_id="j").status == 202
    time.sleep(1.0)
    first.signal(signal.SIGTERM)
    time.sleep(0.6)
    second.signal(signal.SIGTERM)
    third = system.entry("e3", first_start=first_start)
    results = eventually(lambda: finished(third, "j"), 12)
    assert [each["text"].count("\n") for each in results] == [49]
    pauses = [begin - end for begin, end in zip(started[1:], ended, strict=False)]
    assert max(pauses) < 1.0
