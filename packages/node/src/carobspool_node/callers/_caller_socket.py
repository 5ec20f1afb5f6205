"""Writing a stream's pieces straight to the caller's socket, from the task that received them.

Waking the stream's worker for each token costs more than the write: at 4,600 tokens a second one
entry spent 0.85 of a core, most of it on handing the interpreter from thread to thread. A caller
that does not read fast enough is left to its worker, which may wait for it.
"""

from __future__ import annotations

import contextlib
import os
import socket
import threading
from collections.abc import Mapping
from typing import Any

_HTTP_1_1 = "HTTP/1.1"


class CallerSocket:
    """The connection of a caller whose headers and first piece are sent. Since 0.1.

    Args:
        connection: The worker's socket; it stays the worker's.
    """

    def __init__(self, connection: socket.socket) -> None:
        # The worker's socket object waits when the buffer is full; this one never does.
        self._socket = socket.socket(fileno=os.dup(connection.fileno()))
        self._socket.settimeout(0.0)
        self._connection = connection
        self._lock = threading.Lock()
        self._rest = b""
        self._events = 0
        self._gone = False

    @property
    def events(self) -> int:
        """Server-sent events written here."""
        return self._events

    def write(self, data: bytes) -> bool:
        """Write a piece as one chunk without waiting.

        Returns:
            Whether it is written whole; if not, the worker goes on with `settle`.
        """
        chunk = b"%x\r\n%b\r\n" % (len(data), data)
        with self._lock:
            self._events += data.count(b"\n\n")
            try:
                sent = self._socket.send(chunk)
            except (BlockingIOError, InterruptedError):
                sent = 0
            except OSError:
                self._gone = True
                return False
            self._rest = chunk[sent:]
            return not self._rest

    def settle(self) -> None:
        """Send in the worker's task what was left of the last piece, waiting for the caller.

        Raises:
            ConnectionError: If the caller is gone.
        """
        with self._lock:
            if self._gone:
                raise ConnectionResetError("the caller is gone")
            rest, self._rest = self._rest, b""
        if rest:
            self._connection.sendall(rest)

    def close(self) -> None:
        """Let go of the connection; the worker's socket stays open."""
        with self._lock, contextlib.suppress(OSError):
            self._socket.close()
            self._gone = True


def caller_socket(environ: Mapping[str, Any]) -> CallerSocket | None:
    """Return the caller's socket of a request, or ``None`` where chunks cannot be sent."""
    connection = environ.get("werkzeug.socket")
    if connection is None or environ.get("SERVER_PROTOCOL") != _HTTP_1_1:
        return None
    return CallerSocket(connection)
