"""Remembers the software version at which streams began, also for the streams of other entries.

A caller can take a resumable stream up at any entry after its connection has broken, and the entry
at which the stream began may be gone. While servers of several versions serve, that entry tells two
peers, chosen by the stream's id, before it forwards the first event. Any entry finds them again by
the id that the caller names. What outlives the loss of all entries stands in the store
(`StreamRecords`). A stream whose version is not known for certain does not go on.

Nothing is sent while a single version serves: the registrations then tell the version of each
stream.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Mapping, Sequence
from concurrent.futures import Future, ThreadPoolExecutor, as_completed, wait
from enum import StrEnum
from typing import Any, Protocol, TypeVar

from absl import logging
from msgspec import Struct

from carobspool_core import Clock, Json, Millis
from carobspool_core.direct import UNKNOWN_VERSION, Route, Upstream
from carobspool_core.organisations import KnownPeer
from carobspool_core.problems import UnusableRecordError
from carobspool_core.stream_versions import (
    KnownBy,
    OriginAnswer,
    OriginTable,
    ServiceVersion,
    StreamOrigin,
    VersionsView,
    decide_origin,
    holders_of,
    peers_to_ask,
)
from carobspool_node.direct._group_assignment import UpstreamSplit
from carobspool_node.direct._origin_messages import (
    MAX_STREAMS_SENT,
    OriginCall,
    OriginsHint,
    origin_answer_to_record,
    read_origin_answer,
)
from carobspool_node.direct._peer import Peer
from carobspool_node.direct._peer_calls import PeerCallError
from carobspool_node.direct._shared_read import SharedRead

ASK_TIMEOUT: Millis = 150.0
"""Longest wait for the peers' answers. A peer answers from memory within a round trip; callers
notice a pause of 300 ms."""
MAX_CONCURRENT_CALLS = 16
"""Calls to peers in progress: those for four streams that are taken up at the same moment."""
MAX_CONCURRENT_READS = 8
"""Reads of the record of versions and polls in progress."""
RECORD_TIMEOUT: Millis = 400.0
"""Longest wait for the store's record of versions. It is read within a round trip, or through a
peer while the store does not answer this entry."""
POLL_TIMEOUT: Millis = 300.0
"""Longest wait for the answers of all known entries."""
READ_INTERVAL_PER_ENTRY: Millis = 5.0
"""Least time between two reads of the record by one entry, for each entry: all entries together
read it 200 times a second at most, up to 40 entries."""
MAX_READ_INTERVAL: Millis = 200.0
MAX_POLLED_SERVICES = 100
ORIGIN_OPERATION = "stream-origin"
_UNCERTAIN = "uncertain_origins"
"""Key among the versions that entries announce: present while streams of an uncertain version that
began at this entry, or of which it was told, can be taken up."""


_T = TypeVar("_T")


class OriginPeers(Protocol):
    """The other entries."""

    def live(self) -> list[Peer]:
        """Return the peers whose hints have arrived recently."""

    def hears_all_known(self) -> bool:
        """Return whether hints of all known entries arrive."""

    def known_peers(self) -> Sequence[KnownPeer]:
        """Return all other entries, heard or only listed."""

    def recent_pause(self) -> Millis:
        """Return how long this process was suspended last, 0 if it was not recently."""

    def announce(self) -> None:
        """Send the state of this entry to all peers at once."""

    def send_origins(
        self, origin: StreamOrigin, streams: Sequence[str], names: Sequence[str]
    ) -> None:
        """Tell some live peers where streams began."""


class OriginViews(Protocol):
    """What this entry knows of the registered upstreams."""

    def services(self) -> set[str]:
        """Return the services with registered upstreams."""

    def versions_of(self, service: str) -> VersionsView:
        """Return the software versions of a service at which a stream can have begun."""

    def extend_stream_window(self, duration: Millis) -> None:
        """Let the window cover a caller who waits for ``duration`` altogether."""

    def has_other_version(self, upstream: Upstream) -> bool:
        """Return whether an upstream has started again at another software version."""


class OriginRecords(Protocol):
    """What the store keeps of streams, for entries that start after all were lost."""

    @property
    def is_loaded(self) -> bool:
        """Whether the records of earlier processes are known."""

    def read_versions(self) -> frozenset[ServiceVersion] | None:
        """Read the versions at which streams may have begun, as the store has them now."""

    def has_version_of(self, upstream: Upstream) -> bool:
        """Whether the store has a record that streams may have begun at an upstream's version."""

    def begin(self, stream_id: str, origin: StreamOrigin, until: Millis) -> None:
        """Add a stream in progress."""

    def end(self, stream_id: str) -> None:
        """Remove a stream that is complete."""

    def doubt(self, stream_ids: Iterable[str]) -> None:
        """Remove streams whose versions are not certain any more."""

    def upstreams_changed(self) -> None:
        """Write what the changed registrations require."""


