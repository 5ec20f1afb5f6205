"""Servers that crash on certain requests, for tests of the isolation of those requests."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from direct_harness import Deployment

from carobspool_standins.platform_server import (
    PlatformServer,
    RequestHandler,
    ServedRequest,
    ServerConnection,
)

SERVERS = 9

MakeHandler = Callable[[Callable[[], None]], RequestHandler]
"""Returns the handler of a server, given the function that crashes it."""


class CrashingFleet:
    """Servers that crash on some requests; each is replaced by a new one at another address.

    Args:
        system: The deployment that the servers belong to.
        service: The service that they serve.
        is_culprit: Returns whether a request crashes servers.
        make_handler: Makes the handler of each server.
        servers: Number of servers.
    """

    def __init__(
        self,
        system: Deployment,
        service: str,
        is_culprit: Callable[[ServedRequest], bool],
        make_handler: MakeHandler,
        *,
        servers: int = SERVERS,
    ) -> None:
        self._system = system
        self._service = service
        self._is_culprit = is_culprit
        self._make_handler = make_handler
        self._lock = threading.Lock()
        self._crashed: set[str] = set()
        self.crash_times: list[float] = []
        self.arrival_times: list[float] = []
        for _ in range(servers):
            self._start_server()

    def arrivals_after(self, moment: float) -> int:
        """Return how many culprits reached a server after ``moment``."""
        return sum(arrived > moment for arrived in self.arrival_times)

    def lose(self, server: PlatformServer) -> None:
        """Crash a server for good."""
        server.crash()
        self._system.objects.remove("servers", server.instance)

    def replace(self, server: PlatformServer) -> None:
        """Crash a server, and start another one in its place."""
        with self._lock:
            if server.instance in self._crashed:
                return
            self._crashed.add(server.instance)
            self.crash_times.append(time.monotonic())
        self.lose(server)
        self._start_server()

    def _start_server(self) -> None:
        holder: list[PlatformServer] = []
        serve = self._make_handler(lambda: self.replace(holder[0]))

        def handle_request(request: ServedRequest, connection: ServerConnection) -> None:
            if self._is_culprit(request):
                with self._lock:
                    self.arrival_times.append(time.monotonic())
            serve(request, connection)

        holder.append(self._system.start_server(self._service, handle_request))
