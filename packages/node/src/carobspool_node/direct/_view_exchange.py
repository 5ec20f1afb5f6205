"""What is declared and registered, taken from another entry instead of the store.

A few entries follow the store (`has_watch_duty`). The others see in announcements that one of them
knows more, and ask it for all of it. What cannot be had from a peer is read from the store.
"""

from __future__ import annotations

import math
import threading
from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Annotated, Any, Literal

from absl import logging

from carobspool_core import Clock, Json, Millis
from carobspool_core.direct import Upstream, UpstreamsView
from carobspool_core.problems import UnusableRecordError
from carobspool_core.records import JSON_VALUE, Bounds, Record, read_record
from carobspool_node.direct._declared import CONFIGURATION, Declared
from carobspool_node.direct._packed_answer import AnswerPacker, unpack_answer
from carobspool_node.direct._peer import Peer
from carobspool_node.direct._peer_calls import PeerCaller, PeerCallError
from carobspool_node.direct._peer_messages import Address, Count, Name

PULL_TIMEOUT: Millis = 400.0
"""Longest time for one call to a peer, which answers from memory."""
CONFIRM_TIMEOUT: Millis = 150.0
"""Longest time for the question which version a peer knows; a caller waits meanwhile."""
CONFIRM_TRIES = 2
CONFIGURATION_VERSION = "configuration_version"
PULL_PAUSE: Millis = 100.0
"""Pause after a call that brought nothing, before any peer is asked again."""


class ViewCall(Record):
    """A peer asks for what this entry knows.

    Entries of the version before ask for no packed answer.
    """

    kind: Literal["configuration", "upstreams", "configuration_version"]
    packed: bool = False


class _UpstreamRecord(Record):
    instance: Name
    service: Name
    address: Address
    failure_domain: str
    slots: Annotated[int, Bounds(ge=1)]
    ready: bool
    started: Count


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
    """Gives peers what this entry knows, and takes from them what it does not.

    Args:
        clock: The process's clock.
        declared: What is known here.
        caller: Calls peers.
        peer: Returns a live peer by its name.
        live: Returns all live peers.
    """

    def __init__(
        self,
        clock: Clock,
        declared: Declared,
        caller: PeerCaller,
        peer: Callable[[str], Peer | None],
        live: Callable[[], Sequence[Peer]],
    ) -> None:
        self._clock = clock
        self._declared = declared
        self._caller = caller
        self._peer = peer
        self._live = live
        self._lock = threading.Lock()
        self._pulling: set[str] = set()
        self._not_before: Millis = 0.0
        self._packer = AnswerPacker()
        self._pulls = ThreadPoolExecutor(2, thread_name_prefix="view")

    def serve(self, call: ViewCall) -> Json:
        """Return what is known here; ``None`` when nothing is."""
        answer = self._known(call)
        if answer is None or not call.packed:
            return answer
        return {"packed": self._packer.pack(call.kind, answer)}

    def _known(self, call: ViewCall) -> Json:
        if call.kind == CONFIGURATION_VERSION:
            return {"version": self._declared.versions()[CONFIGURATION]}
        if call.kind == CONFIGURATION:
            known = self._declared.stored_configuration()
            return None if known is None else {"revision": known[0], "value": known[1]}
        revision, view = self._declared.upstreams_view()
        return {
            "revision": revision,
            "listed": [_upstream_record(each) for each in view.listed],
            "lapsed": [
                {"upstream": _upstream_record(each), "left": left} for each, left in view.lapsed
            ],
        }

    def compare(self, name: str, versions: Mapping[str, int]) -> None:
        """Take from a peer what it knows and this entry does not."""
        for kind in self._declared.newer_kinds(versions):
            peer = self._peer(name)
            if peer is not None and self._begin(kind):
                self._pulls.submit(self._pull, kind, peer)
        # What stays different for longer than such a call takes is read from the store.
        self._declared.compare(versions)

    def confirm_configuration(self) -> bool:
        """Ask whether the configuration known here is the newest, and take over a newer one.

        Asked is the peer that the store has answered last; the store itself is never asked, so that
        callers cannot cause calls to it.

        Returns:
            Whether that could be told. An entry without peers goes by what it knows.
        """
        peers = [each for each in self._live() if not each.leaving]
        if not peers:
            return True
        for peer in sorted(peers, key=_age_of_knowledge)[:CONFIRM_TRIES]:
            version = self._version_at(peer)
            if version is None:
                continue
            if version > self._declared.versions()[CONFIGURATION]:
                self._pull(CONFIGURATION, peer)
            return version <= self._declared.versions()[CONFIGURATION]
        return False

    def _version_at(self, peer: Peer) -> int | None:
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
        """Wait for the calls under way; nothing more is taken."""
        with self._lock:
            self._not_before = math.inf
        self._pulls.shutdown()

    def _begin(self, kind: str) -> bool:
        with self._lock:
            if kind in self._pulling or self._clock.now() < self._not_before:
                return False
            self._pulling.add(kind)
            return True

    def _pull(self, kind: str, peer: Peer) -> None:
        started = self._clock.now()
        taken = False
        reason = ""
        try:
            call = {"kind": kind, "packed": True}
            status, answer = self._caller.call(peer, "view", call, PULL_TIMEOUT)
            if status == 200 and answer is not None:
                taken = self._adopt(kind, _unpacked(answer))
        except (PeerCallError, UnusableRecordError) as error:
            reason = str(error)
        except Exception as error:  # noqa: BLE001
            logging.exception("event=view_failed peer=%s", peer.identity)
            reason = repr(error)
        finally:
            with self._lock:
                self._pulling.discard(kind)
                if not taken:
                    again = self._clock.now() + PULL_PAUSE
                    self._not_before = max(self._not_before, again)
        logging.info(
            "event=view_taken kind=%s peer=%s done=%s took_ms=%.0f reason=%r",
            kind,
            peer.identity,
            taken,
            self._clock.now() - started,
            reason,
        )

    def _adopt(self, kind: str, answer: Json) -> bool:
        if kind == CONFIGURATION:
            found = read_record(_ConfigurationAnswer, answer)
            return self._declared.adopt_configuration(found.revision, found.value)
        upstreams = read_record(_UpstreamsAnswer, answer)
        view = UpstreamsView(
            listed=[_upstream(each) for each in upstreams.listed],
            lapsed=[(_upstream(each.upstream), each.left) for each in upstreams.lapsed],
        )
        return self._declared.adopt_upstreams(upstreams.revision, view)


def _unpacked(answer: Json) -> Json:
    """Return what a peer tells; one of the version before answers as it is."""
    if isinstance(answer, dict) and "packed" in answer:
        return unpack_answer(read_record(_PackedAnswer, answer).packed)
    return answer


def _age_of_knowledge(peer: Peer) -> tuple[bool, Millis]:
    """Order peers by how lately the store has answered them."""
    return not peer.store_ok, peer.answer_age


def _upstream_record(upstream: Upstream) -> Mapping[str, str | int | bool | Sequence[str | int]]:
    return {
        "instance": upstream.instance,
        "service": upstream.service,
        "address": list(upstream.address),
        "failure_domain": upstream.failure_domain,
        "slots": upstream.slots,
        "ready": upstream.ready,
        "started": upstream.started,
    }


def _upstream(record: _UpstreamRecord) -> Upstream:
    return Upstream(
        instance=record.instance,
        service=record.service,
        address=record.address,
        failure_domain=record.failure_domain,
        slots=record.slots,
        ready=record.ready,
        started=record.started,
    )
