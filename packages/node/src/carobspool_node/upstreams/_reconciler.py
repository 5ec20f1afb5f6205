"""Makes an engine run what is declared: read it, give one order, read it again, for ever."""

from __future__ import annotations

import threading
from collections.abc import Callable

from absl import logging
from returns.pipeline import is_successful

from carobspool_core import (
    Clock,
    DeclaredEngine,
    EngineControl,
    EngineOrder,
    EngineState,
    Millis,
    ObjectStore,
    OrderFailure,
    OrderFault,
    describe_differences,
    next_order,
)
from carobspool_node.roles import OrderSettings
from carobspool_node.upstreams._engine_status import EngineStatus
from carobspool_node.upstreams._order_right import OrderRight, RightError, RightFault

FIRST_BACKOFF: Millis = 500.0
LAST_BACKOFF: Millis = 30_000.0
REPEATS_AT_ONCE = 2
"""Times that one order is given in a row before it is slowed down.

An engine that accepts an order and does not do it would otherwise be ordered for ever, and each
load takes its share of the weight store's rate.
"""


class Reconciler:
    """The state of the loop; `step` runs on one thread, `status` may be read by any.

    Since 0.1.
    """

    def __init__(
        self,
        engine: EngineControl,
        right: OrderRight,
        clock: Clock,
        settings: OrderSettings,
        declared: Callable[[], DeclaredEngine | None],
        refresh: Callable[[], bool],
    ) -> None:
        self._engine = engine
        self._right = right
        self._clock = clock
        self._settings = settings
        self._declared = declared
        self._refresh = refresh
        self._status = EngineStatus()
        self._last: EngineOrder | None = None
        self._repeats = 0
        self._not_before: Millis = 0.0
        self._order_trouble = ""

    @property
    def status(self) -> EngineStatus:
        """What the last step found."""
        return self._status

    @property
    def superseded(self) -> bool:
        """Whether another process gives the orders; this one never does again."""
        return self._right.superseded

    def step(self) -> EngineOrder | None:
        """Read the engine and give at most one order.

        Returns:
            The order that was sent, or ``None``.
        """
        order = self._wanted()
        if order is None:
            return None
        if self._right.superseded:
            self._repeat(trouble=str(RightFault.SUPERSEDED))
            return None
        if self._clock.now() < self._not_before:
            return None
        if self._needs_refresh():
            # A process that was paused may hold an old configuration. Its order would undo what its
            # successor made true, so the configuration is read before the right is taken or the
            # lease renewed, and the order is chosen again.
            if not self._refresh():
                self._repeat(trouble="configuration not confirmed")
                return None
            if self._wanted() is None:
                return None
        confirmed = self._right.confirm(checks_fencing=self._checks_fencing())
        if not is_successful(confirmed):
            self._repeat(trouble=_words(confirmed.failure()))
            return None
        # Chosen once more: confirming may have taken long, and brought a newer configuration.
        order = self._wanted()
        if order is None:
            return None
        return order if self._send(order) else None

    def release(self) -> None:
        """Give the right to order back; only when no step is running."""
        self._right.release()

    def _wanted(self) -> EngineOrder | None:
        declared = self._declared()
        read = self._engine.read_state()
        if not is_successful(read):
            failure = read.failure()
            self._report(
                declared=declared, actual=None, trouble=f"{failure.fault} {failure.detail}"
            )
            return None
        actual = read.unwrap()
        order = next_order(declared, actual) if declared is not None else None
        if order is None:
            self._last = None
            self._not_before = 0.0
            self._order_trouble = ""
        self._report(declared=declared, actual=actual, trouble=self._order_trouble)
        return order

    def _needs_refresh(self) -> bool:
        if self._right.epoch == 0:
            return True
        return not self._checks_fencing() and not self._right.in_lease()

    def _send(self, order: EngineOrder) -> bool:
        fence = self._right.next_fence()
        # A pause after `confirm` may have outlasted the lease; a successor may have given orders
        # since. What remains is a pause between this line and the sending of the order: an engine
        # that checks fencing refuses it, and with others the successor's next reading repairs it.
        if not self._checks_fencing() and not self._right.in_lease():
            return False
        logging.info(
            "event=order kind=%s model=%s version=%s adapter=%s role=%s epoch=%d sequence=%d",
            order.kind,
            order.model,
            order.version,
            order.adapter,
            order.role,
            fence.epoch,
            fence.sequence,
        )
        result = self._engine.send_order(order, fence, timeout=self._settings.timeout)
        failure = None if is_successful(result) else result.failure()
        self._slow_down(order, failed=failure is not None)
        self._order_trouble = ""
        if failure is not None:
            self._failed(failure)
        self._check_still_held()
        return True

    def _failed(self, failure: OrderFailure) -> None:
        logging.warning("event=order_failed fault=%s detail=%r", failure.fault, failure.detail)
        self._order_trouble = f"{failure.fault} {failure.detail}"
        self._repeat(trouble=self._order_trouble)
        if failure.fault is OrderFault.OLD_FENCE and failure.fence is not None:
            self._right.advance_over(failure.fence)

    def _check_still_held(self) -> None:
        held = self._right.recheck()
        if is_successful(held) or held.failure().fault is not RightFault.SUPERSEDED:
            return
        logging.error("event=order_right_lost epoch=%d", self._right.epoch)
        self._repeat(trouble=_words(held.failure()))

    def _slow_down(self, order: EngineOrder, *, failed: bool) -> None:
        self._repeats = self._repeats + 1 if order == self._last else 1
        self._last = order
        if not failed and self._repeats <= REPEATS_AT_ONCE:
            self._not_before = 0.0
            return
        exponent = min(self._repeats - 1, 16)
        pause = min(LAST_BACKOFF, FIRST_BACKOFF * 2.0**exponent)
        self._not_before = self._clock.now() + pause

    def _checks_fencing(self) -> bool:
        declared = self._declared()
        return declared is not None and declared.checks_fencing

    def _repeat(self, *, trouble: str) -> None:
        """Report the last reading again, with a trouble met since."""
        last = self._status
        self._report(declared=last.declared, actual=last.actual, trouble=trouble)

    def _report(
        self, *, declared: DeclaredEngine | None, actual: EngineState | None, trouble: str
    ) -> None:
        before = self._status
        found: tuple[str, ...] = ()
        if declared is not None and actual is not None:
            found = describe_differences(declared, actual)
        same = found == before.differences and (actual is None) == (before.actual is None)
        self._status = EngineStatus(
            declared=declared,
            actual=actual,
            differences=found,
            since=before.since if same else self._clock.now(),
            epoch=self._right.epoch,
            trouble=trouble,
        )


