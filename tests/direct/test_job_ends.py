"""Ends of batch jobs, requested at an entry that cannot reach the job's owner.

The failure: an item of a job reached an upstream 3.8 s after the end of the job was acknowledged.
The old owner had stopped shortly before, and another entry was taking the job over when the end was
requested. The end was therefore written to the store, without a call to the new owner. The new
owner should have detected it by the conflict of its next commit. But a job whose items receive no
events has nothing to commit, and the verification of ownership before a start checked only the
owner's name. The store showed the takeover, then the end, then no further write of the owner.
"""

from __future__ import annotations

import signal
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import ExitStack
from pathlib import Path

import cbor2
import pytest
from direct_harness import (
    STANDARD_ROUTES,
    Deployment,
    Entry,
    deployment,
    eventually,
    job_body,
    occupy_connections,
    route,
)

from carobspool_standins._faults import FaultBoard
from carobspool_standins._relay_link import Relay, RelayFaults
from carobspool_standins.platform_server import (
    ServedRequest,
    ServerConnection,
    event_stream_handler,
)

END_BOUND_S = 3.0
"""Time after the acknowledgement beyond which no item of an ended job may reach an upstream."""
IDS = [f"i{number}" for number in range(6)]


@pytest.fixture
def system(tmp_path: Path) -> Iterator[Deployment]:
    """A deployment of stand-ins without entries."""
    with deployment(tmp_path) as running:
        yield running


class _RefusingEngine:
    """Refuses every item without running it, and records when each arrived. Runs long streams."""

    def __init__(self) -> None:
        self.arrivals: list[float] = []
        self._lock = threading.Lock()

    def handle_request(self, request: ServedRequest, connection: ServerConnection) -> None:
        if request.target.startswith("/long/"):
            event_stream_handler(80, pause_s=0.1)(request, connection)
            return
        with self._lock:
            self.arrivals.append(time.monotonic())
        connection.send_not_executed(request)

    def arrivals_after(self, moment: float) -> int:
        """Return how many items arrived after a time."""
        with self._lock:
            return sum(1 for each in self.arrivals if each > moment)


def _start_entries_with_job(system: Deployment, engine: _RefusingEngine) -> tuple[Entry, Entry]:
    """Start two entries that know each other; the first owns a job that makes no progress."""
    system.start_server("engine", engine.handle_request)
    owner, other = system.start_entry("e1"), system.start_entry("e2")
    eventually(lambda: other.log_lines_containing("event=peer_seen peer=e1"), 3)
    time.sleep(5.0)
    assert owner.call("POST", "/batch/j", body=job_body(*IDS), request_id="j").status == 202
    eventually(lambda: engine.arrivals, 3)
    return owner, other


def _assert_no_arrival_after_bound(engine: _RefusingEngine, acknowledged: float) -> None:
    time.sleep(max(0.0, acknowledged + END_BOUND_S + 2.0 - time.monotonic()))
    assert engine.arrivals_after(acknowledged + END_BOUND_S) == 0


def test_owner_that_accepts_no_calls_starts_no_item_of_an_ended_job(system: Deployment) -> None:
    """Unfinished calls occupy all of the owner's slots for calls of peers, so that the other entry
    writes the end to the store. Hints still arrive in both directions, and neither entry detects a
    fault. No further item of the job may reach the upstream."""
    engine = _RefusingEngine()
    owner, other = _start_entries_with_job(system, engine)
    with ExitStack() as silent:
        occupy_connections(silent, ("127.0.0.1", owner.peer_port), 130)
        assert other.call("DELETE", "/api/lots/j").status == 200
        _assert_no_arrival_after_bound(engine, time.monotonic())
    assert other.log_lines_containing("event=job_ended job=j through=store")


def test_owner_that_was_frozen_starts_no_item_of_an_ended_job(system: Deployment) -> None:
    """The owner is frozen while its job is ended through the other entry. When it resumes, it
    verifies its ownership in the store. It still owns the job, but the job has been ended."""
    engine = _RefusingEngine()
    owner, other = _start_entries_with_job(system, engine)
    owner.send_signal(signal.SIGSTOP)
    time.sleep(0.5)
    assert other.call("DELETE", "/api/lots/j").status == 200
    acknowledged = time.monotonic()
    time.sleep(1.5)
    owner.send_signal(signal.SIGCONT)
    _assert_no_arrival_after_bound(engine, acknowledged)


def test_end_that_may_still_take_effect_is_not_reported_as_not_done(system: Deployment) -> None:
    """The store refuses every call. The end is requested at another entry, which calls the owner.
    The owner ends the job in memory, and neither entry can write the end. The caller received 503,
    which promises that nothing was done. After the outage the owner wrote the end, and the job that
    the caller considered open was never finished."""
    engine = _RefusingEngine()
    _, other = _start_entries_with_job(system, engine)
    system.objects.faults.status = 503
    assert other.call("DELETE", "/api/lots/j").status == 504
    system.objects.faults.status = 0
    ended = eventually(lambda: other.call("DELETE", "/api/lots/j").status == 200, 5)
    assert ended
    _assert_no_arrival_after_bound(engine, time.monotonic())


def test_end_without_an_owner_during_an_outage_is_reported_as_not_done(system: Deployment) -> None:
    """No entry owns the job and the store refuses every call. The end cannot have taken effect, and
    the caller may be told so."""
    owner, other = system.start_entry("e1"), system.start_entry("e2")
    assert owner.call("POST", "/batch/j", body=job_body(*IDS), request_id="j").status == 202
    owner.send_signal(signal.SIGKILL)
    system.objects.faults.status = 503
    time.sleep(3.0)
    answer = other.call("DELETE", "/api/lots/j")
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0


