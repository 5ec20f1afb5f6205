"""A sidecar's right to give orders to its engine, kept in the object store.

See ``carobspool_core._order_epochs`` for why it is enough.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import StrEnum

from absl import logging
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from carobspool_core import (
    Clock,
    EpochRecord,
    Fence,
    Millis,
    ObjectStore,
    StoredObject,
    StoreFailure,
    StoreFault,
    epoch_from_json,
    epoch_to_json,
    takeover_delay,
)
from carobspool_node.roles import OrderSettings

EPOCHS_PREFIX = "epochs/"


class RightFault(StrEnum):
    """Why no order may be given now."""

    UNREADABLE = "unreadable"
    SUPERSEDED = "superseded"
    WAITING = "waiting"


@dataclass(frozen=True, slots=True, kw_only=True)
class RightError:
    """No order may be given now.

    Attributes:
        fault: ``UNREADABLE``: the store gave no answer. ``SUPERSEDED``: another process holds the
            right, and this one never takes it back. ``WAITING``: an order of the holder before may
            still be under way.
        detail: For logs.

    Since 0.1.
    """

    fault: RightFault
    detail: str = ""


class OrderRight:
    """One process's right to give orders to one upstream.

    Used by one thread.

    Since 0.1.
    """

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        upstream: str,
        node: str,
        incarnation: str,
        settings: OrderSettings,
    ) -> None:
        self._store = store
        self._clock = clock
        self._key = f"{EPOCHS_PREFIX}{upstream}"
        self._node = node
        self._incarnation = incarnation
        self._settings = settings
        self._record: EpochRecord | None = None
        self._version = 0
        self._sequence = 0
        self._lease_end: Millis = 0.0
        self._quiet_until: Millis = 0.0
        self._superseded = False

    @property
    def epoch(self) -> int:
        """The epoch held, 0 without one."""
        return self._record.epoch if self._record and not self._superseded else 0

    @property
    def superseded(self) -> bool:
        """Whether another process has taken the right."""
        return self._superseded

    def next_fence(self) -> Fence:
        """Return the fencing number of the next order."""
        self._sequence += 1
        return Fence(self.epoch, self._sequence)

    def confirm(self, *, checks_fencing: bool) -> Result[None, RightError]:
        """Make sure that orders may be given now, by a conditional write where one is due.

        Args:
            checks_fencing: Whether the engine refuses old fencing numbers. Then the epoch alone is
                enough, and orders go on through an outage of the store.
        """
        if self._superseded:
            return Failure(RightError(fault=RightFault.SUPERSEDED))
        if self._record is None:
            taken = self._take(0)
            if not is_successful(taken):
                return taken
        if checks_fencing:
            return Success(None)
        if self._clock.now() < self._quiet_until:
            left = self._quiet_until - self._clock.now()
            return Failure(RightError(fault=RightFault.WAITING, detail=f"{left:.0f} ms"))
        if self.in_lease():
            return Success(None)
        return self._renew()

    def in_lease(self) -> bool:
        """Return whether the lease has not ended by this process's own clock.

        To be asked right before an order is sent: the process may have been paused since the lease
        was confirmed, while a successor took over.
        """
        return not self._superseded and self._clock.now() < self._lease_end

    def recheck(self) -> Result[None, RightError]:
        """Read after an order whether the right is still held."""
        stored = self._read()
        if not is_successful(stored):
            return Failure(stored.failure())
        present = stored.unwrap()
        if present is not None and self._is_own(present):
            return Success(None)
        return self._lose()

    def advance_over(self, fence: Fence) -> Result[None, RightError]:
        """Take a new epoch above one that the engine has seen, if the right is still held here."""
        held = self.recheck()
        if not is_successful(held):
            return held
        return self._take(fence.epoch)

    def release(self) -> None:
        """Give the right back, so that a successor need not wait. No order may be under way."""
        record = self._record
        if record is None or self._superseded:
            return
        value = epoch_to_json(replace(record, released=True))
        self._store.update(self._key, value, version=self._version)
        self._lose()

    def _take(self, above: int) -> Result[None, RightError]:
        stored = self._read()
        if not is_successful(stored):
            return Failure(stored.failure())
        present = stored.unwrap()
        previous = epoch_from_json(present.value).value_or(None) if present else None
        if present is not None and previous is None:
            return _unreadable(f"{self._key} holds no epoch record")
        record = EpochRecord(
            epoch=max(previous.epoch if previous else 0, above) + 1,
            holder=self._node,
            incarnation=self._incarnation,
            lease_ttl=self._settings.lease_ttl,
            order_timeout=self._settings.timeout,
        )
        asked = self._clock.now()
        written = self._write(present, record)
        if not is_successful(written):
            return Failure(_write_error(written.failure()))
        own = previous is not None and previous.incarnation == self._incarnation
        self._hold(record, written.unwrap(), asked)
        if not own:
            self._quiet_until = self._clock.now() + takeover_delay(previous)
        logging.info("event=order_epoch_taken upstream_key=%s epoch=%d", self._key, record.epoch)
        return Success(None)

    def _renew(self, *, resumed: bool = False) -> Result[None, RightError]:
        record = self._record
        assert record is not None
        # The lease starts before the write: its answer may be late, and a successor's write that
        # follows ours in the store is then still later than this instant.
        asked = self._clock.now()
        value = epoch_to_json(record)
        result = self._store.update(self._key, value, version=self._version)
        if is_successful(result):
            self._hold(record, result.unwrap(), asked)
            return Success(None)
        if result.failure().fault is StoreFault.CONFLICT and not resumed:
            return self._resume_or_lose()
        return Failure(_write_error(result.failure()))

    def _resume_or_lose(self) -> Result[None, RightError]:
        """Tell another's write from an own one whose answer was lost."""
        stored = self._read()
        if not is_successful(stored):
            return Failure(stored.failure())
        present = stored.unwrap()
        if present is None or not self._is_own(present):
            return self._lose()
        self._version = present.version
        return self._renew(resumed=True)

    def _read(self) -> Result[StoredObject | None, RightError]:
        found = self._store.get(self._key)
        if is_successful(found):
            return Success(found.unwrap())
        if found.failure().fault is StoreFault.NOT_FOUND:
            return Success(None)
        return Failure(_write_error(found.failure()))

    def _write(
        self, present: StoredObject | None, record: EpochRecord
    ) -> Result[StoredObject, StoreFailure]:
        value = epoch_to_json(record)
        if present is None:
            return self._store.create(self._key, value)
        return self._store.update(self._key, value, version=present.version)

    def _hold(self, record: EpochRecord, stored: StoredObject, asked: Millis) -> None:
        if self._record is None or self._record.epoch != record.epoch:
            self._sequence = 0
        self._record = record
        self._version = stored.version
        self._lease_end = asked + self._settings.lease_ttl

    def _is_own(self, present: StoredObject) -> bool:
        standing = epoch_from_json(present.value).value_or(None)
        if standing is None or self._record is None:
            return False
        same = (standing.epoch, standing.incarnation)
        return same == (self._record.epoch, self._incarnation)

    def _lose(self) -> Result[None, RightError]:
        self._superseded = True
        self._lease_end = 0.0
        return Failure(RightError(fault=RightFault.SUPERSEDED))


def _write_error(failure: StoreFailure) -> RightError:
    detail = f"{failure.key}: {failure.fault} {failure.detail}".rstrip()
    return RightError(fault=RightFault.UNREADABLE, detail=detail)


def _unreadable(detail: str) -> Result[None, RightError]:
    return Failure(RightError(fault=RightFault.UNREADABLE, detail=detail))
