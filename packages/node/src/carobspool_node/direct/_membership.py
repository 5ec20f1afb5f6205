"""Which entries there are, as the store lists them, and which of them does what for all."""

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
from carobspool_core.direct import DutyCandidate, SharedView, has_watch_duty
from carobspool_core.problems import UnusableRecordError
from carobspool_core.records import read_record
from carobspool_node.direct._bad_records import BadRecords
from carobspool_node.direct._follow import Follower
from carobspool_node.direct._peer_messages import EntryRecord
from carobspool_node.direct._peers import Peers
from carobspool_node.direct._telemetry import Telemetry

GATHER: Millis = 1_500.0
"""Pause between two watches of the entries. Who starts is known by its hints much sooner."""
APART: Millis = 4_000.0
"""How long entries may know different ones before the list is read again. Whoever starts tells all
that it finds in the list, and takes some two seconds until it is heard by all."""
SETTLE_TIME: Millis = 800.0
"""How long a process that has just started takes to hear of the others: it tells all that it finds
in the list, and their next announcements come within 500 ms."""
READ_AGAIN: Millis = 10_000.0
RETRY_PAUSE_S, RETRY_JITTER_S = 0.3, 0.3
"""Pause between two tries to register; drawn, since all entries try after an outage."""
NAMES = "entries"
"""Which entries a process knows, among the numbers that processes compare."""


class Membership:
    """Registers this entry, follows the list of all, and tells whose turn a duty is.

    Args:
        clock: The process's clock.
        store: The object store.
        peers: The other entries.
        telemetry: Counts records that are none.
        node: Name of this entry.
        address: Where it takes hints and calls.
        leaving: Set when this process is to stop.
        store_ok: Returns whether the store answered this process when it last asked.
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
        self._names = SharedView(change_time=APART, read_again=READ_AGAIN)
        self._bad_entries = BadRecords(clock, telemetry, "entry", "entry")
        self._entries = Follower(
            store,
            "entries/",
            on_listing=self._listed,
            on_change=self._changed,
            gather=GATHER,
            on_duty=self.follows_store,
            settle=SETTLE_TIME,
        )

    def start(self) -> None:
        """Start to register and to follow the list."""
        threading.Thread(target=self._register, name="register", daemon=True).start()

    def versions(self) -> Mapping[str, int]:
        """Return what is known of the entries, as a number for the others."""
        return {NAMES: self._peers.digest_of_names()}

    def compare(self, versions: Mapping[str, int]) -> None:
        """Read the list again when another process knows other entries for long."""
        self._names.version = self._peers.digest_of_names()
        digest = versions.get(NAMES, 0)
        if digest and self._names.differs(digest, self._clock.now()):
            self._entries.refresh()

    def follows_store(self) -> bool:
        """Whether this entry, of all that live, follows the store for the others."""
        own = DutyCandidate(name=self._node, store_ok=self._store_ok())
        others = [
            DutyCandidate(name=each.name, store_ok=each.store_ok)
            for each in self._peers.live()
            if not each.leaving
        ]
        return has_watch_duty(own, others)

    def has_duty(self, duty: str) -> bool:
        """Whether this entry, of all that reach the store, does a duty for all of them."""
        nodes = [each.name for each in self._peers.live() if each.store_ok and not each.leaving]
        nodes.append(self._node)
        return preferred_node(duty, nodes) == self._node

    def _register(self) -> None:
        """Write this entry's address, then learn those of the others.

        In this order: of two entries that start together, the one that writes last finds the
        other, and tells it of itself.
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

    def _listed(self, objects: Sequence[StoredObject]) -> None:
        for each in objects:
            self._take(each, deleted=False)
        self._peers.announce()

    def _changed(self, change: ObjectChange) -> None:
        self._take(change.object, deleted=change.deleted)

    def _take(self, stored: StoredObject, *, deleted: bool) -> None:
        name = stored.key.removeprefix("entries/")
        if deleted:
            self._bad_entries.mended(name)
            self._peers.set_address(name, None)
            return
        try:
            address = read_record(EntryRecord, stored.value).address
        except UnusableRecordError as error:
            self._bad_entries.note(name, error)
            self._peers.set_address(name, None)
            return
        self._bad_entries.mended(name)
        self._peers.set_address(name, address)
