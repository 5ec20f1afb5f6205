"""Delays and faults of the relay between failure domains."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from carobspool_standins._client import HttpClient, IncompleteResponseError
from carobspool_standins.plain import PlainSettings
from carobspool_standins.plain import make_application as make_plain
from carobspool_standins.ports import PortChooser
from carobspool_standins.relay import RelayRoute, RelaySettings, make_application

DELAY_MS = 30.0


def test_delay_hold_and_cut(serve):
    """A call takes at least twice the one-way delay, blocks while held and fails while cut."""
    plain = serve(make_plain(PlainSettings(port=0)))
    port = PortChooser().choose()
    route = RelayRoute(port=port, target=int(plain.base.rpartition(":")[2]))
    relay = serve(make_application(RelaySettings(port=0, delay_ms=DELAY_MS, routes=(route,))))
    relayed = HttpClient(f"http://127.0.0.1:{port}", timeout_ms=5000)
    start = time.monotonic()
    assert relayed.call("POST", "/x", body="y" * 500_000).json["count"] == 1
    assert time.monotonic() - start >= 2 * DELAY_MS / 1000.0
    relay.call("POST", "/faults", json_body={"hold": True})
    with ThreadPoolExecutor(1) as pool:
        pending = pool.submit(relayed.call, "GET", "/x")
        with pytest.raises(IncompleteResponseError):
            HttpClient(relayed.base, timeout_ms=100).call("GET", "/x")
        relay.call("POST", "/faults/reset")
        assert pending.result().status == 200
    relay.call("POST", "/faults", json_body={"cut": True})
    with pytest.raises(IncompleteResponseError):
        relayed.call("GET", "/x")
    relay.call("POST", "/faults/reset")
    assert relayed.call("GET", "/x").status == 200
