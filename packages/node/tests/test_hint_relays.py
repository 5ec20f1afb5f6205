"""Hints between failure domains through relays, while relays, links and domains fail."""

from __future__ import annotations

import cbor2
import pytest
from _relay_net import DOMAINS, FALLBACK_AGE, RELAYED_AGE, Entry, Net, net_with_relays, settle
from msgspec.structs import replace

from carobspool_core.hint_relays import (
    MAX_BUNDLE_BYTES,
    NO_RELAYS,
    RelayPlan,
    WaitingHint,
    split_by_size,
)
from carobspool_core.problems import UnusableRecordError
from carobspool_node.direct._load_hint import encode_load_hint
from carobspool_node.direct._telemetry import Telemetry
from carobspool_node.hint_relays import HintTraffic
from carobspool_node.hint_relays._bundle import encode_bundle, read_bundle
from carobspool_node.hint_relays._relay_log import RelayLog

HEARTBEAT_AGE = 530.0
"""Oldest load while only heartbeats arrive."""


@pytest.fixture
def net(monkeypatch: pytest.MonkeyPatch) -> Net:
    """Twelve entries in three domains, with relays in force."""
    return net_with_relays(monkeypatch)


def test_changes_cross_domains_in_bundles_between_relays_only(net: Net) -> None:
    """Sent directly, each change crosses the links between domains once for each entry."""
    relays = {net.relay_of(each).name for each in DOMAINS}
    assert net.worst_age(2_000.0, net.pairs()) <= RELAYED_AGE
    for sender, receiver, message in net.take_sent("b"):
        if net.domain_of(sender) != net.domain_of(receiver):
            assert {sender, receiver} <= relays
            assert message[3]
    net.run(1_000.0)
    crossing = [
        each for each in net.take_sent("l") if net.domain_of(each[0]) != net.domain_of(each[1])
    ]
    # At most two heartbeats of each entry to the eight entries of the other domains.
    assert len(crossing) <= 12 * 8 * 2
    assert all(each.peers.relays_in_force for each in net.entries.values())


def test_an_entry_with_the_setting_off_keeps_no_times_of_bundles(net: Net) -> None:
    """It makes no plans, which drop the times of entries that are gone."""
    reader = net.add("reader", "a", capacity=None)
    settle(net)
    net.run(500.0)
    assert any(receiver == "reader" for _, receiver, _ in net.take_sent("b"))
    assert not reader.peers._relays._bundle_at
    assert not reader.peers._relays._relay_seen_at


