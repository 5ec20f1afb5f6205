"""Which software versions of a service have been registered recently."""

from __future__ import annotations

import math
from collections.abc import Iterable

from msgspec import Struct

from carobspool_core._clock import Millis
from carobspool_core.direct import UNKNOWN_VERSION, Configuration, RouteKind

MIN_WINDOW: Millis = 60_000.0
"""Least time for which a version counts after the last server that ran it has gone. Callers may
return long after the time limit of their route, which bounds a single attempt."""
WINDOW_PER_TIMEOUT = 3.0
"""The same per millisecond of the longest time limit of a stream: an attempt may last that long,
and so may each of the attempts in which its caller takes the stream up."""
WINDOW_STEP: Millis = 15_000.0
"""Windows that follow from the time that callers state are multiples of this: a longer one is
written to the store."""
MAX_WINDOW: Millis = 600_000.0
"""Longest window."""
MEMORY_PER_WINDOW = 2.0
"""Time for which a version stays recorded after it has gone, as a multiple of the window. Entries
notice at different times that it has gone, and one of them removes it from the record."""

ServiceVersion = tuple[str, str]
"""A service and a software version of its servers."""


class VersionsView(Struct, frozen=True, kw_only=True):
    """The software versions of a service within the last window, as one entry knows them.

    Attributes:
        versions: The versions.
        is_complete: Whether the entry has known the registrations for the whole window.
    """

    versions: frozenset[str]
    is_complete: bool

    @property
    def sole_version(self) -> str | None:
        """The only version that can have served within the window, ``None`` if it is not known."""
        if not self.is_complete or len(self.versions) != 1:
            return None
        (version,) = self.versions
        return None if version == UNKNOWN_VERSION else version


class VersionHistory:
    """The software versions of all services, and until when each was registered."""

    __slots__ = ("_gone_at", "_is_past_known", "_known_since", "_registered")

    def __init__(self) -> None:
        self._is_past_known = False
        self._known_since: Millis | None = None
        self._registered: frozenset[ServiceVersion] = frozenset()
        self._gone_at: dict[ServiceVersion, Millis] = {}

    @property
    def is_past_known(self) -> bool:
        """Whether it is known which versions served before this history begins."""
        return self._is_past_known

    def load_past(self, versions: Iterable[ServiceVersion], now: Millis) -> None:
        """Add all versions that can have served before this history begins.

        It is not known when those went that are not registered any more; they count from now on,
        also if this entry saw them go before: they may have come back and gone since.
        """
        self._is_past_known = True
        for key in versions:
            if key not in self._registered:
                self._gone_at[key] = now

    def record(self, registered: Iterable[ServiceVersion], now: Millis) -> None:
        """Record the services and versions of all registered servers."""
        if self._known_since is None:
            self._known_since = now
        found = frozenset(registered)
        if found == self._registered:
            return
        self._gone_at = {
            key: at
            for key, at in self._gone_at.items()
            if key not in found and now - at < MAX_WINDOW * MEMORY_PER_WINDOW
        }
        for key in self._registered - found:
            self._gone_at[key] = now
        self._registered = found

    def services(self) -> set[str]:
        """Return the services with registered servers."""
        return {service for service, _ in self._registered}

    def registered(self) -> frozenset[ServiceVersion]:
        """Return the versions that are registered."""
        return self._registered

    def recent(self, now: Millis, window: Millis) -> frozenset[ServiceVersion]:
        """Return the versions that were registered within ``window`` before now."""
        gone = (key for key, at in self._gone_at.items() if now - at < window)
        return self._registered.union(gone)

    def is_complete(self, now: Millis, window: Millis) -> bool:
        """Whether all versions are known that were registered within ``window`` before now."""
        if self._known_since is None:
            return False
        return self._is_past_known or now - self._known_since >= window

    def view(self, service: str, now: Millis, window: Millis) -> VersionsView:
        """Return the versions of a service that were registered within ``window`` before now."""
        versions = {version for name, version in self.recent(now, window) if name == service}
        return VersionsView(versions=frozenset(versions), is_complete=self.is_complete(now, window))


def stream_window(configuration: Configuration | None) -> Millis:
    """Return how long after its first event a stream may be taken up by its caller."""
    if configuration is None:
        return MAX_WINDOW
    timeouts = [route.timeout for route in configuration.routes if route.kind is RouteKind.STREAM]
    longest = max(timeouts, default=0.0)
    return min(MAX_WINDOW, max(MIN_WINDOW, WINDOW_PER_TIMEOUT * longest))


def window_of_deadline(duration: Millis) -> Millis:
    """Return the window that covers a caller who waits for ``duration`` altogether."""
    steps = math.ceil(min(MAX_WINDOW, max(0.0, duration)) / WINDOW_STEP)
    return steps * WINDOW_STEP
