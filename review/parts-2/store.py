"""Stand-in for the platform's store: objects by kind and name, conditional writes, watches.

``lose`` decides, for each write, whether its answer is lost: it returns the seconds after which the
write is done if its condition still holds then, or ``None`` for a write that is answered.
"""

from __future__ import annotations

import json
import socket
import threading
import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

Lose = Callable[[str, str, str, Any], float | None]
Answer = tuple[int, Any]


class Store:
    """The objects under one revision counter."""

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.revision = 1
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self.writes: list[tuple[float, str, str, str]] = []
        self.lose: Lose = lambda method, kind, name, body: None
        self.note: Callable[[str], None] = lambda line: None

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object as the operator or a server does."""
        with self.changed:
            self._keep(kind, name, {"spec": spec})

    def remove(self, kind: str, name: str) -> None:
        """Remove an object as the platform does with the entry of a server."""
        with self.changed:
            found = self.objects.pop((kind, name), None)
            if found is not None:
                self._add_history(kind, found, True)

    def spec(self, kind: str, name: str) -> Any:
        """Return an object's content, ``None`` if there is no such object."""
        with self.changed:
            found = self.objects.get((kind, name))
            return None if found is None else found["spec"]

    def write(self, method: str, kind: str, name: str, part: str, body: Any) -> Answer:
        """Do a write if its condition holds."""
        with self.changed:
            known = self.objects.get((kind, name))
            if method == "POST":
                if known is not None:
                    return 409, known
                return 201, self._keep(kind, name, {"spec": body["spec"]})
            if known is None:
                return 404, {"error": "no such object"}
            wanted = body.get("metadata", {}).get("revision")
            if wanted is not None and wanted != known["metadata"]["revision"]:
                return 409, known
            if method == "DELETE":
                del self.objects[(kind, name)]
                self._add_history(kind, known, True)
                return 200, {}
            if known[part] == body[part]:
                return 200, known
            return 200, self._keep(kind, name, {part: body[part]})

    def list(self, kind: str, after: str) -> Answer:
        """List the objects of a kind."""
        with self.changed:
            names = sorted(name for each, name in self.objects if each == kind and name > after)
            items = [self.objects[(kind, name)] for name in names[:500]]
            return 200, {"items": items, "more": len(names) > 500, "as_of": self.revision}

    def watch(self, kind: str, since: int, wait_s: float) -> Answer:
        """Return the changes of a kind after a revision, as soon as there is one."""
        until = time.monotonic() + wait_s
        with self.changed:
            while True:
                events = [
                    {"object": stored, "deleted": deleted}
                    for revision, each, stored, deleted in self.history
                    if each == kind and revision > since
                ]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "as_of": self.revision}
                self.changed.wait(left)

    def _keep(self, kind: str, name: str, changes: dict[str, Any]) -> dict[str, Any]:
        known = self.objects.get((kind, name))
        base = known or {"metadata": {"finalizers": [], "deleting": False}, "status": None}
        created = base["metadata"].get("created_rev", self.revision + 1)
        stored = json.loads(json.dumps({**base, **changes}))
        stored["metadata"].update(name=name, revision=self.revision + 1, created_rev=created)
        self.objects[(kind, name)] = stored
        self._add_history(kind, stored, False)
        return stored

    def _add_history(self, kind: str, stored: dict[str, Any], deleted: bool) -> None:
        self.revision += 1
        self.history.append((self.revision, kind, stored, deleted))
        self.changed.notify_all()


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    store: Store

    def setup(self) -> None:
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def log_message(self, format: str, *args: Any) -> None:
        """Write no log."""

    def _path(self) -> tuple[str, str, str, dict[str, list[str]]]:
        url = urlsplit(self.path)
        parts = [unquote(each) for each in url.path.removeprefix("/api/objects/").split("/")]
        name = parts[1] if len(parts) > 1 else ""
        part = "status" if len(parts) > 2 else "spec"
        return parts[0], name, part, parse_qs(url.query)

    def _answer(self, answer: Answer) -> None:
        status, value = answer
        data = json.dumps(value).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def do_GET(self) -> None:
        kind, name, _, query = self._path()
        if name:
            with self.store.changed:
                found = self.store.objects.get((kind, name))
            self._answer((404, {"error": "no such object"}) if found is None else (200, found))
        elif "watch" in query:
            wait_s = int(query.get("wait_ms", ["0"])[0]) / 1000.0
            self._answer(self.store.watch(kind, int(query["watch"][0]), wait_s))
        else:
            self._answer(self.store.list(kind, query.get("after", [""])[0]))

    def _write(self) -> None:
        kind, name, part, query = self._path()
        data = self.rfile.read(int(self.headers.get("Content-Length", "0") or 0))
        body = json.loads(data) if data else {}
        if self.command == "POST":
            name = body["metadata"]["name"]
        if self.command == "DELETE":
            body = {"metadata": {"revision": int(query["revision"][0])}}
        store = self.store
        store.writes.append((time.monotonic(), self.command, kind, name))
        late_s = store.lose(self.command, kind, name, body)
        if late_s is None:
            self._answer(store.write(self.command, kind, name, part, body))
            return

        def do_late() -> None:
            status, _ = store.write(method, kind, name, part, body)
            store.note(f"store: the lost {method} {kind}/{name} is done now: {status}")

        method = self.command
        store.note(f"store: no answer to {method} {kind}/{name}, done {late_s:.1f} s later")
        timer = threading.Timer(late_s, do_late)
        timer.daemon = True
        timer.start()
        # Nothing further comes on this connection.
        self.close_connection = True
        self.connection.shutdown(socket.SHUT_RDWR)

    do_POST = _write  # noqa: N815
    do_PUT = _write  # noqa: N815
    do_DELETE = _write  # noqa: N815


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128


def serve(store: Store) -> str:
    """Serve the store on a free port of the loopback network and return its address."""
    handler = type("Handler", (_Handler,), {"store": store})
    server = _Server(("127.0.0.1", 0), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return f"127.0.0.1:{server.server_address[1]}"
