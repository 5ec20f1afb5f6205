"""What a sidecar tells its entries of its load, at once or when it has moved to another band."""

from __future__ import annotations

import threading
from collections.abc import Callable

from carobspool_core import Clock, Load, Millis, SidecarState, make_load_reporter
from carobspool_node.links import EntryLinks
from carobspool_node.upstreams._scheduler import Scheduler

REPORT_POLL: Millis = 50.0
"""How often the load is looked at; a burst's entries learn of each other's part within this."""


class LoadReports:
    """The load of one sidecar.

    Args:
        links: The connected entries.
        scheduler: Counts what runs and waits.
        clock: This process's clock.
        state: Returns whether the sidecar takes new work.
        targets: Names of the service behind it, for a plain service.
        slots: Requests that the upstream runs side by side.
    """

    def __init__(
        self,
        links: EntryLinks,
        scheduler: Scheduler,
        clock: Clock,
        *,
        state: Callable[[], SidecarState],
        targets: tuple[str, ...],
        slots: int,
    ) -> None:
        self._links = links
        self._scheduler = scheduler
        self._clock = clock
        self._state = state
        self._targets = targets
        self._slots = slots
        self._revision = 0
        self._epoch = 0

    def set_targets(self, targets: tuple[str, ...], *, revision: int, epoch: int) -> None:
        """Tell what is ready at the upstream and which configuration is in force."""
        changed = (targets, revision, epoch) != (self._targets, self._revision, self._epoch)
        self._targets = targets
        self._revision = revision
        self._epoch = epoch
        if changed:
            self.push()

    def set_slots(self, slots: int) -> None:
        """Tell how many requests the upstream is declared to run side by side."""
        self._slots = slots

    def push(self) -> None:
        """Tell every entry now."""
        self._links.broadcast(self._load())

    def run(self, stopped: threading.Event) -> None:
        """Tell the load when it has moved to another band, within the budget for control."""
        reporter = make_load_reporter()
        while not stopped.wait(REPORT_POLL / 1000.0):
            count = len(self._links.connected)
            load = self._load()
            if count and reporter.record_if_due(load, count, self._clock.now()):
                self._links.broadcast(load)

    def _load(self) -> Load:
        snapshot = self._scheduler.snapshot()
        return Load(
            state=self._state(),
            running=snapshot.running_online + snapshot.running_batch,
            queued=snapshot.queued_online + snapshot.queued_batch,
            tokens=snapshot.tokens,
            slots=self._slots,
            batch_credits=self._scheduler.batch_credits(),
            targets=self._targets,
            revision=self._revision,
            first_token=round(snapshot.first_token_ewma, 1),
            fencing_epoch=self._epoch,
        )
