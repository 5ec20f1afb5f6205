"""Splits a byte stream of server-sent events into complete events with their ids."""

from __future__ import annotations

from msgspec import Struct


class StreamEvent(Struct, frozen=True):
    """A complete server-sent event.

    Attributes:
        raw: Bytes as received, with the blank line at the end.
        event_id: Numeric id, ``None`` if the event has none, or one that is no decimal number of at
            most `MAX_ID_DIGITS` digits.
        data: Data lines, joined by line feeds.
    """

    raw: bytes
    event_id: int | None
    data: str


MAX_EVENT_BYTES = 1024 * 1024
"""Longest event, far above the tokens that an engine sends at once."""

MAX_ID_DIGITS = 19
"""Digits of the greatest integer of 64 bits. Python reads no number of more than 4,300 digits."""


class EventTooLongError(Exception):
    """The bytes of a stream are no event, or one that is too long."""


class EventSplitter:
    """Incremental splitter; buffers the incomplete event at the end of the received bytes."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def incomplete(self) -> bool:
        """Whether the buffer holds part of an event."""
        return bool(self._buffer.strip())

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add received bytes and return the events that they complete.

        Raises:
            EventTooLongError: An event is longer than `MAX_EVENT_BYTES`.
        """
        data = self._buffer + data
        events = []
        start = 0
        while True:
            end, length = _find_separator(data, start)
            if end < 0:
                break
            raw = data[start : end + length]
            start = end + length
            if raw.strip():
                events.append(_parse(raw))
        self._buffer = data[start:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLongError(f"an event of more than {MAX_EVENT_BYTES} bytes")
        return events


def _find_separator(data: bytes, start: int) -> tuple[int, int]:
    """Return offset and length of the next blank line; the offset is -1 if there is none."""
    lf_at = data.find(b"\n\n", start)
    crlf_at = data.find(b"\r\n\r\n", start)
    if crlf_at >= 0 and (lf_at < 0 or crlf_at < lf_at):
        return crlf_at, 4
    return lf_at, 2


def _parse(raw: bytes) -> StreamEvent:
    event_id: int | None = None
    data: list[str] = []
    for line in raw.decode(errors="surrogateescape").split("\n"):
        name, _, value = line.removesuffix("\r").partition(":")
        value = value.removeprefix(" ")
        if name == "data":
            data.append(value)
        elif name == "id" and _is_number(value):
            event_id = int(value)
    return StreamEvent(raw=raw, event_id=event_id, data="\n".join(data))


def _is_number(value: str) -> bool:
    # `str.isdigit` accepts digits of other scripts and superscripts, which `int` rejects.
    return value.isascii() and value.isdigit() and len(value) <= MAX_ID_DIGITS
