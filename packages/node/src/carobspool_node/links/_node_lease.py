"""This node's own lease: one object that it keeps renewing."""

from __future__ import annotations

import threading
from dataclasses import dataclass

from absl import logging
from returns.result import Failure, Result, Success

from carobspool_core import (
    LEASE_TTL,
    RENEWALS_PER_TTL,
    ChunkHolder,
    Clock,
    Json,
    Millis,
    ObjectStore,
    StoredObject,
    StoreFailure,
    StoreFault,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeIdentity:
    """What a node says of itself in its lease."""

    holder: ChunkHolder
    address: str
    failure_domain: str


class NodeLeaseKeeper:
    """Renews a node's lease from a thread of its own. Made by `keep_node_lease`."""

    def __init__(
        self, store: ObjectStore, identity: NodeIdentity, clock: Clock, ttl: Millis
    ) -> None:
        self._store = store
        self._identity = identity
        self._clock = clock
        self._ttl = ttl
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._version = 0
        self._beat = 0
        self._leaving = False
        self._lost = False
        self._renewed_at: Millis | None = None
        self._thread = threading.Thread(target=self._run, name="node-lease", daemon=True)

    @property
    def lost(self) -> bool:
        """Whether another process took the node's name; this one may claim nothing any more."""
        return self._lost

    @property
    def held(self) -> bool:
        """Whether others see this process as alive, as far as it can tell."""
        renewed_at = self._renewed_at
        if renewed_at is None or self._lost:
            return False
        return self._clock.now() - renewed_at < self._ttl

    def start(self) -> None:
        """Take the lease and keep renewing it."""
        self.renew()
        self._thread.start()

    def renew(self) -> None:
        """Write the lease once."""
        with self._lock:
            if self._lost:
                return
            asked_at = self._clock.now()
            written = self._write()
            if isinstance(written, Success):
                self._version = written.unwrap().version
                self._beat += 1
                # From before the call: observers start counting when they see the new version,
                # which is later, so this process never believes in its lease longer than they do.
                self._renewed_at = asked_at
                return
            self._take_failure(written.failure())

    def leave(self) -> None:
        """Say that this node is shutting down: it keeps its claims and gets no more work."""
        self._leaving = True
        self.renew()

    def give_up(self) -> None:
        """Stop renewing and delete the lease, so that others need not wait for it to expire."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join()
        with self._lock:
            if not self._lost and self._version:
                self._store.delete(self._key, version=self._version)

    def stop(self) -> None:
        """Stop renewing and leave the lease behind, as a killed process does."""
        self._stopping.set()

    @property
    def _key(self) -> str:
        return f"nodes/{self._identity.holder.node}"

    def _run(self) -> None:
        while not self._stopping.wait(self._ttl / RENEWALS_PER_TTL / 1000.0):
            self.renew()

    def _write(self) -> Result[StoredObject, StoreFailure]:
        if self._version == 0:
            return self._take()
        return self._store.update(self._key, self._value(), version=self._version)

    def _take(self) -> Result[StoredObject, StoreFailure]:
        """Take the node's name, also from an earlier process of this node."""
        found = self._store.get(self._key)
        if isinstance(found, Success):
            version = found.unwrap().version
            return self._store.update(self._key, self._value(), version=version)
        if found.failure().fault is StoreFault.NOT_FOUND:
            return self._store.create(self._key, self._value())
        return found

    def _take_failure(self, failure: StoreFailure) -> None:
        logging.warning(
            "event=lease_not_renewed node=%s fault=%s",
            self._identity.holder.node,
            failure.fault.value,
        )
        if failure.fault is StoreFault.UNAVAILABLE:
            return
        found = self._store.get(self._key)
        if isinstance(found, Failure):
            if found.failure().fault is StoreFault.NOT_FOUND:
                self._version = 0
            return
        stored = found.unwrap()
        if stored.value["incarnation"] == self._identity.holder.incarnation:
            self._version = stored.version
            return
        if self._version == 0:
            return
        self._lost = True
        logging.error("event=lease_lost node=%s", self._identity.holder.node)

    def _value(self) -> Json:
        return {
            "incarnation": self._identity.holder.incarnation,
            "address": self._identity.address,
            "failure_domain": self._identity.failure_domain,
            "beat": self._beat,
            "leaving": self._leaving,
        }


def keep_node_lease(
    store: ObjectStore, identity: NodeIdentity, clock: Clock, *, ttl: Millis = LEASE_TTL
) -> NodeLeaseKeeper:
    """Return the keeper of a node's lease; `NodeLeaseKeeper.start` begins.

    Args:
        store: The object store.
        identity: Who holds the lease.
        clock: The process's clock.
        ttl: Time after which others take a silent holder for dead, in milliseconds.

    Since 0.1.
    """
    return NodeLeaseKeeper(store, identity, clock, ttl)
