"""Stand-in of the users' metadata store, by its published protocol.

Objects by kind and name with a single revision, conditional writes, and watches that wait. Faults
are switched by attributes: answers that are lost after the effect, refusals, forgotten history.
"""

from __future__ import annotations

import copy
import json
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from werkzeug.routing import Rule
from werkzeug.wrappers import Request, Response

from carobspool_standins._http import (
    WsgiApplication,
    application,
    cut_connection,
    json_response,
    make_http_server,
)
from carobspool_standins._settings import ServerSettings

PAGE_ITEMS = 500
MAX_WAIT_S = 30.0

Stored = dict[str, Any]


@dataclass(slots=True)
class PlatformFaults:
    """Faults in force.

    Attributes:
        status: Answer every call with this status; 0 is none.
        lose_answers: Writes, counted down, whose connection is cut after the effect.
        cut_before: Writes, counted down, whose connection is cut before the effect.
        deaf: Watches hear nothing; those that wait stay open.
        delay_s: Time before each call is looked at, as when the store is slow.
    """

    status: int = 0
    lose_answers: int = 0
    cut_before: int = 0
    deaf: bool = False
    delay_s: float = 0.0


@dataclass(slots=True)
class PlatformObjects:
    """The objects, their history and what was asked."""

    revision: int = 1
    floor: int = 0
    objects: dict[tuple[str, str], Stored] = field(default_factory=dict)
    history: list[tuple[int, str, Stored, bool]] = field(default_factory=list)
    changed: threading.Condition = field(default_factory=threading.Condition)
    faults: PlatformFaults = field(default_factory=PlatformFaults)
    foreign: dict[str, bytes] = field(default_factory=dict)
    calls: dict[str, int] = field(default_factory=dict)

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Write as the operator or a server does; return the revision."""
        with self.changed:
            current = self.objects.get((kind, name))
            if current is not None and current["spec"] == spec:
                return int(current["metadata"]["revision"])
            return self._store(kind, name, current, {"spec": spec})

    def put_bytes(self, kind: str, name: str, spec: bytes) -> None:
        """Write an object whose spec is answered as these bytes, whatever they are."""
        marker = f"foreign {len(self.foreign)}"
        self.foreign[marker] = spec
        self.put(kind, name, marker)

    def answer(self, body: Any, status: int = HTTPStatus.OK) -> Response:
        """Return an answer with the bytes of foreign objects in their places."""
        data = json.dumps(body).encode()
        for marker, spec in self.foreign.items():
            data = data.replace(json.dumps(marker).encode(), spec)
        return Response(data, status, content_type="application/json")

    def remove(self, kind: str, name: str) -> None:
        """Remove an object, as when a server has left."""
        with self.changed:
            gone = self.objects.pop((kind, name))
            self._note(kind, gone, deleted=True)

    def compact(self) -> None:
        """Forget the history."""
        with self.changed:
            self.floor = self.revision
            self.changed.notify_all()

    def spec(self, kind: str, name: str) -> Any:
        """Return an object's spec, ``None`` if there is none."""
        with self.changed:
            found = self.objects.get((kind, name))
            return None if found is None else copy.deepcopy(found["spec"])

    def _store(self, kind: str, name: str, current: Stored | None, changes: dict[str, Any]) -> int:
        base = current or {"metadata": {"finalizers": [], "deleting": False}, "status": None}
        stored = copy.deepcopy(base) | copy.deepcopy(changes)
        created = base["metadata"].get("created_rev", self.revision + 1)
        stored["metadata"] |= {
            "name": name,
            "revision": self.revision + 1,
            "created_rev": created,
        }
        self.objects[(kind, name)] = stored
        self._note(kind, stored, deleted=False)
        return self.revision

    def _note(self, kind: str, stored: Stored, *, deleted: bool) -> None:
        self.revision += 1
        self.history.append((self.revision, kind, stored, deleted))
        self.changed.notify_all()


