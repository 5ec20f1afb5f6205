"""Tests request limits that many entries enforce jointly."""

from __future__ import annotations

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from limits_model import Fleet, poisson
from relayed_limits_model import RelayedFleet

from carobspool_core.hint_relays import _relay_plan
from carobspool_core.organisations import KnownPeer, RateLimit, RequestLimits
from carobspool_core.organisations._peer_counts import organisation_key
from carobspool_core.organisations._request_limits import (
    DIRECT_HINT_TIME,
    MAX_DEBT_TIME,
    REDUCED_REFILL,
    SILENT_SHARE_HELD_FOR,
)

LARGE = RateLimit(per_second=39.0, burst=39.0)
SMALL = RateLimit(per_second=2.0, burst=2.0)
DEMAND_FACTOR = 8.0
"""Request rate of a hot organisation as a multiple of its limit."""


def _one_entry(limit: RateLimit) -> RequestLimits:
    limits = RequestLimits(0.0)
    limits.configure({"o": limit}, 0.0)
    return limits


def _admit_all(limits: RequestLimits, now: float) -> int:
    admitted = 0
    while limits.admit("o", now).granted:
        admitted += 1
    return admitted


def test_a_single_entry_admits_the_burst_and_then_the_rate() -> None:
    limits = _one_entry(RateLimit(per_second=10.0, burst=20.0))
    # One token more than the burst is the allowance for the delay of hints.
    assert _admit_all(limits, 60_000.0) == 21
    assert _admit_all(limits, 61_000.0) == 10


def test_a_refused_caller_is_told_when_the_next_token_comes() -> None:
    limits = _one_entry(RateLimit(per_second=10.0, burst=5.0))
    _admit_all(limits, 60_000.0)
    wait = limits.admit("o", 60_000.0).retry_after
    assert 0.0 < wait <= 100.0
    assert not limits.admit("o", 60_000.0 + wait - 1.0).granted
    assert limits.admit("o", 60_000.0 + wait + 1.0).granted


def test_the_token_of_a_request_that_no_upstream_ran_is_refunded() -> None:
    limits = _one_entry(RateLimit(per_second=1.0, burst=1.0))
    assert _admit_all(limits, 60_000.0) == 2
    limits.refund("o", 60_000.0)
    assert limits.admit("o", 60_000.0).granted


def test_an_organisation_without_a_limit_is_never_refused() -> None:
    limits = _one_entry(SMALL)
    assert all(limits.admit("other", 60_000.0).granted for _ in range(1_000))


def test_a_raised_burst_can_be_used_at_once() -> None:
    limits = _one_entry(RateLimit(per_second=1.0, burst=2.0))
    _admit_all(limits, 60_000.0)
    limits.configure({"o": RateLimit(per_second=1.0, burst=12.0)}, 60_000.0)
    assert _admit_all(limits, 60_000.0) == 10


def test_a_lowered_limit_holds_at_once() -> None:
    limits = _one_entry(RateLimit(per_second=100.0, burst=100.0))
    limits.admit("o", 60_000.0)
    limits.configure({"o": RateLimit(per_second=1.0, burst=3.0)}, 60_000.0)
    assert _admit_all(limits, 60_000.0) == 4


def test_a_peer_count_that_is_received_repeatedly_is_charged_once() -> None:
    """Hints are duplicated and counts resent; charging twice refuses requests below the limit."""
    limits = _one_entry(RateLimit(per_second=10.0, burst=10.0))
    key = organisation_key("o")
    limits.apply_peer_counts("e2", "1", {key: 0}, 60_000.0)
    for _ in range(3):
        limits.apply_peer_counts("e2", "1", {key: 6}, 60_000.0)
    assert _admit_all(limits, 60_000.0) == 5


