"""Stand-in for the users' metadata store, with its published protocol.

The store holds objects by kind and name under a single revision counter, and supports conditional
writes and long-polling watches. Attributes switch the faults: responses lost after a write took
effect, writes that take effect long after their connection is gone, error statuses, compacted
history.
"""

from __future__ import annotations

import copy
import json
import re
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from functools import partial
from http import HTTPStatus
from typing import Any

from werkzeug.routing import Rule
from werkzeug.wrappers import Request, Response

from carobspool_standins._http import (
    WsgiApplication,
    abort_connection,
    application,
    json_response,
    make_http_server,
)
from carobspool_standins._settings import ServerSettings

PAGE_ITEMS = 500
MAX_WATCH_S = 30.0
LOST_CONNECTION_S = 0.2
"""How long the connection of a lost write stays open and silent."""
_PLACEHOLDER_PREFIX = "foreign bytes "
_PLACEHOLDER = re.compile(rb'"(foreign bytes \d+)"')

Stored = dict[str, Any]


@dataclass(slots=True)
class PlatformFaults:
    """Active faults.

    Attributes:
        status: Status of every response; 0 for none.
        resets_after_write: Number of further writes whose connection is reset after they took
            effect.
        resets_before_write: Number of further writes whose connection is reset before they take
            effect.
        suppress_watch_events: Whether watches receive no events; waiting watches stay open.
        delay_s: Delay before each call is processed, as in a slow store.
        lose: Returns after how many seconds a write takes effect that gets no response, ``None``
            for a write that is processed as usual; called with method, kind and name.
    """

    status: int = 0
    resets_after_write: int = 0
    resets_before_write: int = 0
    suppress_watch_events: bool = False
    delay_s: float = 0.0
    lose: Callable[[str, str, str], float | None] = lambda method, kind, name: None


@dataclass(slots=True)
class PlatformObjects:
    """The objects, their history, faults and counts of calls.

    Attributes:
        revision: Revision of the latest write.
        floor: Oldest revision from which a watch can start.
        objects: Objects by kind and name.
        history: Revision, kind, object and whether it was deleted, for each write.
        changed: Lock of the state; notified after each write.
        faults: Active faults of the store.
        raw_specs: Bytes that replace a placeholder spec in responses, by placeholder.
        calls: Number of calls by HTTP method, watches as ``watch``.
    """

    revision: int = 1
    floor: int = 0
    objects: dict[tuple[str, str], Stored] = field(default_factory=dict)
    history: list[tuple[int, str, Stored, bool]] = field(default_factory=list)
    changed: threading.Condition = field(default_factory=threading.Condition)
    faults: PlatformFaults = field(default_factory=PlatformFaults)
    raw_specs: dict[str, bytes] = field(default_factory=dict)
    calls: dict[str, int] = field(default_factory=dict)

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Write an object as an operator or a server would, and return its revision."""
        with self.changed:
            current = self.objects.get((kind, name))
            if current is not None and current["spec"] == spec:
                return int(current["metadata"]["revision"])
            return self._store_object(kind, name, current, {"spec": spec})

    def put_raw_spec(self, kind: str, name: str, spec: bytes) -> None:
        """Write an object whose spec is returned as these bytes, even if they are not JSON."""
        placeholder = f"{_PLACEHOLDER_PREFIX}{len(self.raw_specs)}"
        self.raw_specs[placeholder] = spec
        self.put(kind, name, placeholder)

    def answer(self, body: Any, status: int = HTTPStatus.OK) -> Response:
        """Return a JSON response in which raw specs replace their placeholders."""
        data = json.dumps(body).encode()
        if self.raw_specs:
            data = _PLACEHOLDER.sub(lambda match: self.raw_specs[match[1].decode()], data)
        return Response(data, status, content_type="application/json")

    def remove(self, kind: str, name: str) -> None:
        """Remove an object, as when a server deregisters."""
        with self.changed:
            removed = self.objects.pop((kind, name))
            self._append_history(kind, removed, deleted=True)

    def compact(self) -> None:
        """Compact the history: a watch from an older revision fails."""
        with self.changed:
            self.floor = self.revision
            self.changed.notify_all()

    def spec(self, kind: str, name: str) -> Any:
        """Return a copy of an object's spec, or ``None`` if the object does not exist."""
        with self.changed:
            found = self.objects.get((kind, name))
            return None if found is None else copy.deepcopy(found["spec"])

    def _store_object(
        self, kind: str, name: str, current: Stored | None, changes: dict[str, Any]
    ) -> int:
        base = current or {"metadata": {"finalizers": [], "deleting": False}, "status": None}
        stored = copy.deepcopy(base) | copy.deepcopy(changes)
        created = base["metadata"].get("created_rev", self.revision + 1)
        stored["metadata"] |= {
            "name": name,
            "revision": self.revision + 1,
            "created_rev": created,
        }
        self.objects[(kind, name)] = stored
        self._append_history(kind, stored, deleted=False)
        return self.revision

    def _append_history(self, kind: str, stored: Stored, *, deleted: bool) -> None:
        self.revision += 1
        self.history.append((self.revision, kind, stored, deleted))
        self.changed.notify_all()


