"""Shares of services in the runs of one entry."""

from __future__ import annotations

import pytest

from carobspool_core.direct import may_begin_run, reserved_runs

LIMIT = 96


def test_a_service_without_slots_has_no_share() -> None:
    assert reserved_runs({"large": 500, "dead": 0}, LIMIT) == {"large": 48}


def test_a_share_is_bounded_by_the_slots_of_the_service() -> None:
    assert reserved_runs({"large": 500, "small": 4}, LIMIT) == {"large": 24, "small": 4}


def test_each_service_has_a_run_among_more_services_than_runs() -> None:
    slots = {f"s{number}": 8 for number in range(2 * LIMIT)}
    assert set(reserved_runs(slots, LIMIT).values()) == {1}


@pytest.mark.parametrize(
    ("service", "runs", "allowed"),
    [
        ("large", {"large": 91}, True),
        ("large", {"large": 92}, False),
        ("large", {"large": 92, "small": 3}, False),
        ("large", {"large": 91, "small": 4}, True),
        ("small", {"large": 92}, True),
        ("small", {"large": 95}, True),
        ("small", {"large": 96}, False),
        ("other", {"large": 91}, True),
        ("other", {"large": 92}, False),
    ],
)
def test_runs_that_others_can_always_have_stay_free(
    service: str, runs: dict[str, int], allowed: bool
) -> None:
    reserved = {"large": 24, "small": 4}
    assert may_begin_run(service, runs=runs, reserved=reserved, limit=LIMIT) is allowed
