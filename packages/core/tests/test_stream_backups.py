"""Which streams get a copy, where it goes, and when a stream may continue."""

from __future__ import annotations

from collections import Counter

import pytest

from carobspool_core.direct import UNKNOWN_VERSION, Route, RouteKind, Upstream
from carobspool_core.stream_backups import (
    BackupCandidate,
    LossReason,
    RunFacts,
    choose_backup,
    needs_backup,
    reason_to_end,
)


def _engine(name: str, domain: str = "z1", version: str = "v1") -> Upstream:
    return Upstream(
        instance=name,
        service="s",
        address=("127.0.0.1", hash(name) % 60_000),
        failure_domain=domain,
        slots=8,
        ready=True,
        started=1,
        version=version,
    )


def _candidate(
    name: str, domain: str = "z1", *, in_use: int = 0, tokens: float = 0, version: str = "v1"
) -> object:
    return BackupCandidate(upstream=_engine(name, domain, version), in_use=in_use, tokens=tokens)


def _choose(*candidates: object, request_id: str = "r", capacity: int | None = None) -> str | None:
    found = choose_backup(
        request_id,
        _engine("a"),
        candidates,  # type: ignore[arg-type]
        tokens=450,
        capacity=capacity,
    )
    return None if found is None else found.instance


def _route(kind: RouteKind, *, resumable: bool = False) -> Route:
    return Route(
        name="r",
        host="h",
        path_prefix="/",
        kind=kind,
        timeout=3_000.0,
        target_latency=200.0,
        priority=0,
        services=(),
        resumable=resumable,
    )


def test_only_streams_that_may_run_once_get_a_copy() -> None:
    """Guards against copies that cost memory and bytes for nothing, and against a copy by which a
    crashing request reaches a second engine."""
    once = _route(RouteKind.STREAM)
    assert needs_backup(once, is_suspect=False, healthy=2)
    assert not needs_backup(once, is_suspect=True, healthy=2)
    assert not needs_backup(once, is_suspect=False, healthy=1)
    assert not needs_backup(_route(RouteKind.STREAM, resumable=True), is_suspect=False, healthy=2)
    for kind in (RouteKind.SAFE, RouteKind.UNSAFE, RouteKind.BATCH):
        assert not needs_backup(_route(kind), is_suspect=False, healthy=2)


def test_a_copy_goes_to_the_least_used_engine_of_the_same_domain() -> None:
    """Guards against slow copies between domains and against a copy at the engine itself."""
    assert _choose(_candidate("a"), _candidate("b", in_use=5), _candidate("c", in_use=4)) == "c"
    assert _choose(_candidate("a"), _candidate("b", in_use=5), _candidate("c", "z2")) == "b"
    assert _choose(_candidate("a"), _candidate("c", "z2")) == "c"
    assert _choose(_candidate("a")) is None


@pytest.mark.parametrize("version", ["v2", UNKNOWN_VERSION])
def test_a_copy_goes_to_no_engine_of_another_version(version: str) -> None:
    """Guards against streams that go on at another software version."""
    assert _choose(_candidate("b", version=version)) is None
    assert _choose(_candidate("b", version=version), _candidate("c", "z2", in_use=7)) == "c"


def test_a_copy_needs_room_in_the_memory_of_its_engine() -> None:
    """Guards against copies that preempt the requests of an engine whose memory is nearly full."""
    full = _candidate("b", tokens=7_600)
    assert _choose(full, capacity=10_000) is None
    assert _choose(full, capacity=None) == "b"
    assert _choose(full, _candidate("c", "z2", in_use=8, tokens=7_500), capacity=10_000) == "c"


def test_the_copies_of_one_engine_spread_over_the_others() -> None:
    """Guards against one engine that receives all streams of an engine that has crashed."""
    others = [_candidate(name) for name in "bcdefg"]
    counts = Counter(_choose(*others, request_id=f"r{number}") for number in range(600))
    assert len(counts) == 6
    assert max(counts.values()) < 2 * min(counts.values())


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({}, None),
        ({"last_event": None}, LossReason.NO_EVENT),
        ({"first_event_at": None}, LossReason.NO_EVENT),
        ({"first_event_at": 901.0}, LossReason.EARLY),
        ({"continuations": 1}, None),
        ({"continuations": 2}, LossReason.TOO_OFTEN),
        ({"is_quarantined": True}, LossReason.QUARANTINED),
        ({"time_left": 19.0}, LossReason.NO_TIME),
    ],
)
def test_a_stream_continues_only_if_its_run_was_no_crash_at_its_beginning(
    changes: dict[str, object], reason: LossReason | None
) -> None:
    """Guards against a crashing request that is carried from engine to engine."""
    facts: dict[str, object] = {
        "last_event": 7,
        "first_event_at": 900.0,
        "failed_at": 1_000.0,
        "continuations": 0,
        "is_quarantined": False,
        "time_left": 500.0,
    }
    assert reason_to_end(RunFacts(**(facts | changes)), min_time_left=20.0) is reason  # type: ignore[arg-type]
