"""What entries keep in the store of streams, and what they read there when they start."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import pytest

from carobspool_core import Millis
from carobspool_core.stream_versions import (
    WRITE_INTERVAL,
    ServiceVersion,
    StreamOrigin,
    VersionHistory,
    VersionsView,
)
from carobspool_node.direct._stream_records import (
    MIN_SWEEP_INTERVAL,
    ORIGINS_PREFIX,
    READ_DELAY,
    TAKEOVER_DELAY,
    VERSIONS_KEY,
    StreamRecords,
)
from carobspool_node.direct._telemetry import Telemetry
from carobspool_standins.memory_store import MemoryObjects, MemoryStore

WINDOW: Millis = 60_000.0
V1, V2 = (StreamOrigin(service="s", version=each) for each in ("v1", "v2"))
PAST = ("s", "v1")


class _Entry:
    """An entry with the registrations that a test states."""

    def __init__(
        self,
        objects: MemoryObjects,
        name: str = "e1-1",
        *,
        registered: Iterable[ServiceVersion] = (PAST,),
        first_start: bool = False,
        has_duty: bool = True,
        at: Millis = 0.0,
        value_limit: int = 1_048_576,
    ) -> None:
        self.time = at
        self.store = MemoryStore(objects, name)
        self.loaded: dict[StreamOrigin, list[str]] = {}
        self.has_duty = has_duty
        self.can_route = True
        self.stream_window = WINDOW
        self._history = VersionHistory()
        self.register(registered)
        self.records = StreamRecords(
            self,
            self.store,
            Telemetry(),
            name=name,
            views=self,
            first_start=first_start,
            has_duty=lambda duty: self.has_duty,
            entries=lambda: 1,
            value_limit=value_limit,
            on_origins=self._load,
        )

    def now(self) -> Millis:
        return self.time

    def register(self, versions: Iterable[ServiceVersion]) -> None:
        self._history.record(versions, self.time)

    def step(self, after: Millis = 0.0) -> None:
        """Let time pass, and do what is due."""
        self.time += after
        self.records._step()

    @property
    def knows_past_versions(self) -> bool:
        return self._history.is_complete(self.time, self.stream_window)

    def services(self) -> set[str]:
        return self._history.services()

    def versions_of(self, service: str) -> VersionsView:
        return self._history.view(service, self.time, self.stream_window)

    def registered_versions(self) -> frozenset[ServiceVersion]:
        return self._history.registered()

    def recent_versions(self, within: Millis) -> frozenset[ServiceVersion]:
        return self._history.recent(self.time, within)

    def load_past_versions(self, versions: Iterable[ServiceVersion], window: Millis) -> None:
        self._history.load_past(versions, self.time)
        self.stream_window = max(self.stream_window, window)

    def _load(self, origin: StreamOrigin, streams: Sequence[str]) -> None:
        self.loaded.setdefault(origin, []).extend(streams)


@pytest.fixture
def objects() -> MemoryObjects:
    """An empty store."""
    return MemoryObjects()


def _started(objects: MemoryObjects, **changes: object) -> _Entry:
    """Return an entry that has read the records and written its versions."""
    entry = _Entry(objects, **changes)  # type: ignore[arg-type]
    for _ in range(3):
        entry.step()
    return entry


def test_one_version_is_known_at_once_after_all_entries_were_lost(objects: MemoryObjects) -> None:
    """Guards against streams that are refused after a start although one version has served."""
    _started(objects, first_start=True)
    again = _started(objects, name="e1-2")
    assert again.versions_of("s").sole_version == "v1"


def test_a_version_that_has_gone_with_the_entries_is_known_after_them(
    objects: MemoryObjects,
) -> None:
    """Guards against a stream of the old version that goes on at the only registered one."""
    _started(objects, first_start=True, registered=[PAST, ("s", "v2")])
    again = _started(objects, name="e1-2", registered=[("s", "v2")])
    assert again.versions_of("s").versions == {"v1", "v2"}
    again.step(WINDOW)
    assert again.versions_of("s").sole_version == "v2"


def test_an_entry_without_a_record_writes_none_until_it_knows_the_past(
    objects: MemoryObjects,
) -> None:
    """Guards against a record without a version that served under the previous build."""
    entry = _started(objects)
    assert entry.store.calls.get("create", 0) == 0
    again = _started(objects, name="e1-2")
    assert again.versions_of("s").sole_version is None
    again.step(WINDOW)
    assert again.store.calls["create"] == 1
    assert _started(objects, name="e1-3").versions_of("s").sole_version == "v1"


def test_a_start_with_a_record_is_not_the_first(objects: MemoryObjects) -> None:
    """Guards against a process that is started again with the settings of its first start."""
    _started(objects, first_start=True, registered=[PAST, ("s", "v2")])
    again = _started(objects, name="e1-2", first_start=True, registered=[("s", "v2")])
    assert again.versions_of("s").sole_version is None


def test_an_unusable_record_counts_as_none(objects: MemoryObjects) -> None:
    """Guards against an entry that takes a record of another writer for an empty past."""
    MemoryStore(objects, "x").create(VERSIONS_KEY, {"versions": {"s": "v1"}, "window_ms": 0})
    entry = _started(objects, first_start=True)
    assert entry.versions_of("s").sole_version is None
    entry.step(WINDOW)
    assert _started(objects, name="e1-2").versions_of("s").sole_version == "v1"


def test_one_entry_writes_a_new_version_and_the_others_read_it(objects: MemoryObjects) -> None:
    """Guards against writes of all entries for each version."""
    first = _started(objects, first_start=True)
    other = _started(objects, name="e2-1", has_duty=False)
    for each in (first, other):
        each.register([PAST, ("s", "v2")])
        each.step()
    other.step(READ_DELAY)
    assert other.records._versions.covers([PAST, ("s", "v2")], WINDOW)
    assert (first.store.calls["update"], other.store.calls.get("update", 0)) == (1, 0)


def test_another_entry_writes_a_version_that_the_first_one_does_not(
    objects: MemoryObjects,
) -> None:
    """Guards against a version without a record while the entry with the duty is frozen."""
    _started(objects, first_start=True)
    other = _started(objects, name="e2-1", has_duty=False)
    other.register([PAST, ("s", "v2")])
    other.step()
    other.step(READ_DELAY)
    assert other.store.calls.get("update", 0) == 0
    other.step(TAKEOVER_DELAY)
    assert other.store.calls["update"] == 1


def test_entries_that_write_at_the_same_time_lose_no_version(objects: MemoryObjects) -> None:
    """Guards against a version that the write of another entry removes."""
    first = _started(objects, first_start=True)
    second = _started(objects, name="e2-1")
    first.register([PAST, ("s", "v2")])
    second.register([PAST, ("s", "v3")])
    first.step()
    for _ in range(3):
        second.step()
    recorded = _started(objects, name="e3-1", registered=[]).recent_versions(WINDOW)
    assert recorded == {PAST, ("s", "v2"), ("s", "v3")}


def test_a_version_leaves_the_record_long_after_its_last_server(objects: MemoryObjects) -> None:
    """Guards against a record that grows with each rollout, and against one that is cut early."""
    entry = _started(objects, first_start=True, registered=[PAST, ("s", "v2")])
    entry.register([("s", "v2")])
    entry.step(2 * WINDOW - 1.0)
    assert entry.records._versions.covers([PAST], 0.0)
    entry.step(1.0)
    assert not entry.records._versions.covers([PAST], 0.0)


def test_a_longer_window_is_recorded(objects: MemoryObjects) -> None:
    """Guards against entries that start later and forget a version too early."""
    entry = _started(objects, first_start=True)
    entry.stream_window = 3 * WINDOW
    entry.step()
    assert _started(objects, name="e1-2").stream_window == 3 * WINDOW


def test_streams_of_a_rollout_are_recorded_and_read(objects: MemoryObjects) -> None:
    """Guards against streams that are all refused after all entries were lost in a rollout."""
    entry = _started(objects, first_start=True, registered=[PAST, ("s", "v2")])
    for stream_id, origin in (("a", V1), ("b", V2), ("c", V1)):
        entry.records.begin(stream_id, origin, 1e9)
    entry.records.end("c")
    entry.step(1_000.0)
    again = _started(objects, name="e1-2", registered=[("s", "v2")])
    assert again.loaded == {V1: ["a"], V2: ["b"]}


def test_a_stream_that_is_not_certain_any_more_leaves_the_record(objects: MemoryObjects) -> None:
    """Guards against a stream that goes on at a version which is only probably its own."""
    entry = _started(objects, first_start=True, registered=[PAST, ("s", "v2")])
    entry.records.begin("a", V1, 1e9)
    entry.step(1_000.0)
    entry.records.doubt(["a"])
    entry.step()
    assert _started(objects, name="e1-2").loaded == {}


def test_a_stream_that_begins_after_a_pause_is_written_at_once(objects: MemoryObjects) -> None:
    """Guards against the young streams of an entry with few of them, which were all refused."""
    entry = _started(objects, first_start=True, registered=[PAST, ("s", "v2")])
    entry.records.begin("a", V1, 1e9)
    entry.step()
    entry.records.begin("b", V2, 1e9)
    entry.step(WRITE_INTERVAL - 1.0)
    assert _started(objects, name="e1-2").loaded == {V1: ["a"]}
    entry.step(1.0)
    assert _started(objects, name="e1-3").loaded == {V1: ["a"], V2: ["b"]}


def test_streams_that_are_complete_cost_no_write(objects: MemoryObjects) -> None:
    """Guards against two calls for each stream of a rollout in place of one."""
    entry = _started(objects, first_start=True, registered=[PAST, ("s", "v2")])
    entry.records.begin("a", V1, 1e9)
    entry.step(1_000.0)
    calls = dict(entry.store.calls)
    entry.records.end("a")
    entry.step(1_000.0)
    assert entry.store.calls == calls
    entry.records.begin("b", V1, 1e9)
    entry.step(1_000.0)
    assert _started(objects, name="e1-2").loaded == {V1: ["b"]}


def test_a_write_that_failed_is_repeated(objects: MemoryObjects) -> None:
    """Guards against streams that are never recorded, since none begins after them."""
    entry = _started(objects, first_start=True, registered=[PAST, ("s", "v2")])
    entry.store.outage = True
    entry.records.begin("a", V1, 1e9)
    entry.step(1_000.0)
    entry.store.outage = False
    entry.step(1_000.0)
    assert _started(objects, name="e1-2").loaded == {V1: ["a"]}


def test_streams_cost_no_call_while_one_version_serves(objects: MemoryObjects) -> None:
    """Guards against a call a second of each entry that nobody needs."""
    entry = _started(objects, first_start=True)
    calls = dict(entry.store.calls)
    for number in range(20):
        entry.records.begin(f"r{number}", V1, 1e9)
        entry.step(1_000.0)
    assert entry.store.calls == calls


def test_streams_that_do_not_change_cost_a_call_a_window(objects: MemoryObjects) -> None:
    """Guards against writes that change nothing, and against origins that are swept too early."""
    entry = _started(objects, first_start=True, registered=[PAST, ("s", "v2")])
    entry.records.begin("a", V1, 1e9)
    for _ in range(int(WINDOW / 1_000.0)):
        entry.step(1_000.0)
    assert entry.store.calls["create"] == 2
    assert entry.store.calls.get("update", 0) == 0
    entry.step(2_000.0)
    assert entry.store.calls["update"] == 1


def test_the_ids_of_streams_fit_into_an_object(objects: MemoryObjects) -> None:
    """Guards against a value that the store refuses, so that no stream would be recorded."""
    entry = _started(objects, first_start=True, registered=[PAST, ("s", "v2")], value_limit=10_000)
    for number in range(1_000):
        entry.records.begin(f"{number:016d}", V1, 1e9)
    entry.step(1_000.0)
    again = _started(objects, name="e1-2")
    assert len(again.loaded[V1]) == 5_000 // 20


def test_nothing_is_known_while_the_store_does_not_answer(objects: MemoryObjects) -> None:
    """Guards against an entry that takes an unread record for an empty one."""
    _started(objects, first_start=True)
    entry = _Entry(objects, name="e1-2", first_start=True)
    entry.store.outage = True
    entry.step()
    assert not entry.records.is_loaded
    assert entry.versions_of("s").sole_version is None
    entry.store.outage = False
    entry.step()
    assert entry.records.is_loaded
    assert entry.versions_of("s").sole_version == "v1"


def test_origins_that_entries_have_left_are_removed(objects: MemoryObjects) -> None:
    """Guards against objects that stay in the store for each start of each entry."""
    versions = [PAST, ("s", "v2")]
    gone = _started(objects, first_start=True, registered=versions)
    gone.records.begin("a", V1, 1e9)
    gone.step(1_000.0)
    entry = _started(objects, name="e2-1", registered=versions)
    entry.records.begin("b", V1, 1e9)
    interval = max(MIN_SWEEP_INTERVAL, 2 * WINDOW)
    for _ in range(3):
        entry.step(interval)
    keys = [key for key in objects.json_by_key if key.startswith(ORIGINS_PREFIX)]
    assert keys == [ORIGINS_PREFIX + "e2-1"]