class ConfirmedBy(StrEnum):
    """What shows that the registrations which tell a stream's version are those of all entries.

    Attributes:
        RECORD: The store's record of versions, in a read that began after the take-up arrived.
        ANSWERS: The answers of all known entries to calls that began after it, while the store
            cannot be read.
        NOTHING: Nothing; the version does not follow from the registrations, or none is known.
    """

    RECORD = "record"
    ANSWERS = "answers"
    NOTHING = "nothing"


class FoundOrigin(Struct, frozen=True, kw_only=True):
    """The origin of a stream that a caller takes up, with details for the log.

    Attributes:
        origin: The origin, ``None`` if it is not known for certain.
        known_by: Who knows it.
        age: Time since it was learned there; 0 if it follows from the registrations.
        asked: Number of peers that were asked.
        answered: Number of those that have answered.
        is_record_read: Whether the store's records of earlier processes are known here.
        confirmed_by: What confirms the registrations.
        evidence_age: Time since the take-up arrived, after which all of what confirms them began.
        needs_confirmation: Whether the registrations would tell the version if they were confirmed.
    """

    origin: StreamOrigin | None
    known_by: KnownBy
    age: Millis = 0.0
    asked: int = 0
    answered: int = 0
    is_record_read: bool = True
    confirmed_by: ConfirmedBy = ConfirmedBy.NOTHING
    evidence_age: Millis = 0.0
    needs_confirmation: bool = False

    @property
    def may_be_known_elsewhere(self) -> bool:
        """Whether a peer or the store may know the origin, and could not be asked."""
        if self.known_by is not KnownBy.NOBODY:
            return False
        if self.confirmed_by is ConfirmedBy.NOTHING and self.needs_confirmation:
            return True
        return not self.is_record_read or not self.asked or self.answered < self.asked


