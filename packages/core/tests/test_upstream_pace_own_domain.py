"""Own failure domain first: exact limits of the preference. No network, no clock."""

from __future__ import annotations

import random
from functools import partial

import pytest

from carobspool_core.direct import BatchUrgency, Load, Upstream, choose_batch_upstream
from carobspool_core.direct import choose_upstream as by_slots
from carobspool_core.upstream_pace import OwnDomainFirst


def _upstream(name: str, domain: str) -> Upstream:
    return Upstream(
        instance=name,
        service="engine",
        address=("127.0.0.1", 1),
        failure_domain=domain,
        slots=8,
        ready=True,
    )


POOL = [_upstream("own", "a"), _upstream("other", "b")]


@pytest.mark.parametrize(
    ("own", "other", "suspects", "expected"),
    [
        (1, 0, (), "own"),
        (2, 0, (), "other"),
        (7, 6, (), "own"),
        (7, 5, (), "other"),
        (8, 7, (), "other"),
        (8, 8, (), "own"),
        (0, 0, ("own",), "other"),
    ],
)
def test_own_domain_is_left_for_a_full_stopped_or_busier_upstream(
    own: int, other: int, suspects: tuple[str, ...], expected: str
) -> None:
    """Guards against requests that wait, or fail, for the sake of staying in the domain."""
    loads = {"own": Load(own), "other": Load(other)}
    choose = partial(
        by_slots,
        loads=loads,
        failure_domain="a",
        queue_limit_of=lambda _: 6,
        suspects=frozenset(suspects),
        draw=random.Random(1),
    )
    chosen = OwnDomainFirst("a").choose_online(
        POOL, loads, suspects=frozenset(suspects), choose=choose
    )
    assert chosen is not None
    assert chosen.instance == expected


@pytest.mark.parametrize(("own", "expected"), [(2, "own"), (3, "other"), (6, "other")])
def test_batch_items_leave_the_domain_for_more_than_two_slots(own: int, expected: str) -> None:
    """Guards against batch items that crowd the own domain while other domains are idle."""
    loads = {"own": Load(0, own)}
    choose = partial(choose_batch_upstream, loads=loads, urgency=BatchUrgency.ORDINARY)
    chosen = OwnDomainFirst("a").choose_batch(POOL, loads, choose=choose)
    assert chosen is not None
    assert chosen.instance == expected
