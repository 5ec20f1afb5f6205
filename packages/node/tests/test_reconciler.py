"""Tests of the reconciler and of the right to give orders."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace

import pytest
from returns.result import Failure, Result, Success

from carobspool_core import (
    DeclaredEngine,
    EngineOrder,
    EngineOrderKind,
    EngineState,
    Fence,
    ManualClock,
    Millis,
    Model,
    OrderFailure,
    OrderFault,
    RunningModel,
)
from carobspool_node.roles._settings import OrderSettings
from carobspool_node.upstreams._reconciler import Reconciler, make_reconciler
from carobspool_standins.memory_store import FaultKind, FaultRule, MemoryObjects, MemoryStore

SETTINGS = OrderSettings(lease_ttl=15_000.0, timeout=60_000.0, check=2_000.0)
TAKE_OVER = SETTINGS.lease_ttl + SETTINGS.timeout


@dataclass(slots=True)
class Engine:
    """An engine that obeys, and checks fencing or not."""

    checks_fencing: bool = False
    now: EngineState = field(default_factory=lambda: EngineState(role="serve"))
    given: list[tuple[EngineOrder, Fence]] = field(default_factory=list)
    broken: OrderFault | None = None

    def read_state(self) -> Result[EngineState, OrderFailure]:
        """Return what runs."""
        return Success(self.now)

    def send_order(
        self, order: EngineOrder, fence: Fence, *, timeout: Millis
    ) -> Result[None, OrderFailure]:
        """Carry out a load, an unload or a role."""
        if self.broken is not None:
            return Failure(OrderFailure(fault=self.broken))
        if self.checks_fencing and fence < self.now.fence:
            return Failure(OrderFailure(fault=OrderFault.OLD_FENCE, fence=self.now.fence))
        self.given.append((order, fence))
        models = dict(self.now.models)
        if order.kind is EngineOrderKind.LOAD:
            models[order.model or ""] = RunningModel(version=order.version or "")
        if order.kind is EngineOrderKind.UNLOAD:
            models.pop(order.model or "", None)
        self.now = replace(self.now, models=models, fence=max(fence, self.now.fence))
        return Success(None)

    def version(self) -> str:
        """Return the version of the model that runs."""
        return self.now.models["m"].version


@dataclass(slots=True)
class Paused:
    """Runs a function between a sidecar's last check and the arrival of its order."""

    engine: Engine
    meanwhile: Callable[[], None] = lambda: None

    def read_state(self) -> Result[EngineState, OrderFailure]:
        """Return what runs."""
        return self.engine.read_state()

    def send_order(
        self, order: EngineOrder, fence: Fence, *, timeout: Millis
    ) -> Result[None, OrderFailure]:
        """Pause, then pass the order on."""
        self.meanwhile()
        return self.engine.send_order(order, fence, timeout=timeout)


class Site:
    """One engine, a store, and the sidecars that come before it."""

    def __init__(self, *, checks_fencing: bool = False) -> None:
        self.objects = MemoryObjects()
        self.clock = ManualClock()
        self.engine = Engine(checks_fencing=checks_fencing)
        self.store = MemoryStore(self.objects, "sidecar")
        self.wanted = self.declare("1")

    def declare(self, version: str) -> DeclaredEngine:
        """Return a declaration of one model."""
        return DeclaredEngine(
            models={"m": Model(name="m", version=version)},
            checks_fencing=self.engine.checks_fencing,
        )

    def sidecar(
        self,
        incarnation: str,
        engine: Paused | None = None,
        declared: Callable[[], DeclaredEngine] | None = None,
        refresh: Callable[[], bool] = lambda: True,
    ) -> Reconciler:
        """Return a sidecar process's reconciler."""
        return make_reconciler(
            store=self.store,
            engine=engine or self.engine,
            clock=self.clock,
            host="up-1",
            node="sidecar-1",
            incarnation=incarnation,
            settings=SETTINGS,
            declared=declared or (lambda: self.wanted),
            refresh=refresh,
        )

    def settle(self, sidecar: Reconciler) -> None:
        """Step past a take-over's wait until nothing is left to order."""
        sidecar.step()
        self.clock.advance(TAKE_OVER)
        while sidecar.step() is not None:
            continue


def test_declared_model_is_loaded_and_drift_is_repaired() -> None:
    """The engine comes to run what is declared, also after it restarted empty."""
    site = Site()
    sidecar = site.sidecar("a")
    assert sidecar.step() == EngineOrder(kind=EngineOrderKind.LOAD, model="m", version="1")
    assert sidecar.step() is None
    assert sidecar.status.ready_models == ("m",)
    site.engine.now = EngineState(role="serve")
    site.clock.advance(30_000.0)
    assert sidecar.step() is not None
    assert site.engine.version() == "1"
    assert [fence for _, fence in site.engine.given] == [Fence(1, 1), Fence(1, 2)]


def test_nothing_to_order_costs_no_call_of_the_store() -> None:
    """An engine that runs what is declared needs no right, no lease and no renewal."""
    site = Site()
    site.engine.now = EngineState(models={"m": RunningModel(version="1")}, role="serve")
    assert site.sidecar("a").step() is None
    assert site.store.calls == {}


@pytest.mark.parametrize(("checks_fencing", "waits"), [(True, False), (False, True)])
def test_successor_waits_for_an_engine_that_ignores_fencing(
    checks_fencing: bool, waits: bool
) -> None:
    """A sidecar is replaced without giving its right back.

    An order of the first may still be under way, so the second gives none until the first one's
    lease and longest order have passed; an engine that checks fencing needs no such wait.
    """
    site = Site(checks_fencing=checks_fencing)
    site.sidecar("a").step()
    site.wanted = site.declare("2")
    successor = site.sidecar("b")
    assert (successor.step() is None) is waits
    site.clock.advance(TAKE_OVER)
    successor.step()
    assert site.engine.version() == "2"


