"""TCP relay that delays, holds or cuts its connections."""

from __future__ import annotations

import contextlib
import functools
import queue
import socket
import threading
import time
from collections.abc import Callable

from carobspool_standins._faults import FaultBoard, Faults

READ_BYTES = 262_144
BACKLOG = 128


class RelayFaults(Faults):
    """Faults of a relay.

    Attributes:
        delay_ms: One-way delay, which overrides that of the settings.
        hold: Whether data is held in both directions, as in a partition, until the fault ends.
        hold_answers: Whether data from the target is held, as when a link is down one way.
        cut: Whether open connections are closed, and new ones closed at once.
    """

    delay_ms: float | None = None
    hold: bool = False
    hold_answers: bool = False
    cut: bool = False


class Relay:
    """Forwards the connections of one port to another, with a delay in each direction.

    Args:
        listener: Listening socket.
        target: Address and port to connect to.
        delay_ms: Returns the current one-way delay.
        board: Active faults.
    """

    def __init__(
        self,
        listener: socket.socket,
        target: tuple[str, int],
        delay_ms: Callable[[], float],
        board: FaultBoard[RelayFaults],
    ) -> None:
        self._listener = listener
        self._target = target
        self._delay_ms = delay_ms
        self._board = board
        self._lock = threading.Lock()
        self._open: set[socket.socket] = set()
        _start_thread(self._accept_connections)

    def cut(self) -> None:
        """Close all open connections."""
        with self._lock:
            sockets = list(self._open)
        for sock in sockets:
            _shut_down(sock)

    def _accept_connections(self) -> None:
        while True:
            client, _ = self._listener.accept()
            if self._board.current.cut:
                client.close()
                continue
            _start_thread(functools.partial(self._relay_connection, client))

    def _relay_connection(self, client: socket.socket) -> None:
        try:
            server = socket.create_connection(self._target)
        except OSError:
            client.close()
            return
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self._lock:
            self._open |= {client, server}
        answer_thread = _start_thread(lambda: self._forward(server, client, answers=True))
        self._forward(client, server, answers=False)
        answer_thread.join()
        with self._lock:
            self._open -= {client, server}
        client.close()
        server.close()

    def _forward(self, source: socket.socket, sink: socket.socket, *, answers: bool) -> None:
        chunks: queue.SimpleQueue[tuple[float, bytes]] = queue.SimpleQueue()
        writer = _start_thread(lambda: self._write_delayed(chunks, sink, answers=answers))
        while True:
            try:
                chunk = source.recv(READ_BYTES)
            except OSError:
                chunk = b""
            chunks.put((time.monotonic() + self._delay_ms() / 1000.0, chunk))
            if not chunk:
                break
        writer.join()

    def _write_delayed(
        self,
        chunks: queue.SimpleQueue[tuple[float, bytes]],
        sink: socket.socket,
        *,
        answers: bool,
    ) -> None:
        while True:
            send_at, chunk = chunks.get()
            time.sleep(max(0.0, send_at - time.monotonic()))
            self._board.wait_while(lambda faults: _is_held(faults, answers=answers))
            if not chunk:
                with contextlib.suppress(OSError):
                    sink.shutdown(socket.SHUT_WR)
                return
            try:
                sink.sendall(chunk)
            except OSError:
                _shut_down(sink)


def _is_held(faults: RelayFaults, *, answers: bool) -> bool:
    return not faults.cut and (faults.hold or (answers and faults.hold_answers))


def _start_thread(task: Callable[[], None]) -> threading.Thread:
    thread = threading.Thread(target=task, daemon=True)
    thread.start()
    return thread


def _shut_down(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
