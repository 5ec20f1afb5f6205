"""An object store that goes through another entry when this one is turned away.

The store sometimes refuses single machines while it serves the others, or is cut off from them.
Without a way around, such an entry could accept no job and commit no result, and would serve an old
configuration, for as long as that lasts.

Writes are conditional: they create an object or name the version that they replace. So a write
whose answer is lost is made again through a peer. Whichever of the two comes second conflicts with
an object of the same value, which tells that the write is done. For the same reason a write that a
caller waits for goes through a peer already while its answer is only late: most entries call the
store rarely, and learn by such a write that it does not hear them.
"""

from __future__ import annotations

import functools
import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

import cbor2
from absl import logging
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from carobspool_core import (
    Clock,
    Json,
    Millis,
    ObjectPage,
    ObjectStore,
    StoredObject,
    StoreFailure,
    StoreFault,
    WatchBatch,
)
from carobspool_core.problems import UnusableRecordError
from carobspool_core.records import read_record
from carobspool_node.direct._bad_records import BadRecords
from carobspool_node.direct._peer_calls import PeerCaller, PeerCallError
from carobspool_node.direct._peer_messages import (
    StoreCall,
    StoreFaultAnswer,
    StoreObjectAnswer,
    StorePageAnswer,
)
from carobspool_node.direct._peers import Peers
from carobspool_node.direct._telemetry import Telemetry

RELAY_TIMEOUT: Millis = 2_000.0
REFUSED_TIME: Millis = 1_000.0
"""How long after a refusal the way through a peer is tried first; then the store is asked again."""
RELAYS_TRIED = 2
READS = ("get", "list")
HEDGE_AFTER: Millis = 120.0
"""Wait for an answer to a new object after which a peer is asked besides; one takes some 10 ms."""
HEDGED = "jobs/"
"""Kind of objects whose creation a caller waits for."""
HEDGE_WORKERS = 8

Answer = Result[Any, StoreFailure]


