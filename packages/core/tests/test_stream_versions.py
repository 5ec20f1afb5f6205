"""Where a stream goes on that its caller takes up: its version, and who is told and asked."""

from __future__ import annotations

import pytest

from carobspool_core.direct import UNKNOWN_VERSION, Configuration, Route, RouteKind
from carobspool_core.stream_versions import (
    KnownBy,
    OpenStreams,
    OriginAnswer,
    OriginTable,
    StreamOrigin,
    VersionHistory,
    VersionsRecord,
    VersionsView,
    decide_origin,
    holders_of,
    peers_to_ask,
    stream_window,
    window_of_deadline,
    write_interval,
)

WINDOW = 15_000.0
V1 = StreamOrigin(service="s", version="v1")
V2 = StreamOrigin(service="s", version="v2")


def _view(*versions: str, is_complete: bool = True) -> VersionsView:
    return VersionsView(versions=frozenset(versions), is_complete=is_complete)


def _answer(origin: StreamOrigin | None, *versions: str, is_complete: bool = True) -> OriginAnswer:
    return OriginAnswer(origin=origin, age=1.0, view=_view(*versions, is_complete=is_complete))


def test_a_version_counts_for_a_window_after_its_last_server_has_gone() -> None:
    """Guards against a stream of the old version that goes on at the new one after a rollout."""
    history = VersionHistory()
    history.load_past((), 0.0)
    history.record([("s", "v1"), ("t", "v9")], 0.0)
    assert history.view("s", 0.0, WINDOW).sole_version == "v1"
    history.record([("s", "v1"), ("s", "v2")], 1_000.0)
    assert history.view("s", 1_000.0, WINDOW).sole_version is None
    history.record([("s", "v2")], 2_000.0)
    assert history.view("s", 2_000.0 + WINDOW - 1, WINDOW).versions == {"v1", "v2"}
    assert history.view("s", 2_000.0 + WINDOW, WINDOW).sole_version == "v2"


def test_an_entry_knows_all_versions_only_a_window_after_its_start() -> None:
    """Guards against an entry that takes the versions which it finds for all that have served."""
    history = VersionHistory()
    assert history.view("s", 0.0, WINDOW).sole_version is None
    history.record([("s", "v1")], 100.0)
    assert history.view("s", 99.0 + WINDOW, WINDOW).sole_version is None
    assert history.view("s", 100.0 + WINDOW, WINDOW).sole_version == "v1"


def test_an_unknown_version_is_not_the_only_one() -> None:
    """Guards against streams that go on by the word of an entry that reads no versions."""
    history = VersionHistory()
    history.load_past((), 0.0)
    history.record([("s", UNKNOWN_VERSION)], 0.0)
    assert history.view("s", 0.0, WINDOW).sole_version is None


def test_the_window_covers_the_attempts_of_the_longest_stream() -> None:
    """Guards against a version that is forgotten while its streams are still taken up."""

    def configuration(timeout: float) -> Configuration:
        route = Route(
            name="r",
            host="h",
            path_prefix="/",
            kind=RouteKind.STREAM,
            timeout=timeout,
            target_latency=300.0,
            priority=0,
            services=(),
        )
        return Configuration(version=1, routes=(route,))

    assert stream_window(configuration(5_000.0)) == 60_000.0
    assert stream_window(configuration(60_000.0)) == 180_000.0
    assert stream_window(None) > 180_000.0


def test_the_window_covers_callers_who_wait_beyond_the_time_limit_of_their_route() -> None:
    """Guards against a version that is forgotten while its callers may still return."""
    assert window_of_deadline(59_000.0) == 60_000.0
    assert window_of_deadline(61_000.0) == 75_000.0
    assert window_of_deadline(float("inf")) == stream_window(None)


def test_a_version_of_the_record_counts_for_a_window_from_the_start() -> None:
    """Guards against an entry that takes the versions which it finds for all that have served."""
    history = VersionHistory()
    history.load_past([("s", "v1"), ("s", "v2")], 50.0)
    assert not history.is_complete(50.0, WINDOW)
    history.record([("s", "v2")], 100.0)
    assert history.is_complete(100.0, WINDOW)
    assert history.view("s", 49.0 + WINDOW, WINDOW).versions == {"v1", "v2"}
    assert history.view("s", 50.0 + WINDOW, WINDOW).sole_version == "v2"


def test_one_version_that_alone_is_recorded_and_registered_is_known_at_once() -> None:
    """Guards against streams that are refused after a start although one version has served."""
    history = VersionHistory()
    history.load_past([("s", "v1")], 50.0)
    history.record([("s", "v1")], 100.0)
    assert history.view("s", 100.0, WINDOW).sole_version == "v1"


def test_versions_are_recorded_before_they_are_needed_and_removed_long_after() -> None:
    """Guards against a record that lacks a version at which streams have begun."""
    record = VersionsRecord(versions=frozenset([("s", "v1")]), window=60_000.0)
    assert record.covers([("s", "v1")], 60_000.0)
    assert not record.covers([("s", "v2")], 60_000.0)
    assert not record.covers([("s", "v1")], 75_000.0)
    merged = record.merged([("s", "v2")], 15_000.0)
    assert merged.covers([("s", "v1"), ("s", "v2")], 60_000.0)
    assert merged.pruned(frozenset([("s", "v2")])).versions == {("s", "v2")}


