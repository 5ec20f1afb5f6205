"""Call the object store, through another entry if the store does not serve this one.

The store sometimes refuses individual hosts while it serves others, or becomes unreachable from
them. Without a relay such an entry could accept no jobs and commit no results, and would serve an
outdated configuration, until the store serves it again.

Writes are conditional: they create an object or name the version that they replace. So a write
without an answer can be repeated through a peer. Whichever of the two writes arrives second
conflicts with an object of the same value, which shows that the write has succeeded. For the same
reason a write for which a caller waits is hedged, that is, sent through a peer too while its answer
is late. Most entries call the store rarely, and such a write is often the first call to show that
the store does not answer this entry.
"""

from __future__ import annotations

import functools
import json
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
from carobspool_core.records import is_too_deep, read_record
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
RELAY_FIRST_TIME: Millis = 1_000.0
"""Time after a refusal in which calls are relayed first; then the store itself is called again."""
MAX_RELAY_ATTEMPTS = 2
READ_OPERATIONS = ("get", "list")
HEDGE_DELAY: Millis = 120.0
"""Time after which an unanswered creation is also sent through a peer; answers take about 10 ms."""
HEDGED_PREFIX = "jobs/"
"""Prefix of the objects for whose creation a caller waits."""
HEDGE_WORKERS = 8
GET_WORKERS = 4
"""Direct reads in progress for callers who wait; a silent store occupies one for two seconds."""
GET_SOON_TIMEOUT: Millis = 200.0
"""Longest further wait for the store itself after no peer has read on behalf of this process."""
RELAY_SOON_TIMEOUT: Millis = 120.0
"""Longest wait for a peer that reads on behalf of a caller who waits here."""

StoreResult = Result[Any, StoreFailure]


