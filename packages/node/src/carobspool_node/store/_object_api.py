"""HTTP adapter of the `ObjectStore` port: the only place that knows the object API's spelling."""

from __future__ import annotations

import json
import threading
import time
import uuid
from http import HTTPStatus
from io import BytesIO
from typing import TypeVar
from urllib.parse import quote, urlencode

import pycurl
from returns.result import Failure, Result, Success

from carobspool_core import (
    AnswerHead,
    Clock,
    Json,
    Millis,
    ObjectPage,
    ObjectStore,
    StoredObject,
    StoreFailure,
    StoreFault,
    WatchBatch,
    monotonic_clock,
)
from carobspool_node.answers import BoundedAnswer
from carobspool_node.store._object_answers import (
    Broken,
    Reply,
    decoded,
    detail_of,
    encode_value,
    failed,
    fault_of,
    may_have_acted,
    object_page,
    present_object,
    stored_object,
    watch_batch,
)

CONNECT_TIMEOUT: Millis = 1_000.0
REQUEST_TIMEOUT: Millis = 2_000.0
WATCH_SLACK: Millis = 2_000.0
SETTLE_TIME: Millis = 3_000.0
SETTLE_PAUSE: Millis = 50.0

_T = TypeVar("_T")
_VERSION_HEADER = "object-version"
MAX_VERSION_DIGITS = 19
"""Digits of the greatest integer of 64 bits."""
_NEVER_SENT = (pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST)


def http_object_store(
    url: str,
    *,
    clock: Clock | None = None,
    request_timeout: Millis = REQUEST_TIMEOUT,
    settle_time: Millis = SETTLE_TIME,
) -> ObjectStore:
    """Return the object store behind ``url``.

    Args:
        url: Base address of the object API, without a slash at its end.
        clock: The process's clock; the monotonic one by default.
        request_timeout: Time limit of one call other than a watch, in milliseconds.
        settle_time: How long a write with a lost answer is read back before it is ``UNKNOWN``,
            in milliseconds.

    Since 0.1.
    """
    return _HttpObjectStore(url, clock or monotonic_clock(), request_timeout, settle_time)