def test_streams_in_progress_are_recorded() -> None:
    """Guards against records without streams in progress, and with others."""
    streams = OpenStreams()
    streams.begin("a", V1, 10_000.0)
    assert streams.to_record(0.0, ["s"]) == {V1: ["a"]}
    streams.begin("b", V2, 10_000.0)
    assert streams.to_record(600.0, ["s"]) == {V1: ["a"], V2: ["b"]}
    assert streams.to_record(600.0, ["t"]) == {}
    streams.end("a")
    assert streams.to_record(700.0, ["s"]) == {V2: ["b"]}
    streams.begin("b", V2, 12_000.0)
    assert streams.to_record(10_500.0, ["s"]) == {V2: ["b"]}
    assert streams.to_record(12_000.0, ["s"]) == {}


def test_the_number_of_streams_in_progress_is_bounded() -> None:
    """Guards against a table that grows with every stream whose caller never returns."""
    streams = OpenStreams()
    for number in range(9_000):
        streams.begin(f"r{number}", V1, 10_000.0)
    (ids,) = streams.to_record(1_000.0, ["s"]).values()
    assert len(ids) == 8_000
    assert ids[-1] == "r8999"


def test_all_entries_together_write_a_bounded_number_of_records() -> None:
    """Guards against a rollout that takes up the calls which the store allows a large fleet."""
    for entries in (1, 24, 300, 380):
        assert entries * 1000.0 / write_interval(entries) <= 24.0
    assert write_interval(5) == 250.0


@pytest.mark.parametrize(
    ("own", "answers", "origin", "known_by"),
    [
        (_view("v1", "v2"), [_answer(V1, "v1", "v2")], V1, KnownBy.PEER),
        (_view("v2"), [_answer(None, "v2"), _answer(V1, "v2")], V1, KnownBy.PEER),
        (_view("v1", "v2"), [_answer(V1), _answer(V2)], None, KnownBy.NOBODY),
        (_view("v1"), [_answer(StreamOrigin(service="s", version=""))], None, KnownBy.NOBODY),
        (_view("v1"), [_answer(None, "v1")], V1, KnownBy.REGISTRATIONS),
        (_view("v1", is_complete=False), [_answer(None, "v1")], V1, KnownBy.REGISTRATIONS),
        (_view("v1"), [_answer(None, "v1", "v2")], None, KnownBy.NOBODY),
        (_view("v1"), [_answer(None, "v2", is_complete=False)], None, KnownBy.NOBODY),
        (_view("v1", "v2"), [_answer(None, "v1")], None, KnownBy.NOBODY),
        (
            _view("v1", is_complete=False),
            [_answer(None, "v1", is_complete=False)],
            None,
            KnownBy.NOBODY,
        ),
        (_view("v1"), [], None, KnownBy.NOBODY),
    ],
)
def test_a_stream_goes_on_only_at_a_version_that_is_certain(
    own: VersionsView,
    answers: list[OriginAnswer],
    origin: StreamOrigin | None,
    known_by: KnownBy,
) -> None:
    """Guards against a version that is guessed from what one entry happens to know."""
    assert decide_origin("s", own, answers, has_peers=True) == (origin, known_by)


def test_an_entry_without_peers_relies_on_its_registrations() -> None:
    """Guards against refusals in a deployment of one entry."""
    found = decide_origin("s", _view("v1"), [], has_peers=False)
    assert found == (V1, KnownBy.REGISTRATIONS)


@pytest.mark.parametrize("entries", [5, 24, 300])
def test_one_of_those_told_is_asked_after_the_loss_of_two_entries(entries: int) -> None:
    """Guards against an origin that nobody finds since the entries see other peers."""
    names = [f"e{number}" for number in range(entries)]
    for number in range(200):
        stream = f"stream-{number}"
        first = names[number % entries]
        told = holders_of(stream, [name for name in names if name != first])
        assert len(told) == 2
        lost = {first, told[0]}
        for own in [name for name in names if name not in lost][:20]:
            seen = [name for name in names if name != own]
            known = told[1] in peers_to_ask(stream, own, seen) or own == told[1]
            assert known
            seen_late = [name for name in seen if name not in lost]
            assert own == told[1] or told[1] in peers_to_ask(stream, own, seen_late)


def test_two_origins_of_one_stream_leave_it_uncertain() -> None:
    """Guards against a stream that goes on at the version that was told last."""
    table = OriginTable()
    table.add("a", V1, 0.0)
    table.add("a", V1, 1.0)
    found = table.find("a")
    assert found is not None and found.origin == V1
    table.add("a", V2, 2.0)
    found = table.find("a")
    assert found is not None and not found.origin.is_certain
    table.add("a", V1, 3.0)
    found = table.find("a")
    assert found is not None and not found.origin.is_certain


def test_streams_of_a_server_that_starts_again_at_another_version_are_doubted() -> None:
    """Guards against an origin read from a registration that was older than the server's start."""
    table = OriginTable()
    table.add("a", V1, 0.0, instance="i-1")
    table.add("b", V1, 0.0, instance="i-2")
    assert table.doubt_instance("i-1", "v1") == []
    assert table.doubt_instance("i-1", "v2") == ["a"]
    found = [table.find(name) for name in "ab"]
    assert [each is not None and each.origin.is_certain for each in found] == [False, True]


def test_only_streams_that_began_here_are_told_to_others() -> None:
    """Guards against hints that are passed on without end."""
    table = OriginTable()
    table.add("a", V1, 0.0, instance="i-1")
    table.add("b", V1, 0.0)
    table.add("c", StreamOrigin(service="t", version="v1"), 0.0, instance="i-3")
    assert table.begun_here("s") == {V1: ["a"]}


def test_origins_are_forgotten_in_the_order_in_which_they_were_learned() -> None:
    """Guards against a table that grows for as long as two versions serve."""
    table = OriginTable()
    for number in range(5):
        table.add(f"s{number}", V1, float(number))
    table.add("s0", V1, 10.0)
    table.remove_older(3.0)
    assert [number for number in range(5) if table.find(f"s{number}")] == [0, 3, 4]
