"""An object store that goes through another entry when this one is turned away.

The store sometimes refuses single machines while it serves the others. Without a way around, such
an entry could accept no job and commit no result, and would serve an old configuration, for as long
as that lasts.
"""

from __future__ import annotations

import functools
import time
from collections.abc import Callable
from typing import Any

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
from carobspool_node.direct._bad_records import BadRecords
from carobspool_node.direct._peer_calls import PeerCaller, PeerCallError
from carobspool_node.direct._peers import Peers
from carobspool_node.direct._telemetry import Telemetry

RELAY_TIMEOUT: Millis = 2_000.0
REFUSED_TIME: Millis = 1_000.0
"""How long after a refusal the way through a peer is tried first; then the store is asked again."""
RELAYS_TRIED = 2
READS = ("get", "list")

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
        self._bad_listings = BadRecords(clock, telemetry, "listing", "prefix")

    @property
    def reachable(self) -> bool:
        """Whether the store answered this process when it last asked."""
        return self._clock.now() >= self._refused_until

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
        return self._call("create", key, lambda: self._direct.create(key, value), {"value": value})

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

    def serve_relay(self, call: Json) -> Json:
        """Make a call to the store for a peer."""
        operation, key = call["op"], call["key"]
        if operation == "get":
            answer: Answer = self._direct.get(key)
        elif operation == "list":
            answer = self._direct.list(key, after=call["after"], limit=call["limit"])
        elif operation == "create":
            answer = self._direct.create(key, call["value"])
        else:
            answer = self._direct.update(key, call["value"], version=call["version"])
        return _encode(self._note(operation, key, answer))

    def _call(
        self, operation: str, key: str, direct: Callable[[], Answer], extra: dict[str, Any]
    ) -> Answer:
        if not self.reachable:
            relayed = self._relay(operation, key, extra)
            if relayed is not None:
                return relayed
        answer = self._note(operation, key, direct())
        if _is_refused(answer):
            relayed = self._relay(operation, key, extra)
            if relayed is not None:
                return relayed
        return answer

    def _note(self, operation: str, key: str, answer: Answer) -> Answer:
        outcome = "done" if is_successful(answer) else answer.failure().fault.value
        self._telemetry.count("store_calls", call=operation, outcome=outcome)
        if _is_refused(answer):
            self._refused_until = self._clock.now() + REFUSED_TIME
        elif is_successful(answer):
            self._refused_until = 0.0
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
        peers.sort(key=lambda each: -each.heard)
        body = {"op": operation, "key": key, **extra}
        for peer in peers[:RELAYS_TRIED]:
            started = time.monotonic()
            try:
                status, found = self._caller.call(peer, "store", body, RELAY_TIMEOUT)
            except PeerCallError as error:
                logging.warning("event=relay_failed peer=%s reason=%r", peer.identity, error)
                if operation not in READS:
                    detail = f"relay: {error}"
                    return Failure(StoreFailure(fault=StoreFault.UNKNOWN, key=key, detail=detail))
                continue
            if status != 200:
                continue
            answer = _decode(key, found)
            logging.info(
                "event=store_relayed call=%s key=%s peer=%s done=%s took_ms=%.0f",
                operation,
                key,
                peer.identity,
                is_successful(answer),
                (time.monotonic() - started) * 1000.0,
            )
            if not _is_refused(answer):
                return answer
        return None


def _is_refused(answer: Answer) -> bool:
    return not is_successful(answer) and answer.failure().fault is StoreFault.UNAVAILABLE


def _encode(answer: Answer) -> Json:
    if is_successful(answer):
        found = answer.unwrap()
        if isinstance(found, ObjectPage):
            objects = [[each.key, each.version, each.value] for each in found.objects]
            return {"revision": found.revision, "more": found.more, "objects": objects}
        return {"version": found.version, "value": found.value}
    failure = answer.failure()
    current = failure.current
    return {
        "fault": failure.fault.value,
        "detail": failure.detail,
        "current": None if current is None else [current.version, current.value],
    }


def _decode(key: str, answer: Json) -> Answer:
    if "objects" in answer:
        objects = [
            StoredObject(key=name, version=version, value=value)
            for name, version, value in answer["objects"]
        ]
        page = ObjectPage(revision=answer["revision"], objects=objects, more=answer["more"])
        return Success(page)
    if "fault" not in answer:
        return Success(StoredObject(key=key, version=answer["version"], value=answer["value"]))
    current = answer["current"]
    stored = None
    if current is not None:
        stored = StoredObject(key=key, version=current[0], value=current[1])
    return Failure(
        StoreFailure(
            fault=StoreFault(answer["fault"]), key=key, detail=answer["detail"], current=stored
        )
    )
