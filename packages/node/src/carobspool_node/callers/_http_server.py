"""A WSGI server on a bounded pool of threads, built on werkzeug's server.

A connection that finds every worker busy and the short queue full is answered 503 at once by the
accepting task, so that callers are never left waiting without an answer.
"""

from __future__ import annotations

import contextlib
import json
import socket
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any, cast

from absl import logging
from werkzeug.serving import BaseWSGIServer, WSGIRequestHandler

QUEUE_PER_WORKER = 0.25
READ_BYTES = 65_536
MAX_REFUSED_READS = 64
"""Reads of a refused request, each up to `READ_BYTES` and `REFUSAL_TIMEOUT_S`."""
READ_TIMEOUT_S = 30.0
REFUSAL_TIMEOUT_S = 0.2


def _refusal(code: str, message: str) -> bytes:
    error = {
        "type": "unavailable_error",
        "code": code,
        "message": message,
        "outcome": "not_run",
        "retry_after_ms": 1000,
    }
    body = json.dumps({"error": error}).encode()
    return (
        b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: 1\r\n"
        b"carobspool-outcome: not_run\r\nConnection: close\r\n"
        b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
    )


_BUSY_ANSWER = _refusal("entry_busy", "every worker of this entry is busy")
_LEAVING_ANSWER = _refusal("entry_leaving", "this entry is shutting down")


class TruncatedAnswerError(ConnectionError):
    """Raised in the middle of a body that cannot be completed.

    As a connection error it makes the handler close the connection without the closing chunk, so
    the caller never takes a truncated answer for a whole one.
    """


class _Handler(WSGIRequestHandler):
    protocol_version = "HTTP/1.1"
    wbufsize = 64 * 1024
    timeout = READ_TIMEOUT_S
    disable_nagle_algorithm = True

    def run_wsgi(self) -> None:
        """Serve a request, unless the server has stopped accepting before the request came."""
        if not cast(PooledServer, self.server).is_leaving:
            super().run_wsgi()
            return
        # Data that is not read when the connection closes would reset it, and lose the answer.
        self.connection.settimeout(REFUSAL_TIMEOUT_S)
        with contextlib.suppress(OSError):
            self.wfile.write(_LEAVING_ANSWER)
            self.wfile.flush()
            self.connection.shutdown(socket.SHUT_WR)
            for _ in range(MAX_REFUSED_READS):
                if not self.rfile.read1(READ_BYTES):
                    break
        self.close_connection = True

    def log(self, type: str, message: str, *args: Any) -> None:  # noqa: A002
        """Leave access logging to the application."""

    def connection_dropped(self, error: BaseException, environ: Any = None) -> None:
        """Take note that the caller has gone, or that the answer was broken off."""
        logging.vlog(1, "event=connection_dropped error=%r", error)


class PooledServer(BaseWSGIServer):
    """werkzeug's server with one bounded pool of workers. Since 0.1."""

    multithread = True
    request_queue_size = 512

    def __init__(
        self, address: str, port: int, application: Callable[..., Any], *, workers: int
    ) -> None:
        super().__init__(address, port, application, handler=_Handler)
        self._pool = ThreadPoolExecutor(workers, thread_name_prefix="http")
        self._room = threading.Semaphore(workers + int(workers * QUEUE_PER_WORKER))
        self._open = 0
        self._is_leaving = False
        self._lock = threading.Lock()

    @property
    def open_connections(self) -> int:
        """Connections being served or waiting for a worker."""
        return self._open

    @property
    def is_leaving(self) -> bool:
        """Whether requests are refused that have not begun."""
        return self._is_leaving

    def shutdown(self) -> None:
        """Stop accepting connections, and refuse what comes on those that are open."""
        self._is_leaving = True
        super().shutdown()

    def process_request(self, request: Any, client_address: Any) -> None:
        """Hand a connection to the pool, or refuse it at once."""
        if not self._room.acquire(blocking=False):
            self._refuse(request)
            return
        with self._lock:
            self._open += 1
        self._pool.submit(self._serve, request, client_address)

    def server_close(self) -> None:
        """Close the listening socket and let the workers end."""
        super().server_close()
        self._pool.shutdown(wait=False)

    def _serve(self, request: Any, client_address: Any) -> None:
        try:
            self.finish_request(request, client_address)
        except Exception as error:  # noqa: BLE001
            logging.vlog(1, "event=http_failed error=%r", error)
        finally:
            self.shutdown_request(request)
            with self._lock:
                self._open -= 1
            self._room.release()

    def _refuse(self, request: socket.socket) -> None:
        try:
            request.settimeout(REFUSAL_TIMEOUT_S)
            request.sendall(_BUSY_ANSWER)
        except OSError:
            pass
        finally:
            self.shutdown_request(request)