def platform_store_application(
    objects: PlatformObjects, faults: PlatformFaults | None = None
) -> WsgiApplication:
    """Return the store as a WSGI application.

    Args:
        objects: What it holds.
        faults: Faults of this address alone, for a store that turns single hosts away; the
            store's own by default.
    """
    in_force = objects.faults if faults is None else faults

    def collection(request: Request, kind: str) -> Response:
        refused = _begin(objects, in_force, request)
        if refused is not None:
            return refused
        if request.method == "POST":
            return _create(objects, request, kind)
        if "watch" in request.args:
            return _watch(objects, in_force, request, kind)
        return _list(objects, request, kind)

    def member(request: Request, kind: str, name: str) -> Response:
        refused = _begin(objects, in_force, request)
        if refused is not None:
            return refused
        if request.method == "GET":
            with objects.changed:
                found = objects.objects.get((kind, name))
                if found is None:
                    return json_response({"error": "no such object"}, HTTPStatus.NOT_FOUND)
                return objects.answer(found)
        if request.method == "DELETE":
            return _delete(objects, request, kind, name)
        return _replace(objects, request, kind, name, "spec")

    def status(request: Request, kind: str, name: str) -> Response:
        refused = _begin(objects, in_force, request)
        if refused is not None:
            return refused
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
    """Serve the store on loopback; yield its address and port."""
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


def _begin(objects: PlatformObjects, faults: PlatformFaults, request: Request) -> Response | None:
    if faults.delay_s:
        time.sleep(faults.delay_s)
    with objects.changed:
        name = "watch" if "watch" in request.args else request.method
        objects.calls[name] = objects.calls.get(name, 0) + 1
        if faults.status:
            return json_response({"error": "refused"}, faults.status)
        if request.method != "GET" and faults.cut_before > 0:
            faults.cut_before -= 1
            raise cut_connection(request)
    return None


def _written(objects: PlatformObjects, request: Request, kind: str, name: str) -> Response:
    if objects.faults.lose_answers > 0:
        objects.faults.lose_answers -= 1
        raise cut_connection(request)
    return objects.answer(objects.objects[(kind, name)])


def _create(objects: PlatformObjects, request: Request, kind: str) -> Response:
    body = request.get_json(force=True)
    name = body["metadata"]["name"]
    with objects.changed:
        current = objects.objects.get((kind, name))
        if current is not None:
            return objects.answer(current, HTTPStatus.CONFLICT)
        objects._store(kind, name, None, {"spec": body["spec"]})
        return _written(objects, request, kind, name)


def _replace(
    objects: PlatformObjects, request: Request, kind: str, name: str, part: str
) -> Response:
    body = request.get_json(force=True)
    with objects.changed:
        current = objects.objects.get((kind, name))
        if current is None:
            return json_response({"error": "no such object"}, HTTPStatus.NOT_FOUND)
        wanted = body.get("metadata", {}).get("revision")
        if wanted is not None and wanted != current["metadata"]["revision"]:
            return objects.answer(current, HTTPStatus.CONFLICT)
        if current[part] != body[part]:
            objects._store(kind, name, current, {part: body[part]})
        return _written(objects, request, kind, name)


def _delete(objects: PlatformObjects, request: Request, kind: str, name: str) -> Response:
    with objects.changed:
        current = objects.objects.get((kind, name))
        if current is None:
            return json_response({"error": "no such object"}, HTTPStatus.NOT_FOUND)
        wanted = request.args.get("revision")
        if wanted is not None and int(wanted) != current["metadata"]["revision"]:
            return objects.answer(current, HTTPStatus.CONFLICT)
        objects._note(kind, objects.objects.pop((kind, name)), deleted=True)
        return json_response({})


def _list(objects: PlatformObjects, request: Request, kind: str) -> Response:
    after = request.args.get("after", "")
    with objects.changed:
        names = sorted(name for each, name in objects.objects if each == kind and name > after)
        items = [objects.objects[(kind, name)] for name in names[:PAGE_ITEMS]]
        more = len(names) > PAGE_ITEMS
        return objects.answer({"items": items, "more": more, "as_of": objects.revision})


def _watch(
    objects: PlatformObjects, faults: PlatformFaults, request: Request, kind: str
) -> Response:
    since = int(request.args["watch"])
    wait_s = min(MAX_WAIT_S, int(request.args.get("wait_ms", "0")) / 1000.0)
    until = time.monotonic() + wait_s
    with objects.changed:
        while True:
            if faults.status:
                return json_response({"error": "refused"}, faults.status)
            if since < objects.floor:
                return json_response({"error": "history is gone"}, HTTPStatus.GONE)
            events = [
                {"object": stored, "deleted": deleted}
                for revision, each, stored, deleted in objects.history
                if each == kind and revision > since and not faults.deaf
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return objects.answer({"events": events, "as_of": objects.revision})
            objects.changed.wait(min(left, 0.05))
