"""Batch jobs while every entry is told to stop before the first one has restarted.

These tests guard against a gap in which no entry runs a job. Each entry used to hand over its jobs
at the signal to stop, also the last one, which had no successor: its last run was cut 40 ms after
the signal, and no item ran until the first entry had restarted. That entry waited another 2.5 s
before it adopted jobs of other entries. With restarts 0.6 s apart, every open job ended 3.7 to
4.8 s later than necessary, and was late if a burst ran at the same time.
"""

from __future__ import annotations

import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from direct_harness import Deployment, all_results, deployment, eventually, job_body

from carobspool_standins.platform_server import (
    ServedRequest,
    ServerConnection,
    event_stream_handler,
)


@pytest.fixture
def system(tmp_path: Path) -> Iterator[Deployment]:
    """A deployment of stand-ins without entries."""
    with deployment(tmp_path) as running:
        yield running


def test_the_last_entry_keeps_its_jobs_while_no_other_can_adopt_them(system: Deployment) -> None:
    """The only entry is told to stop half a second into items of 1.5 s. It continues for at least
    two seconds, and the caller must be able to read the results from it before it exits."""
    system.start_server("engine", event_stream_handler(15, pause_s=0.1))
    entry = system.start_entry("e1")
    ids = [f"i{number}" for number in range(3)]
    assert entry.call("POST", "/batch/j", body=job_body(*ids), request_id="j").status == 202
    time.sleep(0.5)
    entry.send_signal(signal.SIGTERM)
    results = eventually(lambda: all_results(entry, "j"), 2.4)
    assert {each["state"] for each in results} == {"completed"}
    assert entry.process.wait(timeout=6) == 0


@pytest.mark.parametrize("first_start", [True, False])
def test_the_first_restarted_entry_adopts_jobs_without_a_pause(
    system: Deployment, first_start: bool
) -> None:
    """Two entries are told to stop one after the other during an item of five seconds, and a third
    entry starts. The item must continue there after its last event, less than a second after its
    last run was cut, although the third entry has received hardly any hints from the others. If it
    is not a first start, the third entry has read the job from the store before, when it could not
    determine whether the job had an owner."""
    started: list[float] = []
    ended: list[float] = []
    handle_request = event_stream_handler(50, pause_s=0.1)

    def record_run(request: ServedRequest, connection: ServerConnection) -> None:
        started.append(time.monotonic())
        try:
            handle_request(request, connection)
        finally:
            ended.append(time.monotonic())

    system.start_server("engine", record_run)
    first, second = system.start_entry("e1"), system.start_entry("e2")
    assert first.call("POST", "/batch/j", body=job_body("i"), request_id="j").status == 202
    time.sleep(1.0)
    first.send_signal(signal.SIGTERM)
    time.sleep(0.6)
    second.send_signal(signal.SIGTERM)
    third = system.start_entry("e3", first_start=first_start)
    results = eventually(lambda: all_results(third, "j"), 12)
    assert [each["text"].count("\n") for each in results] == [49]
    pauses = [begin - end for begin, end in zip(started[1:], ended, strict=False)]
    assert max(pauses) < 1.0
