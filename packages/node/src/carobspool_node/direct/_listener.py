"""Accepts connections and serves each one on a thread of a bounded pool."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections import OrderedDict
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from absl import logging

from carobspool_core import Clock, Millis
from carobspool_core.direct import LEAVING_RETRY_AFTER, CallerLimits
from carobspool_node.direct._caller_connection import CallerConnection
from carobspool_node.direct._errors import BadRequestError, CallerGoneError
from carobspool_node.direct._failure_answer import failure_answer
from carobspool_node.direct._messages import CallerRequest, HeaderNames

REFUSAL_WRITE_TIMEOUT_S = 0.1
"""How long `close_socket` waits for refusals in progress; each is written within a millisecond."""
ACCEPT_QUEUE_LENGTH = 512
"""A full accept queue drops the SYN, which the client retransmits only after a second."""
MIN_IDLE: Millis = 100.0
"""Idle time after which a connection may be closed for another caller; the first request of a new
connection arrives within a round trip."""

Handler = Callable[[CallerRequest, CallerConnection], None]


class Listener:
    """Accepts connections on one address and serves their requests.

    Args:
        address: Address to listen on.
        workers: Connections served at once. For further ones idle connections are closed.
        clock: The process's clock.
        names: Header names used by the callers.
        limits: Returns the current limits on requests.
        handle: Serves one request.
        others_serve: Returns whether callers whose connections are closed unread can go elsewhere.
            They wait for a worker otherwise.
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
        others_serve: Callable[[], bool] = lambda: False,
    ) -> None:
        self._workers = workers
        self._others_serve = others_serve
        self._idle_since: OrderedDict[CallerConnection, Millis] = OrderedDict()
        self._ending: set[CallerConnection] = set()
        self._clock = clock
        self._names = names
        self._limits = limits
        self._handle = handle
        self._pool = ThreadPoolExecutor(workers, thread_name_prefix=f"http-{address[1]}")
        self._lock = threading.Lock()
        self._in_progress: dict[CallerConnection, CallerRequest] = {}
        self._open_connections = 0
        self._draining = False
        self._closed = False
        self._socket_closed = threading.Event()
        self._pending_refusals = 0
        self._socket = socket.create_server(address, backlog=ACCEPT_QUEUE_LENGTH)

    @property
    def busy(self) -> int:
        """Number of requests in progress."""
        return len(self._in_progress)

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return self._open_connections

    def start(self) -> None:
        """Start to accept connections on a new thread."""
        threading.Thread(target=self._accept, name="accept", daemon=True).start()

    def drain(self) -> None:
        """Close each connection after its next answer."""
        self._draining = True

    def close_if_idle(self) -> bool:
        """Stop serving requests if none is in progress; return whether serving has stopped.

        The process needs some time to exit, and callers still send requests until then. The
        exit would interrupt these requests, so they are refused as not run.
        """
        with self._lock:
            self._closed = self._closed or not self._in_progress
            return self._closed

    def close(self) -> list[CallerRequest]:
        """Stop serving requests, and answer those in progress with an unknown outcome.

        Returns:
            Requests left without a complete answer, such as unfinished streams.
        """
        with self._lock:
            self._closed = True
            unfinished = dict(self._in_progress)
        headers, body = failure_answer("this entry has left", "unknown", None)
        incomplete = []
        for connection, request in unfinished.items():
            if not connection.answer_at_exit(headers, body):
                incomplete.append(request)
        return incomplete

    def close_socket(self) -> None:
        """Close the listening socket and wait for refusals in progress; call `close` first.

        New callers then find the port closed, which shows that their request was not read.
        """
        self._socket_closed.set()
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()
        deadline = time.monotonic() + REFUSAL_WRITE_TIMEOUT_S
        while self._pending_refusals and time.monotonic() < deadline:
            time.sleep(0.005)

    def _accept(self) -> None:
        while not self._socket_closed.is_set():
            try:
                sock, _ = self._socket.accept()
            except OSError as error:
                if self._socket_closed.is_set():
                    return
                logging.error("event=accept_failed reason=%r", error)
                threading.Event().wait(0.05)
                continue
            with self._lock:
                self._open_connections += 1
            if self._has_worker_for_another():
                self._pool.submit(self._serve, sock)
                continue
            with self._lock:
                self._open_connections -= 1
            # The caller sees that its request was not read, and sends it to another entry.
            sock.close()
            logging.info("event=closed_unread open=%d busy=%d", self.open_connections, self.busy)

    def _has_worker_for_another(self) -> bool:
        """Return whether a new connection may wait for a worker.

        Closes the connections that have been idle for longest if too few workers are free.
        """
        with self._lock:
            has_worker = self._end_idle_connections()
        return has_worker or not self._others_serve()

    def _end_idle_connections(self) -> bool:
        """Close idle connections while others wait; return whether a worker is free for each.

        The caller holds the lock.
        """
        missing = self._open_connections - len(self._ending) - self._workers
        if missing <= 0:
            return True
        now = self._clock.now()
        idle: list[CallerConnection] = []
        for connection, since in self._idle_since.items():
            if len(idle) >= missing or now - since < MIN_IDLE:
                break
            idle.append(connection)
        for connection in idle:
            del self._idle_since[connection]
            self._ending.add(connection)
            connection.stop_waiting()
        return len(idle) >= missing

    def _serve(self, sock: socket.socket) -> None:
        connection: CallerConnection | None = None
        try:
            connection = CallerConnection(sock, self._clock, self._names)
            is_first = True
            while self._wait_for_request(connection, is_first=is_first):
                if not self._serve_one(connection):
                    break
                is_first = False
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
                self._open_connections -= 1
                if connection is not None:
                    self._ending.discard(connection)
                    connection.release()

    def _wait_for_request(self, connection: CallerConnection, *, is_first: bool) -> bool:
        """Wait for the next request; return whether there is one.

        Does not wait for a further request while other connections wait for a worker.
        """
        with self._lock:
            others_wait = self._open_connections - len(self._ending) > self._workers
            if others_wait and not is_first:
                return False
            self._idle_since[connection] = self._clock.now()
        has_request = False
        try:
            has_request = connection.wait_for_request(self._limits().idle_timeout)
        finally:
            with self._lock:
                self._idle_since.pop(connection, None)
                if has_request and connection in self._ending:
                    # Its request has crossed the end of its wait; another connection gives way.
                    self._ending.discard(connection)
                    connection.keep_waiting()
                    self._end_idle_connections()
        return has_request

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
                self._pending_refusals += 1
            else:
                self._in_progress[connection] = request
        if closed:
            self._refuse(request, connection)
            return False
        try:
            if self._draining:
                connection.close_after_answer()
            self._handle(request, connection)
        finally:
            with self._lock:
                del self._in_progress[connection]
        return connection.prepare_next_request()

    def _refuse(self, request: CallerRequest, connection: CallerConnection) -> None:
        headers, body = failure_answer("this entry has left", "not_run", LEAVING_RETRY_AFTER)
        connection.close_after_answer()
        try:
            connection.answer(503, headers, body)
        finally:
            with self._lock:
                self._pending_refusals -= 1
        logging.info("event=leaving_refused request=%s closed=True", request.request_id)
