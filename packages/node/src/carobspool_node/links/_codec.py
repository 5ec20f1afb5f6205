"""CBOR codec of the messages between processes.

A message is an array: its type number, then its fields in the order of the data class. A frame is
an array of messages. Fields of unknown types are refused, so a peer of another version fails at
the handshake and not in the middle of a request.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import fields
from typing import Any

import cbor2

from carobspool_core import (
    Attach,
    Cancel,
    Configuration,
    Data,
    End,
    Failure,
    Head,
    Heartbeat,
    Hello,
    Hint,
    HintKind,
    Load,
    Message,
    Open,
    Outcome,
    Priority,
    Proof,
    RequestId,
    SidecarState,
)
from carobspool_node.errors import CodecError

_TYPES: tuple[type[Any], ...] = (
    Hello,
    Proof,
    Open,
    Head,
    Data,
    End,
    Cancel,
    Attach,
    Load,
    Configuration,
    Hint,
    Heartbeat,
)
_NUMBERS: dict[type[Any], int] = {kind: number for number, kind in enumerate(_TYPES)}
_NAMES: dict[type[Any], tuple[str, ...]] = {
    kind: tuple(field.name for field in fields(kind)) for kind in _TYPES
}
_DATA_NUMBER = _NUMBERS[Data]

_Convert = Callable[[Any], Any]


def _request_id_out(value: RequestId) -> list[Any]:
    return [value.incarnation, value.counter]


def _request_id_in(value: Any) -> RequestId:
    incarnation, counter = value
    return RequestId(str(incarnation), int(counter))


def _failure_out(value: Failure | None) -> list[Any] | None:
    if value is None:
        return None
    return [
        value.status,
        value.type,
        value.code,
        value.message,
        value.outcome.value,
        value.retry_after_ms,
    ]


def _failure_in(value: Any) -> Failure | None:
    if value is None:
        return None
    status, kind, code, message, outcome, retry_after = value
    return Failure(
        status=int(status),
        type=str(kind),
        code=str(code),
        message=str(message),
        outcome=Outcome(outcome),
        retry_after_ms=retry_after,
    )


_OUT: dict[str, _Convert] = {"id": _request_id_out, "failure": _failure_out}
_IN: dict[tuple[type[Any], str], _Convert] = {
    (Open, "priority"): Priority,
    (End, "failure"): _failure_in,
    (Load, "state"): SidecarState,
    (Load, "targets"): tuple,
    (Hint, "kind"): HintKind,
}


def encode_frame(messages: Sequence[Message]) -> bytes:
    """Return the frame that carries ``messages``."""
    return cbor2.dumps([_to_array(message) for message in messages])


def decode_frame(frame: bytes) -> list[Message]:
    """Return the messages of a frame.

    Raises:
        CodecError: If the frame is not an array of known messages.
    """
    try:
        return [_from_array(array) for array in cbor2.loads(frame)]
    except CodecError:
        raise
    except Exception as error:
        raise CodecError(f"frame of {len(frame)} bytes is malformed: {error}") from error


def _to_array(message: Message) -> list[Any]:
    # Data is by far the most frequent message, one or more for each token.
    if type(message) is Data:
        identity = message.id
        return [
            _DATA_NUMBER,
            [identity.incarnation, identity.counter],
            message.sequence,
            message.payload,
        ]
    kind = type(message)
    array: list[Any] = [_NUMBERS[kind]]
    for name in _NAMES[kind]:
        value = getattr(message, name)
        convert = _OUT.get(name)
        array.append(convert(value) if convert else value)
    return array


def _from_array(array: Any) -> Message:
    number = array[0]
    if number == _DATA_NUMBER:
        return Data(id=_request_id_in(array[1]), sequence=array[2], payload=array[3])
    if not 0 <= number < len(_TYPES):
        raise CodecError(f"unknown message type {number}")
    kind = _TYPES[number]
    names = _NAMES[kind]
    if len(array) != len(names) + 1:
        raise CodecError(f"{kind.__name__} with {len(array) - 1} fields, expected {len(names)}")
    values: dict[str, Any] = {}
    for name, value in zip(names, array[1:], strict=True):
        convert = _request_id_in if name == "id" else _IN.get((kind, name))
        values[name] = convert(value) if convert else value
    message: Message = kind(**values)
    return message
