"""Tests of putting an answer in order at the entry."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from carobspool_core import (
    Attach,
    Data,
    End,
    Head,
    ManualClock,
    Message,
    Outcome,
    RequestId,
    unavailable,
)
from carobspool_node.requests._attempt import MAX_UNREAD_BYTES, Attempt

_ID = RequestId("entry", 1)
_PIECES = [b"a", b"bc", b"", b"def", b"g"]
_WHOLE: list[Message] = [
    Head(id=_ID, status=200, headers={}),
    *(Data(id=_ID, sequence=number, payload=piece) for number, piece in enumerate(_PIECES)),
    End(id=_ID, count=len(_PIECES), failure=None),
]


def _attempt(asked: list[Attach] | None = None) -> Attempt:
    return Attempt(_ID, ManualClock(), (asked if asked is not None else []).append)


@given(st.permutations(_WHOLE), st.lists(st.sampled_from(_WHOLE), max_size=5))
def test_reordered_and_repeated_frames_give_the_whole_answer(
    order: list[Message], repeated: list[Message]
) -> None:
    """Any order and any repetition of the frames gives the same whole answer once."""
    attempt = _attempt()
    data = b""
    for message in [*order, *repeated]:
        attempt.receive(message)
        progress = attempt.wait(0.0)
        data += progress.data if progress is not None else b""
    assert attempt.ended
    assert data == b"".join(_PIECES)


@given(st.sampled_from(_WHOLE[1:-1]))
def test_a_missing_piece_is_asked_for_and_never_ends_clean(missing: Message) -> None:
    """Without one piece the answer does not end; the piece is asked for and completes it."""
    asked: list[Attach] = []
    attempt = _attempt(asked)
    for message in _WHOLE:
        if message is not missing:
            attempt.receive(message)
    assert not attempt.ended
    assert isinstance(missing, Data)
    assert asked[-1].sequence <= missing.sequence
    attempt.receive(missing)
    assert attempt.ended


def test_a_missing_head_is_asked_for() -> None:
    """An answer without its status and headers is not whole."""
    asked: list[Attach] = []
    attempt = _attempt(asked)
    for message in _WHOLE[1:]:
        attempt.receive(message)
    assert not attempt.ended
    assert asked


def test_a_caller_that_does_not_read_costs_bounded_memory() -> None:
    """Over the bound of unread bytes the attempt fails, and the connection's reader goes on."""
    attempt = _attempt()
    attempt.receive(_WHOLE[0])
    piece = b"x" * (MAX_UNREAD_BYTES // 2 + 1)
    for number in range(2):
        attempt.receive(Data(id=_ID, sequence=number, payload=piece))
    assert attempt.failure is not None
    assert attempt.failure.code == "slow_reader"


def test_the_end_is_told_once() -> None:
    """The listener of the end hears it exactly once."""
    heard: list[int] = []
    attempt = Attempt(_ID, ManualClock(), lambda _: None, on_end=lambda: heard.append(1))
    failure = unavailable("x", "y", outcome=Outcome.NOT_RUN)
    attempt.receive(End(id=_ID, count=0, failure=failure))
    attempt.fail(failure)
    assert heard == [1]


def test_a_lost_end_is_asked_for() -> None:
    """The caller sees its whole answer end, although the message of the end was lost.

    All pieces are here, so there is no gap to notice; after a second of silence the entry asks the
    sidecar, which sends the end again. The pause doubles while there is no answer.
    """
    asked: list[Attach] = []
    clock = ManualClock()
    attempt = Attempt(_ID, clock, asked.append)
    for message in _WHOLE[:-1]:
        attempt.receive(message)
    attempt.check_gap()
    assert asked == []
    clock.advance(1_001.0)
    attempt.check_gap()
    assert [each.sequence for each in asked] == [len(_PIECES)]
    clock.advance(1_500.0)
    attempt.check_gap()
    assert len(asked) == 1
    attempt.receive(_WHOLE[-1])
    assert attempt.ended


def test_pieces_before_the_head_wait_for_it() -> None:
    """Pieces that overtook status and headers are handed out together with them."""
    attempt = _attempt()
    attempt.receive(_WHOLE[1])
    assert attempt.wait(0.0) is None
    attempt.receive(_WHOLE[0])
    progress = attempt.wait(0.0)
    assert progress is not None
    assert progress.head is not None
    assert progress.data == _PIECES[0]