def test_a_jump_of_a_peer_count_causes_bounded_debt() -> None:
    """A wrong count would otherwise refuse all requests of an organisation for hours."""
    limits = _one_entry(RateLimit(per_second=1.0, burst=1.0))
    key = organisation_key("o")
    limits.apply_peer_counts("e2", "1", {key: 0}, 60_000.0)
    limits.apply_peer_counts("e2", "1", {key: 30_000}, 60_000.0)
    assert limits.admit("o", 60_000.0 + MAX_DEBT_TIME + 2_001.0).granted


def test_the_share_of_a_silent_entry_is_withheld_for_a_limited_time() -> None:
    """Each side of a network partition would otherwise admit the whole limit."""
    limits = _one_entry(RateLimit(per_second=10.0, burst=100.0))
    limits.update_peers([KnownPeer(name="e2", last_heard_at=60_000.0)], 60_000.0)
    limits.admit("o", 60_000.0)
    limits.update_peers([KnownPeer(name="e2", last_heard_at=60_000.0)], 61_000.0)
    assert 49 <= _admit_all(limits, 61_000.0) <= 51
    later = 60_000.0 + SILENT_SHARE_HELD_FOR + 1.0
    limits.update_peers([KnownPeer(name="e2", last_heard_at=60_000.0)], later)
    assert limits.entry_count == 1


def test_no_share_is_withheld_for_an_entry_that_shuts_down() -> None:
    limits = _one_entry(SMALL)
    limits.update_peers([KnownPeer(name="e2", last_heard_at=60_000.0, leaving=True)], 62_000.0)
    assert limits.entry_count == 1


def test_no_state_is_kept_for_idle_organisations() -> None:
    limits = _one_entry(SMALL)
    limits.admit("o", 1_000.0)
    limits.drop_idle(60_000.0, idle=30_000.0)
    assert not limits._buckets
    assert not limits._changed_at


def _hot_arrivals(
    entries: int, *, seed: int, at: list[int] | None = None
) -> list[tuple[float, int, str]]:
    numbers = range(entries) if at is None else at
    rate = LARGE.per_second * DEMAND_FACTOR
    return poisson(seed, rate, 12_000.0, numbers, "hot")


@pytest.mark.parametrize("entries", [1, 3, 23])
@pytest.mark.parametrize("spread", ["one", "all"])
def test_a_hot_organisation_stays_within_its_limit(entries: int, spread: str) -> None:
    fleet = Fleet(entries, {"hot": LARGE})
    fleet.run(3_000.0)
    fleet.run(12_000.0, _hot_arrivals(entries, seed=3, at=[0] if spread == "one" else None))
    assert fleet.worst_window("hot") <= fleet.bound("hot")
    # The organisation receives the rate that its limit allows.
    assert len(fleet.admitted["hot"]) >= REDUCED_REFILL * LARGE.per_second * 12.0


def test_a_network_partition_does_not_double_a_limit() -> None:
    """Neither side learns of the requests that the other admits."""
    fleet = Fleet(12, {"hot": LARGE})
    fleet.run(3_000.0)
    arrivals = _hot_arrivals(12, seed=5)
    fleet.run(3_000.0, arrivals)
    fleet.partition({number: number % 2 for number in range(12)})
    fleet.run(8_000.0, _hot_arrivals(12, seed=6))
    fleet.partition({})
    fleet.run(6_000.0, _hot_arrivals(12, seed=7))
    assert fleet.worst_window("hot") <= fleet.bound("hot")


def test_a_restart_of_all_entries_does_not_grant_the_burst_again() -> None:
    """No process is left that knows which tokens were used just before the restart."""
    limit = RateLimit(per_second=10.0, burst=60.0)
    fleet = Fleet(12, {"hot": limit})
    fleet.run(8_000.0)
    fleet.run(1_000.0, poisson(1, 200.0, 1_000.0, range(12), "hot"))
    for number in range(12):
        fleet.restart(number, 500.0)
    fleet.run(5_000.0, poisson(2, 200.0, 5_000.0, range(12), "hot"))
    assert fleet.worst_window("hot") <= fleet.bound("hot")


