"""This process's view of the operator's configuration and of the registered upstreams."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import replace

from absl import logging

from carobspool_core import Clock, Json, Millis, ObjectChange, ObjectStore, StoredObject
from carobspool_core.direct import (
    Configuration,
    Upstream,
    UpstreamList,
    UpstreamsSnapshot,
    ViewVersion,
)
from carobspool_core.problems import UnusableRecordError, printable_text
from carobspool_core.stream_versions import (
    MEMORY_PER_WINDOW,
    ServiceVersion,
    VersionHistory,
    VersionsView,
    stream_window,
    window_of_deadline,
)
from carobspool_node.direct._bad_records import BadRecords
from carobspool_node.direct._deployment import Deployment
from carobspool_node.direct._follow import Follower
from carobspool_node.direct._telemetry import Telemetry

CONFIGURATION = "configuration"
UPSTREAMS = "upstreams"
_STARTS = "upstream_starts"
_REVISION = "upstreams_revision"
UPSTREAMS_WATCH_PAUSE: Millis = 250.0
"""Pause between two watches of the upstreams. An upstream that is shutting down must receive no new
requests two seconds after it announces this, and entries compare their views after 400 ms."""
MAX_UNUSABLE_CACHED = 20_000
"""Unusable registrations whose version and reason are cached, at some 500 bytes each. A listing is
read every two seconds; without the cache, validating 10,000 unusable registrations each time took
most of the 0.43 of a core that an entry used."""
MAX_REASON_CHARS = 300


class DeclaredState:
    """Follows the configuration and the upstream registrations in the store.

    Args:
        clock: The process's clock.
        store: The object store.
        deployment: The objects' keys and formats.
        telemetry: Counts unusable objects.
        on_duty: Returns whether this process watches the store itself.
        on_configuration: Called after a newer configuration was applied.
        on_restarted: Called with each upstream that has restarted under the same id.
        on_upstreams: Called after each change of the upstreams.
    """

    def __init__(
        self,
        clock: Clock,
        store: ObjectStore,
        deployment: Deployment,
        telemetry: Telemetry,
        *,
        on_duty: Callable[[], bool],
        on_configuration: Callable[[], None],
        on_restarted: Callable[[Upstream], None],
        on_upstreams: Callable[[], None] = lambda: None,
    ) -> None:
        self._clock = clock
        self._deployment = deployment
        self._on_configuration = on_configuration
        self._on_restarted = on_restarted
        self._on_upstreams = on_upstreams
        self._versions = VersionHistory()
        self._configuration: Configuration | None = None
        self._longest_window: Millis = 0.0
        self._stored_configuration: tuple[int, Json] | None = None
        self._upstreams = UpstreamList()
        self._upstreams_lock = threading.Lock()
        self._upstreams_listed = False
        self._configuration_view = ViewVersion()
        self._upstreams_view = ViewVersion()
        self._starts_view = ViewVersion()
        self._bad_upstreams = BadRecords(clock, telemetry, "registration", "upstream")
        self._unusable: dict[str, tuple[int, str]] = {}
        self._bad_configurations = BadRecords(clock, telemetry, "configuration", "key")
        kind, _, _ = deployment.configuration_key.partition("/")
        self._followers = {
            CONFIGURATION: Follower(
                store,
                f"{kind}/",
                on_listing=self._on_configuration_listed,
                on_change=self._on_configuration_changed,
                on_duty=on_duty,
            ),
            UPSTREAMS: Follower(
                store,
                deployment.upstream_prefix,
                on_listing=self._on_upstreams_listed,
                on_change=self._on_upstream_changed,
                on_recovered=self._on_store_recovered,
                reduce=self._with_parsed_value,
                watch_pause=UPSTREAMS_WATCH_PAUSE,
                on_duty=on_duty,
            ),
        }

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force, ``None`` until one is read. Its version never decreases."""
        return self._configuration

    @property
    def stream_window(self) -> Millis:
        """How long after its first event a stream may be taken up by its caller.

        It does not become shorter while this process runs: streams that began under an earlier
        configuration are still taken up.
        """
        if self._configuration is None:
            return stream_window(None)
        return self._longest_window

    @property
    def can_route(self) -> bool:
        """Whether requests can be routed."""
        return self._configuration is not None and self._upstreams_listed

    def start(self) -> None:
        """Start to follow the store."""
        for follower in self._followers.values():
            follower.start()

    def usable(self, service: str) -> Sequence[Upstream]:
        """Return the upstreams of a service that may receive new requests."""
        with self._upstreams_lock:
            return self._upstreams.usable(service, self._clock.now())

    def listed(self) -> list[Upstream]:
        """Return every registered upstream."""
        with self._upstreams_lock:
            return self._upstreams.listed()

    def identities(self) -> set[str]:
        """Return the identities of all known upstreams, including those that are shutting down."""
        with self._upstreams_lock:
            return self._upstreams.identities()

    def has_other_version(self, upstream: Upstream) -> bool:
        """Return whether an upstream has started again at another software version."""
        with self._upstreams_lock:
            registered = self._upstreams.find(upstream.instance)
        return registered is not None and registered.version != upstream.version

    def services(self) -> set[str]:
        """Return the services with registered upstreams."""
        with self._upstreams_lock:
            return self._versions.services()

    def versions_of(self, service: str) -> VersionsView:
        """Return the software versions of a service at which a stream can have begun.

        They count for as long as the store has a record of them, so that streams are told to peers
        while the record does not show a single version.
        """
        now = self._clock.now()
        with self._upstreams_lock:
            window = self.stream_window
            view = self._versions.view(service, now, window * MEMORY_PER_WINDOW)
            return VersionsView(
                versions=view.versions, is_complete=self._versions.is_complete(now, window)
            )

    @property
    def knows_past_versions(self) -> bool:
        """Whether all versions are known that were registered within the window."""
        with self._upstreams_lock:
            return self._versions.is_complete(self._clock.now(), self.stream_window)

    def registered_versions(self) -> frozenset[ServiceVersion]:
        """Return the versions that are registered."""
        with self._upstreams_lock:
            return self._versions.registered()

    def recent_versions(self, within: Millis) -> frozenset[ServiceVersion]:
        """Return the versions that were registered within a time before now."""
        with self._upstreams_lock:
            return self._versions.recent(self._clock.now(), within)

    def load_past_versions(self, versions: Iterable[ServiceVersion], window: Millis) -> None:
        """Add all versions that can have served before this process started.

        Args:
            versions: The versions.
            window: How long streams that began then may be taken up.
        """
        with self._upstreams_lock:
            self._versions.load_past(versions, self._clock.now())
            self._longest_window = max(self._longest_window, window)
        self._on_upstreams()

    def extend_stream_window(self, duration: Millis) -> None:
        """Let the window cover a caller who waits for ``duration`` altogether."""
        if duration > self._longest_window:
            with self._upstreams_lock:
                window = window_of_deadline(duration)
                self._longest_window = max(self._longest_window, window)

    def largest_service(self) -> int:
        """Return the size of the largest service, without upstreams that are shutting down."""
        with self._upstreams_lock:
            return self._upstreams.largest_service()

    def identities_by_key(self) -> Mapping[int, str]:
        """Return the identities of all known upstreams by the keys that hints use for them."""
        with self._upstreams_lock:
            return self._upstreams.identities_by_key()

    def versions(self) -> Mapping[str, int]:
        """Return version numbers of this process's views, to send to other processes."""
        return {**self.digests(), _REVISION: self._followers[UPSTREAMS].revision}

    def digests(self) -> Mapping[str, int]:
        """Return those version numbers that change only if a view's content changes."""
        return {
            CONFIGURATION: self._configuration_view.version,
            UPSTREAMS: self._upstreams_view.version,
            _STARTS: self._starts_view.version,
        }

    def newer_views(self, versions: Mapping[str, int]) -> list[str]:
        """Return the names of the views that are newer at a process with these ``versions``."""
        found = []
        if versions.get(CONFIGURATION, 0) > self._configuration_view.version:
            found.append(CONFIGURATION)
        if self._upstreams_differ(versions) and (
            versions.get(_REVISION, 0) > self._followers[UPSTREAMS].revision
        ):
            found.append(UPSTREAMS)
        return found

    def stored_configuration(self) -> tuple[int, Json] | None:
        """Return the store revision and the value of the configuration in force."""
        return self._stored_configuration

    def upstreams_view(self) -> tuple[int, UpstreamsSnapshot]:
        """Return the known store revision and the upstreams, to send to another process."""
        with self._upstreams_lock:
            revision = self._followers[UPSTREAMS].revision
            return revision, self._upstreams.snapshot(self._clock.now())

    def adopt_configuration(self, revision: int, value: Json) -> bool:
        """Apply another process's configuration if it is newer; return whether it was applied."""
        key = self._deployment.configuration_key
        before = self._configuration_view.version
        self._apply_configuration(StoredObject(key=key, version=revision, value=value))
        return self._configuration_view.version > before

    def adopt_upstreams(self, revision: int, view: UpstreamsSnapshot) -> bool:
        """Apply another process's upstreams if its revision is newer; return whether it was."""
        restarted: list[Upstream] = []

        def apply() -> None:
            with self._upstreams_lock:
                restarted.extend(self._upstreams.apply_snapshot(view, self._clock.now()))
                self._update_digests()
            self._upstreams_listed = True

        adopted = self._followers[UPSTREAMS].adopt(revision, apply)
        self._report_changes(restarted)
        return adopted

    def _upstreams_differ(self, versions: Mapping[str, int]) -> bool:
        # Processes of the previous version send no digest of starts.
        views = ((UPSTREAMS, self._upstreams_view), (_STARTS, self._starts_view))
        return any(versions.get(name, 0) not in (0, view.version) for name, view in views)

    def refresh_if_behind(self, versions: Mapping[str, int]) -> None:
        """Read those views from the store again that a peer's ``versions`` show as outdated.

        The upstreams are read again if the digests differ, unless the peer's revision is older than
        that of this process.
        """
        now = self._clock.now()
        if self._configuration_view.should_reread_for_version(versions.get(CONFIGURATION, 0), now):
            self._followers[CONFIGURATION].refresh()
        if 0 < versions.get(_REVISION, 0) < self._followers[UPSTREAMS].revision:
            # The upstreams of the other process are older than those of this process.
            return
        # Processes of the previous version send no digest of starts.
        for name, view in ((UPSTREAMS, self._upstreams_view), (_STARTS, self._starts_view)):
            digest = versions.get(name, 0)
            if digest and view.should_reread_for_digest(digest, now):
                self._followers[UPSTREAMS].refresh()

    def refresh(self) -> None:
        """Read the store again, in case a watch has missed a change."""
        for follower in self._followers.values():
            follower.refresh()

    def _on_configuration_listed(self, objects: Sequence[StoredObject]) -> None:
        for each in objects:
            self._apply_configuration(each)

    def _on_configuration_changed(self, change: ObjectChange) -> None:
        if not change.deleted:
            self._apply_configuration(change.object)

    def _apply_configuration(self, stored: StoredObject) -> None:
        if stored.key != self._deployment.configuration_key:
            return
        known = self._stored_configuration
        if known is not None and known[0] == stored.version:
            return
        try:
            configuration = self._deployment.read_configuration(stored.value)
        except UnusableRecordError as error:
            self._bad_configurations.report_if_changed(stored.key, error)
            return
        self._bad_configurations.report_valid(stored.key)
        current = self._configuration
        if current is not None and configuration.version <= current.version:
            return
        self._configuration = configuration
        self._longest_window = max(self._longest_window, stream_window(configuration))
        self._stored_configuration = (stored.version, stored.value)
        self._configuration_view.version = configuration.version
        logging.info(
            "event=configuration version=%d routes=%d revision=%d",
            configuration.version,
            len(configuration.routes),
            stored.version,
        )
        self._on_configuration()

    def _on_upstreams_listed(self, objects: Sequence[StoredObject]) -> None:
        found = []
        unusable = []
        for each in objects:
            name = self._instance_id(each)
            if isinstance(each.value, Upstream):
                self._bad_upstreams.report_valid(name)
                found.append(each.value)
                continue
            self._bad_upstreams.report_if_changed(name, each.value)
            unusable.append(name)
        with self._upstreams_lock:
            restarted = self._upstreams.replace(found, self._clock.now(), unusable=unusable)
            self._update_digests()
        if not self._upstreams_listed:
            logging.info("event=upstreams_listed count=%d unusable=%d", len(found), len(unusable))
        self._upstreams_listed = True
        self._report_changes(restarted)

    def _on_upstream_changed(self, change: ObjectChange) -> None:
        name = self._instance_id(change.object)
        registered = None if change.deleted else self._read_upstream(change.object)
        restarted: Sequence[Upstream] = ()
        with self._upstreams_lock:
            known = self._upstreams.knows(name)
            if change.deleted:
                self._upstreams.remove(name, self._clock.now())
            elif isinstance(registered, Upstream):
                restarted = self._upstreams.put(registered)
            else:
                self._upstreams.reject_registration(name)
            self._update_digests()
        if registered is not None and not isinstance(registered, Upstream):
            self._bad_upstreams.report_if_changed(name, registered)
            return
        self._bad_upstreams.report_valid(name)
        if change.deleted and not known:
            return
        logging.info(
            "event=upstream_changed upstream=%s deleted=%s revision=%d",
            name,
            change.deleted,
            change.object.version,
        )
        self._report_changes(restarted)

    def _update_digests(self) -> None:
        self._upstreams_view.version = self._upstreams.digest()
        self._starts_view.version = self._upstreams.digest_of_starts()
        self._versions.record(self._upstreams.versions(), self._clock.now())

    def _report_changes(self, restarted: Sequence[Upstream]) -> None:
        for upstream in restarted:
            self._on_restarted(upstream)
        self._on_upstreams()

    def _instance_id(self, stored: StoredObject) -> str:
        return stored.key.removeprefix(self._deployment.upstream_prefix)

    def _with_parsed_value(self, stored: StoredObject) -> StoredObject:
        """Return the object with an upstream as its value, or the reason why it is unusable."""
        return replace(stored, value=self._read_upstream(stored))

    def _read_upstream(self, stored: StoredObject) -> Upstream | str:
        """Return the upstream that a registration describes, or the reason why it is unusable."""
        name = self._instance_id(stored)
        known = self._unusable.get(name)
        if known is not None and known[0] == stored.version:
            return known[1]
        try:
            return self._deployment.read_upstream(name, stored.value)
        except UnusableRecordError as error:
            reason = printable_text(str(error), MAX_REASON_CHARS)
        if len(self._unusable) >= MAX_UNUSABLE_CACHED:
            self._unusable.clear()
        self._unusable[name] = (stored.version, reason)
        return reason

    def _on_store_recovered(self) -> None:
        with self._upstreams_lock:
            self._upstreams.store_recovered(self._clock.now())