def platform_store_application(
    objects: PlatformObjects, faults: PlatformFaults | None = None
) -> WsgiApplication:
    """Return the store as a WSGI application.

    Args:
        objects: State of the store.
        faults: Faults of this address alone, for a store that rejects single hosts; the faults
            of ``objects`` by default.
    """
    active_faults = objects.faults if faults is None else faults

    def collection(request: Request, kind: str) -> Response:
        failure = _count_and_inject_faults(objects, active_faults, request)
        if failure is not None:
            return failure
        if request.method == "POST":
            name = request.get_json(force=True)["metadata"]["name"]
            create = partial(_create, objects, request, kind)
            _lose_if_chosen(active_faults, request, kind, name, create)
            return create()
        if "watch" in request.args:
            return _watch(objects, active_faults, request, kind)
        return _list(objects, request, kind)

    def member(request: Request, kind: str, name: str) -> Response:
        failure = _count_and_inject_faults(objects, active_faults, request)
        if failure is not None:
            return failure
        if request.method == "GET":
            with objects.changed:
                found = objects.objects.get((kind, name))
                if found is None:
                    return json_response({"error": "no such object"}, HTTPStatus.NOT_FOUND)
                return objects.answer(found)
        write = partial(_replace, objects, request, kind, name, "spec")
        if request.method == "DELETE":
            write = partial(_delete, objects, request, kind, name)
        request.get_data()
        _lose_if_chosen(active_faults, request, kind, name, write)
        return write()

    def status(request: Request, kind: str, name: str) -> Response:
        failure = _count_and_inject_faults(objects, active_faults, request)
        if failure is not None:
            return failure
        return _replace(objects, request, kind, name, "status")

    base = "/api/objects/<kind>"
    return application(
        [
            Rule(base, methods=["GET", "POST"], endpoint=collection),
            Rule(f"{base}/<name>", methods=["GET", "PUT", "DELETE"], endpoint=member),
            Rule(f"{base}/<name>/status", methods=["PUT"], endpoint=status),
        ]
    )


@contextmanager
def serve_platform_store(
    objects: PlatformObjects, faults: PlatformFaults | None = None
) -> Iterator[str]:
    """Serve the store on loopback and yield ``address:port``."""
    app = platform_store_application(objects, faults)
    server = make_http_server(ServerSettings(port=0), app)
    thread = threading.Thread(target=server.serve_forever, args=(0.01,), daemon=True)
    thread.start()
    try:
        yield f"127.0.0.1:{server.port}"
    finally:
        server.shutdown()
        server.server_close()
        thread.join()


def _count_and_inject_faults(
    objects: PlatformObjects, faults: PlatformFaults, request: Request
) -> Response | None:
    if faults.delay_s:
        time.sleep(faults.delay_s)
    with objects.changed:
        name = "watch" if "watch" in request.args else request.method
        objects.calls[name] = objects.calls.get(name, 0) + 1
        if faults.status:
            return json_response({"error": "refused"}, faults.status)
        if request.method != "GET" and faults.resets_before_write > 0:
            faults.resets_before_write -= 1
            raise abort_connection(request)
    return None


