"""The adapter of stream backups: when a broken run may continue, and what it counts."""

from __future__ import annotations

import pytest

from carobspool_core.direct import NO_LOAD, Configuration, Load, Route, RouteKind, Upstream
from carobspool_core.stream_backups import ContinuationWay, LossReason
from carobspool_node.direct._telemetry import Telemetry
from carobspool_node.stream_backups import (
    BackedUpRun,
    EngineAnswer,
    MoveAnswer,
    MoveKind,
    NextRun,
    Reach,
    StreamBackups,
)


class _Clock:
    def now(self) -> float:
        return 1_000.0


class _Moves:
    def move_request(self, request_id: str, target: str) -> tuple[bytes, bytes, bytes]:
        return b"POST", b"/move", f"{request_id} {target}".encode()

    def read_move(self, status: int, body: bytes) -> MoveAnswer:
        kind, _, handle = body.decode().partition(" ")
        return MoveAnswer(MoveKind(kind), handle)

    def free_request(self, handle: str) -> tuple[bytes, bytes]:
        return b"DELETE", f"/handles/{handle}".encode()


def _engine(number: int, *, started: int = 1) -> Upstream:
    return Upstream(
        instance=f"i{number}",
        service="s",
        address=("10.0.0.1", number),
        failure_domain="z",
        slots=8,
        ready=True,
        started=started,
        version="v1",
    )


class _Entry:
    """The adapter of an entry whose engines give the answers of a list."""

    def __init__(self, *answers: EngineAnswer, moves: bool = True, memory: int = 0) -> None:
        self.answers = list(answers)
        self.calls: list[bytes] = []
        self.listed = [_engine(1), _engine(2)]
        services = frozenset({"s"})
        configuration = Configuration(
            version=1,
            routes=(),
            engine_memory={"s": memory} if memory else {},
            engine_backups=services,
            engine_moves=services if moves else frozenset(),
        )
        self.telemetry = Telemetry()
        self.backups = StreamBackups(
            _Clock(),
            self.telemetry,
            setting="auto",
            moves=_Moves(),
            configuration=lambda: configuration,
            listed=lambda: self.listed,
            call=self._call,
        )

    def _call(
        self, upstream: Upstream, method: bytes, path: bytes, body: bytes, *, deadline: float
    ) -> EngineAnswer:
        self.calls.append(b" ".join((upstream.instance.encode(), method, path, body)).strip())
        return self.answers.pop(0)

    def begin(self, request_id: str = "r", *, load: Load = NO_LOAD) -> BackedUpRun | None:
        route = Route(
            name="r",
            host="h",
            path_prefix="/",
            kind=RouteKind.STREAM,
            timeout=1.0,
            target_latency=1.0,
            priority=0,
            services=(),
        )
        healthy = [(_engine(1), NO_LOAD), (_engine(2), load)]
        return self.backups.begin(
            request_id, route, _engine(1), healthy, tokens=300, is_suspect=False
        )

    def next_run(self, *, is_refused: bool = False) -> NextRun | LossReason:
        return self.backups.next_run(RUN, is_refused=is_refused)


RUN = BackedUpRun(request_id="r", source=_engine(1), target=_engine(2))


def _answer(text: str) -> EngineAnswer:
    return EngineAnswer(Reach.ANSWERED, 200, text.encode())


def test_a_run_whose_engine_has_ended_continues_from_its_copy_without_a_call() -> None:
    """Guards against a pause for a move that a process that has ended can't answer."""
    entry = _Entry()
    found = entry.next_run(is_refused=True)
    assert isinstance(found, NextRun)
    assert (found.upstream, found.way) == (_engine(2), ContinuationWay.COPY)
    assert found.run_from == b"10.0.0.1:2/r"
    assert entry.calls == []


@pytest.mark.parametrize(
    ("answers", "way"),
    [
        ([_answer("moved h")], ContinuationWay.MOVED),
        ([_answer("kept h")], ContinuationWay.SOURCE),
        ([_answer("no_run")], ContinuationWay.COPY),
        ([_answer("failed")], None),
        ([EngineAnswer(Reach.NO_ANSWER)], None),
        ([EngineAnswer(Reach.UNREACHABLE)], None),
        ([EngineAnswer(Reach.REFUSED)], ContinuationWay.COPY),
        ([EngineAnswer(Reach.BROKEN), EngineAnswer(Reach.REFUSED)], ContinuationWay.COPY),
        ([EngineAnswer(Reach.BROKEN), EngineAnswer(Reach.BROKEN)], None),
    ],
)
def test_a_run_that_may_still_be_working_is_stopped_first(
    answers: list[EngineAnswer], way: ContinuationWay | None
) -> None:
    """Guards against a second run while it isn't known that the first one has ended."""
    entry = _Entry(*answers)
    found = entry.next_run()
    assert entry.calls[0] == b"i1 POST /move r 10.0.0.1:2"
    assert entry.answers == []
    if way is None:
        assert found is LossReason.STILL_RUNNING
        return
    assert isinstance(found, NextRun)
    assert found.way is way
    assert found.upstream == (_engine(1) if way is ContinuationWay.SOURCE else _engine(2))
    if found.handle:
        assert found.run_from == b"10.0.0.1:1/h"


def test_an_unreachable_engine_has_ended_only_if_it_is_no_longer_registered() -> None:
    """Guards against a second run beside that of an engine that is only cut off, and of one that
    answers although its registration is gone."""
    entry = _Entry(EngineAnswer(Reach.UNREACHABLE), EngineAnswer(Reach.NO_ANSWER))
    entry.listed[0] = _engine(1, started=2)
    assert entry.next_run() is LossReason.STILL_RUNNING
    entry.answers.insert(0, EngineAnswer(Reach.UNREACHABLE))
    del entry.listed[0]
    found = entry.next_run()
    assert isinstance(found, NextRun) and found.way is ContinuationWay.COPY
    assert entry.next_run() is LossReason.STILL_RUNNING


def test_without_moves_a_run_at_a_living_engine_does_not_continue() -> None:
    """Guards against calls that the engines don't know."""
    entry = _Entry(moves=False)
    assert entry.next_run() is LossReason.STILL_RUNNING
    assert entry.calls == []


def test_an_unused_handle_is_freed_at_the_source() -> None:
    """Guards against memory that stays occupied by stopped runs."""
    entry = _Entry(EngineAnswer(Reach.BROKEN))
    entry.backups.free(RUN, "h")
    assert entry.calls == [b"i1 DELETE /handles/h"]


def test_copies_count_as_tokens_at_their_engine_until_the_run_ends() -> None:
    """Guards against copies that fill the memory of one engine."""
    entry = _Entry(memory=1_000)
    first = entry.begin()
    assert first is not None and first.target == _engine(2)
    assert entry.begin(load=Load(1, 0)) is None
    second = entry.begin()
    assert second is not None and entry.begin() is None
    entry.backups.end(first)
    assert entry.begin() is not None
    assert "carobspool_streams_backed_up_total 3.0" in entry.telemetry.text().decode()


@pytest.mark.parametrize("request_id", ["a/b", "a b", "\xe9", ""])
def test_an_id_that_engines_may_read_differently_gets_no_copy(request_id: str) -> None:
    """Guards against a move that is answered with 404 while the run goes on."""
    assert _Entry().begin(request_id) is None
