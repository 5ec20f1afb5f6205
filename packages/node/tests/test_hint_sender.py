"""Which hints go to which entries, and how counts of requests stand in them."""

from __future__ import annotations

from typing import Any

import cbor2
import pytest

from carobspool_core import Millis
from carobspool_core.direct import Load
from carobspool_core.problems import UnusableRecordError
from carobspool_node.direct._announcement import Sender
from carobspool_node.direct._hint_sender import HintSender
from carobspool_node.direct._hint_targets import HintTargets
from carobspool_node.direct._load_hint import (
    encode_counts_hint,
    encode_load_hint,
    read_counts_hint,
    read_load_hint,
)
from carobspool_node.organisations import unpack_counts

COUNTS = {7: 3, 9: 65_535}
OWN = ("127.0.0.1", 1)
TARGETS = HintTargets(
    current={"old": ("old", 1), "near": ("near", 1), "far": ("far", 1)},
    count_readers=frozenset({"near", "far"}),
    others=[],
)


class _Clock:
    def __init__(self) -> None:
        self.time: Millis = 1_000.0

    def now(self) -> Millis:
        return self.time


class _Socket:
    def __init__(self) -> None:
        self.sent: list[tuple[str, Any]] = []

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self.sent.append((address[0], cbor2.loads(data)))


def _tell(clock: _Clock, sharers: frozenset[str] | None, sender: HintSender, sock: _Socket) -> Any:
    sock.sent.clear()
    sender.send_loads({"u": Load(1, 0)}, (), COUNTS, targets=TARGETS, sharers=sharers)
    return dict(sock.sent)


@pytest.fixture
def parts() -> tuple[_Clock, HintSender, _Socket]:
    """A sender whose datagrams are kept."""
    clock, sock = _Clock(), _Socket()
    sender = HintSender(clock, sock, Sender(name="e1", incarnation="1", address=OWN))  # type: ignore[arg-type]
    return clock, sender, sock


def test_an_entry_that_reads_no_counts_is_sent_none(
    parts: tuple[_Clock, HintSender, _Socket],
) -> None:
    """The version before refuses a hint with more in it, and would take its sender for dead."""
    clock, sender, sock = parts
    told = _tell(clock, None, sender, sock)
    assert len(told["old"]) == 6
    assert len(told["near"]) == len(told["far"]) == 7


def test_entries_that_share_no_upstream_are_told_counts_alone_and_seldom(
    parts: tuple[_Clock, HintSender, _Socket],
) -> None:
    """With hundreds of entries a hint to all of them for each request would be most of the load."""
    clock, sender, sock = parts
    sharers = frozenset({"near", "old"})
    told = _tell(clock, sharers, sender, sock)
    hint = read_counts_hint(told["far"])
    assert hint is not None
    assert hint.counts == COUNTS
    assert "far" not in _tell(clock, sharers, sender, sock)
    clock.time += 10.0
    assert "far" in _tell(clock, sharers, sender, sock)


def test_counts_arrive_as_they_were_told() -> None:
    message = {"name": "e1", "incarnation": "1", "sequence": 4}
    loads = encode_load_hint(**message, loads={}, backlog=(), counts=COUNTS)  # type: ignore[arg-type]
    found = read_load_hint(cbor2.loads(loads))
    assert found is not None
    assert found.counts == COUNTS
    counts = read_counts_hint(
        cbor2.loads(encode_counts_hint(**message, counts=COUNTS))  # type: ignore[arg-type]
    )
    assert counts is not None
    assert (counts.name, counts.sequence, counts.counts) == ("e1", 4, COUNTS)


def test_a_load_hint_without_counts_tells_none() -> None:
    """Entries of the version before send such."""
    hint = read_load_hint(["l", "e1", "1", 4, b"", b""])
    assert hint is not None
    assert hint.counts == {}


@pytest.mark.parametrize("packed", [b"1", b"1234567", "text", 7])
def test_counts_that_are_none_are_refused(packed: Any) -> None:
    """Any process can send a datagram."""
    with pytest.raises(UnusableRecordError):
        read_load_hint(["l", "e1", "1", 4, b"", b"", packed])
    with pytest.raises(UnusableRecordError):
        read_counts_hint(["u", "e1", "1", 4, packed])


def test_no_counts_are_empty() -> None:
    assert unpack_counts(b"") == {}
