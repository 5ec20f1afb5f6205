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
from carobspool_node._attempt import MAX_UNREAD_BYTES, Attempt

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
