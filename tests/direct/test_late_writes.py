"""Batch jobs whose owner is set by a write that the store does seconds later and never answers.

Nobody waits for such a write when it takes effect. Each test checks that the job is finished all
the same once servers are free, without a restart and without a caller that brings the job again.
"""

from __future__ import annotations

import signal
import threading
import time
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path

import pytest
from direct_harness import (
    STANDARD_ROUTES,
    Deployment,
    Entry,
    all_results,
    deployment,
    eventually,
    job_body,
    route,
)

from carobspool_standins.platform_server import event_stream_handler

FINISH_S = 18.0
"""Time after which accepted items must be finished while servers are free."""
PEERS_KNOWN_S = 5.0
LATE_S = 6.0
"""How long after its call the store does a lost write; its callers read back for some 5 s."""
JOB = "late-job"
IDS = [f"i{number}" for number in range(3)]


class _LostWrites:
    """Loses the writes of one object while it is switched on, and counts them."""

    def __init__(self, system: Deployment, kind: str, *, delay_s: float = LATE_S) -> None:
        self._kind = kind
        self._delay_s = delay_s
        self._lock = threading.Lock()
        self.times: list[float] = []
        self.active = True
        system.objects.faults.lose = self._lose

    def _lose(self, method: str, kind: str, name: str) -> float | None:
        if not self.active or (kind, name) != (self._kind, JOB):
            return None
        with self._lock:
            self.times.append(time.monotonic())
            # All take effect together, after the last one was given up.
            return self._delay_s - (self.times[-1] - self.times[0])


@pytest.fixture
def system(tmp_path: Path) -> Iterator[Deployment]:
    """A deployment of stand-ins without entries or servers, so that items wait."""
    with deployment(tmp_path) as running:
        yield running


def _start_entries(system: Deployment, *names: str) -> list[Entry]:
    entries = [system.start_entry(name) for name in names]
    time.sleep(PEERS_KNOWN_S)
    return entries


def _submit(entry: Entry, job_id: str = JOB, *, timeout: float = 10.0) -> int:
    """Submit a job and return the status, 0 without an answer in time."""
    headers = {"Deadline-Ms": "4000"}
    ids = IDS if job_id == JOB else [f"{job_id}-{each}" for each in IDS]
    with suppress(OSError):
        return entry.call(
            "POST",
            "/batch/1",
            body=job_body(*ids),
            headers=headers,
            request_id=job_id,
            timeout=timeout,
        ).status
    return 0


def _owner(system: Deployment) -> str:
    """Return the name of the entry that the store names as the owner, empty if it names none."""
    record = system.objects.spec("progress", JOB) or system.objects.spec("jobs", JOB) or {}
    return str(record.get("owner", "")).partition("#")[0]


def _restart(system: Deployment, entry: Entry) -> Entry:
    entry.send_signal(signal.SIGKILL)
    entry.process.wait()
    return system.start_entry(entry.name, first_start=False, wait=False)


def _assert_finished(system: Deployment, entry: Entry, within_s: float = FINISH_S) -> None:
    if not system.servers:
        system.start_server("engine", event_stream_handler(4))
    results = eventually(lambda: all_results(entry, JOB), within_s)
    assert sorted(each["id"] for each in results) == IDS


def _lose_takeover(system: Deployment, owner: Entry) -> _LostWrites:
    """Submit a job, freeze its owner and lose the writes of the takeover; wait for the first."""
    assert _submit(owner) == 202
    time.sleep(1.0)
    owner.send_signal(signal.SIGSTOP)
    lost = _LostWrites(system, "progress")
    eventually(lambda: lost.times, 5.0)
    return lost


