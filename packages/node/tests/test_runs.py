"""Tests of what a sidecar remembers of requests."""

from __future__ import annotations

import json
import socket
import threading
from dataclasses import replace

import pytest

from carobspool_core import (
    Data,
    End,
    Head,
    Message,
    Open,
    Outcome,
    Priority,
    RequestId,
    monotonic_clock,
    unavailable,
)
from carobspool_node.upstreams._engine_runs import EngineRuns
from carobspool_node.upstreams._event_stream import MAX_EVENT_BYTES
from carobspool_node.upstreams._runs import MAX_ENDED_RUNS, REPLAY_TTL, Run, RunState, RunTable
from carobspool_standins.endless import peak_memory_kb, reset_peak_memory_kb, serve_endless


def _open(counter: int = 1) -> Open:
    return Open(
        id=RequestId("e", counter),
        priority=Priority.ONLINE,
        target="m",
        method="POST",
        path="/",
        headers={},
        body=b"",
        caller="c",
        organisation="o",
        weight=1.0,
        cost_tokens=1,
        prompt_tokens=1,
        timeout=1.0,
        idempotent=True,
        stream=True,
        fingerprint="f",
        suspect=False,
        sent=0.0,
    )


def test_replay_sends_the_rest_of_an_answer() -> None:
    """An entry that lost its connection gets head, missing pieces and end again."""
    sent: list[Message] = []
    run = Run(_open(), sent.append, 0.0)
    assert run.begin(0.0)
    run.head(200, {})
    run.data(b"a")
    run.data(b"b")
    run.end(None, 1.0)
    before = list(sent)
    sent.clear()
    run.replay(1)
    assert [type(message) for message in sent] == [Head, Data, End]
    assert sent[1] == before[2]


def test_a_started_request_is_never_said_not_to_have_run() -> None:
    """A request that gave way and is refused while it waits again ends as unknown."""
    sent: list[Message] = []
    run = Run(_open(), sent.append, 0.0)
    assert run.begin(0.0)
    run.give_way(1.0)
    assert run.end_waiting(unavailable("x", "y"), 1.0)
    end = sent[-1]
    assert isinstance(end, End)
    assert end.failure is not None
    assert end.failure.outcome is Outcome.UNKNOWN


def test_a_cancelled_request_cannot_begin() -> None:
    """A request that was ended as not run is not started by a decision already taken."""
    run = Run(_open(), lambda _: None, 0.0)
    assert run.end_waiting(unavailable("x", "y"), 1.0)
    assert not run.begin(0.0)
    assert run.state is RunState.ENDED


def test_a_running_request_is_not_ended_as_waiting() -> None:
    """A request at the upstream cannot be ended as if it still waited."""
    run = Run(_open(), lambda _: None, 0.0)
    assert run.begin(0.0)
    assert not run.end_waiting(unavailable("x", "y"), 1.0)


def test_forgotten_requests_are_still_known_to_have_been_here() -> None:
    """A request whose pieces have expired is neither run again nor taken for unknown."""
    table = RunTable()
    run = Run(_open(), lambda _: None, 0.0)
    assert table.add(run)
    run.begin(0.0)
    run.end(None, 1.0)
    table.expire(2.0 + REPLAY_TTL)
    assert table.get(run.open.id) is None
    assert table.forgotten(run.open.id)
    assert not table.add(Run(_open(), lambda _: None, 0.0))


def test_ended_requests_are_bounded() -> None:
    """The oldest ended requests go first when there are too many."""
    table = RunTable()
    for counter in range(MAX_ENDED_RUNS + 5):
        run = Run(_open(counter), lambda _: None, 0.0)
        table.add(run)
        run.begin(0.0)
        run.end(None, float(counter) / MAX_ENDED_RUNS)
    table.expire(1.0)
    assert table.get(RequestId("e", 0)) is None
    assert table.get(RequestId("e", MAX_ENDED_RUNS)) is not None


class _Scheduler:
    """Takes what a run reports."""

    def record_first_token(self, identity: RequestId) -> None:
        """Do nothing."""

    def record_tokens(self, identity: RequestId, count: int) -> None:
        """Do nothing."""

    def record_end(self, identity: RequestId) -> None:
        """Do nothing."""


