"""Server-sent events with ids: cutting a byte stream into whole events."""

from __future__ import annotations

from msgspec import Struct


class StreamEvent(Struct, frozen=True):
    """One whole event: its bytes as received, its id, and its data lines joined."""

    raw: bytes
    event_id: int | None
    data: str


class EventSplitter:
    """Cuts a stream into whole events; what is incomplete stays back."""

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        self._rest = b""

    @property
    def incomplete(self) -> bool:
        """Whether the stream stands in the middle of an event."""
        return bool(self._rest.strip())

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that are now whole."""
        data = self._rest + data
        events = []
        start = 0
        while True:
            end, length = _boundary(data, start)
            if end < 0:
                break
            raw = data[start : end + length]
            start = end + length
            if raw.strip():
                events.append(_parse(raw))
        self._rest = data[start:]
        return events


def _boundary(data: bytes, start: int) -> tuple[int, int]:
    plain = data.find(b"\n\n", start)
    carriage = data.find(b"\r\n\r\n", start)
    if carriage >= 0 and (plain < 0 or carriage < plain):
        return carriage, 4
    return plain, 2


def _parse(raw: bytes) -> StreamEvent:
    event_id: int | None = None
    data: list[str] = []
    for line in raw.decode(errors="surrogateescape").split("\n"):
        name, _, value = line.removesuffix("\r").partition(":")
        value = value.removeprefix(" ")
        if name == "data":
            data.append(value)
        elif name == "id" and value.isdigit():
            event_id = int(value)
    return StreamEvent(raw=raw, event_id=event_id, data="\n".join(data))