def test_released_right_is_taken_over_at_once() -> None:
    """A sidecar that ended in order leaves no wait behind."""
    site = Site()
    first = site.sidecar("a")
    first.step()
    first.release()
    site.wanted = site.declare("2")
    assert site.sidecar("b").step() is not None


def test_sidecar_that_wakes_after_its_lease_gives_no_order() -> None:
    """A sidecar is paused with an order in hand, before its last check.

    While it sleeps a successor takes over and makes the newer version run. The first wakes, finds
    its lease past and sends nothing; its next step finds that it was superseded.
    """
    site = Site()
    first = site.sidecar("a", declared=lambda: site.declare("1"))
    first.step()
    site.engine.now = EngineState(role="serve")
    second = site.sidecar("b")
    site.wanted = site.declare("2")
    site.settle(second)
    assert site.engine.version() == "2"
    assert first.step() is None
    assert first.superseded
    site.clock.advance(100_000.0)
    assert first.step() is None
    assert site.engine.version() == "2"


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_order_sent_by_a_sidecar_that_was_paused_is_undone(checks_fencing: bool) -> None:
    """A sidecar is paused between its last check and the sending of an order for an old version.

    A successor takes over meanwhile and makes the newer version run. Then the old order arrives. An
    engine that checks fencing refuses it. Another obeys, the first finds that it was superseded,
    and the successor reads the old version back and orders the declared one again.
    """
    site = Site(checks_fencing=checks_fencing)
    second = site.sidecar("b")

    def take_over() -> None:
        site.wanted = site.declare("2")
        site.settle(second)
        assert site.engine.version() == "2"

    paused = Paused(site.engine, take_over)
    first = site.sidecar("a", paused, declared=lambda: site.declare("1"))
    first.step()
    assert first.superseded
    assert site.engine.version() == ("2" if checks_fencing else "1")
    site.settle(second)
    assert site.engine.version() == "2"
    assert first.step() is None


def test_configuration_is_read_before_the_lease_is_renewed() -> None:
    """A sidecar that slept holds an old configuration, and must not order by it when it wakes."""
    site = Site()
    site.wanted = site.declare("2")
    known = {"version": "1"}

    def refresh() -> bool:
        known["version"] = "2"
        return True

    sidecar = site.sidecar("a", declared=lambda: site.declare(known["version"]), refresh=refresh)
    sidecar.step()
    assert [order.version for order, _ in site.engine.given] == ["2"]


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_sidecar_that_never_ordered_wakes_with_an_old_configuration(checks_fencing: bool) -> None:
    """A sidecar without epoch is paused; a successor makes a newer version run.

    When the first wakes it sees another version than it knows of. It must neither order its own
    back nor take the right from its successor: it reads the configuration, and all is as declared.
    """
    site = Site(checks_fencing=checks_fencing)
    known = {"version": "1"}

    def refresh() -> bool:
        known["version"] = "2"
        return True

    first = site.sidecar("a", declared=lambda: site.declare(known["version"]), refresh=refresh)
    site.wanted = site.declare("2")
    second = site.sidecar("b")
    site.settle(second)
    assert first.step() is None
    assert (site.engine.version(), len(site.engine.given)) == ("2", 1)
    assert second.step() is None
    assert not second.superseded


@pytest.mark.parametrize(("checks_fencing", "orders"), [(True, 1), (False, 0)])
def test_store_outage_stops_orders_only_without_fencing(checks_fencing: bool, orders: int) -> None:
    """During an outage a holder still orders an engine that checks fencing, no other."""
    site = Site(checks_fencing=checks_fencing)
    sidecar = site.sidecar("a")
    sidecar.step()
    site.engine.now = replace(site.engine.now, models={})
    site.engine.given.clear()
    site.store.outage = True
    site.clock.advance(SETTINGS.lease_ttl + 1)
    sidecar.step()
    assert len(site.engine.given) == orders


@pytest.mark.parametrize("kind", [FaultKind.UNKNOWN_AFTER, FaultKind.UNKNOWN_BEFORE])
def test_lost_answer_of_an_epoch_write_is_settled(kind: FaultKind) -> None:
    """A lost answer to a write of the epoch or the lease delays orders, and costs no right."""
    site = Site()
    site.store.inject(FaultRule(kind=kind, prefix="epochs/"))
    sidecar = site.sidecar("a")
    assert sidecar.step() is None
    assert sidecar.step() is not None
    site.clock.advance(SETTINGS.lease_ttl + 1)
    site.wanted = site.declare("2")
    site.store.inject(FaultRule(kind=kind, prefix="epochs/"))
    sidecar.step()
    sidecar.step()
    assert site.engine.version() == "2"
    assert not sidecar.superseded


def test_failing_orders_are_slowed_down() -> None:
    """A failing order is given again after growing pauses, and the trouble is told."""
    site = Site()
    sidecar = site.sidecar("a")
    site.engine.broken = OrderFault.FAILED
    sent = 0
    for _ in range(600):
        sent += sidecar.step() is not None
        site.clock.advance(100.0)
    assert sent < 10
    assert "failed" in sidecar.status.trouble
    assert sidecar.status.differences == ("m: declared 1, not loaded",)


def test_epoch_above_one_that_the_engine_saw() -> None:
    """An engine that saw a higher epoch than the store's gets orders under a still higher one."""
    site = Site(checks_fencing=True)
    site.engine.now = replace(site.engine.now, fence=Fence(7, 3))
    sidecar = site.sidecar("a")
    sidecar.step()
    site.clock.advance(60_000.0)
    sidecar.step()
    assert site.engine.given[0][1] == Fence(8, 1)
