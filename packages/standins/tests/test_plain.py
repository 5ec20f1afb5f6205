"""Contract of the stand-in for a plain service."""

from __future__ import annotations

import hashlib

import pytest

from carobspool_standins._client import HttpClient, IncompleteResponseError
from carobspool_standins.plain import PlainSettings, make_application


@pytest.fixture
def client(serve) -> HttpClient:
    """Return a client of a plain service."""
    return serve(make_application(PlainSettings(port=0, service="orders")))


def test_every_call_is_counted_and_recorded(client):
    """Each executed call increments the count and is recorded with its key and digest."""
    headers = {"X-Request-Id": "r", "Idempotency-Key": "k"}
    first = client.call("POST", "/status/7?x=1", body="ping", headers=headers).json
    assert first == {
        "service": "orders",
        "count": 1,
        "path": "/status/7",
        "method": "POST",
        "echo": "ping",
    }
    assert client.call("GET", "/").json["count"] == 2
    assert client.call("HEAD", "/x").status == 200
    runs = client.call("GET", "/record").json["runs"]
    assert (runs[0]["id"], runs[0]["key"]) == ("r", "k")
    assert runs[0]["digest"] == hashlib.sha256(b"ping").hexdigest()
    assert len(runs) == 3


@pytest.mark.parametrize(
    ("faults", "status", "executed"),
    [
        ({"refuse": True}, None, 0),
        ({"reset_before_run": True}, None, 0),
        ({"reset_after_run": True}, None, 1),
        ({"half_answer": True}, None, 1),
        ({"status": 503}, 503, 0),
        ({"delay_ms": 1}, 200, 1),
    ],
)
def test_faults(client, faults, status, executed):
    """The record shows whether a call was executed, whatever response its caller received."""
    client.call("POST", "/faults", json_body=faults)
    try:
        found = client.call("POST", "/pay", body="x").status
    except IncompleteResponseError:
        found = None
    assert found == status
    assert len(client.call("GET", "/record").json["runs"]) == executed
