"""Fault table of an apply; the scenarios stand in ``config_faults.feature``."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest
from pytest_bdd import given, parsers, scenarios, then, when
from returns.pipeline import is_successful

from carobspool_core import Caller, CallerRole, DesiredState, ManualClock, Organisation
from carobspool_node.configuration import (
    ConfigurationFollower,
    OutcomeUnknown,
    StoreDown,
    apply_state,
    history,
    make_follower,
)
from carobspool_standins.memory_store import FaultKind, FaultRule, MemoryObjects, MemoryStore

scenarios("config_faults.feature")

OPERATOR = Caller(id="ana", organisation="press", key_hashes=("f" * 64,), role=CallerRole.OPERATOR)
FIRST = DesiredState(organisations={"press": Organisation(name="press")}, callers={"ana": OPERATOR})
SECOND = DesiredState(
    organisations={"press": Organisation(name="press", weight=2.0)}, callers={"ana": OPERATOR}
)


@dataclass(slots=True)
class Site:
    """One store, the operator's entry and another process."""

    objects: MemoryObjects = field(default_factory=MemoryObjects)
    told: str = ""
    store: MemoryStore = field(init=False)
    entry: ConfigurationFollower = field(init=False)

    def __post_init__(self) -> None:
        self.store = MemoryStore(self.objects, "entry-1")
        self.entry = make_follower(self.store, ManualClock())

    def apply(self, base: int, state: DesiredState) -> str:
        """Apply and return what the operator is told."""
        result = apply_state(self.store, self.entry, base, state, "ana", "test", now=lambda: 1)
        if is_successful(result):
            return "accepted"
        names = {StoreDown: "refused", OutcomeUnknown: "unknown"}
        return names[type(result.failure())]

    def elsewhere(self) -> DesiredState:
        """Return the state at a process that starts now."""
        follower = make_follower(MemoryStore(self.objects, "entry-2"), ManualClock())
        follower.refresh().unwrap()
        return follower.state


@pytest.fixture
def site() -> Site:
    """Return a site without configuration."""
    return Site()


@given("an accepted configuration")
def accepted_configuration(site: Site) -> None:
    """Apply the first state."""
    assert site.apply(0, FIRST) == "accepted"


@given(parsers.parse("the store has the fault {fault} on {times:d} writes under {prefix}"))
def store_fault(site: Site, fault: str, times: int, prefix: str) -> None:
    """Arm the fault at the operator's entry."""
    site.store.inject(FaultRule(kind=FaultKind(fault), prefix=prefix, count=times))


@when("the operator applies a change")
def apply_change(site: Site) -> None:
    """Apply the second state on the first."""
    site.told = site.apply(1, SECOND)


@then(parsers.parse("the operator is told {told}"))
def operator_told(site: Site, told: str) -> None:
    """Check what the operator was told."""
    assert site.told == told


@then(parsers.parse("another process has the change: {in_force}"))
def in_force_elsewhere(site: Site, in_force: str) -> None:
    """Check what a process that starts now has."""
    wanted = SECOND if in_force == "yes" else FIRST
    assert site.elsewhere().organisations == wanted.organisations


@then("the same apply given again is in force once")
def applied_again(site: Site) -> None:
    """Give the apply again, on the same base, and count revisions."""
    assert site.apply(1, SECOND) == "accepted"
    assert site.elsewhere().organisations == SECOND.organisations
    numbers = [revision.number for revision in history(site.store, 0, 10).unwrap()]
    assert numbers == [1, 2]