def test_quiet_organisations_are_served_after_a_restart_of_all_entries() -> None:
    """Callers that got no answer during the restart retry at the first entries that are back."""
    fleet = Fleet(24, {"quiet": RateLimit(per_second=5.0, burst=5.0)})
    fleet.run(5_000.0)
    for number in range(24):
        fleet.restart(number, 700.0 if number < 6 else 1_500.0)
    fleet.run(900.0)
    fleet.run(1_500.0, [(30.0 + 200.0 * each, each % 6, "quiet") for each in range(6)])
    assert fleet.refused["quiet"] <= 2


def test_a_resumed_entry_does_not_admit_the_whole_limit_alone() -> None:
    """During the pause its bucket has refilled, and it has received no counts from its peers."""
    fleet = Fleet(6, {"hot": RateLimit(per_second=20.0, burst=60.0)})
    fleet.run(5_000.0)
    fleet.freeze(0, 4_000.0)
    fleet.run(3_990.0, poisson(1, 160.0, 3_990.0, range(6), "hot"))
    fleet.run(4_000.0, poisson(2, 160.0, 4_000.0, [0], "hot"))
    assert fleet.worst_window("hot") <= fleet.bound("hot")


@pytest.mark.parametrize("limit", [SMALL, LARGE], ids=["small", "large"])
def test_an_organisation_below_its_limit_is_not_refused(limit: RateLimit) -> None:
    """Each request reaches one of two dozen entries; equal shares would refuse nearly all."""
    fleet = Fleet(23, {"quiet": limit})
    fleet.run(3_000.0)
    step = 1_000.0 / (0.9 * limit.per_second)
    arrivals = [(number * step, (number * 7) % 23, "quiet") for number in range(int(15_000 / step))]
    fleet.run(16_000.0, arrivals)
    assert fleet.refused["quiet"] == 0


def test_a_burst_within_the_limit_is_admitted_completely() -> None:
    fleet = Fleet(23, {"quiet": LARGE})
    fleet.run(3_000.0)
    fleet.run(1_000.0, [(5.0 * each, each % 23, "quiet") for each in range(int(LARGE.burst))])
    assert fleet.refused["quiet"] == 0


_FAULTS = st.lists(
    st.tuples(
        st.sampled_from(["cut", "heal", "restart", "freeze", "restart_all"]),
        st.integers(0, 5),
        st.floats(100.0, 2_500.0),
    ),
    max_size=6,
)


_CUT_AND_RESTART_ALL = [
    ("cut", 0, 1106.0),
    ("restart_all", 0, 100.0),
    ("cut", 0, 100.0),
    ("cut", 2, 100.0),
    ("restart", 0, 100.0),
]
_TWO_RESTARTS_OF_ALL = [
    ("cut", 0, 996.0),
    ("restart_all", 0, 896.0),
    ("restart_all", 0, 131.0),
]
_CUT_AND_RESTART = [("cut", 0, 2402.19408514563), ("restart", 0, 100.96665923330521)]
_CUT_AND_RESTART_LATER = [
    ("cut", 1, 491.96332730915435),
    ("heal", 4, 381.51301811467533),
    ("restart_all", 3, 1194.350900033448),
    ("heal", 4, 2142.062593984721),
]


def _play_faults(fleet: Fleet, faults: list[tuple[str, int, float]], seed: int) -> None:
    """Let the faults occur in turn while an organisation sends eight times its limit."""
    numbers = range(len(fleet.entries))
    for number, (kind, entry, pause) in enumerate(faults):
        if kind == "cut":
            fleet.partition({each: int(each <= entry) for each in numbers})
        elif kind == "heal":
            fleet.partition({})
        elif kind == "restart":
            fleet.restart(entry, 600.0)
        elif kind == "freeze":
            fleet.freeze(entry, pause)
        else:
            for each in numbers:
                fleet.restart(each, 600.0)
        rate = LARGE.per_second * DEMAND_FACTOR
        fleet.run(pause, poisson(seed + number, rate, pause, numbers, "hot"))
    fleet.run(3_000.0, poisson(seed, LARGE.per_second * DEMAND_FACTOR, 3_000.0, numbers, "hot"))


