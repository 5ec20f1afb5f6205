"""Listener and connections of one start of a stand-in for a server."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ServerStart:
    """The listener and connections of a server from one start until it crashes or is cut off.

    Args:
        started: Unix milliseconds of the start.
        address: Address to listen on.
        version: Version of the software that runs.
    """

    def __init__(self, started: int, address: tuple[str, int], version: str = "v1") -> None:
        self.started = started
        self.version = version
        self.listener = socket.create_server(address)
        self.address: tuple[str, int] = self.listener.getsockname()
        self.listening = True
        self.crashed = False
        self._lock = threading.Lock()
        self._sockets: set[socket.socket] = set()
        self._held_output: list[tuple[socket.socket, bytes | None]] | None = None

    def report(self, *, states_start: bool) -> dict[str, object]:
        """Return what the server reports on itself."""
        found: dict[str, object] = {"state": "ready"}
        if states_start and self.started:
            found["born"] = self.started
        return found

    def add_connection(self, sock: socket.socket) -> None:
        """Add an accepted connection, which is reset if the server has crashed since."""
        with self._lock:
            self._sockets.add(sock)
            has_crashed = self.crashed
        if has_crashed:
            self.reset_all()

    def send(self, sock: socket.socket, data: bytes) -> None:
        """Send on a connection, or buffer the bytes while output is held."""
        with self._lock:
            if self._held_output is not None:
                self._held_output.append((sock, data))
                return
        with contextlib.suppress(OSError):
            sock.sendall(data)

    def close(self, sock: socket.socket) -> None:
        """Shut a connection down and close it, or leave that to the release of held output."""
        with self._lock:
            if self._held_output is not None:
                self._held_output.append((sock, None))
                return
        _close(sock)

    def stop_listening(self) -> None:
        """Close the listener."""
        self.listening = False
        # On Linux, only a shutdown wakes a thread that is blocked in accept.
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def reset_all(self) -> None:
        """Reset every connection, as the end of the process does."""
        with self._lock:
            self.crashed = True
            sockets = list(self._sockets)
            self._sockets.clear()
        for sock in sockets:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                # A thread that is blocked in recv keeps the socket open; the shutdown wakes it.
                sock.shutdown(socket.SHUT_RD)
            sock.close()

    def hold_output(self) -> None:
        """Buffer all further output, and the ends of connections, instead of sending it."""
        with self._lock:
            self._held_output = []

    def release_output(self) -> None:
        """Send the buffered output and stop buffering."""
        # Under the lock, so that later output follows the held one.
        with self._lock:
            held = self._held_output or []
            self._held_output = None
            for sock, data in held:
                if data is None:
                    _close(sock)
                    continue
                with contextlib.suppress(OSError):
                    sock.sendall(data)


def _close(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()
