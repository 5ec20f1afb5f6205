"""The entries that are alive, as this process sees them through their leases."""

from __future__ import annotations

import threading
from collections.abc import Iterable

from absl import logging
from returns.result import Failure, Success

from carobspool_core import (
    ChunkHolder,
    Clock,
    LeaseObserver,
    Millis,
    ObjectChange,
    ObjectStore,
    StoredObject,
    StoreFault,
)
from carobspool_node.store import WATCH_TIMEOUT, Followed, follow, list_all

PREFIX = "nodes/"
STEP_SLACK: Millis = 1_000.0
FORGET_FACTOR = 30.0


class Members:
    """Follows the leases under ``nodes/``. Made by `watch_members`."""

    def __init__(
        self, store: ObjectStore, clock: Clock, ttl: Millis, watch_timeout: Millis
    ) -> None:
        self._store = store
        self._clock = clock
        self._watch_timeout = watch_timeout
        self._lock = threading.Lock()
        self._observer = LeaseObserver(ttl=ttl, max_read_interval=watch_timeout + STEP_SLACK)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="members", daemon=True)
        self._known: set[str] = set()
        self._addresses: dict[str, str] = {}

    def start(self) -> None:
        """Start to follow."""
        self._thread.start()

    def stop(self) -> None:
        """Stop to follow; the thread ends within one watch."""
        self._stopping.set()

    def available_nodes(self) -> tuple[str, ...]:
        """Return the names of the nodes that take work, in order."""
        with self._lock:
            return self._observer.available_nodes()

    def lease_holders(self) -> tuple[str, ...]:
        """Return the names of the nodes that may hold claims, leaving ones included, in order."""
        with self._lock:
            return self._observer.lease_holders()

    def addresses(self) -> dict[str, str]:
        """Return the address of each live node by its name."""
        with self._lock:
            live = self._observer.available_nodes()
            return {node: self._addresses[node] for node in live if node in self._addresses}

    def is_dead(self, holder: ChunkHolder) -> bool:
        """Tell whether a holder's lease has expired, or is another process's."""
        with self._lock:
            return self._observer.is_presumed_dead(holder.node, holder.incarnation)

    def confirm_dead(self, holder: ChunkHolder) -> bool:
        """Read the lease once more before a claim is taken over.

        The watch lags, so a process that has just started, or just renewed, may look dead. Taking
        over from it would do no harm to the truth, but its items would run twice for nothing.
        """
        if not self.is_dead(holder):
            return False
        found = self._store.get(PREFIX + holder.node)
        if isinstance(found, Failure):
            return found.failure().fault is StoreFault.NOT_FOUND
        with self._lock:
            self._see(found.unwrap())
            return self._observer.is_presumed_dead(holder.node, holder.incarnation)

    def _run(self) -> None:
        followed = Followed(
            reset=self._reset,
            changed=self._changed,
            answered=self._answered,
            failed=self._failed,
        )
        follow(
            self._store,
            PREFIX,
            lambda: list_all(self._store, PREFIX),
            followed,
            self._stopping,
            watch_timeout=self._watch_timeout,
        )

    def _reset(self, objects: Iterable[StoredObject]) -> None:
        with self._lock:
            present: set[str] = set()
            for stored in objects:
                self._see(stored)
                present.add(stored.key)
            for key in self._known - present:
                self._observer.record_deletion(key.removeprefix(PREFIX))
            self._known = present

    def _changed(self, changes: Iterable[ObjectChange]) -> None:
        with self._lock:
            for change in changes:
                if change.deleted:
                    self._observer.record_deletion(change.object.key.removeprefix(PREFIX))
                    self._known.discard(change.object.key)
                    continue
                self._see(change.object)
                self._known.add(change.object.key)

    def _see(self, stored: StoredObject) -> None:
        """Take in a lease; a damaged one is logged and left out, so that all others still count."""
        node = stored.key.removeprefix(PREFIX)
        try:
            address = stored.value["address"]
            incarnation = stored.value["incarnation"]
            leaving = stored.value["leaving"]
        except (KeyError, TypeError) as error:
            logging.error("event=lease_unreadable node=%s detail=%r", node, error)
            return
        self._addresses[node] = address
        self._observer.record_lease(
            node=node, incarnation=incarnation, version=stored.version, leaving=leaving
        )

    def _answered(self) -> None:
        with self._lock:
            self._observer.record_successful_read(self._clock.now())
            forgotten = self._observer.leases_unchanged_for(FORGET_FACTOR)
        for lease in forgotten:
            deleted = self._store.delete(PREFIX + lease.node, version=lease.version)
            if isinstance(deleted, Success):
                with self._lock:
                    self._observer.record_deletion(lease.node)

    def _failed(self) -> None:
        with self._lock:
            self._observer.record_failed_read()


def watch_members(
    store: ObjectStore, clock: Clock, *, ttl: Millis, watch_timeout: Millis = WATCH_TIMEOUT
) -> Members:
    """Return the view of the live entries; `Members.start` begins.

    Args:
        store: The object store.
        clock: The process's clock.
        ttl: Time to live of the leases, in milliseconds.
        watch_timeout: Longest wait of one watch, in milliseconds; it bounds how late an expiry is
            noticed.

    Since 0.1.
    """
    return Members(store, clock, ttl, watch_timeout)