@settings(max_examples=40, deadline=None)
@example(faults=_CUT_AND_RESTART_ALL, seed=0, loss=0.0)
@example(faults=_TWO_RESTARTS_OF_ALL, seed=1, loss=0.0)
@example(faults=[("cut", 0, 100.0), ("cut", 1, 1356.0)], seed=1, loss=0.02)
@example(
    faults=[("cut", 0, 100.0), ("cut", 0, 100.0), ("cut", 0, 1451.0)],
    seed=102,
    loss=0.0,
)
@given(faults=_FAULTS, seed=st.integers(0, 1_000), loss=st.sampled_from([0.0, 0.02, 0.1]))
def test_the_limit_holds_through_partitions_restarts_and_pauses(
    faults: list[tuple[str, int, float]], seed: int, loss: float
) -> None:
    """Up to six faults occur in turn while an organisation sends eight times its limit."""
    fleet = Fleet(6, {"hot": LARGE}, seed=seed, loss=loss, delay=40.0)
    fleet.run(3_000.0)
    _play_faults(fleet, faults, seed)
    assert fleet.worst_window("hot") <= fleet.bound("hot")


def test_changes_go_directly_to_all_entries_before_an_organisation_is_hot() -> None:
    """A limit would be exceeded by the requests that entries admit before they know of each other.

    A small organisation below its limit must not keep relays from being used.
    """
    large, small = _one_entry(LARGE), _one_entry(RateLimit(per_second=15.0, burst=15.0))
    for _ in range(3):
        assert not large.needs_direct_hints(60_000.0)
        large.admit("o", 60_000.0)
        small.admit("o", 60_000.0)
    assert large.needs_direct_hints(60_000.0)
    assert not large.has_hot_organisation(60_000.0)
    assert not small.needs_direct_hints(60_000.0)
    assert not large.needs_direct_hints(60_000.0 + DIRECT_HINT_TIME)
    _admit_all(small, 60_001.0)
    assert small.needs_direct_hints(60_001.0)


def test_a_hot_organisation_stays_within_its_limit_with_relays() -> None:
    """Counts that relays delay or drop would let each domain admit the whole limit."""
    fleet = RelayedFleet(24, {"hot": LARGE}, domains=4)
    fleet.run(3_000.0)
    assert len(fleet.relays()) == 4
    fleet.run(12_000.0, _hot_arrivals(24, seed=3))
    assert fleet.worst_window("hot") <= fleet.bound("hot")
    assert len(fleet.admitted["hot"]) >= REDUCED_REFILL * LARGE.per_second * 12.0
    assert fleet.relayed_count > 1_000


@settings(max_examples=20, deadline=None)
@example(faults=_CUT_AND_RESTART_ALL, seed=0, loss=0.0)
@example(faults=_TWO_RESTARTS_OF_ALL, seed=1, loss=0.02)
@example(faults=[("freeze", each, 1_000.0) for each in range(6)], seed=2, loss=0.1)
@example(faults=_CUT_AND_RESTART, seed=180, loss=0.1)
@example(faults=_CUT_AND_RESTART_LATER, seed=690, loss=0.0)
@given(faults=_FAULTS, seed=st.integers(0, 1_000), loss=st.sampled_from([0.0, 0.02, 0.1]))
def test_the_limit_holds_with_relays_through_partitions_restarts_and_pauses(
    faults: list[tuple[str, int, float]], seed: int, loss: float
) -> None:
    """The faults also hit the relays of two domains of three entries, and cuts divide domains."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(_relay_plan, "MIN_ENTRIES", 6)
        fleet = RelayedFleet(6, {"hot": LARGE}, domains=2, seed=seed, loss=loss, delay=40.0)
        fleet.run(3_000.0)
        assert fleet.relays()
        _play_faults(fleet, faults, seed)
    assert fleet.worst_window("hot") <= fleet.bound("hot")
