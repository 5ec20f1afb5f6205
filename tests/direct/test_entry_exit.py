"""Answers to requests that reach an entry shortly before its exit.

These tests guard against an entry that accepts requests until its exit without checking whether
they can end before it. An entry once forwarded two streams that arrived 5.9 and 6.2 s after the
signal to stop; both were cut after 0.9 and 0.6 s, when the process exited 6.81 s after the signal.
Callers reach such an entry while most other entries are shutting down too, so that the load
balancer has no other, and over open connections, which are used until the process has exited.
"""

from __future__ import annotations

import fcntl
import http.client
import os
import signal
import threading
import time
import uuid
from collections.abc import Iterator
from pathlib import Path

import pytest
from direct_harness import (
    HOST,
    Answer,
    Deployment,
    Entry,
    deployment,
    eventually,
    job_body,
    route,
)

from carobspool_standins.platform_server import (
    ServedRequest,
    ServerConnection,
    event_stream_handler,
)

SMALL_PIPE = 4096
LATE_FROM_S = 2.6
"""Time after the signal from which callers come on connections only that were open before."""
DRAINED_S = 2.8
"""An entry without requests exits within this time after the signal."""


@pytest.fixture
def system(tmp_path: Path) -> Iterator[Deployment]:
    """A deployment of stand-ins without entries."""
    with deployment(tmp_path) as running:
        yield running


class _UnreadPipe:
    """A pipe whose reader has stopped and continues when `go_on` is called."""

    def __init__(self) -> None:
        self._reader, self.writer = os.pipe()
        fcntl.fcntl(self.writer, fcntl.F_SETPIPE_SZ, SMALL_PIPE)

    def fill(self) -> None:
        """Fill the pipe, so that the process cannot write to it."""
        os.set_blocking(self.writer, False)
        try:
            while True:
                os.write(self.writer, b".")
        except BlockingIOError:
            os.set_blocking(self.writer, True)

    def go_on(self) -> None:
        """Read everything from now on."""
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        while os.read(self._reader, 65_536):
            pass


def _call(entry: Entry, found: dict[str, Answer], path: str, request_id: str, body: bytes) -> None:
    try:
        found[request_id] = entry.call("POST", path, body=body, request_id=request_id)
    except ConnectionRefusedError:
        # The process has exited; the refused connection shows that the request was not read.
        return
    except OSError:
        found[request_id] = Answer(0, {}, b"", complete=False)


def _cut(entry: Entry, found: dict[str, Answer]) -> list[str]:
    """Return the requests that the entry has read and not answered completely.

    A connection that was still in the accept queue when the process ended was not read.
    """
    broken = [each for each, answer in found.items() if not answer.complete]
    return [
        each
        for each in broken
        if found[each].status or entry.log_lines_containing(f"request={each} ")
    ]


class _KeptConnection:
    """A caller's connection that is open before an entry is stopped, and carries one request."""

    def __init__(self, entry: Entry) -> None:
        self._connection = http.client.HTTPConnection("127.0.0.1", entry.port, timeout=10.0)
        assert self.call("/once/x", b"short").status == 200

    def call(self, target: str, body: bytes, request_id: str = "") -> Answer:
        """Send a request and return its answer; its status is 0 if there is none."""
        request_id = request_id or uuid.uuid4().hex
        headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": "3000"}
        try:
            self._connection.request("POST", target, body=body, headers=headers)
            response = self._connection.getresponse()
            return Answer(response.status, {}, response.read())
        except (OSError, http.client.HTTPException):
            return Answer(0, {}, b"", complete=False)


@pytest.mark.parametrize("target", ["/once/x", "/safe/x", "/stream/x"])
def test_requests_on_open_connections_are_not_passed_on_and_cut_by_a_planned_stop(
    system: Deployment, target: str
) -> None:
    """Guards against requests that are taken late in the grace of a planned stop because most
    requests are short, and are cut at the exit of the entry."""
    passed_on: set[str] = set()

    def handle(request: ServedRequest, connection: ServerConnection) -> None:
        passed_on.add(request.request_id)
        if request.body == b"long":
            # A safe request is repeated after half of its time.
            time.sleep(1.3 if target == "/safe/x" else 2.4)
        if target != "/stream/x" or request.target != target:
            connection.send_response(request)
            return
        connection.send_stream_headers(request)
        connection.send_event(1)
        connection.end_stream()

    for service in ("plain", "engine"):
        system.start_server(service, handle).slots = 64
    entry = system.start_entry("e1", shutdown_limit_s=8)
    other = system.start_entry("e2")
    eventually(lambda: len(entry.known_servers()) == 2, 5.0)
    assert other.is_ready()
    callers = [_KeptConnection(entry) for _ in range(124)]
    entry.send_signal(signal.SIGTERM)
    stopped = time.monotonic()
    found: list[tuple[float, int, bool]] = []

    def call_late(caller: _KeptConnection, at: float, body: bytes) -> None:
        time.sleep(max(0.0, stopped + at - time.monotonic()))
        request_id = uuid.uuid4().hex
        status = caller.call(target, body, request_id).status
        found.append((at, status, request_id in passed_on))

    calls = [
        threading.Thread(
            target=call_late,
            args=(caller, 0.055 * number, b"long" if number % 9 == 0 else b"short"),
        )
        for number, caller in enumerate(callers)
    ]
    for each in calls:
        each.start()
    for each in calls:
        each.join()
    entry.process.wait(10.0)
    late = sorted(each for each in found if each[0] >= LATE_FROM_S)
    assert [each for each in late if each[2] and each[1] != 200] == []
    assert {status for _, status, _ in late} <= {0, 200, 503}
    assert {200, 503} <= {status for _, status, _ in late}


