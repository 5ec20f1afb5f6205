"""A WSGI server on a bounded pool of threads, built on werkzeug's server.

A connection that finds every worker busy and the short queue full is answered 503 at once by the
accepting task, so that callers are never left waiting without an answer.
"""

from __future__ import annotations

import json
import socket
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from absl import logging
from werkzeug.serving import BaseWSGIServer, WSGIRequestHandler

QUEUE_PER_WORKER = 0.25
READ_TIMEOUT_S = 30.0
_BUSY_BODY = json.dumps(
    {
        "error": {
            "type": "unavailable_error",
            "code": "entry_busy",
            "message": "every worker of this entry is busy",
            "outcome": "not_run",
            "retry_after_ms": 1000,
        }
    }
).encode()
_BUSY_ANSWER = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: 1\r\n"
    b"carobspool-outcome: not_run\r\nConnection: close\r\nContent-Length: "
    + str(len(_BUSY_BODY)).encode()
    + b"\r\n\r\n"
    + _BUSY_BODY
)


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
        self._lock = threading.Lock()

    @property
    def open_connections(self) -> int:
        """Connections being served or waiting for a worker."""
        return self._open

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
            request.settimeout(0.2)
            request.sendall(_BUSY_ANSWER)
        except OSError:
            pass
        finally:
            self.shutdown_request(request)