class RelayedStore:
    """Store calls that fall back on a peer; one instance serves all tasks of a process."""

    def __init__(
        self,
        direct: ObjectStore,
        caller: PeerCaller,
        clock: Clock,
        telemetry: Telemetry,
        peers: Callable[[], Peers],
    ) -> None:
        self._direct = direct
        self._caller = caller
        self._clock = clock
        self._telemetry = telemetry
        self._peers = peers
        self._refused_until: Millis = 0.0
        self._answered: Millis = clock.now()
        self._hedges = ThreadPoolExecutor(HEDGE_WORKERS, thread_name_prefix="hedge")
        self._bad_listings = BadRecords(clock, telemetry, "listing", "prefix")

    @property
    def reachable(self) -> bool:
        """Whether to ask the store itself, and not a peer first."""
        return self._clock.now() >= self._refused_until

    @property
    def answered_last(self) -> bool:
        """Whether the store answered this process when it last asked."""
        return self._refused_until <= 0.0

    @property
    def answer_age(self) -> Millis:
        """How long ago the store last answered this process."""
        return self._clock.now() - self._answered

    def get(self, key: str) -> Result[StoredObject, StoreFailure]:
        """Read one object."""
        return self._call("get", key, lambda: self._direct.get(key), {})

    def list(
        self, prefix: str, *, after: str = "", limit: int = 500
    ) -> Result[ObjectPage, StoreFailure]:
        """Read a page of objects."""
        direct = functools.partial(self._direct.list, prefix, after=after, limit=limit)
        return self._call("list", prefix, direct, {"after": after, "limit": limit})

    def create(self, key: str, value: Json) -> Result[StoredObject, StoreFailure]:
        """Write an object that must not exist yet."""
        extra = {"value": value}
        if key.startswith(HEDGED) and self.reachable:
            return self._hedged("create", key, lambda: self._direct.create(key, value), extra)
        return self._call("create", key, lambda: self._direct.create(key, value), extra)

    def update(self, key: str, value: Json, *, version: int) -> Result[StoredObject, StoreFailure]:
        """Replace an object whose version must be ``version``."""
        extra = {"value": value, "version": version}
        return self._call(
            "update", key, lambda: self._direct.update(key, value, version=version), extra
        )

    def delete(self, key: str, *, version: int) -> Result[None, StoreFailure]:
        """Remove an object; never relayed."""
        return self._note("delete", key, self._direct.delete(key, version=version))

    def watch(
        self, prefix: str, *, revision: int, timeout: Millis
    ) -> Result[WatchBatch, StoreFailure]:
        """Wait for changes; never relayed."""
        answer = self._direct.watch(prefix, revision=revision, timeout=timeout)
        return self._note("watch", prefix, answer)

    def serve_relay(self, call: StoreCall) -> Json:
        """Make a call to the store for a peer."""
        if call.op == "get":
            answer: Answer = self._direct.get(call.key)
        elif call.op == "list":
            answer = self._direct.list(call.key, after=call.after, limit=call.limit)
        elif call.op == "create":
            answer = self._direct.create(call.key, call.value)
        else:
            answer = self._direct.update(call.key, call.value, version=call.version)
        return _encode(self._note(call.op, call.key, answer))

    def _call(
        self, operation: str, key: str, direct: Callable[[], Answer], extra: dict[str, Any]
    ) -> Answer:
        if not self.reachable:
            relayed = self._relay(operation, key, extra)
            if relayed is not None:
                return relayed
        answer = self._note(operation, key, direct())
        if _is_refused(answer) or _is_unknown(answer):
            relayed = self._relay(operation, key, extra)
            if relayed is not None:
                return relayed
        return answer

    def _hedged(
        self, operation: str, key: str, direct: Callable[[], Answer], extra: dict[str, Any]
    ) -> Answer:
        asked = self._hedges.submit(direct)
        try:
            answer = self._note(operation, key, asked.result(HEDGE_AFTER / 1000.0))
        except TimeoutError:
            relayed = self._relay(operation, key, extra)
            if relayed is not None and not _is_unknown(relayed):
                asked.add_done_callback(lambda late: self._note_late(operation, key, late))
                return relayed
            answer = self._note(operation, key, asked.result())
            return answer if relayed is None or is_successful(answer) else relayed
        if _is_refused(answer) or _is_unknown(answer):
            return self._relay(operation, key, extra) or answer
        return answer

    def _note_late(self, operation: str, key: str, late: Future[Answer]) -> None:
        if late.exception() is None:
            self._note(operation, key, late.result())

    def _note(self, operation: str, key: str, answer: Answer) -> Answer:
        outcome = "done" if is_successful(answer) else answer.failure().fault.value
        kind = key.partition("/")[0]
        self._telemetry.count("store_calls", call=operation, kind=kind, outcome=outcome)
        if _is_refused(answer) or _is_unknown(answer):
            self._refused_until = self._clock.now() + REFUSED_TIME
        elif is_successful(answer):
            self._refused_until = 0.0
            self._answered = self._clock.now()
            self._note_unreadable(key, answer.unwrap())
        return answer

    def _note_unreadable(self, prefix: str, found: object) -> None:
        if not isinstance(found, ObjectPage | WatchBatch) or not found.unreadable:
            return
        reason = f"{found.unreadable} objects whose names cannot be read"
        if isinstance(found, ObjectPage):
            self._bad_listings.note(prefix, reason)
        else:
            self._bad_listings.tell(prefix, reason)

    def _relay(self, operation: str, key: str, extra: dict[str, Any]) -> Answer | None:
        peers = [each for each in self._peers().live() if each.store_ok and not each.leaving]
        # Most entries ask the store rarely; what they tell of it may be long out of date.
        peers.sort(key=lambda each: (each.answer_age, -each.heard))
        body = {"op": operation, "key": key, **extra}
        unknown: Answer | None = None
        for peer in peers[:RELAYS_TRIED]:
            started = time.monotonic()
            try:
                status, found = self._caller.call(peer, "store", body, RELAY_TIMEOUT)
                answer = _decode(key, found) if status == 200 else None
            except (PeerCallError, UnusableRecordError) as error:
                logging.warning("event=relay_failed peer=%s reason=%r", peer.identity, error)
                detail = f"relay: {error}"
                unknown = Failure(StoreFailure(fault=StoreFault.UNKNOWN, key=key, detail=detail))
                continue
            if answer is None:
                logging.warning(
                    "event=relay_failed peer=%s reason='status %d'", peer.identity, status
                )
                continue
            logging.info(
                "event=store_relayed call=%s key=%s peer=%s done=%s took_ms=%.0f",
                operation,
                key,
                peer.identity,
                is_successful(answer),
                (time.monotonic() - started) * 1000.0,
            )
            if _is_unknown(answer):
                unknown = answer
            elif not _is_refused(answer):
                return answer
        return None if operation in READS else unknown


