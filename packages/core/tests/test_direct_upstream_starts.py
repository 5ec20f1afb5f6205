"""Upstreams that restart under the same id, reported to an entry in any order."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carobspool_core.direct import (
    FailureReports,
    Upstream,
    UpstreamList,
    by_identity,
    by_instance,
    identity_of,
    latest_starts,
)


def _upstream(name: str, started: int, *, ready: bool = True) -> Upstream:
    return Upstream(
        instance=name,
        service="engine",
        address=("127.0.0.1", 1),
        failure_domain="z",
        slots=8,
        ready=ready,
        started=started,
    )


_updates = st.lists(
    st.tuples(st.sampled_from(["put", "replace", "remove"]), st.integers(1, 5)), max_size=12
)


@given(_updates)
def test_earlier_start_is_never_listed_again(updates: list[tuple[str, int]]) -> None:
    """Listings and watches report the starts of an upstream in any order. Once a later start is
    known, nothing is sent to an earlier one, even after the later one is removed. Each restart is
    returned once, however often it is reported."""
    known = UpstreamList()
    latest = 0
    for now, (kind, started) in enumerate(updates):
        restarted: list[Upstream] = []
        if kind == "put":
            restarted = known.put(_upstream("x", started))
        elif kind == "replace":
            restarted = known.replace([_upstream("x", started)], float(now))
        else:
            known.remove("x", float(now))
            continue
        assert [each.started for each in restarted] == ([started] if 0 < latest < started else [])
        latest = max(latest, started)
        assert all(each.started == latest for each in known.usable("engine", float(now)))


@pytest.mark.parametrize("by_listing", [True, False])
def test_known_start_replaces_an_unknown_one(by_listing: bool) -> None:
    """A server of the previous version registers without a start. Such a registration is replaced
    by any known start and does not replace one. After the known start is removed, the server is
    used again without a start."""

    def register(started: int) -> list[Upstream]:
        upstream = _upstream("x", started)
        return known.replace([upstream], 0.0) if by_listing else known.put(upstream)

    known = UpstreamList()
    assert register(0) == []
    assert [each.started for each in register(7)] == [7]
    assert register(0) == []
    assert [each.started for each in known.usable("engine", 0.0)] == [7]
    known.remove("x", 0.0)
    assert register(0) == []
    assert [each.started for each in known.usable("engine", 0.0)] == [0]
    assert register(6) == []


def test_new_start_replaces_a_lapsed_one() -> None:
    """The registration lapsed in an outage of the store, and the server has restarted meanwhile.
    Only its new start may be used."""
    known = UpstreamList()
    known.replace([_upstream("x", 1), _upstream("y", 1)], now=0.0)
    known.store_recovered(now=10_000.0)
    known.replace([], now=10_000.0)
    assert [each.started for each in known.replace([_upstream("x", 2)], now=10_100.0)] == [2]
    usable = {(each.instance, each.started) for each in known.usable("engine", 10_200.0)}
    assert usable == {("x", 2), ("y", 1)}
    assert known.identities() == {"x/2", "y/1"}


def test_missed_restart_changes_only_the_digest_of_starts() -> None:
    """Entries of the previous version compute only the digest without starts. It must stay the
    same, or entries of both versions would read the list again for as long as both run."""
    before, after = UpstreamList(), UpstreamList()
    before.put(_upstream("x", 1))
    after.put(_upstream("x", 2))
    assert before.digest() == after.digest()
    assert before.digest_of_starts() != after.digest_of_starts()


def test_failures_of_an_earlier_start_do_not_count_for_the_new_one() -> None:
    reports = FailureReports()
    earlier, now = identity_of("x", 1), identity_of("x", 2)
    reports.update_peer("peer", {earlier: 0}, 0.0)
    reports.record_failure(earlier, 10.0)
    reports.update_peer("peer", {earlier: 5}, 20.0)
    assert reports.upstreams_to_avoid(30.0) == {earlier}
    reports.update_peer("peer", {now: 1}, 40.0)
    assert reports.upstreams_to_avoid(50.0) == {earlier}


def test_mappings_by_instance_hold_the_latest_start_of_each_upstream() -> None:
    values = {identity_of("x", 1): "old", identity_of("x", 2): "new", identity_of("y", 0): "bare"}
    starts = latest_starts(values)
    values_by_id = by_instance(values, starts)
    assert (starts, values_by_id) == ({"x": 2, "y": 0}, {"x": "new", "y": "bare"})
    assert by_identity(values_by_id, starts) == {"x/2": "new", "y": "bare"}
