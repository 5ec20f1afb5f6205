"""Accepts connections and serves each on a task of a bounded pool."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from absl import logging

from carobspool_core import Clock
from carobspool_core.direct import LEAVING_RETRY_AFTER, CallerLimits
from carobspool_node.direct._caller_connection import CallerConnection
from carobspool_node.direct._errors import BadRequestError, CallerGoneError
from carobspool_node.direct._failure_answer import failure_answer
from carobspool_node.direct._messages import CallerRequest, HeaderNames

REFUSAL_TIME_S = 0.1
"""How long an exit waits for refusals that are being written; one takes less than a millisecond."""
BACKLOG = 512
"""Connections that may wait to be accepted; a full queue drops the opening packet, which is sent
again only a second later."""

Handler = Callable[[CallerRequest, CallerConnection], None]


class Listener:
    """One listening address.

    Args:
        address: Where to listen.
        workers: Connections served at once; more wait for one to end.
        clock: The process's clock.
        names: Header names of the callers.
        limits: Returns what a caller may send now.
        handle: Serves one request.
    """

    def __init__(
        self,
        address: tuple[str, int],
        *,
        workers: int,
        clock: Clock,
        names: HeaderNames,
        limits: Callable[[], CallerLimits],
        handle: Handler,
    ) -> None:
        self._clock = clock
        self._names = names
        self._limits = limits
        self._handle = handle
        self._pool = ThreadPoolExecutor(workers, thread_name_prefix=f"http-{address[1]}")
        self._lock = threading.Lock()
        self._in_progress: dict[CallerConnection, CallerRequest] = {}
        self._open = 0
        self._closing = False
        self._closed = False
        self._shut = threading.Event()
        self._refusing = 0
        self._socket = socket.create_server(address, backlog=BACKLOG)

    @property
    def busy(self) -> int:
        """Requests that are being served."""
        return len(self._in_progress)

    @property
    def open_connections(self) -> int:
        """Connections that are open."""
        return self._open

    def start(self) -> None:
        """Start to accept."""
        threading.Thread(target=self._accept, name="accept", daemon=True).start()

    def drain(self) -> None:
        """End each connection with its next answer."""
        self._closing = True

    def close_if_idle(self) -> bool:
        """Take no request any more, unless one is being served; return whether that is so.

        An entry without requests still needs some time to be gone, and callers come until then.
        What it took in that time was cut; now it is told that nothing was run.
        """
        with self._lock:
            self._closed = self._closed or not self._in_progress
            return self._closed

    def close(self) -> list[CallerRequest]:
        """Take no request any more, and answer those that are being served as unknown.

        Returns:
            Requests that are left without an answer, or in the middle of a stream.
        """
        with self._lock:
            self._closed = True
            unfinished = dict(self._in_progress)
        headers, body = failure_answer("this entry has left", "unknown", None)
        cut = []
        for connection, request in unfinished.items():
            if not connection.answer_at_exit(headers, body):
                cut.append(request)
        return cut

    def shut(self) -> None:
        """Stop to listen, and let what is being refused be written; call `close` first.

        From here on new callers find the port closed and know that nobody has read their request.
        """
        self._shut.set()
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()
        until = time.monotonic() + REFUSAL_TIME_S
        while self._refusing and time.monotonic() < until:
            time.sleep(0.005)

    def _accept(self) -> None:
        while not self._shut.is_set():
            try:
                sock, _ = self._socket.accept()
            except OSError as error:
                if self._shut.is_set():
                    return
                logging.error("event=accept_failed reason=%r", error)
                threading.Event().wait(0.05)
                continue
            with self._lock:
                self._open += 1
            self._pool.submit(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        connection: CallerConnection | None = None
        try:
            connection = CallerConnection(sock, self._clock, self._names)
            while self._serve_one(connection):
                pass
            connection.close()
        except CallerGoneError:
            if connection is not None:
                connection.abort()
        except Exception:  # noqa: BLE001
            logging.exception("event=connection_failed")
            if connection is not None:
                connection.abort()
        finally:
            sock.close()
            with self._lock:
                self._open -= 1

    def _serve_one(self, connection: CallerConnection) -> bool:
        try:
            request = connection.read_request(self._limits())
        except BadRequestError as error:
            logging.info("event=bad_request status=%d reason=%r", error.status, error)
            headers, body = failure_answer(str(error), "not_run", None)
            connection.close_after_answer()
            connection.answer(error.status, headers, body)
            return False
        if request is None:
            return False
        with self._lock:
            closed = self._closed
            if closed:
                self._refusing += 1
            else:
                self._in_progress[connection] = request
        if closed:
            self._refuse(request, connection)
            return False
        try:
            if self._closing:
                connection.close_after_answer()
            self._handle(request, connection)
        finally:
            with self._lock:
                del self._in_progress[connection]
        return connection.next_cycle()

    def _refuse(self, request: CallerRequest, connection: CallerConnection) -> None:
        headers, body = failure_answer("this entry has left", "not_run", LEAVING_RETRY_AFTER)
        connection.close_after_answer()
        try:
            connection.answer(503, headers, body)
        finally:
            with self._lock:
                self._refusing -= 1
        logging.info("event=leaving_refused request=%s closed=True", request.request_id)
