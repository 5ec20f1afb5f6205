"""The service and software version at which streams began, and who knows them."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from enum import StrEnum

from msgspec import Struct

from carobspool_core._clock import Millis
from carobspool_core.direct import UNKNOWN_VERSION
from carobspool_core.stream_versions._history import VersionsView

MAX_ORIGINS = 20_000
"""Origins that one entry keeps, the latest ones; each takes some 300 bytes."""


class StreamOrigin(Struct, frozen=True, kw_only=True):
    """Where a stream began.

    Attributes:
        service: The service.
        version: Software version of the server; `UNKNOWN_VERSION` if it is not certain.
    """

    service: str
    version: str

    @property
    def is_certain(self) -> bool:
        """Whether the version is known."""
        return self.version != UNKNOWN_VERSION


class KnownOrigin(Struct, kw_only=True):
    """An origin in the table of an entry.

    Attributes:
        origin: The origin.
        known_at: When this entry learned it.
        instance: The server that brought the first event; empty if the stream began at a peer.
        is_recorded: Whether it was read from the record of an earlier process.
    """

    origin: StreamOrigin
    known_at: Millis
    instance: str = ""
    is_recorded: bool = False


class OriginTable:
    """The origins that one entry knows, by the stream's id. Not thread-safe."""

    __slots__ = ("_known",)

    def __init__(self) -> None:
        self._known: dict[str, KnownOrigin] = {}

    def add(
        self,
        stream_id: str,
        origin: StreamOrigin,
        now: Millis,
        *,
        instance: str = "",
        is_recorded: bool = False,
    ) -> None:
        """Add an origin; two different ones of a stream leave its version uncertain."""
        known = self._known.pop(stream_id, None)
        if known is not None and known.origin != origin:
            origin = StreamOrigin(service=origin.service, version=UNKNOWN_VERSION)
        self._known[stream_id] = KnownOrigin(
            origin=origin, known_at=now, instance=instance, is_recorded=is_recorded
        )
        if len(self._known) > MAX_ORIGINS:
            del self._known[next(iter(self._known))]

    def find(self, stream_id: str) -> KnownOrigin | None:
        """Return a known origin, ``None`` if there is none."""
        return self._known.get(stream_id)

    def begun_here(self, service: str) -> dict[StreamOrigin, list[str]]:
        """Return the streams of a service that began at this entry, by their origin."""
        found: dict[StreamOrigin, list[str]] = {}
        for stream_id, known in self._known.items():
            if known.instance and known.origin.service == service:
                found.setdefault(known.origin, []).append(stream_id)
        return found

    def doubt_instance(self, instance: str, version: str) -> list[str]:
        """Mark the streams that began at a server as uncertain if it now runs another version.

        A registration is known some time after the start that it describes, so that such a stream
        may have begun at the later start.

        Args:
            instance: The server, which has started again.
            version: The version that it runs now.

        Returns:
            The ids of the streams that have become uncertain.
        """
        doubted = []
        for stream_id, known in self._known.items():
            if known.instance != instance or known.origin.version in (version, UNKNOWN_VERSION):
                continue
            known.origin = StreamOrigin(service=known.origin.service, version=UNKNOWN_VERSION)
            doubted.append(stream_id)
        return doubted

    def remove_older(self, before: Millis) -> None:
        """Remove the origins that were learned before a time."""
        while self._known:
            stream_id = next(iter(self._known))
            if self._known[stream_id].known_at >= before:
                return
            del self._known[stream_id]


class KnownBy(StrEnum):
    """Who knows the origin of a stream that its caller takes up.

    Attributes:
        OWN: This entry: the stream began here, or a peer has told it.
        RECORD: The record that entries keep in the store, as this entry read it at its start.
        PEER: A peer that was asked.
        REGISTRATIONS: Nobody has to: one version alone has served for as long as a stream lasts.
        NOBODY: Nobody that answers.
    """

    OWN = "own"
    RECORD = "record"
    PEER = "peer"
    REGISTRATIONS = "registrations"
    NOBODY = "nobody"


class OriginAnswer(Struct, frozen=True, kw_only=True):
    """What a peer answers that is asked for the origin of a stream.

    Attributes:
        origin: The origin, ``None`` if the peer does not know it.
        age: Time since the peer learned it.
        view: The versions of the service that the peer knows.
    """

    origin: StreamOrigin | None
    age: Millis
    view: VersionsView


def decide_origin(
    service: str, own: VersionsView, answers: Sequence[OriginAnswer], *, has_peers: bool
) -> tuple[StreamOrigin | None, KnownBy]:
    """Return the origin of a stream that this entry does not know itself, and who knows it.

    Args:
        service: The service that serves the stream if a single version has served it.
        own: The versions of that service that this entry knows.
        answers: The answers of the peers that were asked.
        has_peers: Whether there are other entries. Without an answer of one, this entry may be cut
            off from all that has happened.
    """
    found = {answer.origin for answer in answers if answer.origin is not None}
    if found:
        origin = found.pop()
        if found or not origin.is_certain:
            return None, KnownBy.NOBODY
        return origin, KnownBy.PEER
    if has_peers and not answers:
        return None, KnownBy.NOBODY
    views = [own, *(answer.view for answer in answers)]
    seen_by_all = VersionsView(
        versions=frozenset(_all_versions(views)),
        is_complete=any(view.is_complete for view in views),
    )
    version = seen_by_all.sole_version
    if version is None:
        return None, KnownBy.NOBODY
    return StreamOrigin(service=service, version=version), KnownBy.REGISTRATIONS


def _all_versions(views: Iterable[VersionsView]) -> Iterable[str]:
    return (version for view in views for version in view.versions)
