"""Keeps in the store what tells where streams began, for entries that start after all were lost.

Entries tell each other the origins of streams, but only from memory. After all entries were lost at
once, the registrations show which versions serve now, not which have served: the streams of a
version that has just gone would go on at another one, or all streams would have to be refused.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Annotated, Any, Protocol

from absl import logging
from returns.pipeline import is_successful
from returns.result import Result

from carobspool_core import (
    Clock,
    Json,
    Millis,
    ObjectStore,
    StoredObject,
    StoreFailure,
    StoreFault,
)
from carobspool_core.direct import UNKNOWN_VERSION, Upstream
from carobspool_core.problems import UnusableRecordError
from carobspool_core.records import Bounds, Record, read_record
from carobspool_core.stream_versions import (
    MEMORY_PER_WINDOW,
    OpenStreams,
    ServiceVersion,
    StreamOrigin,
    VersionsRecord,
    VersionsView,
    write_interval,
)
from carobspool_node.direct._bad_records import BadRecords
from carobspool_node.direct._origin_messages import MAX_VERSIONS, Version
from carobspool_node.direct._peer_messages import Count, Name
from carobspool_node.direct._telemetry import Telemetry

PREFIX = "streams/"
VERSIONS_KEY = PREFIX + "versions"
ORIGINS_PREFIX = PREFIX + "origins-"
VERSIONS_DUTY = "stream-versions"
TICK: Millis = 1_000.0
RETRY_DELAY: Millis = 300.0
"""Time between two attempts while the store does not answer."""
READ_DELAY: Millis = 100.0
"""Time that the entry with the duty has to write a new version before the others look for it."""
TAKEOVER_DELAY: Millis = 600.0
"""Time after which another entry writes the version."""
MIN_SWEEP_INTERVAL: Millis = 120_000.0
MAX_SERVICES = 10_000
IDS_SHARE_OF_VALUE = 0.5
"""Largest share of an object that the ids of streams take up."""
BYTES_PER_ID = 4
"""Bytes of a stream's id in JSON beyond those of its characters."""


class _StoredVersions(Record):
    versions: Annotated[
        dict[Name, Annotated[list[Version], Bounds(max_length=MAX_VERSIONS)]],
        Bounds(max_length=MAX_SERVICES),
    ]
    window_ms: Count


class _StoredOrigin(Record):
    service: Name
    version: Annotated[Version, Bounds(min_length=1)]
    streams: list[Name]


class _StoredOrigins(Record):
    origins: Annotated[list[_StoredOrigin], Bounds(max_length=MAX_VERSIONS)]
    sequence: Count


class RecordedViews(Protocol):
    """What this entry knows of the registered upstreams."""

    @property
    def can_route(self) -> bool:
        """Whether configuration and registrations are known."""

    @property
    def stream_window(self) -> Millis:
        """How long after its first event a stream may be taken up by its caller."""

    def services(self) -> set[str]:
        """Return the services with registered upstreams."""

    def versions_of(self, service: str) -> VersionsView:
        """Return the software versions of a service at which a stream can have begun."""

    def registered_versions(self) -> frozenset[ServiceVersion]:
        """Return the versions that are registered."""

    def recent_versions(self, within: Millis) -> frozenset[ServiceVersion]:
        """Return the versions that were registered within a time before now."""

    @property
    def knows_past_versions(self) -> bool:
        """Whether all versions are known that were registered within the window."""

    def load_past_versions(self, versions: Iterable[ServiceVersion], window: Millis) -> None:
        """Add all versions that can have served before this process started."""


