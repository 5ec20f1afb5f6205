"""TCP links that delay, hold or cut what passes through them."""

from __future__ import annotations

import contextlib
import functools
import queue
import socket
import threading
import time
from collections.abc import Callable

from carobspool_standins._faults import FaultBoard, Faults

PIECE_BYTES = 262_144
BACKLOG = 128


class RelayFaults(Faults):
    """Faults of a relay.

    Attributes:
        delay_ms: One-way delay in place of the one of the settings.
        hold: Nothing passes, as in a partition; it goes on when the fault ends.
        hold_answers: Nothing passes from the target back, as when a link is cut one way.
        cut: Open connections are closed and new ones are closed at once.
    """

    delay_ms: float | None = None
    hold: bool = False
    hold_answers: bool = False
    cut: bool = False


class Relay:
    """Passes the connections of one port on to another, with a delay each way.

    Args:
        listener: Socket that listens.
        target: Address and port to connect to.
        delay_ms: Returns the one-way delay in force.
        board: Faults in force.
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
        _start(self._accept)

    def cut(self) -> None:
        """Close all open connections."""
        with self._lock:
            sockets = list(self._open)
        for one in sockets:
            _shut(one)

    def _accept(self) -> None:
        while True:
            near, _ = self._listener.accept()
            if self._board.current.cut:
                near.close()
                continue
            _start(functools.partial(self._connect, near))

    def _connect(self, near: socket.socket) -> None:
        try:
            far = socket.create_connection(self._target)
        except OSError:
            near.close()
            return
        for one in (near, far):
            one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self._lock:
            self._open |= {near, far}
        back = _start(lambda: self._pump(far, near, answers=True))
        self._pump(near, far, answers=False)
        back.join()
        with self._lock:
            self._open -= {near, far}
        near.close()
        far.close()

    def _pump(self, source: socket.socket, sink: socket.socket, *, answers: bool) -> None:
        pieces: queue.SimpleQueue[tuple[float, bytes]] = queue.SimpleQueue()
        writer = _start(lambda: self._write(pieces, sink, answers=answers))
        while True:
            try:
                piece = source.recv(PIECE_BYTES)
            except OSError:
                piece = b""
            pieces.put((time.monotonic() + self._delay_ms() / 1000.0, piece))
            if not piece:
                break
        writer.join()

    def _write(
        self,
        pieces: queue.SimpleQueue[tuple[float, bytes]],
        sink: socket.socket,
        *,
        answers: bool,
    ) -> None:
        while True:
            due, piece = pieces.get()
            time.sleep(max(0.0, due - time.monotonic()))
            self._board.wait_while(lambda faults: _is_held(faults, answers=answers))
            if not piece:
                with contextlib.suppress(OSError):
                    sink.shutdown(socket.SHUT_WR)
                return
            try:
                sink.sendall(piece)
            except OSError:
                _shut(sink)


def _is_held(faults: RelayFaults, *, answers: bool) -> bool:
    return not faults.cut and (faults.hold or (answers and faults.hold_answers))


def _start(task: Callable[[], None]) -> threading.Thread:
    thread = threading.Thread(target=task, daemon=True)
    thread.start()
    return thread


def _shut(one: socket.socket) -> None:
    with contextlib.suppress(OSError):
        one.shutdown(socket.SHUT_RDWR)