def test_a_request_that_comes_while_an_entry_exits_is_not_cut(system: Deployment) -> None:
    """An entry without requests shuts down, but the reader of its output is slow, so that writing
    its last log lines takes a second. Requests that arrive in that second must be refused as not
    run, or answered with the whole stream. The entry used to forward these streams and cut them
    when the last line was written."""
    server = system.start_server("engine", event_stream_handler(10, pause_s=0.1))
    pipe = _UnreadPipe()
    entry = system.start_entry("e1", output=pipe.writer)
    assert entry.call("POST", "/stream/x", body=b"b").complete
    pipe.fill()
    entry.send_signal(signal.SIGTERM)
    time.sleep(DRAINED_S)
    found: dict[str, Answer] = {}
    callers = [
        threading.Thread(target=_call, args=(entry, found, "/stream/x", f"late{number}", b"b"))
        for number in range(3)
    ]
    for caller in callers:
        caller.start()
    time.sleep(0.4)
    pipe.go_on()
    for caller in callers:
        caller.join(timeout=8)
    assert entry.process.wait(timeout=6) == 0
    assert all(each.complete for each in found.values())
    passed_on = {each.request_id for each in server.requests if each.request_id.startswith("late")}
    assert passed_on == {each for each, answer in found.items() if answer.status == 200}


def test_an_entry_whose_output_nobody_reads_exits_in_its_time(system: Deployment) -> None:
    """The reader of the entry's output has stopped for good. The entry must still exit before it is
    killed. It used to wait until its last lines were written, and accepted requests meanwhile."""
    system.start_server("engine", event_stream_handler(2))
    pipe = _UnreadPipe()
    entry = system.start_entry("e1", output=pipe.writer)
    pipe.fill()
    entry.send_signal(signal.SIGTERM)
    assert entry.process.wait(timeout=6) == 0


def test_a_call_on_a_job_is_not_cut_by_the_exit(system: Deployment) -> None:
    """The store is slow while an entry shuts down, and jobs are submitted shortly before its exit.
    Each caller must receive an answer before the process exits, or an immediate refusal. The
    connection used to break, and the caller could not know whether its job was accepted."""
    system.start_server("engine", event_stream_handler(30, pause_s=0.2))
    long = route("/stream/", "streaming", "engine", max_attempts=1, timeout_ms=9_000)
    system.write_configuration(2, long, route("/batch/", "batch", "engine", retention_s=60))
    entry = system.start_entry("e1")
    stream = threading.Thread(
        target=lambda: entry.call("POST", "/stream/x", body=b"b", headers={"Deadline-Ms": "9000"})
    )
    stream.start()
    time.sleep(0.3)
    entry.send_signal(signal.SIGTERM)
    began = time.monotonic()
    time.sleep(0.3)
    system.objects.faults.delay_s = 1.2
    found: dict[str, Answer] = {}
    callers: list[threading.Thread] = []
    while entry.process.poll() is None and time.monotonic() - began < 6.0:
        name = f"j{len(callers)}"
        arguments = (entry, found, "/batch/1", name, job_body(f"{name}i"))
        callers.append(threading.Thread(target=_call, args=arguments))
        callers[-1].start()
        time.sleep(0.1)
    for caller in callers:
        caller.join(timeout=8)
    stream.join(timeout=8)
    eventually(lambda: entry.process.poll() == 0, 3)
    assert any(each.status == 202 for each in found.values())
    assert not _cut(entry, found)
    unknown = [each for each, answer in found.items() if not answer.complete]
    assert not [each for each in unknown if ("jobs", each) in system.objects.objects]