def test_end_that_an_entry_writes_behind_its_own_takeover_stops_its_items(
    system: Deployment,
) -> None:
    """The owner accepts no calls, leaves, and releases the job. The other entry still waits for the
    owner's answer to the end of the job when another of its threads takes the job over, so that it
    writes the end to the store. It reported the end to its peers, but not to itself. A stream keeps
    the owner from exiting, so that no silence made the new owner check the store."""
    engine = _RefusingEngine()
    system.settings["shutdown_limit_s"] = 12
    long = route("/long/", "streaming", "engine", timeout_ms=9_000)
    system.write_configuration(2, *STANDARD_ROUTES, long)
    owner, other = _start_entries_with_job(system, engine)
    headers = {"Deadline-Ms": "9000"}
    stream = threading.Thread(target=lambda: owner.call("POST", "/long/x", headers=headers))
    stream.start()
    with ExitStack() as silent:
        occupy_connections(silent, ("127.0.0.1", owner.peer_port), 130)
        found: list[int] = []
        end = threading.Thread(
            target=lambda: found.append(other.call("DELETE", "/api/lots/j").status)
        )
        end.start()
        time.sleep(0.3)
        owner.send_signal(signal.SIGTERM)
        end.join()
        assert found == [200]
        _assert_no_arrival_after_bound(engine, time.monotonic())
    stream.join()
    assert other.log_lines_containing("event=job_taken_over job=j")
    assert other.log_lines_containing("event=job_ended job=j through=store owner=e2")


def test_job_is_not_taken_from_an_owner_that_has_not_named_it_yet(system: Deployment) -> None:
    """The store's answer to the owner takes 100 ms, and the job is submitted to the other entry in
    that time. The other entry finds the job in the store, and no hint of the owner names it yet. It
    used to take the job over. The owner learned of that from its next commit, and a job whose items
    receive nothing has nothing to commit: the owner sent its items on and on after its end."""
    engine = _RefusingEngine()
    system.start_server("engine", engine.handle_request)
    host, _, port = system.store.rpartition(":")
    listener = system.stack.enter_context(socket.create_server(("127.0.0.1", 0)))
    board = FaultBoard(RelayFaults)
    Relay(listener, (host, int(port)), lambda: board.current.delay_ms or 0.0, board)
    owner = system.start_entry("e1", store=f"127.0.0.1:{listener.getsockname()[1]}")
    other = system.start_entry("e2")
    eventually(lambda: other.log_lines_containing("event=peer_seen peer=e1"), 3)
    time.sleep(5.0)
    board.merge({"delay_ms": 50.0})
    submission = threading.Thread(
        target=owner.call,
        args=("POST", "/batch/j"),
        kwargs={"body": job_body(*IDS), "request_id": "j"},
    )
    submission.start()
    until = time.monotonic() + 3.0
    while ("jobs", "j") not in system.objects.objects and time.monotonic() < until:
        time.sleep(0.001)
    assert other.call("POST", "/batch/j", body=job_body(*IDS), request_id="j").status == 202
    submission.join()
    board.reset()
    eventually(lambda: engine.arrivals, 3)
    time.sleep(1.0)
    assert other.call("DELETE", "/api/lots/j").status == 200
    _assert_no_arrival_after_bound(engine, time.monotonic())
    assert not other.log_lines_containing("event=job_taken_over job=j")


def test_owner_that_hears_another_owner_of_its_job_asks_the_store(system: Deployment) -> None:
    """Another entry, played by the test, has taken the job over, and its hints name the job. No
    silence and no restart makes the owner doubt that the job is still its own. It used to send the
    items of the job until one of them received an event, also after the job had been ended."""
    engine = _RefusingEngine()
    system.start_server("engine", engine.handle_request)
    owner = system.start_entry("e1")
    with _Announcer(owner) as other:
        time.sleep(5.0)
        assert owner.call("POST", "/batch/j", body=job_body(*IDS), request_id="j").status == 202
        eventually(lambda: engine.arrivals, 3)
        progress = {"owner": other.identity, "ended": True, "total": len(IDS), "results": []}
        system.objects.put("progress", "j", progress | {"failures": {}})
        other.jobs = ["j"]
        _assert_no_arrival_after_bound(engine, time.monotonic())
    assert owner.log_lines_containing(f"event=job_claimed job=j peer={other.identity}")


class _Announcer:
    """Sends the announcements of an entry that has no process.

    Attributes:
        jobs: The finished jobs whose results the entry holds.
    """

    identity = "e2#1"

    def __init__(self, entry: Entry) -> None:
        self.jobs: list[str] = []
        self._entry = entry
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._announce)

    def __enter__(self) -> _Announcer:
        self._thread.start()
        return self

    def __exit__(self, *exception: object) -> None:
        self._stopped.set()
        self._thread.join()

    def _announce(self) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.bind(("127.0.0.1", 0))
            message = {"n": "e2", "i": "1", "a": list(sender.getsockname()), "l": {}, "e": {}}
            message |= {"v": {}, "x": False, "s": True, "j": [], "w": {}, "q": []}
            while not self._stopped.wait(0.2):
                data = cbor2.dumps(message | {"f": self.jobs})
                sender.sendto(data, ("127.0.0.1", self._entry.peer_port))