class StreamRecords:
    """Reads the records at the start and keeps them up to date, on a thread of its own.

    Args:
        clock: The process's clock.
        store: The object store.
        telemetry: Counts unusable objects.
        name: Name and incarnation of this entry, as part of a key.
        views: The registered upstreams.
        first_start: Whether no stream can have begun if the store has no record.
        has_duty: Returns whether this entry performs a duty for all entries.
        entries: Returns the number of entries.
        value_limit: Longest value that the store takes, in bytes.
        on_origins: Called with the ids of streams that began before this process started, and with
            their origin.
        read_soon: Reads an object for a caller who waits; the store's ``get`` by default.
    """

    def __init__(
        self,
        clock: Clock,
        store: ObjectStore,
        telemetry: Telemetry,
        *,
        name: str,
        views: RecordedViews,
        first_start: bool,
        has_duty: Callable[[str], bool],
        entries: Callable[[], int],
        value_limit: int,
        on_origins: Callable[[StreamOrigin, Sequence[str]], None],
        read_soon: Callable[[str], Result[StoredObject, StoreFailure]] | None = None,
    ) -> None:
        self._clock = clock
        self._store = store
        self._bad_records = BadRecords(clock, telemetry, "stream_record", "key")
        self._key = ORIGINS_PREFIX + name
        self._views = views
        self._first_start = first_start
        self._has_duty = has_duty
        self._entries = entries
        self._max_id_bytes = int(value_limit * IDS_SHARE_OF_VALUE)
        self._on_origins = on_origins
        self._read_soon = read_soon or store.get
        self._wake = threading.Event()
        self._stopped = threading.Event()
        self._is_loaded = False
        self._versions = VersionsRecord()
        self._versions_revision = 0
        self._missing_since: Millis | None = None
        self._open_lock = threading.Lock()
        self._open = OpenStreams()
        # Whether a stream has begun, or become uncertain, that the last write does not show.
        self._is_changed = False
        self._recorded_services: frozenset[str] = frozenset()
        self._written: list[Json] = []
        self._written_at: Millis = float("-inf")
        self._written_revision = 0
        self._sequence = 0
        self._next_write: Millis = 0.0
        self._next_sweep: Millis = clock.now() + MIN_SWEEP_INTERVAL
        self._swept: dict[str, int] = {}

    @property
    def is_loaded(self) -> bool:
        """Whether the records of earlier processes are known."""
        return self._is_loaded

    def start(self) -> None:
        """Start the thread."""
        threading.Thread(target=self._run, name="stream-records", daemon=True).start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stopped.set()
        self._wake.set()

    def read_versions(self) -> frozenset[ServiceVersion] | None:
        """Read the versions at which streams may have begun, as the store has them now.

        Versions that this entry does not know count as gone from now on: they have come and gone
        unnoticed, or are not listed here yet.

        Returns:
            The versions, ``None`` if there is no usable record or it cannot be read.
        """
        read = self._read_soon(VERSIONS_KEY)
        if not is_successful(read):
            return None
        record = self._read_versions_record(read.unwrap())
        if record is None:
            return None
        window = self._views.stream_window * MEMORY_PER_WINDOW
        if not record.versions <= self._views.recent_versions(window):
            self._views.load_past_versions(record.versions, record.window)
        return record.versions

    def upstreams_changed(self) -> None:
        """Write what the changed registrations require."""
        if not self._versions.covers(self._views.registered_versions(), 0.0):
            self._next_write = 0.0
            self._wake.set()

    def has_version_of(self, upstream: Upstream) -> bool:
        """Whether the store has a record that streams may have begun at an upstream's version."""
        return (upstream.service, upstream.version) in self._versions.versions

    def begin(self, stream_id: str, origin: StreamOrigin, until: Millis) -> None:
        """Add a stream in progress; it is written at once if several versions serve.

        Writes follow each other after `write_interval` at the soonest.

        Args:
            stream_id: Request id of the caller's attempt that brought the first event.
            origin: Where the stream began.
            until: Until when its caller may take it up.
        """
        with self._open_lock:
            self._open.begin(stream_id, origin, until)
            self._is_changed = True
        if self._recorded_services and self._clock.now() >= self._next_write:
            self._wake.set()

    def end(self, stream_id: str) -> None:
        """Remove a stream that is complete; nobody takes it up, so that the next write is soon
        enough."""
        with self._open_lock:
            self._open.end(stream_id)

    def doubt(self, stream_ids: Iterable[str]) -> None:
        """Remove streams whose versions are not certain any more, from the store as well."""
        with self._open_lock:
            for stream_id in stream_ids:
                self._open.end(stream_id)
            self._is_changed = True
            self._next_write = 0.0
        self._wake.set()

    def _run(self) -> None:
        pause = RETRY_DELAY
        while not self._stopped.is_set():
            try:
                pause = self._step()
            except Exception:  # noqa: BLE001
                logging.exception("event=records_of_streams_failed")
            self._wake.wait(pause / 1000.0)
            self._wake.clear()

    def _step(self) -> Millis:
        """Do what is due; return the time until the next step."""
        if not self._is_loaded:
            self._is_loaded = self._load()
            return 0.0 if self._is_loaded else RETRY_DELAY
        if not self._views.can_route:
            return READ_DELAY
        pause = min(self._update_versions(), self._write_origins())
        self._sweep()
        return pause

    def _load(self) -> bool:
        """Read all records; return whether the store has answered."""
        stored = self._list()
        if stored is None:
            return False
        streams = 0
        versions: StoredObject | None = None
        for each in stored:
            if each.key == VERSIONS_KEY:
                versions = each
            for origin, ids in self._read_origins(each):
                streams += len(ids)
                self._on_origins(origin, ids)
        if versions is None:
            if self._first_start:
                self._views.load_past_versions((), 0.0)
        else:
            self._apply_versions(versions)
        logging.info(
            "event=records_of_streams_read known=%s versions=%s window_ms=%.0f streams=%d",
            versions is not None,
            _describe(self._versions.versions),
            self._versions.window,
            streams,
        )
        return True

    def _list(self) -> list[StoredObject] | None:
        found: list[StoredObject] = []
        after = ""
        while True:
            read = self._store.list(PREFIX, after=after)
            if not is_successful(read):
                return None
            page = read.unwrap()
            found += page.objects
            if not page.more or not page.objects:
                return found
            after = page.objects[-1].key

    def _apply_versions(self, stored: StoredObject) -> None:
        """Take over the versions that the store has a record of.

        Those that this entry does not know count as gone from now on, so that it does not remove
        what another entry has just added.
        """
        self._versions_revision = stored.version
        record = self._read_versions_record(stored)
        self._versions = VersionsRecord() if record is None else record
        if record is not None:
            self._views.load_past_versions(record.versions, record.window)

    def _read_versions_record(self, stored: StoredObject) -> VersionsRecord | None:
        """Return the record that an object describes, ``None`` if it is unusable."""
        try:
            record = read_record(_StoredVersions, stored.value)
        except UnusableRecordError as error:
            self._bad_records.report_if_changed(stored.key, error)
            return None
        return VersionsRecord(
            versions=frozenset(
                (service, version)
                for service, versions in record.versions.items()
                for version in versions
            ),
            window=float(record.window_ms),
        )

    def _read_origins(self, stored: StoredObject) -> list[tuple[StreamOrigin, list[str]]]:
        if not stored.key.startswith(ORIGINS_PREFIX):
            return []
        try:
            record = read_record(_StoredOrigins, stored.value)
        except UnusableRecordError as error:
            self._bad_records.report_if_changed(stored.key, error)
            return []
        return [
            (StreamOrigin(service=each.service, version=each.version), each.streams)
            for each in record.origins
        ]

    def _update_versions(self) -> Millis:
        """Add new versions to the record and remove old ones; return the time until the next step.

        The record is complete or absent. An entry that does not know which versions have served
        writes none until it has run for the whole window.
        """
        now = self._clock.now()
        window = self._views.stream_window
        remembered = self._views.recent_versions(window * MEMORY_PER_WINDOW)
        if self._versions.covers(self._views.registered_versions(), window):
            self._missing_since = None
            wanted = self._versions.pruned(remembered)
            if wanted == self._versions:
                return TICK
            if not self._has_duty(VERSIONS_DUTY):
                # The entry with the duty removes them; a version that comes back is read again.
                self._versions = wanted
                return TICK
            return self._write_versions(wanted)
        if not self._views.knows_past_versions:
            return TICK
        if self._missing_since is None:
            self._missing_since = now
        waited = now - self._missing_since
        if self._has_duty(VERSIONS_DUTY) or waited >= TAKEOVER_DELAY:
            return self._write_versions(self._versions.merged(remembered, window))
        if waited >= READ_DELAY:
            self._read_versions()
        return READ_DELAY

    def _read_versions(self) -> None:
        read = self._store.get(VERSIONS_KEY)
        if is_successful(read):
            self._apply_versions(read.unwrap())

    def _write_versions(self, record: VersionsRecord) -> Millis:
        by_service: dict[str, list[str]] = {}
        for service, version in sorted(record.versions):
            by_service.setdefault(service, []).append(version)
        value: Json = {"versions": by_service, "window_ms": int(record.window)}
        written = self._put(VERSIONS_KEY, value, self._versions_revision)
        if is_successful(written):
            self._versions, self._versions_revision = record, written.unwrap().version
            logging.info(
                "event=versions_recorded versions=%s window_ms=%.0f",
                _describe(record.versions),
                record.window,
            )
            return 0.0
        failure = written.failure()
        if failure.fault is StoreFault.CONFLICT and failure.current is not None:
            self._apply_versions(failure.current)
            return 0.0
        if failure.fault is StoreFault.NOT_FOUND:
            self._versions, self._versions_revision = VersionsRecord(), 0
        return RETRY_DELAY

    def _put(self, key: str, value: Json, revision: int) -> Result[StoredObject, StoreFailure]:
        if revision:
            return self._store.update(key, value, version=revision)
        return self._store.create(key, value)

    def _write_origins(self) -> Millis:
        """Write the streams in progress of services at which several versions have served.

        Returns:
            The time until the next write.
        """
        now = self._clock.now()
        services = frozenset(
            service
            for service in self._views.services()
            if self._views.versions_of(service).sole_version is None
        )
        is_other_set = services != self._recorded_services
        self._recorded_services = services
        is_old = bool(self._written) and now - self._written_at >= self._views.stream_window
        interval = write_interval(self._entries())
        with self._open_lock:
            self._is_changed = self._is_changed or is_other_set
            is_due = (self._is_changed and bool(services or self._written)) or is_old
            if not is_due:
                return TICK
            if now < self._next_write:
                return self._next_write - now
            self._is_changed = False
            origins = self._bounded(self._open.to_record(now, services))
            if origins == self._written and not is_old:
                return TICK
            self._next_write = now + interval
        if not self._put_origins(origins, now):
            with self._open_lock:
                self._is_changed = True
        return interval

    def _put_origins(self, origins: list[Json], now: Millis) -> bool:
        """Write the origins; return whether the store has them."""
        self._sequence += 1
        value: Json = {"origins": origins, "sequence": self._sequence}
        written = self._put(self._key, value, self._written_revision)
        if is_successful(written):
            self._written, self._written_at = origins, now
            self._written_revision = written.unwrap().version
            return True
        failure = written.failure()
        if failure.fault is StoreFault.CONFLICT and failure.current is not None:
            # An earlier write of this process whose answer was lost.
            self._written_revision = failure.current.version
        elif failure.fault is StoreFault.NOT_FOUND:
            self._written_revision = 0
        logging.info("event=origins_not_recorded fault=%s", failure.fault)
        return False

    def _bounded(self, streams: Mapping[StreamOrigin, list[str]]) -> list[Json]:
        """Return the value's origins, without the last streams if they exceed its limit."""
        left = self._max_id_bytes
        found: list[Any] = []
        for origin, ids in streams.items():
            if origin.version == UNKNOWN_VERSION:
                continue
            kept = []
            for each in ids:
                left -= len(each) + BYTES_PER_ID
                if left < 0:
                    break
                kept.append(each)
            found.append({"service": origin.service, "version": origin.version, "streams": kept})
        return found

    def _sweep(self) -> None:
        """Remove the origins that entries have left, on behalf of all entries.

        Live entries write theirs again at least once in each window, so that an object which has
        not changed between two sweeps has nobody who needs it.
        """
        now = self._clock.now()
        if now < self._next_sweep:
            return
        window = self._views.stream_window
        self._next_sweep = now + max(MIN_SWEEP_INTERVAL, window * MEMORY_PER_WINDOW)
        stored = self._list() if self._has_duty(VERSIONS_DUTY) else None
        if stored is None:
            self._swept.clear()
            return
        seen = {each.key: each.version for each in stored if each.key.startswith(ORIGINS_PREFIX)}
        for key, version in seen.items():
            if key != self._key and self._swept.get(key) == version:
                self._store.delete(key, version=version)
        self._swept = seen


def _describe(versions: Iterable[ServiceVersion]) -> str:
    return ",".join(f"{service}:{version}" for service, version in sorted(versions))
