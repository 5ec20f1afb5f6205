"""Fetch the configuration and the registered upstreams from another entry instead of the store.

A few entries follow the store (`should_watch_store`). The other entries see in announcements that a
peer has a newer version, and fetch the whole view from it. They read from the store what no
peer can provide.
"""

from __future__ import annotations

import math
import threading
from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Annotated, Any, Literal

from absl import logging

from carobspool_core import Clock, Json, Millis
from carobspool_core.direct import Upstream, UpstreamsSnapshot
from carobspool_core.problems import UnusableRecordError
from carobspool_core.records import JSON_VALUE, Bounds, Record, read_record
from carobspool_node.direct._crash_isolation import CrashIsolation
from carobspool_node.direct._declared import CONFIGURATION, DeclaredState
from carobspool_node.direct._packed_answer import AnswerPacker, unpack_answer
from carobspool_node.direct._peer import QUARANTINES, Peer
from carobspool_node.direct._peer_calls import PeerCaller, PeerCallError
from carobspool_node.direct._peer_messages import MAX_NAME_CHARS, Address, Count, Name

PULL_TIMEOUT: Millis = 400.0
"""Timeout of a call for a view, which the peer answers from memory."""
CONFIRM_TIMEOUT: Millis = 150.0
"""Timeout of a call for the version that a peer knows; a caller waits for its result."""
MAX_CONFIRM_ATTEMPTS = 2
CONFIGURATION_VERSION = "configuration_version"
PULL_RETRY_PAUSE: Millis = 100.0
"""Pause after a call without a newer view, before any peer is called again."""


class ViewCall(Record):
    """A peer's call for a view that this entry has.

    Entries of the previous version do not ask for a compressed answer.
    """

    kind: Literal["configuration", "upstreams", "configuration_version", "quarantines"]
    packed: bool = False


class _UpstreamRecord(Record):
    instance: Name
    service: Name
    address: Address
    failure_domain: str
    slots: Annotated[int, Bounds(ge=1)]
    ready: bool
    started: Count
    version: Annotated[str, Bounds(max_length=MAX_NAME_CHARS)] = ""


class _LapsedRecord(Record):
    upstream: _UpstreamRecord
    left: Annotated[float, Bounds(ge=0.0)]


class _UpstreamsAnswer(Record):
    revision: Count
    listed: list[_UpstreamRecord]
    lapsed: list[_LapsedRecord]


class _PackedAnswer(Record):
    packed: bytes


class _VersionAnswer(Record):
    version: Count


class _ConfigurationAnswer(Record):
    revision: Count
    value: Annotated[Any, JSON_VALUE]


