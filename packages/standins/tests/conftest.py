"""Fixtures that serve stand-ins on loopback, in threads of the test process."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator

import pytest

from carobspool_standins._client import HttpClient
from carobspool_standins._http import WsgiApplication, make_http_server
from carobspool_standins._settings import ServerSettings

Serve = Callable[[WsgiApplication], HttpClient]


@pytest.fixture
def serve() -> Iterator[Serve]:
    """Return a function that serves a WSGI application and returns a client for it."""
    servers = []

    def start(app: WsgiApplication) -> HttpClient:
        server = make_http_server(ServerSettings(port=0), app)
        threading.Thread(target=server.serve_forever, args=(0.01,), daemon=True).start()
        servers.append(server)
        return HttpClient(f"http://127.0.0.1:{server.port}", timeout_ms=10_000)

    yield start
    for server in servers:
        server.shutdown()
