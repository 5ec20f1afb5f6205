"""What entries keep in the store of streams, for entries that start after all were lost at once.

Two records outlive the entries: the versions at which streams may have begun, and the origins of
the streams in progress while several versions have served. The first says where each stream began
if one version alone has served; the second covers the streams of a rollout, except the youngest.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from msgspec import Struct

from carobspool_core._clock import Millis
from carobspool_core.stream_versions._history import ServiceVersion
from carobspool_core.stream_versions._origins import StreamOrigin

WRITE_INTERVAL: Millis = 250.0
"""Time between two writes of one entry: short streams last less than a second."""
WRITES_PER_S = 24.0
"""Writes of all entries in a second; more entries write less often. The store takes a few
hundred."""
MAX_OPEN = 8_000
"""Streams that one entry records; a record of each takes some forty bytes."""


class VersionsRecord(Struct, frozen=True, kw_only=True):
    """The versions at which a stream may have begun that a caller can still take up.

    Attributes:
        versions: The versions of all services. A version is added before a stream begins at it, and
            removed only long after its last server has gone.
        window: How long after its first event a stream may be taken up.
    """

    versions: frozenset[ServiceVersion] = frozenset()
    window: Millis = 0.0

    def covers(self, versions: Iterable[ServiceVersion], window: Millis) -> bool:
        """Whether the record has these versions and at least this window."""
        return window <= self.window and self.versions.issuperset(versions)

    def merged(self, versions: Iterable[ServiceVersion], window: Millis) -> VersionsRecord:
        """Return the record with these versions and at least this window."""
        return VersionsRecord(
            versions=self.versions.union(versions), window=max(self.window, window)
        )

    def pruned(self, remembered: frozenset[ServiceVersion]) -> VersionsRecord:
        """Return the record without the versions that are not ``remembered``."""
        return VersionsRecord(versions=self.versions & remembered, window=self.window)


def write_interval(entries: int) -> Millis:
    """Return the time between two writes of each entry.

    Args:
        entries: Number of entries.
    """
    return max(WRITE_INTERVAL, entries * 1000.0 / WRITES_PER_S)


class _OpenStream(Struct, frozen=True):
    origin: StreamOrigin
    until: Millis


class OpenStreams:
    """The streams of one entry whose callers may take them up. Not thread-safe."""

    __slots__ = ("_open",)

    def __init__(self) -> None:
        self._open: dict[str, _OpenStream] = {}

    def begin(self, stream_id: str, origin: StreamOrigin, until: Millis) -> None:
        """Add a stream whose version is certain, or go on with it.

        Args:
            stream_id: Request id of the caller's attempt that brought the first event.
            origin: Where it began.
            until: Until when its caller may take it up.
        """
        self._open[stream_id] = _OpenStream(origin, until)
        if len(self._open) > MAX_OPEN:
            del self._open[next(iter(self._open))]

    def end(self, stream_id: str) -> None:
        """Remove a stream that is complete, or whose version is not certain any more."""
        self._open.pop(stream_id, None)

    def to_record(self, now: Millis, services: Iterable[str]) -> Mapping[StreamOrigin, list[str]]:
        """Return the ids of the streams of some services.

        Streams that can no longer be taken up are forgotten.
        """
        wanted = frozenset(services)
        found: dict[StreamOrigin, list[str]] = {}
        for stream_id, each in list(self._open.items()):
            if each.until <= now:
                del self._open[stream_id]
            elif each.origin.service in wanted:
                found.setdefault(each.origin, []).append(stream_id)
        return found