def _lose_if_chosen(
    faults: PlatformFaults,
    request: Request,
    kind: str,
    name: str,
    write: Callable[[], Response],
) -> None:
    """Let a chosen write take effect later, if its condition still holds, without a response."""
    delay_s = faults.lose(request.method, kind, name)
    if delay_s is None:
        return
    timer = threading.Timer(delay_s, write)
    timer.daemon = True
    timer.start()
    time.sleep(LOST_CONNECTION_S)
    raise abort_connection(request)


def _write_response(objects: PlatformObjects, request: Request, kind: str, name: str) -> Response:
    if objects.faults.resets_after_write > 0:
        objects.faults.resets_after_write -= 1
        raise abort_connection(request)
    return objects.answer(objects.objects[(kind, name)])


def _create(objects: PlatformObjects, request: Request, kind: str) -> Response:
    body = request.get_json(force=True)
    name = body["metadata"]["name"]
    with objects.changed:
        current = objects.objects.get((kind, name))
        if current is not None:
            return objects.answer(current, HTTPStatus.CONFLICT)
        objects._store_object(kind, name, None, {"spec": body["spec"]})
        return _write_response(objects, request, kind, name)


def _replace(
    objects: PlatformObjects, request: Request, kind: str, name: str, part: str
) -> Response:
    body = request.get_json(force=True)
    with objects.changed:
        current = objects.objects.get((kind, name))
        if current is None:
            return json_response({"error": "no such object"}, HTTPStatus.NOT_FOUND)
        expected_revision = body.get("metadata", {}).get("revision")
        if expected_revision is not None and expected_revision != current["metadata"]["revision"]:
            return objects.answer(current, HTTPStatus.CONFLICT)
        if current[part] != body[part]:
            objects._store_object(kind, name, current, {part: body[part]})
        return _write_response(objects, request, kind, name)


def _delete(objects: PlatformObjects, request: Request, kind: str, name: str) -> Response:
    with objects.changed:
        current = objects.objects.get((kind, name))
        if current is None:
            return json_response({"error": "no such object"}, HTTPStatus.NOT_FOUND)
        expected_revision = request.args.get("revision")
        if (
            expected_revision is not None
            and int(expected_revision) != current["metadata"]["revision"]
        ):
            return objects.answer(current, HTTPStatus.CONFLICT)
        objects._append_history(kind, objects.objects.pop((kind, name)), deleted=True)
        return json_response({})


def _list(objects: PlatformObjects, request: Request, kind: str) -> Response:
    after = request.args.get("after", "")
    with objects.changed:
        names = sorted(
            name for stored_kind, name in objects.objects if stored_kind == kind and name > after
        )
        items = [objects.objects[(kind, name)] for name in names[:PAGE_ITEMS]]
        more = len(names) > PAGE_ITEMS
        return objects.answer({"items": items, "more": more, "as_of": objects.revision})


def _watch(
    objects: PlatformObjects, faults: PlatformFaults, request: Request, kind: str
) -> Response:
    since = int(request.args["watch"])
    wait_s = min(MAX_WATCH_S, int(request.args.get("wait_ms", "0")) / 1000.0)
    deadline = time.monotonic() + wait_s
    with objects.changed:
        while True:
            if faults.status:
                return json_response({"error": "refused"}, faults.status)
            if since < objects.floor:
                return json_response({"error": "history is gone"}, HTTPStatus.GONE)
            events = [
                {"object": stored, "deleted": deleted}
                for revision, stored_kind, stored, deleted in objects.history
                if stored_kind == kind and revision > since and not faults.suppress_watch_events
            ]
            remaining_s = deadline - time.monotonic()
            if events or remaining_s <= 0:
                return objects.answer({"events": events, "as_of": objects.revision})
            objects.changed.wait(min(remaining_s, 0.05))