def test_a_takeover_that_takes_effect_late_makes_the_entry_run_the_job(system: Deployment) -> None:
    """Guards against a job that its owner by the record counts as missed, and forgets once the
    former owner, awake again, names it."""
    first, second = _start_entries(system, "e1", "e2")
    lost = _lose_takeover(system, first)
    time.sleep(1.0)
    first.send_signal(signal.SIGCONT)
    eventually(lambda: _owner(system) == "e2", LATE_S + 5.0)
    lost.active = False
    _assert_finished(system, second)


def test_a_late_takeover_by_an_entry_that_has_ended_leaves_no_job_behind(
    system: Deployment,
) -> None:
    """Guards against an owner that gives a job up to an ended process and tells nobody."""
    first, second = _start_entries(system, "e1", "e2")
    lost = _lose_takeover(system, first)
    _restart(system, second)
    first.send_signal(signal.SIGCONT)
    eventually(lambda: _owner(system) == "e2", LATE_S + 5.0)
    lost.active = False
    _assert_finished(system, first)


def test_a_job_of_an_ended_owner_is_not_left_to_the_entry_that_it_was_taken_from(
    system: Deployment,
) -> None:
    """Guards against entries that forget a job, without a look at its record, because an entry
    that cannot know of its loss names it while the store is down."""
    system.start_server("engine", event_stream_handler(100, pause_s=0.05))
    entries = _start_entries(system, "e1", "e2", "e3")
    first = entries[0]
    assert _submit(first) == 202
    time.sleep(1.5)
    first.send_signal(signal.SIGSTOP)
    eventually(lambda: _owner(system) in ("e2", "e3"), 5.0)
    system.objects.faults.status = 503
    new_owner = next(each for each in entries if each.name == _owner(system))
    new_owner.send_signal(signal.SIGKILL)
    new_owner.process.wait()
    first.send_signal(signal.SIGCONT)
    time.sleep(0.5)
    system.start_entry(new_owner.name, first_start=False, wait=False)
    time.sleep(4.0)
    system.objects.faults.status = 0
    _assert_finished(system, first, FINISH_S + 12.0)


@pytest.fixture
def limited(tmp_path: Path) -> Iterator[Deployment]:
    """A deployment whose waiting limit five jobs reach."""
    batch = route("/batch/", "batch", "engine", max_attempts=3, retention_s=60, max_count=150)
    with deployment(tmp_path, *STANDARD_ROUTES[:-1], batch) as running:
        yield running


def test_a_job_that_comes_again_at_the_waiting_limit_is_run(limited: Deployment) -> None:
    """Guards against a 202 for a job that is stored, at an entry without room for more, while the
    entry that stored it counts its acceptance as failed."""
    first, second = _start_entries(limited, "e1", "e2")
    lost = _LostWrites(limited, "jobs")
    assert _submit(first, timeout=4.0) != 202
    lost.active = False
    number = 0
    while _submit(second, f"{number:016d}") == 202:
        number += 1
        assert number < 10
    eventually(lambda: limited.objects.spec("jobs", JOB), LATE_S + 2.0)
    assert _submit(second) == 202
    _assert_finished(limited, second)


@pytest.mark.parametrize("names", [("e1",), ("e1", "e2"), ("e1", "e2", "e3")], ids=len)
@pytest.mark.parametrize("restarted", ["none", "first", "all"])
def test_a_late_acceptance_is_run(
    system: Deployment, names: tuple[str, ...], restarted: str
) -> None:
    """Guards against a job that is stored after the entry that accepted it has stopped reading it
    back, or has ended, and after the entries that started since have listed the jobs."""
    entries = _start_entries(system, *names)
    lost = _LostWrites(system, "jobs", delay_s=LATE_S + 2.0)
    assert _submit(entries[0], timeout=4.0) != 202
    if restarted == "all":
        entries = [_restart(system, each) for each in entries]
    elif restarted == "first":
        entries[0] = _restart(system, entries[0])
    eventually(lambda: system.objects.spec("jobs", JOB), LATE_S + 5.0)
    lost.active = False
    _assert_finished(system, entries[-1])
