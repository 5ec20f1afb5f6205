"""Running totals of requests in flight, compared with the sum of all reported loads."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from hypothesis import given
from hypothesis import strategies as st

from carobspool_core.direct import NO_LOAD, PEER_LOAD_TTL, FleetLoads, Load

PEERS = ("e1", "e2", "e3")
UPSTREAMS = ("u", "u/1", "v")
COUNTS = st.integers(0, 9)
LOADS = st.dictionaries(st.sampled_from(UPSTREAMS), st.builds(Load, COUNTS, COUNTS))


@dataclass(frozen=True)
class Hint:
    """Loads reported by a peer; hints may be lost, duplicated or sent by a restarted process."""

    peer: str
    loads: Mapping[str, Load]


@dataclass(frozen=True)
class Pause:
    """Time in which no hint arrives."""

    duration: float


@dataclass(frozen=True)
class OwnChange:
    """A request of this entry starts or ends."""

    upstream: str
    batch: bool
    begins: bool


STEPS = st.one_of(
    st.builds(Hint, st.sampled_from(PEERS), LOADS),
    st.builds(Pause, st.sampled_from([1.0, PEER_LOAD_TTL, PEER_LOAD_TTL + 1.0])),
    st.builds(OwnChange, st.sampled_from(UPSTREAMS), st.booleans(), st.booleans()),
)


@given(st.lists(STEPS, max_size=40))
def test_totals_equal_the_sum_of_unexpired_loads(steps: list[Hint | Pause | OwnChange]) -> None:
    """A total that drifts from the sum makes an upstream look full, or free, until the process
    exits."""
    fleet = FleetLoads()
    now = 0.0
    reported: dict[str, tuple[float, Mapping[str, Load]]] = {}
    own = dict.fromkeys(UPSTREAMS, NO_LOAD)
    for step in steps:
        if isinstance(step, Hint):
            fleet.expire(now)
            before = reported.get(step.peer, (0.0, step.loads))[1]
            if now - reported.get(step.peer, (now, {}))[0] > PEER_LOAD_TTL:
                before = step.loads
            freed = fleet.update_peer(step.peer, step.loads, now)
            assert freed == any(
                load.total > step.loads.get(upstream, NO_LOAD).total
                for upstream, load in before.items()
            )
            reported[step.peer] = (now, step.loads)
        elif isinstance(step, Pause):
            now += step.duration
        else:
            change = 1 if step.begins else -1
            load = own[step.upstream]
            running = load.batch if step.batch else load.online
            if running + change < 0:
                continue
            online, batch = (0, change) if step.batch else (change, 0)
            own[step.upstream] = Load(load.online + online, load.batch + batch)
            fleet.add_own(step.upstream, online=online, batch=batch)
        fleet.expire(now)
        counted = [
            loads for received, loads in reported.values() if now - received <= PEER_LOAD_TTL
        ]
        for upstream in UPSTREAMS:
            loads = [each.get(upstream, NO_LOAD) for each in counted] + [own[upstream]]
            expected = Load(sum(each.online for each in loads), sum(each.batch for each in loads))
            assert fleet.totals.get(upstream, NO_LOAD) == expected
            at = {peer: load for peer, load in fleet.loads_by_peer(upstream).items() if load.total}
            assert at == {
                peer: loads[upstream]
                for peer, (received, loads) in reported.items()
                if now - received <= PEER_LOAD_TTL and loads.get(upstream, NO_LOAD).total
            }
        assert fleet.peers() == {
            peer for peer, (received, _) in reported.items() if now - received <= PEER_LOAD_TTL
        }


def test_hints_without_loads_keep_the_loads_of_a_peer_that_is_alive() -> None:
    """Entries that share only small services report loads every six seconds; without the loads of
    most of them, such a service would be overfilled."""
    fleet = FleetLoads()
    for peer in ("alive", "silent"):
        fleet.update_peer(peer, {"u": Load(1, 0)}, 0.0)
    for now in range(500, 6_001, 500):
        fleet.record_hint_without_loads("alive", float(now))
        fleet.expire(float(now))
        assert fleet.peers() == ({"alive", "silent"} if now <= PEER_LOAD_TTL else {"alive"})
    # Loads that no announcement renews do not count for ever, and expired ones do not come back.
    for now in range(6_500, 9_001, 500):
        fleet.record_hint_without_loads("alive", float(now))
    fleet.expire(9_000.0)
    assert fleet.totals == {}