class RelayedStore:
    """An object store that falls back on peers; all threads of a process share one instance."""

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
        self._answered_at: Millis = clock.now()
        self._hedge_pool = ThreadPoolExecutor(HEDGE_WORKERS, thread_name_prefix="hedge")
        self._get_pool = ThreadPoolExecutor(GET_WORKERS, thread_name_prefix="get-soon")
        self._bad_listings = BadRecords(clock, telemetry, "listing", "prefix")

    @property
    def reachable(self) -> bool:
        """Whether calls go to the store itself first, and not to a peer."""
        return self._clock.now() >= self._refused_until

    @property
    def last_call_answered(self) -> bool:
        """Whether no call has been refused or left unanswered since the last successful call."""
        return self._refused_until <= 0.0

    @property
    def answer_age(self) -> Millis:
        """Time since the last successful call of this process to the store, or since the start."""
        return self._clock.now() - self._answered_at

    def get(self, key: str) -> Result[StoredObject, StoreFailure]:
        """Read an object."""
        return self._call("get", key, lambda: self._direct.get(key), {})

    def get_soon(self, key: str) -> Result[StoredObject, StoreFailure]:
        """Read an object for a caller who waits: through peers as well if the answer is late."""
        pending: Future[Any] | None = None
        if self.reachable:
            pending = self._get_pool.submit(self._direct.get, key)
            answer = self._soon(pending, key, HEDGE_DELAY)
            if answer is not None and not _is_refused(answer):
                return answer
        relayed = self._relay("get", key, {}, timeout=RELAY_SOON_TIMEOUT)
        if relayed is not None:
            return relayed
        if pending is not None and not pending.done():
            answer = self._soon(pending, key, GET_SOON_TIMEOUT)
            if answer is not None:
                return answer
            if not pending.cancel():
                pending.add_done_callback(lambda late: self._record_late_outcome("get", key, late))
        detail = "no answer of the store or through a peer in time"
        return Failure(StoreFailure(fault=StoreFault.UNAVAILABLE, key=key, detail=detail))

    def _soon(self, pending: Future[Any], key: str, timeout: Millis) -> StoreResult | None:
        """Return the answer of a direct read, ``None`` if it does not come in time."""
        try:
            return self._record_outcome("get", key, pending.result(timeout / 1000.0))
        except TimeoutError:
            return None

    def list(
        self, prefix: str, *, after: str = "", limit: int = 500
    ) -> Result[ObjectPage, StoreFailure]:
        """Read a page of objects."""
        direct = functools.partial(self._direct.list, prefix, after=after, limit=limit)
        return self._call("list", prefix, direct, {"after": after, "limit": limit})

    def create(self, key: str, value: Json) -> Result[StoredObject, StoreFailure]:
        """Create an object; fails if the key exists."""
        extra = {"value": value}
        if key.startswith(HEDGED_PREFIX) and self.reachable:
            return self._call_hedged("create", key, lambda: self._direct.create(key, value), extra)
        return self._call("create", key, lambda: self._direct.create(key, value), extra)

    def update(self, key: str, value: Json, *, version: int) -> Result[StoredObject, StoreFailure]:
        """Replace an object if its version is ``version``."""
        extra = {"value": value, "version": version}
        return self._call(
            "update", key, lambda: self._direct.update(key, value, version=version), extra
        )

    def delete(self, key: str, *, version: int) -> Result[None, StoreFailure]:
        """Remove an object. This call is never relayed."""
        return self._record_outcome("delete", key, self._direct.delete(key, version=version))

    def watch(
        self, prefix: str, *, revision: int, timeout: Millis
    ) -> Result[WatchBatch, StoreFailure]:
        """Wait for changes under a prefix. This call is never relayed."""
        answer = self._direct.watch(prefix, revision=revision, timeout=timeout)
        return self._record_outcome("watch", prefix, answer)

    def serve_relay(self, call: StoreCall) -> Json:
        """Make a store call on behalf of a peer and return the encoded result."""
        if call.op == "get":
            answer: StoreResult = self._direct.get(call.key)
        elif call.op == "list":
            answer = self._direct.list(call.key, after=call.after, limit=call.limit)
        elif call.op == "create":
            answer = self._direct.create(call.key, call.value)
        else:
            answer = self._direct.update(call.key, call.value, version=call.version)
        return encode_store_result(self._record_outcome(call.op, call.key, answer))

    def _call(
        self, operation: str, key: str, direct: Callable[[], StoreResult], extra: dict[str, Any]
    ) -> StoreResult:
        if not self.reachable:
            relayed = self._relay(operation, key, extra)
            if relayed is not None:
                return relayed
        answer = self._record_outcome(operation, key, direct())
        if _is_refused(answer) or _is_unknown(answer):
            relayed = self._relay(operation, key, extra)
            if relayed is not None:
                return relayed
        return answer

    def _call_hedged(
        self, operation: str, key: str, direct: Callable[[], StoreResult], extra: dict[str, Any]
    ) -> StoreResult:
        pending = self._hedge_pool.submit(direct)
        try:
            answer = self._record_outcome(operation, key, pending.result(HEDGE_DELAY / 1000.0))
        except TimeoutError:
            relayed = self._relay(operation, key, extra)
            if relayed is not None and not _is_unknown(relayed):
                pending.add_done_callback(
                    lambda late: self._record_late_outcome(operation, key, late)
                )
                return relayed
            answer = self._record_outcome(operation, key, pending.result())
            return answer if relayed is None or is_successful(answer) else relayed
        if _is_refused(answer) or _is_unknown(answer):
            return self._relay(operation, key, extra) or answer
        return answer

    def _record_late_outcome(self, operation: str, key: str, late: Future[StoreResult]) -> None:
        if late.exception() is None:
            self._record_outcome(operation, key, late.result())

    def _record_outcome(self, operation: str, key: str, answer: StoreResult) -> StoreResult:
        outcome = "done" if is_successful(answer) else answer.failure().fault.value
        kind = key.partition("/")[0]
        self._telemetry.count("store_calls", call=operation, kind=kind, outcome=outcome)
        if _is_refused(answer) or _is_unknown(answer):
            self._refused_until = self._clock.now() + RELAY_FIRST_TIME
        elif is_successful(answer):
            self._refused_until = 0.0
            self._answered_at = self._clock.now()
            self._report_unreadable(key, answer.unwrap())
        return answer

    def _report_unreadable(self, prefix: str, found: object) -> None:
        if not isinstance(found, ObjectPage | WatchBatch) or not found.unreadable:
            return
        reason = f"{found.unreadable} objects with unreadable names"
        if isinstance(found, ObjectPage):
            self._bad_listings.report_if_changed(prefix, reason)
        else:
            self._bad_listings.report(prefix, reason)

    def _relay(
        self,
        operation: str,
        key: str,
        extra: dict[str, Any],
        *,
        timeout: Millis = RELAY_TIMEOUT,
    ) -> StoreResult | None:
        peers = [each for each in self._peers().live() if each.store_ok and not each.leaving]
        # Most entries call the store rarely, so a reported store state may be long out of date.
        peers.sort(key=lambda each: (each.answer_age, -each.last_heard_at))
        body = {"op": operation, "key": key, **extra}
        unknown: StoreResult | None = None
        for peer in peers[:MAX_RELAY_ATTEMPTS]:
            started = time.monotonic()
            try:
                status, found = self._caller.call(peer, "store", body, timeout)
                answer = decode_store_result(key, found) if status == 200 else None
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
        return None if operation in READ_OPERATIONS else unknown


