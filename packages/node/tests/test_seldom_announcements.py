"""Announcements to entries of other domains that share no upstream, while relays are in force."""

from __future__ import annotations

import pytest
from _relay_net import Net, net_with_relays

from carobspool_node.direct._peer_table import SETTLED_AFTER


@pytest.fixture
def grouped(monkeypatch: pytest.MonkeyPatch) -> Net:
    """The entries e9, e10 and e11 share no upstream with the others, and all are settled."""
    net = net_with_relays(monkeypatch)
    net.group = frozenset(name for name in net.entries if name not in ("e9", "e10", "e11"))
    net.run(SETTLED_AFTER)
    net.sent.clear()
    return net


def _announcements(net: Net, sender: str, receiver: str) -> int:
    return sum(each[:2] == (sender, receiver) and isinstance(each[2], dict) for each in net.sent)


def test_announcements_to_unrelated_entries_are_seldom(grouped: Net) -> None:
    """They are half of the bytes at hundreds of entries."""
    grouped.run(12_000.0)
    assert _announcements(grouped, "e0", "e10") == 2
    assert {_announcements(grouped, "e0", name) for name in ("e1", "e3", "e9")} == {6}
    heartbeats = [
        each[2][0]
        for each in grouped.sent
        if each[:2] == ("e0", "e10") and isinstance(each[2], list)
    ]
    # Without a heartbeat in place of each omitted announcement, two lost ones make a peer silent.
    assert heartbeats.count("u") >= 22
    assert grouped.lost() == []


def test_missed_announcements_do_not_make_a_peer_leave_the_list(grouped: Net) -> None:
    """Heartbeats alone must keep its jobs with it, and its requests with its limits."""
    reader = grouped.entries["e10"]
    grouped.loses = (
        lambda sender, receiver, message: isinstance(message, dict) and receiver is reader
    )
    for _ in range(20):
        grouped.run(1_000.0)
        assert reader.peers._table.silent() == []
        assert len(reader.peers.live()) == 11
    assert _announcements(grouped, "e0", "e10") >= 3
    assert grouped.lost() == []


def test_unrelated_entries_learn_at_once_that_an_entry_leaves(grouped: Net) -> None:
    """They would hand it jobs and count its share of the limits for up to six seconds."""
    leaver, reader = grouped.entries["e0"], grouped.entries["e10"]
    lost = [1]
    grouped.loses = lambda sender, receiver, message: (
        sender is leaver
        and receiver is reader
        and isinstance(message, dict)
        and bool(lost)
        and lost.pop() == 1
    )
    leaver.is_leaving = True
    leaver.peers.announce()
    grouped.run(550.0)
    assert not lost
    assert [each.name for each in reader.peers.live() if each.leaving] == ["e0"]


def test_an_entry_that_missed_hints_gets_each_announcement_again(grouped: Net) -> None:
    """It has dropped the jobs of the silent peer; it would take them over or read the store."""
    origin, reader = grouped.entries["e0"], grouped.entries["e10"]
    grouped.cut = lambda sender, receiver: sender is origin and receiver is reader
    grouped.run(3_000.0)
    assert reader.lost == ["e0"]
    grouped.cut = lambda sender, receiver: False
    grouped.run(2_100.0)
    assert reader.peers.find_job_peer("job-e0") is not None
    grouped.sent.clear()
    grouped.run(4_000.0)
    assert _announcements(grouped, "e0", "e10") == 2