class _HttpObjectStore:
    """Holds one connection for each thread that calls it."""

    def __init__(
        self, url: str, clock: Clock, request_timeout: Millis, settle_time: Millis
    ) -> None:
        self._url = url.rstrip("/")
        self._clock = clock
        self._request_timeout = request_timeout
        self._settle_time = settle_time
        self._local = threading.local()

    def get(self, key: str) -> Result[StoredObject, StoreFailure]:
        """Read one object."""
        reply = self._exchange("GET", _object_path(key))
        if isinstance(reply, Broken):
            return failed(StoreFault.UNAVAILABLE, key, reply.detail)
        if reply.status == HTTPStatus.OK:
            return decoded(key, lambda: stored_object(key, reply.version, reply.body.decode()))
        return failed(fault_of(reply.status), key, f"status {reply.status}")

    def list(
        self, prefix: str, *, after: str = "", limit: int = 500
    ) -> Result[ObjectPage, StoreFailure]:
        """Read a page of objects in key order."""
        query = urlencode({"prefix": prefix, "after": after, "limit": limit})
        reply = self._exchange("GET", f"/list?{query}")
        if isinstance(reply, Broken):
            return failed(StoreFault.UNAVAILABLE, prefix, reply.detail)
        if reply.status != HTTPStatus.OK:
            return failed(fault_of(reply.status), prefix, f"status {reply.status}")
        return decoded(prefix, lambda: object_page(json.loads(reply.body)))

    def create(self, key: str, value: Json) -> Result[StoredObject, StoreFailure]:
        """Write an object that must not exist yet."""
        return self._put(key, value, 0)

    def update(self, key: str, value: Json, *, version: int) -> Result[StoredObject, StoreFailure]:
        """Replace an object whose version must be ``version``."""
        return self._put(key, value, version)

    def delete(self, key: str, *, version: int) -> Result[None, StoreFailure]:
        """Remove an object whose version must be ``version``."""
        deadline = self._clock.now() + self._settle_time
        lost = False
        while True:
            reply = self._exchange("DELETE", _object_path(key), version=version)
            if isinstance(reply, Reply):
                return self._deleted(key, reply, lost=lost)
            lost = lost or reply.sent
            if not lost:
                return failed(StoreFault.UNAVAILABLE, key, reply.detail)
            if self._clock.now() >= deadline:
                return failed(StoreFault.UNKNOWN, key, reply.detail)
            _pause()

    def watch(
        self, prefix: str, *, revision: int, timeout: Millis
    ) -> Result[WatchBatch, StoreFailure]:
        """Wait for changes under ``prefix`` after ``revision``."""
        query = urlencode({"prefix": prefix, "from": revision, "timeout": int(timeout)})
        reply = self._exchange("GET", f"/watch?{query}", timeout=timeout + WATCH_SLACK)
        if isinstance(reply, Broken):
            return failed(StoreFault.UNAVAILABLE, prefix, reply.detail)
        if reply.status == HTTPStatus.GONE:
            return failed(StoreFault.COMPACTED, prefix, f"revision {revision} is no longer held")
        if reply.status != HTTPStatus.OK:
            return failed(fault_of(reply.status), prefix, f"status {reply.status}")
        return decoded(prefix, lambda: watch_batch(json.loads(reply.body)))

    def _put(self, key: str, value: Json, version: int) -> Result[StoredObject, StoreFailure]:
        """Write once, whatever becomes of the answers.

        An answer can be lost after the write took effect; repeating blindly would then report a
        conflict with oneself. Every attempt carries the same write id and the same condition, so
        at most one takes effect, and reading the object back tells by the id whether it did.
        """
        write_id = uuid.uuid4().hex
        body = encode_value({"w": write_id, "v": value})
        deadline = self._clock.now() + self._settle_time
        lost = False
        while True:
            reply = self._exchange("PUT", _object_path(key), version=version, body=body)
            if isinstance(reply, Reply) and reply.status == HTTPStatus.OK:
                return Success(StoredObject(key=key, version=reply.version, value=value))
            if isinstance(reply, Reply) and reply.status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
                return failed(StoreFault.TOO_LARGE, key, f"{len(body)} bytes")
            lost = lost or may_have_acted(reply)
            conflict = isinstance(reply, Reply) and reply.status == HTTPStatus.CONFLICT
            if not lost and not conflict:
                return failed(StoreFault.UNAVAILABLE, key, detail_of(reply))
            settled = self._settle(key, write_id, version, deadline, lost=lost)
            if settled is not None:
                return settled

    def _settle(
        self, key: str, write_id: str, version: int, deadline: Millis, *, lost: bool
    ) -> Result[StoredObject, StoreFailure] | None:
        """Read back after a conflict or a lost answer; ``None``: write again."""
        while True:
            reply = self._exchange("GET", _object_path(key))
            present = present_object(reply)
            if present is None:
                if self._clock.now() >= deadline:
                    fault = StoreFault.UNKNOWN if lost else StoreFault.CONFLICT
                    return failed(fault, key, detail_of(reply))
                _pause()
                continue
            found_version, found_id, body = present
            if found_id == write_id:
                return Success(stored_object(key, found_version, body))
            if found_version == version:
                if self._clock.now() >= deadline:
                    return failed(StoreFault.UNKNOWN, key, "the write did not appear")
                _pause()
                return None
            # Somebody else's value. Without a lost answer the condition failed, plainly. After one,
            # ours may have stood there in between, so nothing but UNKNOWN would be true.
            fault = StoreFault.UNKNOWN if lost else StoreFault.CONFLICT
            current = None
            if found_version > 0:
                current = stored_object(key, found_version, body)
            return Failure(StoreFailure(fault=fault, key=key, current=current))

    def _deleted(self, key: str, reply: Reply, *, lost: bool) -> Result[None, StoreFailure]:
        if reply.status == HTTPStatus.OK:
            return Success(None)
        if reply.status == HTTPStatus.NOT_FOUND and lost:
            return Success(None)
        if reply.status == HTTPStatus.CONFLICT:
            return failed(StoreFault.CONFLICT, key, f"version {reply.version}")
        fault = fault_of(reply.status)
        if lost and fault is StoreFault.UNAVAILABLE:
            fault = StoreFault.UNKNOWN
        return failed(fault, key, f"status {reply.status}")

    def _exchange(
        self,
        method: str,
        path: str,
        *,
        version: int | None = None,
        body: bytes | None = None,
        timeout: Millis | None = None,
    ) -> Reply | Broken:
        """Make one call on this thread's connection."""
        handle = self._handle()
        handle.reset()
        headers = ["Expect:"]
        if version is not None:
            headers.append(f"If-Version: {version}")
        received = BoundedAnswer()
        head = AnswerHead()
        handle.setopt(pycurl.URL, self._url + path)
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.PROXY, "")
        handle.setopt(pycurl.CUSTOMREQUEST, method)
        handle.setopt(pycurl.CONNECTTIMEOUT_MS, int(CONNECT_TIMEOUT))
        handle.setopt(pycurl.TIMEOUT_MS, int(timeout or self._request_timeout))
        handle.setopt(pycurl.WRITEFUNCTION, received.write)
        handle.setopt(pycurl.HEADERFUNCTION, head.read_line)
        if body is not None:
            # libcurl silently sends a request again when a kept connection dies before the answer.
            # A write that had taken effect would then come back as a conflict with itself. A body
            # that cannot be rewound turns that into an error, which is settled by reading back.
            handle.setopt(pycurl.UPLOAD, 1)
            handle.setopt(pycurl.INFILESIZE, len(body))
            handle.setopt(pycurl.READFUNCTION, BytesIO(body).read)
        elif method == "DELETE":
            # The same, for a call without a body: libcurl repeats only on a kept connection.
            handle.setopt(pycurl.FRESH_CONNECT, 1)
        handle.setopt(pycurl.HTTPHEADER, headers)
        try:
            handle.perform()
        except pycurl.error as error:
            code = error.args[0]
            self._drop_handle()
            return Broken(sent=code not in _NEVER_SENT, detail=f"curl error {code}")
        cut = head.find_cut(sent=handle.getinfo(pycurl.SIZE_UPLOAD_T), length=len(body or b""))
        if cut is not None:
            self._drop_handle()
            return Broken(sent=True, detail=cut)
        stated = head.headers.get(_VERSION_HEADER, "0")
        if not stated.isdecimal() or len(stated) > MAX_VERSION_DIGITS:
            return Broken(sent=True, detail=f"unreadable {_VERSION_HEADER}")
        return Reply(
            status=head.status,
            version=int(stated),
            body=received.value(),
        )

    def _handle(self) -> pycurl.Curl:
        handle: pycurl.Curl | None = getattr(self._local, "handle", None)
        if handle is None:
            handle = pycurl.Curl()
            self._local.handle = handle
        return handle

    def _drop_handle(self) -> None:
        """Close this thread's handle: it keeps a cut header and puts the next head behind it."""
        self._local.handle.close()
        self._local.handle = None


def _object_path(key: str) -> str:
    return "/objects/" + quote(key, safe="/")


def _pause() -> None:
    time.sleep(SETTLE_PAUSE / 1000.0)