def _is_refused(answer: StoreResult) -> bool:
    return not is_successful(answer) and answer.failure().fault is StoreFault.UNAVAILABLE


def _is_unknown(answer: StoreResult) -> bool:
    return not is_successful(answer) and answer.failure().fault is StoreFault.UNKNOWN


def encode_store_result(answer: StoreResult) -> Json:
    """Encode the result of a relayed call; values that cannot be sent become ``None``."""
    if is_successful(answer):
        found = answer.unwrap()
        if isinstance(found, ObjectPage):
            objects = [
                [each.key, each.version, _encodable_or_none(each.value)] for each in found.objects
            ]
            encodable = [each for each in objects if _is_encodable(each[0])]
            return {
                "revision": found.revision,
                "more": found.more,
                "objects": encodable,
                "unreadable": found.unreadable + len(objects) - len(encodable),
            }
        # The peer refuses an answer with NaN or infinities, which the store's JSON may contain. It
        # would report the store as unreachable instead of this object as unreadable.
        value = _encodable_or_none(found.value)
        return {"version": found.version, "value": value if _is_finite(value) else None}
    failure = answer.failure()
    current = failure.current
    return {
        "fault": failure.fault.value,
        "detail": failure.detail,
        "current": (
            None if current is None else [current.version, _encodable_or_none(current.value)]
        ),
    }


def _encodable_or_none(value: Json) -> Json:
    """Return a value, or ``None`` if CBOR cannot encode it, so that the rest can be sent."""
    return value if _is_encodable(value) else None


def _is_finite(value: Json) -> bool:
    try:
        json.dumps(value, allow_nan=False)
    except (ValueError, RecursionError):
        return False
    return True


def _is_encodable(value: Json) -> bool:
    # JSON values can contain unpaired surrogates, which UTF-8 cannot encode. The encoder overflows
    # the stack of a thread on values that are nested deeply, which ends the process.
    if is_too_deep(value):
        return False
    try:
        cbor2.dumps(value)
    except (ValueError, OverflowError, RecursionError, cbor2.CBOREncodeError):
        return False
    return True


def decode_store_result(key: str, answer: Json) -> StoreResult:
    """Decode a peer's answer to a relayed call.

    Raises:
        UnusableRecordError: The answer is invalid.
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
            content = None if is_too_deep(content) else content
            return StoredObject(key=key, version=version, value=content)
    return None