class StreamOrigins:
    """The origins of streams at one entry. Thread-safe.

    Args:
        clock: The process's clock.
        name: Name of this entry.
        peers: The other entries.
        views: The registered upstreams.
        window: Returns how long a stream may be taken up after its first event.
        records: What the store keeps of streams.
        call_peer: Calls a peer, with operation, body and timeout; returns status and answer.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        name: str,
        peers: OriginPeers,
        views: OriginViews,
        window: Callable[[], Millis],
        records: OriginRecords,
        call_peer: Callable[[Peer, str, Any, Millis], tuple[int, Any]],
    ) -> None:
        self._clock = clock
        self._name = name
        self._peers = peers
        self._views = views
        self._window = window
        self._records = records
        self._call_peer = call_peer
        self._lock = threading.Lock()
        self._table = OriginTable()
        self._told: set[str] = set()
        self._began_uncertain_until: Millis = float("-inf")
        self._told_uncertain_until: Millis = float("-inf")
        self._calls = ThreadPoolExecutor(MAX_CONCURRENT_CALLS, thread_name_prefix="origin")
        self._polls = ThreadPoolExecutor(MAX_CONCURRENT_CALLS, thread_name_prefix="poll-versions")
        self._reads = ThreadPoolExecutor(MAX_CONCURRENT_READS, thread_name_prefix="shared-read")
        self._recorded = self._shared_read(records.read_versions, RECORD_TIMEOUT)
        self._polled: dict[str, SharedRead[frozenset[str]]] = {}

    def begin(self, stream_id: str, upstream: Upstream, version: str, until: Millis) -> None:
        """Record the origin of a stream, before its first event is forwarded.

        Args:
            stream_id: Request id of the caller's attempt that brings the first event.
            upstream: The upstream that has sent the event.
            version: Its software version; `UNKNOWN_VERSION` if that is not certain.
            until: Until when its caller may take it up.
        """
        origin = StreamOrigin(service=upstream.service, version=version)
        now = self._clock.now()
        self._views.extend_stream_window(until - now)
        with self._lock:
            self._table.add(stream_id, origin, now, instance=upstream.instance)
        if origin.is_certain:
            self._records.begin(stream_id, origin, until)
        else:
            self._record_uncertain()
        if not origin.is_certain or self._must_tell(upstream.service):
            self._tell([stream_id], origin)

    def complete(self, stream_id: str) -> None:
        """Record that a stream has been forwarded to its end."""
        self._records.end(stream_id)

    def load(self, origin: StreamOrigin, streams: Sequence[str]) -> None:
        """Record the origin of streams that began before this process started."""
        now = self._clock.now()
        with self._lock:
            for stream_id in streams:
                self._table.add(stream_id, origin, now, is_recorded=True)

    def where_streams_begin(self, split: UpstreamSplit) -> UpstreamSplit:
        """Return the upstreams at which a resumable stream may begin.

        A version serves streams only once the store has a record of it: the loss of all entries
        would leave no trace of the version otherwise. If it has none of any, all are returned.
        """
        upstreams = (*split.near, *split.far)
        recorded = {each.identity for each in upstreams if self._records.has_version_of(each)}
        if not recorded or len(recorded) == len(upstreams):
            return split
        return UpstreamSplit(
            near=[each for each in split.near if each.identity in recorded],
            far=[each for each in split.far if each.identity in recorded],
        )

    def versions(self) -> Mapping[str, int]:
        """Return what announcements state so that peers ask before they rely on registrations."""
        until = max(self._began_uncertain_until, self._told_uncertain_until)
        return {_UNCERTAIN: 1} if self._clock.now() < until else {}

    def find(self, stream_id: str, route: Route) -> FoundOrigin:
        """Return the origin of a stream that a caller takes up.

        Args:
            stream_id: Request id of the attempt that brought the first event; empty if the caller
                does not name it.
            route: The route of the request.
        """
        now = self._clock.now()
        with self._lock:
            known = self._table.find(stream_id)
        if known is not None:
            origin = known.origin if known.origin.is_certain else None
            known_by = KnownBy.RECORD if known.is_recorded else KnownBy.OWN
            return FoundOrigin(origin=origin, known_by=known_by, age=now - known.known_at)
        service = route.choose_service(stream_id)
        own = self._views.versions_of(service)
        live = self._peers.live()
        asked = peers_to_ask(stream_id, self._name, [peer.name for peer in live])
        answers = self._ask([peer for peer in live if peer.name in asked], stream_id, service)
        has_peers = bool(live) or not self._peers.hears_all_known()
        decided, known_by = decide_origin(service, own, answers, has_peers=has_peers)
        confirmed_by = ConfirmedBy.NOTHING
        needs_confirmation = known_by is KnownBy.REGISTRATIONS
        if not _is_named(answers):
            # What peers have announced may be old: this process or its links may have stood still.
            # A stream of an uncertain version is in no record, but two peers have been told.
            is_heard = len(answers) * 2 >= len(asked) and (bool(answers) or not has_peers)
            if is_heard:
                decided, confirmed_by = self._confirm(service, decided)
            if confirmed_by is ConfirmedBy.NOTHING:
                decided, known_by = None, KnownBy.NOBODY
            else:
                known_by = KnownBy.REGISTRATIONS
        return FoundOrigin(
            origin=decided,
            known_by=known_by,
            age=max((each.age for each in answers if each.origin is not None), default=0.0),
            asked=len(asked),
            answered=len(answers),
            is_record_read=self._records.is_loaded,
            confirmed_by=confirmed_by,
            evidence_age=self._clock.now() - now,
            needs_confirmation=needs_confirmation,
        )

    def _recorded_versions(self, service: str) -> frozenset[str] | None:
        """Return the versions of a service that the store has a record of, read from now on.

        Streams begin at recorded versions only, so that a stream that has begun before the read can
        have begun at no other.

        Returns:
            The versions, ``None`` if the record cannot be read or has none of the service.
        """
        recorded = self._recorded.get()
        if recorded is None:
            return None
        return frozenset(version for name, version in recorded if name == service) or None

    def _confirm(
        self, service: str, origin: StreamOrigin | None
    ) -> tuple[StreamOrigin | None, ConfirmedBy]:
        """Return the only version at which streams can have begun, and what shows it.

        Args:
            service: The service.
            origin: What this entry and the peers that answered know, ``None`` if they know several
                versions.
        """
        recorded = self._recorded_versions(service)
        if recorded is not None:
            if len(recorded) != 1:
                return None, ConfirmedBy.NOTHING
            (version,) = recorded
            return StreamOrigin(service=service, version=version), ConfirmedBy.RECORD
        if origin is None:
            return None, ConfirmedBy.NOTHING
        with self._lock:
            polled = self._polled.pop(service, None)
            if polled is None:
                polled = self._shared_read(
                    lambda: self._poll_versions(service), POLL_TIMEOUT + ASK_TIMEOUT
                )
                if len(self._polled) >= MAX_POLLED_SERVICES:
                    del self._polled[next(iter(self._polled))]
            self._polled[service] = polled
        if polled.get() == frozenset((origin.version,)):
            return origin, ConfirmedBy.ANSWERS
        return None, ConfirmedBy.NOTHING

    def _poll_versions(self, service: str) -> frozenset[str] | None:
        """Ask all live peers for the versions of a service.

        Returns:
            The versions that this entry and the peers know, ``None`` without other entries and
            unless all known entries have answered: those that have not may have begun the stream.
        """
        known = 1 + len(self._peers.known_peers())
        body = {"stream": "", "service": service}
        calls = [self._polls.submit(self._ask_peer, peer, body) for peer in self._peers.live()]
        done, _ = wait(calls, POLL_TIMEOUT / 1000.0)
        _cancel_all(calls)
        views = [answer.view for answer in (each.result() for each in done) if answer is not None]
        if not views or 1 + len(views) < known:
            return None
        views.append(self._views.versions_of(service))
        return frozenset(version for view in views for version in view.versions)

    def _shared_read(
        self, read: Callable[[], frozenset[_T] | None], timeout: Millis
    ) -> SharedRead[frozenset[_T]]:
        return SharedRead(
            self._clock,
            read,
            interval=lambda: min(
                MAX_READ_INTERVAL, READ_INTERVAL_PER_ENTRY * (1 + len(self._peers.known_peers()))
            ),
            timeout=timeout,
            pool=self._reads,
        )

    def recent_pause(self) -> Millis:
        """Return how long this process was suspended last, 0 if it was not recently."""
        return self._peers.recent_pause()

    def receive(self, hint: OriginsHint) -> None:
        """Record the origin of streams that began at a peer."""
        now = self._clock.now()
        with self._lock:
            for stream_id in hint.streams:
                self._table.add(stream_id, hint.origin, now)
        if not hint.origin.is_certain:
            self._told_uncertain_until = now + self._window()

    def serve(self, call: OriginCall) -> Json:
        """Return the answer to a peer's call."""
        with self._lock:
            known = self._table.find(call.stream)
        return origin_answer_to_record(
            OriginAnswer(
                origin=None if known is None else known.origin,
                age=0.0 if known is None else self._clock.now() - known.known_at,
                view=self._views.versions_of(call.service),
            )
        )

    def upstreams_changed(self) -> None:
        """Tell peers the streams in progress of each service that has got a second version.

        The announcement shows all peers that their registrations are outdated before a stream can
        have begun at the new version.
        """
        self._records.upstreams_changed()
        for service in self._views.services():
            if not self._must_tell(service):
                self._told.discard(service)
                continue
            if service in self._told:
                continue
            self._told.add(service)
            self._peers.announce()
            with self._lock:
                begun = self._table.begun_here(service)
            for origin, streams in begun.items():
                self._tell(streams, origin)

    def upstream_restarted(self, upstream: Upstream) -> None:
        """Doubt the streams that began at an upstream which now runs another version."""
        with self._lock:
            doubted = self._table.doubt_instance(upstream.instance, upstream.version)
        if not doubted:
            return
        self._records.doubt(doubted)
        self._peers.announce()
        logging.info(
            "event=origins_doubted upstream=%s version=%s streams=%d",
            upstream.instance,
            upstream.version,
            len(doubted),
        )
        self._tell(doubted, StreamOrigin(service=upstream.service, version=UNKNOWN_VERSION))

    def is_doubtful(self, upstream: Upstream) -> bool:
        """Whether a stream may have events of a later start of an upstream, at another version.

        A registration is known some time after the start that it describes.
        """
        return self._views.has_other_version(upstream)

    def remove_expired(self) -> None:
        """Forget the origins of streams that can no longer be taken up, and rollouts that are over.

        A version stops to count some time after the registrations have changed last.
        """
        before = self._clock.now() - self._window()
        with self._lock:
            self._table.remove_older(before)
        for service in list(self._told):
            if not self._must_tell(service):
                self._told.discard(service)

    def _record_uncertain(self) -> None:
        """Announce that streams have begun whose version the registrations do not tell.

        Peers that are not told of these streams would take them for ones of the only registered
        version. One announcement holds for all streams of the time that it covers.
        """
        now = self._clock.now()
        is_announced = now < self._began_uncertain_until
        self._began_uncertain_until = now + self._window()
        if not is_announced:
            self._peers.announce()

    def _must_tell(self, service: str) -> bool:
        """Whether registrations alone may not tell the version of a service's streams."""
        return self._views.versions_of(service).sole_version is None

    def _tell(self, streams: Sequence[str], origin: StreamOrigin) -> None:
        names = [peer.name for peer in self._peers.live() if not peer.leaving]
        by_holder: dict[str, list[str]] = {}
        for stream_id in streams:
            for holder in holders_of(stream_id, names):
                by_holder.setdefault(holder, []).append(stream_id)
        for holder, told in by_holder.items():
            for start in range(0, len(told), MAX_STREAMS_SENT):
                self._peers.send_origins(origin, told[start : start + MAX_STREAMS_SENT], [holder])

    def _ask(self, peers: Sequence[Peer], stream_id: str, service: str) -> list[OriginAnswer]:
        """Return the answers of peers, up to the first one that knows the origin."""
        body = {"stream": stream_id, "service": service}
        calls = [self._calls.submit(self._ask_peer, peer, body) for peer in peers]
        answers = []
        try:
            for call in as_completed(calls, ASK_TIMEOUT / 1000.0):
                answer = call.result()
                if answer is None:
                    continue
                answers.append(answer)
                if answer.origin is not None:
                    break
        except TimeoutError:
            pass
        finally:
            _cancel_all(calls)
        return answers

    def _ask_peer(self, peer: Peer, body: Json) -> OriginAnswer | None:
        try:
            status, answer = self._call_peer(peer, ORIGIN_OPERATION, body, ASK_TIMEOUT)
            # Entries of the previous version answer 404.
            return read_origin_answer(answer) if status == 200 else None
        except (PeerCallError, UnusableRecordError) as error:
            logging.info("event=origin_call_failed peer=%s reason=%r", peer.identity, str(error))
            return None


def _is_named(answers: Sequence[OriginAnswer]) -> bool:
    """Whether a peer knows where the stream began, if only that it is uncertain."""
    return any(answer.origin is not None for answer in answers)


def _cancel_all(calls: Sequence[Future[OriginAnswer | None]]) -> None:
    for call in calls:
        call.cancel()
