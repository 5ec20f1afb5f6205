"""Stand-in for a model server: streams of numbered events, resumed after ``Last-Event-Id``.

It runs ``slots`` requests at once and queues the others. ``pieces`` says how many events a request
gets and how long each takes.
"""

from __future__ import annotations

import contextlib
import json
import select
import socket
import threading
import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

Pieces = Callable[[str], tuple[int, float]]


class Engine:
    """One start of a server.

    Attributes:
        runs: Request id, start, end (``None`` while it runs), first and last event of each run.
    """

    def __init__(self, instance: str, slots: int, pieces: Pieces) -> None:
        self.instance = instance
        self.slots = threading.BoundedSemaphore(slots)
        self.slot_count = slots
        self.pieces = pieces
        self.born = int(time.time() * 1000)
        self.lock = threading.Lock()
        self.runs: list[dict[str, Any]] = []
        self.note: Callable[[str], None] = lambda line: None
        self.address = ""

    def registration(self, service: str, state: str = "ready") -> dict[str, Any]:
        """Return the server's entry in the store."""
        return {
            "service": service,
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": self.slot_count,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": self.born,
        }

    def running(self) -> int:
        """Return the number of requests that run now."""
        with self.lock:
            return sum(each["end"] is None for each in self.runs)


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    engine: Engine

    def setup(self) -> None:
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def log_message(self, format: str, *args: Any) -> None:
        """Write no log."""

    def _plain(self, status: int, body: bytes, *headers: tuple[str, str]) -> None:
        self.send_response(status)
        for key, value in headers:
            self.send_header(key, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def _is_another(self) -> bool:
        engine = self.engine
        if self.headers.get("Expect-Instance", engine.instance) == engine.instance:
            return False
        request_id = self.headers.get("Request-Id", "")
        self._plain(421, b"", ("Not-Executed", "1"), ("Request-Id", request_id))
        return True

    def do_GET(self) -> None:
        if self._is_another():
            return
        if self.path.startswith("/api/report"):
            report = {
                "stage": "both",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False,
                "sequence": 1,
                "waiting": 0,
                "running": self.engine.running(),
                "kv_used": 0,
                "kv_total": 90000,
                "handles": 0,
                "born": self.engine.born,
            }
            self._plain(200, json.dumps(report).encode(), ("Content-Type", "application/json"))
            return
        self._plain(200, b"", ("Instance-Id", self.engine.instance))

    def do_POST(self) -> None:
        self.rfile.read(int(self.headers.get("Content-Length", "0")))
        if self._is_another():
            return
        engine = self.engine
        request_id = self.headers.get("Request-Id", "")
        count, pause_s = engine.pieces(request_id)
        after = int(self.headers.get("Last-Event-Id", "0"))
        while not engine.slots.acquire(timeout=0.02):
            if self._has_left():
                self.close_connection = True
                return
        run: dict[str, Any] = {"id": request_id, "start": time.monotonic(), "end": None}
        run |= {"after": after, "last": after}
        with engine.lock:
            engine.runs.append(run)
        engine.note(f"server {engine.instance}: runs {request_id} after event {after}")
        try:
            self._stream(run, count, pause_s)
        except OSError:
            self.close_connection = True
        finally:
            with engine.lock:
                run["end"] = time.monotonic()
            engine.slots.release()
            last = f"event {run['last']} of {count}"
            engine.note(f"server {engine.instance}: has ended {request_id} at {last}")

    def _stream(self, run: dict[str, Any], count: int, pause_s: float) -> None:
        self.send_response(200)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Request-Id", run["id"])
        self.send_header("Server-Stamp", f"s-{self.engine.instance}")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for number in range(run["after"] + 1, count + 1):
            time.sleep(pause_s)
            if self._has_left():
                raise ConnectionResetError
            event = f"id: {number}\ndata: {run['id']} {number}\n\n".encode()
            self.wfile.write(b"%x\r\n%b\r\n" % (len(event), event))
            run["last"] = number
        self.wfile.write(b"0\r\n\r\n")

    def _has_left(self) -> bool:
        if not select.select([self.connection], [], [], 0)[0]:
            return False
        with contextlib.suppress(OSError):
            return not self.connection.recv(1, socket.MSG_PEEK)
        return True


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128


def serve(engine: Engine) -> Engine:
    """Serve an engine on a free port of the loopback network."""
    handler = type("Handler", (_Handler,), {"engine": engine})
    server = _Server(("127.0.0.1", 0), handler)
    engine.address = f"127.0.0.1:{server.server_address[1]}"
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return engine
