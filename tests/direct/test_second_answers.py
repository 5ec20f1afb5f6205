"""Late second answers of servers belong to no request, also if the next request has the same id."""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import pytest
from direct_harness import (
    Answer,
    Deployment,
    all_results,
    deployment,
    eventually,
    job_body,
)

from carobspool_standins.platform_server import (
    RequestHandler,
    ServedRequest,
    ServerConnection,
    event_stream_handler,
)
from carobspool_standins.second_answers import SecondAnswers

EVENTS = 4
MAX_ATTEMPTS = 3


@pytest.fixture
def system(tmp_path: Path) -> Iterator[Deployment]:
    """A deployment of stand-ins without entries."""
    with deployment(tmp_path) as running:
        yield running


class _Runs:
    """Counts the runs of each request, and fails all of an item but the last allowed one."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.count: Counter[str] = Counter()

    def add(self, request: ServedRequest) -> int:
        """Count a run and return its number."""
        with self._lock:
            self.count[request.request_id] += 1
            return self.count[request.request_id]

    def failing(self, finish: RequestHandler) -> RequestHandler:
        """Return a handler that answers 500 to all but the last allowed run."""

        def handle_request(request: ServedRequest, connection: ServerConnection) -> None:
            if self.add(request) < MAX_ATTEMPTS:
                connection.send_response(request, 500, b"failed")
                return
            finish(request, connection)

        return handle_request

    def handle_numbered(self, request: ServedRequest, connection: ServerConnection) -> None:
        """Answer with the request's id and the number of its run."""
        body = f"{request.request_id} run {self.add(request)}".encode()
        if not request.target.startswith("/stream"):
            connection.send_response(request, 200, body)
            return
        connection.send_stream_headers(request)
        connection.send_event(1, body.decode())
        connection.end_stream()


@pytest.mark.parametrize("interim", [False, True], ids=["plain", "after-100"])
def test_a_second_answer_counts_for_no_run_of_its_item(system: Deployment, interim: bool) -> None:
    """Guards against a failure that is counted twice: all runs of an item have its id, and the next
    one goes to the same server."""
    runs = _Runs()
    servers = SecondAnswers(runs.failing(event_stream_handler(EVENTS)), interim=interim)
    system.start_server("engine", servers)
    entry = system.start_entry("e1")
    ids = [f"i{number}" for number in range(12)]
    assert entry.call("POST", "/batch/j", body=job_body(*ids), request_id="j").status == 202
    results = eventually(lambda: all_results(entry, "j"), 15.0)
    assert {each["state"] for each in results} == {"completed"}
    assert {each["text"].count("piece") for each in results} == {EVENTS}
    assert set(runs.count.values()) == {MAX_ATTEMPTS}


@pytest.mark.parametrize("target", ["/safe/1", "/once/1", "/stream/1"])
@pytest.mark.parametrize("interim", [False, True], ids=["plain", "after-100"])
def test_a_request_that_comes_again_under_its_id_gets_its_own_answer(
    system: Deployment, target: str, interim: bool
) -> None:
    """Guards against the first answer passed on as the second: nothing in it tells them apart."""
    servers = SecondAnswers(_Runs().handle_numbered, interim=interim)
    system.start_server("engine" if target.startswith("/stream") else "plain", servers)
    entry = system.start_entry("e1")
    answers = [entry.call("POST", target, body=b"x", request_id="same") for _ in range(4)]
    assert [_text(each) for each in answers] == [f"same run {number}" for number in range(1, 5)]


@pytest.mark.parametrize("target", ["/safe/1", "/once/1", "/stream/1"])
def test_answers_of_other_requests_are_skipped_and_logged(system: Deployment, target: str) -> None:
    """Guards against another caller's answer, of a stream as of a plain one."""
    servers = SecondAnswers(_Runs().handle_numbered)
    system.start_server("engine" if target.startswith("/stream") else "plain", servers)
    entry = system.start_entry("e1")
    for number in range(12):
        answer = entry.call("POST", target, body=b"x", request_id=f"r{number}")
        assert _text(answer) == f"r{number} run 1"
    assert servers.sent
    assert len(entry.await_log_lines("event=second_answer", servers.sent)) == servers.sent


def _text(answer: Answer) -> str:
    assert answer.status == 200
    assert answer.complete
    text = answer.body.decode()
    return text.partition("data: ")[2].strip() if "data: " in text else text
