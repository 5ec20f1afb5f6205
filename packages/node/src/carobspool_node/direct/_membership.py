"""Register this entry, follow the store's list of entries, and assign duties among them."""

from __future__ import annotations

import random
import threading
from collections.abc import Callable, Mapping, Sequence

from returns.pipeline import is_successful

from carobspool_core import (
    Clock,
    Millis,
    ObjectChange,
    ObjectStore,
    StoredObject,
    StoreFault,
    preferred_node,
)
from carobspool_core.direct import ViewVersion, WatchCandidate, should_watch_store
from carobspool_core.problems import UnusableRecordError
from carobspool_core.records import read_record
from carobspool_node.direct._bad_records import BadRecords
from carobspool_node.direct._follow import Follower
from carobspool_node.direct._peer_messages import EntryRecord
from carobspool_node.direct._peers import Peers
from carobspool_node.direct._telemetry import Telemetry

WATCH_PAUSE: Millis = 1_500.0
"""Pause between two watches of the entries. Hints report a new entry much sooner."""
MAX_DISAGREEMENT: Millis = 4_000.0
"""Time for which entries may know different sets of entries before the list is read again. A new
entry announces itself to all entries in the list, and all receive the announcement within about two
seconds."""
SETTLE_TIME: Millis = 800.0
"""Time for a new process to discover the other entries: the process announces itself to all entries
in the list, and their next announcements arrive within 500 ms."""
REREAD_INTERVAL: Millis = 10_000.0
"""Minimum time between two readings of the list while entries disagree."""
RETRY_PAUSE_S, RETRY_JITTER_S = 0.3, 0.3
"""Pause between two attempts to register, with jitter, since all entries retry after an outage."""
NAMES_VERSION = "entries"
"""Key of the digest of known entries among the versions that processes compare."""


class Membership:
    """Registers this entry, follows the list of entries, and decides who performs a duty.

    Args:
        clock: The process's clock.
        store: The object store.
        peers: The other entries.
        telemetry: Counts invalid records.
        node: Name of this entry.
        address: Address at which this entry receives hints and calls.
        leaving: Set when this process is to stop.
        store_ok: Returns whether the store answered the last call of this process.
    """

    def __init__(
        self,
        clock: Clock,
        store: ObjectStore,
        peers: Peers,
        telemetry: Telemetry,
        *,
        node: str,
        address: tuple[str, int],
        leaving: threading.Event,
        store_ok: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._store = store
        self._peers = peers
        self._node = node
        self._address = address
        self._leaving = leaving
        self._store_ok = store_ok
        self._names_view = ViewVersion(
            propagation_time=MAX_DISAGREEMENT, reread_interval=REREAD_INTERVAL
        )
        self._bad_entries = BadRecords(clock, telemetry, "entry", "entry")
        self._entries = Follower(
            store,
            "entries/",
            on_listing=self._apply_listing,
            on_change=self._apply_change,
            watch_pause=WATCH_PAUSE,
            on_duty=self.follows_store,
            settle_time=SETTLE_TIME,
        )

    def start(self) -> None:
        """Start the thread that registers this entry and follows the list."""
        threading.Thread(target=self._register, name="register", daemon=True).start()

    def versions(self) -> Mapping[str, int]:
        """Return the digest of the known entries, for comparison by other processes."""
        return {NAMES_VERSION: self._peers.names_digest()}

    def refresh_if_behind(self, versions: Mapping[str, int]) -> None:
        """Read the list again if other processes have listed different entries for too long."""
        self._names_view.version = self._peers.names_digest()
        digest = versions.get(NAMES_VERSION, 0)
        if digest and self._names_view.should_reread_for_digest(digest, self._clock.now()):
            self._entries.refresh()

    def follows_store(self) -> bool:
        """Whether this entry is one of those that follow the store on behalf of all entries."""
        own = WatchCandidate(name=self._node, store_ok=self._store_ok())
        others = [
            WatchCandidate(name=each.name, store_ok=each.store_ok)
            for each in self._peers.live()
            if not each.leaving
        ]
        return should_watch_store(own, others)

    def has_duty(self, duty: str) -> bool:
        """Whether this entry, among those that reach the store, performs a duty for all entries."""
        nodes = [each.name for each in self._peers.live() if each.store_ok and not each.leaving]
        nodes.append(self._node)
        return preferred_node(duty, nodes) == self._node

    def _register(self) -> None:
        """Write this entry's address, then read those of the other entries.

        The order matters: of two entries that start together, the one that writes last finds the
        other in the list and announces itself to it.
        """
        is_registered = self._write_address()
        self._entries.start()
        if is_registered:
            return
        while not self._leaving.wait(RETRY_PAUSE_S + random.random() * RETRY_JITTER_S):
            if self._write_address():
                self._entries.refresh()
                return

    def _write_address(self) -> bool:
        """Write this entry's address; return whether the store holds the address."""
        key = f"entries/{self._node}"
        value = {"address": list(self._address)}
        created = self._store.create(key, value)
        if is_successful(created):
            return True
        failure = created.failure()
        current = failure.current
        if failure.fault is not StoreFault.CONFLICT or current is None:
            return False
        if current.value == value:
            return True
        return is_successful(self._store.update(key, value, version=current.version))

    def _apply_listing(self, objects: Sequence[StoredObject]) -> None:
        for each in objects:
            self._apply_entry(each, deleted=False)
        self._peers.announce()

    def _apply_change(self, change: ObjectChange) -> None:
        self._apply_entry(change.object, deleted=change.deleted)

    def _apply_entry(self, stored: StoredObject, *, deleted: bool) -> None:
        name = stored.key.removeprefix("entries/")
        if deleted:
            self._bad_entries.report_valid(name)
            self._peers.set_address(name, None)
            return
        try:
            address = read_record(EntryRecord, stored.value).address
        except UnusableRecordError as error:
            self._bad_entries.report_if_changed(name, error)
            self._peers.set_address(name, None)
            return
        self._bad_entries.report_valid(name)
        self._peers.set_address(name, address)
