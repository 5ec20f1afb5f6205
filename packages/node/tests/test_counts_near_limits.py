"""Which hints go directly while an organisation is near its limit, and how they are compared."""

from __future__ import annotations

import cbor2
import pytest
from _relay_net import FALLBACK_AGE, RELAYED_AGE, UPSTREAM, Net, net_with_relays
from msgspec.structs import replace

from carobspool_core.direct import Load
from carobspool_node.direct._hint_receiver import PeerCallbacks
from carobspool_node.direct._load_hint import encode_counts_hint, encode_load_hint
from carobspool_node.hint_relays._bundle import encode_bundle


@pytest.fixture
def net(monkeypatch: pytest.MonkeyPatch) -> Net:
    """Twelve entries in three domains, with relays in force."""
    return net_with_relays(monkeypatch)


def _receivers(net: Net, kind: str) -> set[str]:
    return {other for _, other, _ in net.take_sent(kind)}


@pytest.mark.parametrize("is_relay", [False, True])
def test_an_entry_with_a_hot_organisation_sends_only_counts_to_all_entries(
    net: Net, is_relay: bool
) -> None:
    """Counts that are older by the waits in two relays let requests exceed a limit; loads that go
    directly too cost more bytes than without relays."""
    relay = net.relay_of("a")
    hot, *_ = [e for e in net.entries.values() if e.domain == "a" and (e is relay) == is_relay]
    hot.needs_direct_hints = True
    for loads_changed, receivers in ((True, (3, 8)), (False, (0, 11))):
        hot.change(loads_changed=loads_changed)
        sent = list(net.sent)
        assert len(_receivers(net, "l")) == receivers[0]
        net.sent[:] = sent
        counts = net.take_sent("u")
        assert len({other for _, other, _ in counts}) == len(counts) == receivers[1]
        assert all(message[4] for _, _, message in counts)
    hot.needs_direct_hints = False
    hot.change()
    assert len(_receivers(net, "l")) == 3


def test_loads_go_through_relays_while_organisations_are_hot(net: Net) -> None:
    """Some organisation is nearly always near its limit, and relays would save nothing."""
    for entry in net.entries.values():
        entry.needs_direct_hints = True
    net.run(500.0)
    assert net.worst_age(1_000.0, net.pairs()) <= RELAYED_AGE
    assert net.worst_age(1_000.0, net.pairs(), of_counts=True) <= 70.0
    net.sent.clear()
    net.run(1_000.0)
    sent = [each for each in net.sent if isinstance(each[2], list)]
    crossing = [each for each in sent if net.domain_of(each[0]) != net.domain_of(each[1])]
    assert sum(each[2][0] == "l" for each in crossing) <= 12 * 8 * 2
    passed_on = [data for _, _, message in sent if message[0] == "b" for data in message[3]]
    assert {cbor2.loads(data)[0] for data in passed_on} == {"l"}


