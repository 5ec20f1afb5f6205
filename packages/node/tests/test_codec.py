"""Tests of the CBOR codec."""

from __future__ import annotations

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from carobspool_core import (
    Data,
    End,
    Failure,
    Head,
    Hello,
    Load,
    Message,
    Open,
    Outcome,
    Priority,
    RequestId,
    SidecarState,
)
from carobspool_node.errors import CodecError
from carobspool_node.links._codec import decode_frame, encode_frame

_IDS = st.builds(RequestId, st.text(max_size=8), st.integers(0, 2**40))
_FAILURES = st.builds(
    Failure,
    status=st.integers(400, 599),
    type=st.text(max_size=5),
    code=st.text(max_size=5),
    message=st.text(max_size=20),
    outcome=st.sampled_from(Outcome),
    retry_after_ms=st.none() | st.floats(0, 1e6),
)
_MESSAGES = st.one_of(
    st.builds(Data, id=_IDS, sequence=st.integers(0, 2**31), payload=st.binary(max_size=50)),
    st.builds(End, id=_IDS, count=st.integers(0, 99), failure=st.none() | _FAILURES),
    st.builds(
        Head,
        id=_IDS,
        status=st.integers(100, 599),
        headers=st.dictionaries(st.text(max_size=5), st.text(max_size=5), max_size=3),
    ),
    st.builds(
        Load,
        state=st.sampled_from(SidecarState),
        running=st.integers(0, 99),
        queued=st.integers(0, 99),
        tokens=st.integers(0, 2**31),
        slots=st.integers(0, 99),
        batch_credits=st.integers(0, 99),
        targets=st.lists(st.text(max_size=5), max_size=3).map(tuple),
        revision=st.integers(0, 2**31),
        first_token=st.floats(0, 1e6),
        fencing_epoch=st.integers(0, 2**31),
    ),
)


@given(st.lists(_MESSAGES, max_size=8))
def test_messages_survive_the_wire(messages: list[Message]) -> None:
    """What is encoded is decoded to equal messages, in order."""
    assert decode_frame(encode_frame(messages)) == messages


def test_open_survives_the_wire() -> None:
    """A request keeps its priority, headers and body."""
    message = Open(
        id=RequestId("a", 1),
        priority=Priority.BATCH,
        target="m",
        method="POST",
        path="/v1/completions",
        headers={"a": "b"},
        body=b"\x00\xff",
        caller="c",
        organisation="o",
        weight=1.5,
        cost_tokens=3,
        prompt_tokens=2,
        timeout=10.0,
        idempotent=False,
        stream=True,
        fingerprint="f",
        suspect=False,
        sent=1.0,
    )
    assert decode_frame(encode_frame([message])) == [message]


@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_refused_or_decoded(frame: bytes) -> None:
    """Any frame gives messages or a CodecError, nothing else."""
    try:
        decode_frame(frame)
    except CodecError:
        return


@pytest.mark.parametrize("frame", [[[99]], [[0, 1]], [[-1]], [["x"]], 7])
def test_malformed_frames_are_refused(frame: object) -> None:
    """Unknown types, wrong field counts and other shapes are refused."""
    with pytest.raises(CodecError):
        decode_frame(cbor2.dumps(frame))


def test_a_hello_of_another_shape_is_refused() -> None:
    """A peer of a later version with more fields is refused, not misread."""
    hello = Hello(
        version=1, node="n", incarnation="i", role="entry", failure_domain="d", nonce="", sent=0.0
    )
    array = cbor2.loads(encode_frame([hello]))
    array[0].append("extra")
    with pytest.raises(CodecError, match="fields"):
        decode_frame(cbor2.dumps(array))