class ViewExchange:
    """Serves this entry's views to peers, and fetches newer views from them.

    Args:
        clock: The process's clock.
        declared: Views that this entry has.
        caller: Makes calls to peers.
        peer: Returns a live peer by its name.
        live: Returns all live peers.
        isolation: Evidence against requests that crash upstreams.
    """

    def __init__(
        self,
        clock: Clock,
        declared: DeclaredState,
        caller: PeerCaller,
        peer: Callable[[str], Peer | None],
        live: Callable[[], Sequence[Peer]],
        isolation: CrashIsolation,
    ) -> None:
        self._clock = clock
        self._declared = declared
        self._caller = caller
        self._peer = peer
        self._live = live
        self._isolation = isolation
        self._lock = threading.Lock()
        self._pulling: set[str] = set()
        self._no_pull_before: Millis = 0.0
        self._packer = AnswerPacker()
        self._pulls = ThreadPoolExecutor(2, thread_name_prefix="view")

    def serve(self, call: ViewCall) -> Json:
        """Return the requested view, ``None`` if this entry does not have it."""
        answer = self._requested_view(call)
        if answer is None or not call.packed:
            return answer
        return {"packed": self._packer.pack(call.kind, answer)}

    def _requested_view(self, call: ViewCall) -> Json:
        if call.kind == CONFIGURATION_VERSION:
            return {"version": self._declared.versions()[CONFIGURATION]}
        if call.kind == CONFIGURATION:
            stored = self._declared.stored_configuration()
            return None if stored is None else {"revision": stored[0], "value": stored[1]}
        if call.kind == QUARANTINES:
            return self._isolation.quarantines_to_send()
        revision, view = self._declared.upstreams_view()
        return {
            "revision": revision,
            "listed": [_upstream_to_record(each) for each in view.listed],
            "lapsed": [
                {"upstream": _upstream_to_record(each), "left": left} for each, left in view.lapsed
            ],
        }

    def pull_newer_views(self, name: str, versions: Mapping[str, int]) -> None:
        """Fetch the views of which a peer announces a newer version."""
        kinds = [*self._declared.newer_views(versions)]
        if self._isolation.should_pull(versions):
            kinds.append(QUARANTINES)
        for kind in kinds:
            peer = self._peer(name)
            if peer is not None and self._start_pull(kind):
                self._pulls.submit(self._pull, kind, peer)
        # A view that still differs after the time for such a call is read from the store.
        self._declared.refresh_if_behind(versions)

    def confirm_configuration(self) -> bool:
        """Ask a peer whether this entry has the newest configuration, and fetch a newer one.

        The peer is the one that the store has answered most recently. The store itself is not
        called, so that callers cannot cause store calls.

        Returns:
            Whether the configuration is now confirmed as the newest. An entry without peers relies
            on its own.
        """
        peers = [each for each in self._live() if not each.leaving]
        if not peers:
            return True
        for peer in sorted(peers, key=_staleness)[:MAX_CONFIRM_ATTEMPTS]:
            version = self._fetch_configuration_version(peer)
            if version is None:
                continue
            if version > self._declared.versions()[CONFIGURATION]:
                self._pull(CONFIGURATION, peer)
            return version <= self._declared.versions()[CONFIGURATION]
        return False

    def _fetch_configuration_version(self, peer: Peer) -> int | None:
        call = {"kind": CONFIGURATION_VERSION}
        try:
            status, answer = self._caller.call(peer, "view", call, CONFIRM_TIMEOUT)
            if status != 200:
                return None
            return read_record(_VersionAnswer, answer).version
        except (PeerCallError, UnusableRecordError) as error:
            logging.info("event=confirm_failed peer=%s reason=%r", peer.identity, str(error))
            return None

    def close(self) -> None:
        """Start no more fetches and wait for those in progress."""
        with self._lock:
            self._no_pull_before = math.inf
        self._pulls.shutdown()

    def _start_pull(self, kind: str) -> bool:
        """Mark a view as being fetched; return false if it already is, or during a pause."""
        with self._lock:
            if kind in self._pulling or self._clock.now() < self._no_pull_before:
                return False
            self._pulling.add(kind)
            return True

    def _pull(self, kind: str, peer: Peer) -> None:
        started = self._clock.now()
        adopted = False
        reason = ""
        try:
            call = {"kind": kind, "packed": True}
            status, answer = self._caller.call(peer, "view", call, PULL_TIMEOUT)
            if status == 200 and answer is not None:
                adopted = self._adopt(kind, _unpack_if_packed(answer))
        except (PeerCallError, UnusableRecordError) as error:
            reason = str(error)
        except Exception as error:  # noqa: BLE001
            logging.exception("event=view_failed peer=%s", peer.identity)
            reason = repr(error)
        finally:
            with self._lock:
                self._pulling.discard(kind)
                if not adopted:
                    retry_at = self._clock.now() + PULL_RETRY_PAUSE
                    self._no_pull_before = max(self._no_pull_before, retry_at)
        logging.info(
            "event=view_taken kind=%s peer=%s done=%s took_ms=%.0f reason=%r",
            kind,
            peer.identity,
            adopted,
            self._clock.now() - started,
            reason,
        )

    def _adopt(self, kind: str, answer: Json) -> bool:
        if kind == CONFIGURATION:
            found = read_record(_ConfigurationAnswer, answer)
            return self._declared.adopt_configuration(found.revision, found.value)
        if kind == QUARANTINES:
            self._isolation.adopt(answer)
            return True
        upstreams = read_record(_UpstreamsAnswer, answer)
        view = UpstreamsSnapshot(
            listed=[_upstream_from_record(each) for each in upstreams.listed],
            lapsed=[(_upstream_from_record(each.upstream), each.left) for each in upstreams.lapsed],
        )
        return self._declared.adopt_upstreams(upstreams.revision, view)


def _unpack_if_packed(answer: Json) -> Json:
    """Return a peer's answer, uncompressed; peers of the previous version never compress it."""
    if isinstance(answer, dict) and "packed" in answer:
        return unpack_answer(read_record(_PackedAnswer, answer).packed)
    return answer


def _staleness(peer: Peer) -> tuple[bool, Millis]:
    """Return a sort key that puts the peer with the most recent store answer first."""
    return not peer.store_ok, peer.answer_age


def _upstream_to_record(upstream: Upstream) -> Mapping[str, str | int | bool | Sequence[str | int]]:
    return {
        "instance": upstream.instance,
        "service": upstream.service,
        "address": list(upstream.address),
        "failure_domain": upstream.failure_domain,
        "slots": upstream.slots,
        "ready": upstream.ready,
        "started": upstream.started,
        "version": upstream.version,
    }


def _upstream_from_record(record: _UpstreamRecord) -> Upstream:
    return Upstream(
        instance=record.instance,
        service=record.service,
        address=record.address,
        failure_domain=record.failure_domain,
        slots=record.slots,
        ready=record.ready,
        started=record.started,
        version=record.version,
    )
