"""Tests of cutting and collecting server-sent events."""

from __future__ import annotations

import json

from hypothesis import given
from hypothesis import strategies as st

from carobspool_node.upstreams._event_stream import AnswerCollector, EventCutter, count_tokens

_EVENTS = [b"data: {}\n\n", b'data: {"a":1}\n\n', b"data: [DONE]\n\n"]


@given(st.lists(st.integers(0, 40), max_size=10))
def test_events_are_cut_only_at_their_ends(cuts: list[int]) -> None:
    """However the bytes are split, only whole events come out and nothing is lost."""
    stream = b"".join(_EVENTS)
    edges = sorted({0, len(stream), *(cut for cut in cuts if cut < len(stream))})
    cutter = EventCutter()
    out = []
    for start, stop in zip(edges, edges[1:], strict=False):
        whole = cutter.feed(stream[start:stop])
        assert whole == b"" or whole.endswith(b"\n\n")
        out.append(whole)
    assert b"".join(out) == stream
    assert cutter.done
    assert cutter.rest == b""


def _chunk(text: str, reason: str | None = None) -> bytes:
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": reason}
    event = {"id": "x", "created": 7, "model": "m", "choices": [choice]}
    return b"data: " + json.dumps(event).encode() + b"\n\n"


def test_an_answer_in_two_runs_is_joined() -> None:
    """A stream that gave way and was resumed yields one whole answer."""
    collector = AnswerCollector(chat=True)
    assert collector.feed(_chunk("one ") + _chunk("two ") + _chunk("", "cancelled")) == 2
    assert collector.cancelled
    assert not collector.finished
    collector.continue_stream()
    collector.feed(_chunk("three") + _chunk("", "stop") + b"data: [DONE]\n\n")
    assert collector.finished
    body = json.loads(collector.body())
    assert body["choices"][0]["message"]["content"] == "one two three"
    assert body["choices"][0]["finish_reason"] == "stop"
    assert body["object"] == "chat.completion"


def test_an_unfinished_answer_does_not_count_as_finished() -> None:
    """A stream without a finish reason is not whole."""
    collector = AnswerCollector(chat=True)
    collector.feed(_chunk("one"))
    assert not collector.finished


def test_only_events_with_text_are_tokens() -> None:
    """Opening, finish, usage and closing events are not counted, whatever they come joined with."""
    opening = b'data: {"choices":[{"index":0,"delta":{"role":"assistant","content":""}}]}\n\n'
    usage = b'data: {"choices":[],"usage":{"total_tokens":3}}\n\n'
    stream = opening + _chunk("one ") + _chunk("two") + _chunk("", "stop") + usage + _EVENTS[2]
    assert count_tokens(stream) == 2
    assert count_tokens(b'data: {"choices":[{"index":0,"text":"a"}]}\n\n') == 1
    assert count_tokens(b"data: not json\n\n: comment\n\ndata: 7\n\n") == 0
