"""One start of a stand-in of a server: what it listens on and its connections."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ServerStart:
    """One start of a server: its listener and connections, until it crashes or is cut off."""

    def __init__(self, started: int, address: tuple[str, int]) -> None:
        self.started = started
        self.listener = socket.create_server(address)
        self.address: tuple[str, int] = self.listener.getsockname()
        self._lock = threading.Lock()
        self._sockets: set[socket.socket] = set()
        self._held: list[tuple[socket.socket, bytes]] | None = None

    def add(self, sock: socket.socket) -> None:
        """Take a connection that it has accepted."""
        with self._lock:
            self._sockets.add(sock)

    def send(self, sock: socket.socket, data: bytes) -> None:
        """Send on a connection, or keep the bytes back while it is cut off."""
        with self._lock:
            if self._held is not None:
                self._held.append((sock, data))
                return
        with contextlib.suppress(OSError):
            sock.sendall(data)

    def stop_listening(self) -> None:
        """Accept nothing more."""
        # On this system only a shutdown wakes a task that waits in accept.
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def reset_all(self) -> None:
        """Reset every connection."""
        with self._lock:
            sockets = list(self._sockets)
            self._sockets.clear()
        for sock in sockets:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                # A task that waits in recv holds the socket open; the shutdown wakes it.
                sock.shutdown(socket.SHUT_RD)
            sock.close()

    def hold(self) -> None:
        """Keep all bytes back from now on."""
        with self._lock:
            self._held = []

    def deliver(self) -> None:
        """Send what was kept back."""
        with self._lock:
            held = self._held or []
            self._held = None
        for sock, data in held:
            with contextlib.suppress(OSError):
                sock.sendall(data)