def make_reconciler(
    *,
    store: ObjectStore,
    engine: EngineControl,
    clock: Clock,
    host: str,
    node: str,
    incarnation: str,
    settings: OrderSettings,
    declared: Callable[[], DeclaredEngine | None],
    refresh: Callable[[], bool],
) -> Reconciler:
    """Return the reconciler of one engine.

    Args:
        store: The object store, for the right to give orders.
        engine: The engine.
        clock: The process's clock.
        host: The upstream's host.
        node: Name of this process.
        incarnation: Random id of this process.
        settings: Lease, time limit and pace of orders.
        declared: Returns what the engine should run now.
        refresh: Reads the configuration from the store; returns whether it could.

    Since 0.1.
    """
    right = OrderRight(store, clock, host, node, incarnation, settings)
    return Reconciler(engine, right, clock, settings, declared, refresh)


def run_reconciler(
    reconciler: Reconciler,
    stop: threading.Event,
    changed: threading.Event,
    pause: Millis,
    *,
    after_step: Callable[[], None] = lambda: None,
) -> None:
    """Step until ``stop`` is set, at once after an order and otherwise at a steady pace.

    Runs on a thread of its own.

    Args:
        reconciler: The reconciler.
        stop: Ends the loop.
        changed: Set by a new configuration or at the stop, to step without waiting.
        pause: Milliseconds between steps that had nothing to order.
        after_step: Called after each step, to pass on what is ready.

    Since 0.1.
    """
    while not stop.is_set():
        changed.clear()
        ordered = reconciler.step()
        after_step()
        if ordered is None:
            changed.wait(pause / 1000.0)
    reconciler.release()


def _words(error: RightError) -> str:
    return f"{error.fault} {error.detail}".rstrip()