def test_hints_that_arrived_directly_are_not_distributed_again(
    net: Net, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A relay would send its domain all hints of entries that send directly a second time."""
    for entry in net.entries.values():
        monkeypatch.setattr(entry.peers._relays, "plan_for_sending", lambda: NO_RELAYS)
    net.run(500.0)
    net.sent.clear()
    net.run(1_000.0)
    for sender, receiver, message in net.take_sent("b"):
        if net.domain_of(sender) == net.domain_of(receiver):
            assert not message[3]


def test_names_of_announcements_are_escaped_in_the_log(caplog: pytest.LogCaptureFixture) -> None:
    """Any process can send an announcement whose names contain line breaks."""
    log = RelayLog("a", lambda value: None)
    plan = RelayPlan(in_force=True, own_relay="e1\nevent=x", relays={"b\nevent=y": "e2"})
    with caplog.at_level("INFO", logger="absl"):
        log.record_plan(plan, 0.0)
        log.record_plan(replace(plan, own_relay="e3"), 2_000.0)
        log.record_sending(plan, direct=True, heard_at=None, now=4_000.0)
    assert len(caplog.messages) == 4
    assert not any("\n" in each for each in caplog.messages)


def test_an_entry_sends_directly_while_its_relay_is_dead(net: Net) -> None:
    """A killed relay would otherwise leave its domain with heartbeats until the next choice."""
    relay = net.relay_of("a")
    relay.is_up = False
    assert net.worst_age(600.0, net.pairs(origin="a")) <= FALLBACK_AGE
    assert net.worst_age(600.0, net.pairs()) <= FALLBACK_AGE
    net.run(200.0)
    assert net.relay_of("a") is not relay
    assert net.worst_age(1_000.0, net.pairs()) <= RELAYED_AGE


def test_a_dead_relay_is_passed_over_by_the_relays_of_other_domains(net: Net) -> None:
    """They would send the hints for its whole domain to it until it is silent for 600 ms."""
    net.relay_of("a").is_up = False
    assert net.worst_age(600.0, net.pairs(reader="a")) <= FALLBACK_AGE + 50.0


def test_a_relay_that_leaves_is_replaced_at_once(net: Net) -> None:
    """Its domain would otherwise wait for its silence at each rolling restart."""
    relay = net.relay_of("a")
    relay.is_leaving = True
    relay.peers.announce()
    net.run(70.0)
    assert net.relay_of("a") is not relay
    assert net.worst_age(500.0, net.pairs()) <= 170.0


@pytest.mark.parametrize("pause", [400.0, 1_500.0])
def test_a_resumed_relay_drops_what_it_holds(net: Net, pause: float) -> None:
    """It would pass on hints of the time before its pause after newer ones."""
    relay = net.relay_of("a")
    relay.frozen_until = net.time + pause
    assert net.worst_age(pause, net.pairs()) <= HEARTBEAT_AGE
    net.sent.clear()
    resumed_at = net.load_now()
    net.run(40.0)
    stale = [
        cbor2.loads(data)[3]
        for sender, receiver, message in net.take_sent("b")
        if sender == relay.name
        for data in message[3]
    ]
    assert stale == []
    net.run(700.0)
    assert net.load_now() > resumed_at
    assert net.relay_of("a") is relay
    assert net.worst_age(1_000.0, net.pairs()) <= RELAYED_AGE
    assert net.lost() == []


@pytest.mark.parametrize("outward", [True, False])
def test_a_relay_cut_off_from_a_domain_in_one_direction_leaves_heartbeats(
    net: Net, outward: bool
) -> None:
    """Its domain and the other one would have heartbeats alone for as long as it is cut off."""
    relay = net.relay_of("a")

    def is_cut(sender: Entry, receiver: Entry) -> bool:
        one, other = (sender, receiver) if outward else (receiver, sender)
        return one is relay and other.domain == "b"

    net.cut = is_cut
    rest = [pair for pair in net.pairs() if relay not in pair]
    unaffected = [pair for pair in rest if {pair[0].domain, pair[1].domain} != {"a", "b"}]
    assert net.worst_age(1_500.0, unaffected) <= FALLBACK_AGE
    assert net.worst_age(500.0, rest) <= HEARTBEAT_AGE
    assert net.worst_age(2_000.0, rest) <= RELAYED_AGE
    assert not relay.is_relay
    net.cut = lambda sender, receiver: False
    net.run(3_000.0)
    assert net.worst_age(500.0, net.pairs()) <= RELAYED_AGE


def test_two_relays_of_a_domain_only_cost_bytes(net: Net) -> None:
    """Entries that hear different peers choose differently; loads must not go back or be lost."""
    relay = net.relay_of("a")
    second = next(each for each in net.entries.values() if each.domain == "a" and each is not relay)
    relays = second.peers._relays
    plan = replace(relays._current_plan(), is_relay=True, own_relay=second.name)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(relays, "_current_plan", lambda: plan)
        net.run(500.0)
        assert second.is_relay
        assert relay.is_relay
        net.sent.clear()
        assert net.worst_age(1_000.0, net.pairs()) <= RELAYED_AGE
        senders = {sender for sender, _, message in net.take_sent("b") if message[3]}
        assert {relay.name, second.name} <= senders
    net.run(200.0)
    assert net.relay_of("a") is relay


def test_a_lost_domain_does_not_delay_the_others(net: Net) -> None:
    """The relays of the other domains must not wait for it, and keep to one relay each."""
    for entry in net.entries.values():
        entry.is_up = entry.domain != "b"
    # Eight entries are left, so that relays end with the silence of the others.
    assert net.worst_age(4_000.0, net.pairs()) <= FALLBACK_AGE
    assert net.worst_age(500.0, net.pairs()) <= RELAYED_AGE
    assert not any(each.peers.relays_in_force for each in net.entries.values() if each.is_up)
    net.sent.clear()
    net.run(500.0)
    assert all(net.domain_of(each[1]) != "b" for each in net.take_sent("l"))


def test_an_entry_of_the_previous_build_gets_and_sends_direct_hints(net: Net) -> None:
    """It reads no bundles; without direct hints it would place by old loads."""
    old = net.add("old", "", capacity=None)
    old.peers.announce()
    net.run(1_000.0)
    net.sent.clear()
    running = [each for each in net.entries.values() if each is not old]
    pairs = [(old, each) for each in running] + [(each, old) for each in running]
    assert net.worst_age(1_000.0, pairs) <= 70.0
    bundles = net.take_sent("b")
    assert bundles
    assert all(receiver != "old" for _, receiver, _ in bundles)
    passed_on = {cbor2.loads(data)[1] for _, _, message in bundles for data in message[3]}
    assert "old" not in passed_on


def test_an_entry_with_the_setting_off_reads_bundles(net: Net) -> None:
    """Settings are changed one entry after the other; it must neither relay nor miss hints."""
    off = net.add("off", "a", capacity=None)
    off.peers.announce()
    net.run(1_000.0)
    assert net.worst_age(1_000.0, net.pairs()) <= RELAYED_AGE
    assert not off.is_relay
    net.sent.clear()
    net.run(500.0)
    assert any(receiver == "off" for _, receiver, _ in net.take_sent("b"))


def test_a_hint_is_passed_on_byte_for_byte(net: Net) -> None:
    """Entries of a newer build add elements to load hints; relays must not cut them off."""
    relay = net.relay_of("a")
    fellow = next(each for each in net.entries.values() if each.domain == "a" and each is not relay)
    data = cbor2.dumps(["l", fellow.name, "1", 10**6, b"", b"", b"", b"\x00\x01\x00\x05", "more"])
    net.run(30.0)
    relay.peers._receiver._receive_datagram(data, fellow.address)
    net.sent.clear()
    net.run(60.0)
    reached = {
        net.domain_of(receiver)
        for sender, receiver, message in net.take_sent("b")
        if data in message[3]
    }
    assert reached == {"b", "c"}


def test_with_the_setting_off_each_change_goes_to_each_entry(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The default must keep the current behaviour: no bundle, and direct hints to everyone."""
    net = Net(monkeypatch)
    for number in range(12):
        net.add(f"e{number}", DOMAINS[number % 3], capacity=None)
    settle(net)
    net.run(500.0)
    sent = [each for each in net.sent if isinstance(each[2], list)]
    assert {each[2][0] for each in sent} == {"l"}
    by_sequence: dict[tuple[str, int], set[str]] = {}
    for sender, receiver, message in sent:
        assert len(message) == 7
        by_sequence.setdefault((sender, message[3]), set()).add(receiver)
    assert all(
        receivers == net.entries.keys() - {sender} for (sender, _), receivers in by_sequence.items()
    )
    assert all("h" not in each[2] for each in net.sent if isinstance(each[2], dict))
    assert not any(each.peers.relays_in_force for each in net.entries.values())


def test_a_relay_sends_counts_to_entries_that_share_no_upstream(net: Net) -> None:
    """Without the counts of other groups each group would admit the whole limit."""
    names = [name for name in net.entries if name not in ("e9", "e10", "e11")]
    net.group = frozenset(names)
    net.run(1_000.0)
    net.sent.clear()
    net.run(1_000.0)
    reached = {
        (cbor2.loads(data)[1], receiver)
        for sender, receiver, message in net.take_sent("b")
        for data in message[3]
        if cbor2.loads(data)[0] == "u" and net.domain_of(sender) == net.domain_of(receiver)
    }
    assert ("e0", "e10") in reached
    assert ("e0", "e11") in reached


def test_heartbeats_to_unrelated_entries_carry_no_loads(net: Net) -> None:
    """At hundreds of entries they are most of the bytes, and their readers use few of the loads."""
    net.group = frozenset(name for name in net.entries if name not in ("e9", "e10", "e11"))
    net.run(1_000.0)
    net.sent.clear()
    net.run(2_000.0)
    to_unrelated = [each[2] for each in net.sent if each[:2] == ("e0", "e10")]
    kinds = {message[0] for message in to_unrelated if isinstance(message, list)}
    assert kinds == {"u"}
    assert sum(isinstance(message, list) for message in to_unrelated) >= 2
    to_fellow = [each[2] for each in net.sent if each[:2] == ("e0", "e9")]
    assert "l" in {message[0] for message in to_fellow if isinstance(message, list)}
    assert net.lost() == []


def test_sent_bytes_are_counted_by_kind_and_crossing() -> None:
    """Operators decide by these counters whether the links between domains carry the hints."""
    telemetry = Telemetry()
    domains = {("x", 1): "a", ("x", 2): "b"}
    traffic = HintTraffic(telemetry.count, "a", lambda: domains)
    traffic.record("load", 100, [("x", 1), ("x", 2), ("x", 2), ("x", 3)])
    text = telemetry.text().decode()
    for crossing, number in (("same", 1), ("other", 2), ("unknown", 1)):
        labels = f'{{crossing="{crossing}",kind="load"}}'
        assert f"carobspool_hint_bytes_total{labels} {number * 100.0}" in text
        assert f"carobspool_hint_datagrams_total{labels} {number}.0" in text
    telemetry.set_gauge("hint_relay", 1.0)
    assert "carobspool_hint_relay 1.0" in telemetry.text().decode()


def _hint(sequence: int = 1) -> bytes:
    return encode_load_hint(name="e1", incarnation="1", sequence=sequence, loads={}, backlog=())


@pytest.mark.parametrize(
    "message",
    [
        ["b", "e1", "1"],
        ["b", "e1", 1, []],
        ["b", "e1", "1", ["text"]],
        ["b", "e1", "1", [encode_bundle("e2", "1", [_hint()])]],
        ["b", "e1", "1", [b"x" * (MAX_BUNDLE_BYTES + 1)]],
    ],
)
def test_an_invalid_bundle_is_refused(message: object) -> None:
    """Any process can send a datagram; a bundle in a bundle could be passed on without end."""
    with pytest.raises(UnusableRecordError):
        read_bundle(cbor2.loads(cbor2.dumps(message)))


def test_an_invalid_hint_does_not_hide_the_others_of_its_bundle(net: Net) -> None:
    """An entry of a newer build may send a hint that this one cannot read."""
    relay = net.relay_of("a")
    reader = next(each for each in net.entries.values() if each.domain == "a" and each is not relay)
    origin = next(each for each in net.entries.values() if each.domain == "b")
    data = encode_load_hint(name=origin.name, incarnation="1", sequence=10**6, loads={}, backlog=())
    bundle = encode_bundle(relay.name, "1", [cbor2.dumps({"n": 1}), b"\xff", data])
    heard: list[str] = []
    reader.peers._receiver._events = type(reader.peers._receiver._events)(
        loads=lambda peer, loads, failures, knows_starts: heard.append(peer)
    )
    reader.peers._receiver._receive_datagram(bundle, ("127.0.0.1", 1))
    assert heard == [origin.name]


def test_bundles_fit_into_a_datagram() -> None:
    """A longer datagram would be cut off at the receiver, and all its hints lost."""
    hints = [
        WaitingHint(name=f"e{each}", incarnation="1", sequence=1, kind="load", data=b"x" * 900)
        for each in range(100)
    ]
    parts = [encode_bundle("e" * 200, "1" * 200, part) for part in split_by_size(hints)]
    assert all(len(each) <= MAX_BUNDLE_BYTES for each in parts)
    assert sum(len(cbor2.loads(each)[3]) for each in parts) == 100


def test_a_lost_heartbeat_does_not_make_a_relayed_peer_silent(net: Net) -> None:
    """Load hints of other domains no longer arrive directly; each lost heartbeat would otherwise
    make entries verify the ownership of all their jobs for seconds."""
    reader = net.entries["e0"]
    net.run(4_500.0)
    until = net.time + 480.0
    net.cut = (
        lambda sender, receiver: receiver is reader
        and sender.domain != reader.domain
        and (net.time < until and not sender.is_relay)
    )
    for _ in range(40):
        net.run(50.0)
        assert reader.peers._table.silent() == []
    assert reader.peers.ownership_uncertain_until < until - 480.0


def test_relayed_hints_do_not_hide_a_broken_link_for_long(net: Net) -> None:
    """The peer's announcements do not arrive either, and it may take over jobs unnoticed."""
    reader = net.entries["e0"]
    origin = next(e for e in net.entries.values() if e.domain != reader.domain and not e.is_relay)
    net.cut = lambda sender, receiver: sender is origin and receiver is reader
    net.run(1_400.0)
    assert reader.peers._table.silent() == [origin.name]
    assert reader.peers.ownership_uncertain_until > net.time
    heard = {each.name: each.last_heard_at for each in reader.peers.known_peers()}
    assert net.time - (heard[origin.name] or 0.0) <= RELAYED_AGE
