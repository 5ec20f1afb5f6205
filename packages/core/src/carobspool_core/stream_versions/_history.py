"""Which software versions of a service have been registered recently."""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

from carobspool_core._clock import Millis
from carobspool_core.direct import UNKNOWN_VERSION, Configuration, RouteKind

MIN_WINDOW: Millis = 15_000.0
"""Least time for which a version counts after the last server that ran it has gone."""
WINDOW_PER_TIMEOUT = 3.0
"""The same per millisecond of the longest time limit of a stream: an attempt may last that long,
and so may each of the attempts in which its caller takes the stream up."""
MAX_WINDOW: Millis = 600_000.0
"""Time after which a version that is not registered any more is forgotten."""


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
    """The software versions of all services, and until when each was registered.

    Args:
        knows_past: Whether no server can have served before the first registrations are known,
            because the whole system starts.
    """

    __slots__ = ("_gone_at", "_known_since", "_knows_past", "_registered")

    def __init__(self, *, knows_past: bool) -> None:
        self._knows_past = knows_past
        self._known_since: Millis | None = None
        self._registered: frozenset[tuple[str, str]] = frozenset()
        self._gone_at: dict[tuple[str, str], Millis] = {}

    def record(self, registered: Iterable[tuple[str, str]], now: Millis) -> None:
        """Record the services and versions of all registered servers."""
        if self._known_since is None:
            self._known_since = float("-inf") if self._knows_past else now
        found = frozenset(registered)
        if found == self._registered:
            return
        self._gone_at = {
            key: at
            for key, at in self._gone_at.items()
            if key not in found and now - at < MAX_WINDOW
        }
        for key in self._registered - found:
            self._gone_at[key] = now
        self._registered = found

    def services(self) -> set[str]:
        """Return the services with registered servers."""
        return {service for service, _ in self._registered}

    def view(self, service: str, now: Millis, window: Millis) -> VersionsView:
        """Return the versions of a service that were registered within ``window`` before now."""
        recent = (key for key, at in self._gone_at.items() if now - at < window)
        versions = {version for name, version in (*self._registered, *recent) if name == service}
        known_since = self._known_since
        return VersionsView(
            versions=frozenset(versions),
            is_complete=known_since is not None and now - known_since >= window,
        )


def stream_window(configuration: Configuration | None) -> Millis:
    """Return how long after its first event a stream may be taken up by its caller."""
    if configuration is None:
        return MAX_WINDOW
    timeouts = [route.timeout for route in configuration.routes if route.kind is RouteKind.STREAM]
    longest = max(timeouts, default=0.0)
    return min(MAX_WINDOW, max(MIN_WINDOW, WINDOW_PER_TIMEOUT * longest))
