"""Stand-in for servers that answer a second time, and late.

The copy of an answer comes where the next answer on its connection is expected, after the next
request was sent, so that nothing unread shows it while the connection is idle.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from weakref import WeakKeyDictionary

from carobspool_standins.platform_server import RequestHandler, ServedRequest, ServerConnection

INTERIM_ANSWER = b"HTTP/1.1 100 Continue\r\n\r\n"


class SecondAnswers:
    """Handles requests, and sends some answers again before the next one on their connections.

    Attributes:
        sent: Number of second answers so far.

    Args:
        handle_request: Handles the requests.
        is_repeated: Returns whether the answer to a request comes a second time.
        interim: Whether an interim answer precedes each second answer, as after a request that
            expects to be told to continue.
    """

    def __init__(
        self,
        handle_request: RequestHandler,
        is_repeated: Callable[[ServedRequest], bool] = lambda request: True,
        *,
        interim: bool = False,
    ) -> None:
        self._handle_request = handle_request
        self._is_repeated = is_repeated
        self._interim = INTERIM_ANSWER if interim else b""
        self._lock = threading.Lock()
        self._late: WeakKeyDictionary[object, bytes] = WeakKeyDictionary()
        self.sent = 0

    def __call__(self, request: ServedRequest, connection: ServerConnection) -> None:
        """Handle a request."""
        with self._lock:
            late = self._late.pop(connection.socket, b"")
            self.sent += bool(late)
        if late:
            connection.send(self._interim + late)
            connection.sent.clear()
        self._handle_request(request, connection)
        if not connection.closed and self._is_repeated(request):
            with self._lock:
                self._late[connection.socket] = bytes(connection.sent)