def test_the_sending_thread_sends_loads_through_relays_only_when_they_change(
    net: Net, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Counts are due every 80 ms near a limit; with each of them the relays would pass on loads."""
    hot = next(e for e in net.entries.values() if e.domain == "a" and not e.is_relay)
    hot.needs_direct_hints = True
    loads = {UPSTREAM: Load(1, 0)}
    monkeypatch.setattr(
        hot.peers,
        "_own",
        replace(hot.peers._own, loads=lambda: dict(loads), has_unsent_counts=lambda: True),
    )
    plan = hot.peers._relays.plan_for_sending()
    monkeypatch.setattr(hot.peers._relays, "plan_for_sending", lambda: plan)
    rounds: list[set[str]] = []

    def wait(pause: float) -> None:
        rounds.append({each[2][0] for each in net.sent if isinstance(each[2], list)})
        net.sent.clear()
        net.time += max(pause, 20.0)
        if len(rounds) == 4:
            loads[UPSTREAM] = Load(2, 0)
        if len(rounds) == 8:
            hot.peers._stopped.set()

    monkeypatch.setattr(hot.peers, "_wait_for_change", wait)
    hot.peers._send_loop()
    assert rounds[0] == rounds[4] == {"l", "u"}
    assert all(each <= {"u"} for at, each in enumerate(rounds) if at not in (0, 4))
    assert {"u"} in rounds


def test_loads_are_compared_with_loads_and_counts_with_counts(net: Net) -> None:
    """A load hint that relays delay would be dropped after a direct counts hint that was sent
    later, and its older counts must not be applied after those."""
    relay = net.relay_of("a")
    reader = next(e for e in net.entries.values() if e.domain == "a" and e is not relay)
    origin = next(e for e in net.entries.values() if e.domain == "b")
    heard: list[object] = []
    reader.peers._receiver._events = PeerCallbacks(
        loads=lambda peer, loads, failures, knows_starts: heard.append("loads"),
        counts=lambda peer, incarnation, counts: heard.append(counts),
        without_loads=heard.append,
    )
    who = {"name": origin.name, "incarnation": "1"}

    def receive(data: bytes, *, relayed: bool = False) -> list[object]:
        heard.clear()
        bundle = encode_bundle(relay.name, "1", [data])
        reader.peers._receiver._receive_datagram(bundle if relayed else data, ("127.0.0.1", 1))
        return list(heard)

    def load_hint(number: int, counts: dict[int, int]) -> bytes:
        return encode_load_hint(
            **who, sequence=10**6 + number, loads={}, backlog=(), counts=counts  # type: ignore[arg-type]
        )

    def counts_hint(number: int, counts: dict[int, int]) -> bytes:
        return encode_counts_hint(**who, sequence=10**6 + number, counts=counts)

    assert receive(counts_hint(5, {7: 5})) == [origin.name, {7: 5}]
    assert receive(load_hint(4, {7: 4}), relayed=True) == ["loads"]
    assert receive(load_hint(4, {7: 4}), relayed=True) == []
    assert receive(load_hint(3, {7: 3})) == []
    assert receive(load_hint(7, {7: 7}), relayed=True) == ["loads", {7: 7}]
    assert receive(counts_hint(6, {7: 6})) == []
    # A load hint that carries no counts says nothing of those that were sent before it.
    assert receive(load_hint(9, {})) == ["loads", {}]
    assert receive(counts_hint(8, {7: 8})) == [origin.name, {7: 8}]


def test_relayed_load_hints_make_up_for_lost_counts_hints(net: Net) -> None:
    """Each domain would admit the whole limit while the direct hints of the others are lost."""
    for entry in net.entries.values():
        entry.needs_direct_hints = True
    net.run(500.0)
    net.loses = lambda sender, receiver, message: (
        sender.domain != receiver.domain and message[0] == "u"
        if isinstance(message, list)
        else False
    )
    assert net.worst_age(2_000.0, net.pairs(), of_counts=True) <= RELAYED_AGE
    assert net.lost() == []


def test_counts_arrive_directly_while_the_relay_is_dead_and_an_organisation_is_hot(
    net: Net,
) -> None:
    """A limit would be exceeded by what its domain admits until the next relay is chosen."""
    for entry in net.entries.values():
        entry.needs_direct_hints = True
    net.run(500.0)
    net.relay_of("a").is_up = False
    assert net.worst_age(700.0, net.pairs(), of_counts=True) <= 70.0
    net.run(200.0)
    net.relay_of("a").is_up = False
    assert net.worst_age(700.0, net.pairs()) <= FALLBACK_AGE + 50.0


@pytest.mark.parametrize("is_relay", [False, True])
def test_an_entry_that_compares_all_hints_gets_everything_directly(
    net: Net, is_relay: bool
) -> None:
    """It drops a relayed load hint after a direct counts hint, and as a relay it passes on none."""
    old = next(e for e in net.entries.values() if e.domain == "b" and e.is_relay == is_relay)
    net.previous_build.add(old.name)
    old.peers.announce()
    net.run(50.0)
    hot = next(e for e in net.entries.values() if e.domain == "a")
    hot.needs_direct_hints = True
    net.sent.clear()
    hot.change()
    sent = list(net.sent)
    assert _receivers(net, "l") == {
        e.name for e in net.entries.values() if is_relay or e.domain == "a" or e is old
    } - {hot.name}
    net.sent[:] = sent
    assert old.name not in _receivers(net, "u")
    net.sent.clear()
    hot.change(loads_changed=False)
    assert old.name in _receivers(net, "l")