_EVENTS = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
_ENDLESS = {
    "body": (b"HTTP/1.1 200 OK\r\n\r\n", b"x"),
    "error": (b"HTTP/1.1 500 No\r\n\r\n", b"x"),
    "event": (_EVENTS, b"x"),
    "events": (_EVENTS, b"data: {}\n\n"),
    "header": (b"HTTP/1.1 200 OK\r\na: ", b"x"),
}


@pytest.mark.parametrize("priority", [Priority.ONLINE, Priority.BATCH])
@pytest.mark.parametrize("answer", _ENDLESS.values(), ids=_ENDLESS)
def test_an_answer_without_end_does_not_fill_a_sidecars_memory(
    answer: tuple[bytes, bytes], priority: Priority
) -> None:
    """Guards against a faulty upstream whose bytes end the sidecar, and all its requests."""
    ends: list[Message] = []
    request = replace(_open(), priority=priority, path="/v1/chat/completions", body=b"{}")

    def deliver(message: Message) -> None:
        if isinstance(message, End):
            ends.append(message)

    with serve_endless(*answer) as server:
        runs = EngineRuns(
            "http://{}:{}".format(*server.address), monotonic_clock(), on_broken=lambda: None
        )
        runs.attach(_Scheduler())  # type: ignore[arg-type]
        run = Run(request, deliver, 0.0)
        run.begin(monotonic_clock().now())
        before = reset_peak_memory_kb()
        running = threading.Thread(target=runs.run, args=(run,), daemon=True)
        running.start()
        running.join(10.0)
        assert not running.is_alive()
        assert peak_memory_kb() - before < 100_000
    (end,) = ends
    assert isinstance(end, End)
    assert end.failure is not None
    assert end.failure.outcome is Outcome.UNKNOWN


def _choice(delta: dict[str, object]) -> dict[str, object]:
    return {"choices": [{"index": 0, "delta": delta}]}


_TOOL_CALL = _choice({"tool_calls": [{"index": 0, "function": {"arguments": "x" * 900}}]})
_REASONING = _choice({"reasoning_content": "x" * 900})


@pytest.mark.parametrize(
    ("event", "priority"),
    [
        (_TOOL_CALL, Priority.ONLINE),
        (_TOOL_CALL, Priority.BATCH),
        (_REASONING, Priority.ONLINE),
        (_REASONING, Priority.BATCH),
        ({"type": "response.output_text.delta", "delta": "x" * 900}, Priority.ONLINE),
    ],
)
def test_a_long_answer_without_text_is_not_broken_off(
    event: dict[str, object], priority: Priority
) -> None:
    """Guards against sound answers, such as long tool calls, that are taken for endless ones."""
    piece = b"data: " + json.dumps(event).encode() + b"\n\n"
    last = {"choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}]}
    end = b"data: " + json.dumps(last).encode() + b"\n\ndata: [DONE]\n\n"
    answer = _EVENTS + piece * (3 * MAX_EVENT_BYTES // len(piece)) + end
    ends = _run_at(answer, priority)
    assert [message.failure for message in ends] == [None]


def _run_at(answer: bytes, priority: Priority) -> list[End]:
    """Run a request at an upstream that sends an answer and closes; return how it ended."""
    request = replace(_open(), priority=priority, path="/v1/chat/completions", body=b"{}")
    ends: list[End] = []

    def deliver(message: Message) -> None:
        if isinstance(message, End):
            ends.append(message)

    def serve(listener: socket.socket) -> None:
        sock, _ = listener.accept()
        with sock:
            sock.recv(65_536)
            sock.sendall(answer)

    with socket.create_server(("127.0.0.1", 0)) as listener:
        serving = threading.Thread(target=serve, args=(listener,), daemon=True)
        serving.start()
        address = "http://{}:{}".format(*listener.getsockname())
        runs = EngineRuns(address, monotonic_clock(), on_broken=lambda: None)
        runs.attach(_Scheduler())  # type: ignore[arg-type]
        run = Run(request, deliver, 0.0)
        run.begin(monotonic_clock().now())
        runs.run(run)
        serving.join(10.0)
    return ends