def _is_refused(answer: Answer) -> bool:
    return not is_successful(answer) and answer.failure().fault is StoreFault.UNAVAILABLE


def _is_unknown(answer: Answer) -> bool:
    return not is_successful(answer) and answer.failure().fault is StoreFault.UNKNOWN


def _encode(answer: Answer) -> Json:
    if is_successful(answer):
        found = answer.unwrap()
        if isinstance(found, ObjectPage):
            objects = [[each.key, each.version, _sendable(each.value)] for each in found.objects]
            sendable = [each for each in objects if _is_sendable(each[0])]
            return {
                "revision": found.revision,
                "more": found.more,
                "objects": sendable,
                "unreadable": found.unreadable + len(objects) - len(sendable),
            }
        return {"version": found.version, "value": _sendable(found.value)}
    failure = answer.failure()
    current = failure.current
    return {
        "fault": failure.fault.value,
        "detail": failure.detail,
        "current": None if current is None else [current.version, _sendable(current.value)],
    }


def _sendable(value: Json) -> Json:
    """Return a value, or ``None`` for one that would spoil the whole answer."""
    return value if _is_sendable(value) else None


def _is_sendable(value: Json) -> bool:
    # JSON can hold halves of surrogate pairs, which are no UTF-8, and any depth.
    try:
        cbor2.dumps(value)
    except (ValueError, OverflowError, RecursionError, cbor2.CBOREncodeError):
        return False
    return True


def _decode(key: str, answer: Json) -> Answer:
    """Read a peer's answer.

    Raises:
        UnusableRecordError: It is none.
    """
    if not isinstance(answer, dict):
        answer = {}
    if "objects" in answer:
        return Success(_decode_page(key, read_record(StorePageAnswer, answer)))
    if "fault" not in answer:
        found = read_record(StoreObjectAnswer, answer)
        return Success(StoredObject(key=key, version=found.version, value=found.value))
    failed = read_record(StoreFaultAnswer, answer)
    stored = None
    if failed.current is not None:
        stored = _decode_object([key, *failed.current])
    failure = StoreFailure(
        fault=StoreFault(failed.fault), key=key, detail=failed.detail, current=stored
    )
    return Failure(failure)


def _decode_page(prefix: str, page: StorePageAnswer) -> ObjectPage:
    objects = []
    for each in page.objects:
        stored = _decode_object(each)
        if stored is not None and stored.key.startswith(prefix):
            objects.append(stored)
    unreadable = page.unreadable + len(page.objects) - len(objects)
    return ObjectPage(
        revision=page.revision, objects=objects, more=page.more, unreadable=unreadable
    )


def _decode_object(value: Json) -> StoredObject | None:
    match value:
        case [str() as key, int() as version, content] if version >= 0:
            return StoredObject(key=key, version=version, value=content)
    return None
