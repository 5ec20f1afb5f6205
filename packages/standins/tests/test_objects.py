"""Contract of the stand-in for the object API."""

from __future__ import annotations

import json
from concurrent.futures import ThreadPoolExecutor

import pytest

from carobspool_standins._client import HttpClient, IncompleteResponseError, Reply
from carobspool_standins.objects import ObjectsSettings, make_application

SETTINGS = ObjectsSettings(port=0, max_value_bytes=100, max_history=20)


@pytest.fixture
def client(serve) -> HttpClient:
    """Return a client of an empty object API."""
    return serve(make_application(SETTINGS))


def put(client: HttpClient, key: str, value: str, version: int) -> Reply:
    """Write an object if its current version is ``version``."""
    headers = {"If-Version": str(version)}
    return client.call("PUT", f"/objects/{key}", body=value, headers=headers)


@pytest.mark.parametrize(
    ("method", "key", "version", "body", "status", "present"),
    [
        ("PUT", "a/new", "0", "x", 200, None),
        ("PUT", "a/b", "0", "x", 409, "1"),
        ("PUT", "a/b", "1", "x", 200, None),
        ("PUT", "a/b", "7", "x", 409, "1"),
        ("PUT", "a/none", "3", "x", 409, "0"),
        ("PUT", "a/b", None, "x", 400, None),
        ("PUT", "a/b", "1", "x" * 101, 413, None),
        ("PUT", "a/b", "1", b"\xff", 400, None),
        ("DELETE", "a/b", "1", None, 200, None),
        ("DELETE", "a/b", "2", None, 409, "1"),
        ("DELETE", "a/none", "1", None, 404, None),
        ("DELETE", "a/b", None, None, 400, None),
        ("GET", "a/none", None, None, 404, None),
    ],
)
def test_conditional_calls(client, method, key, version, body, status, present):
    """Each combination of call and condition returns the documented status."""
    put(client, "a/b", "first", 0)
    headers = {"If-Version": version} if version is not None else {}
    reply = client.call(method, f"/objects/{key}", body=body, headers=headers)
    assert reply.status == status
    if present is not None:
        assert reply.headers["object-version"] == present


def test_versions_share_one_counter(client):
    """The version of an object is the revision of the whole store after its last write."""
    assert put(client, "a", "1", 0).headers["object-version"] == "1"
    assert put(client, "b", "1", 0).headers["object-version"] == "2"
    assert put(client, "a", "2", 1).headers["object-version"] == "3"
    reply = client.call("GET", "/objects/a")
    assert (reply.text, reply.headers["object-version"]) == ("2", "3")


def test_list_pages(client):
    """A listing returns the keys under a prefix in order, one page at a time."""
    for key in ("p/2", "q", "p/1", "p/3", "o"):
        put(client, key, key, 0)
    first = client.call("GET", "/list?prefix=p/&limit=2").json
    assert [o["key"] for o in first["objects"]] == ["p/1", "p/2"]
    assert (first["more"], first["revision"]) == (True, 5)
    last = client.call("GET", "/list?prefix=p/&limit=2&after=p/2").json
    assert [o["key"] for o in last["objects"]] == ["p/3"]
    assert last["more"] is False


def test_watch_wakes_and_compacts(client, serve):
    """A watch returns on a write, times out empty, and answers 410 for discarded history."""
    assert client.call("GET", "/watch?prefix=a&from=0&timeout=10").json["events"] == []
    with ThreadPoolExecutor(1) as pool:
        other = HttpClient(client.base)
        pending = pool.submit(other.call, "GET", "/watch?prefix=a&from=0&timeout=9000")
        put(client, "z", "no", 0)
        put(client, "a", "yes", 0)
        found = pending.result().json
    assert [(e["key"], e["version"], e["value"]) for e in found["events"]] == [("a", 2, "yes")]
    for version in range(2, 40):
        put(client, "a", "more", version)
    assert client.call("GET", "/watch?prefix=a&from=1&timeout=10").status == 410


def test_watch_shows_deletes_and_lag(client):
    """Watches report deletions, and hide events that are younger than the watch lag."""
    put(client, "a", "x", 0)
    client.call("DELETE", "/objects/a", headers={"If-Version": "1"})
    client.call("POST", "/faults", json_body={"watch_lag_ms": 60_000})
    assert client.call("GET", "/watch?prefix=&from=0&timeout=1").json["events"] == []
    client.call("POST", "/faults/reset")
    events = client.call("GET", "/watch?prefix=&from=0&timeout=1").json["events"]
    assert [(e["version"], e["deleted"]) for e in events] == [(1, False), (2, True)]


@pytest.mark.parametrize(("fault", "applied"), [("lose_answer", True), ("drop_before", False)])
def test_lost_response(client, fault, applied):
    """A write whose connection is reset has taken effect or not, depending on the fault."""
    client.call("POST", "/faults", json_body={fault: {"prefix": "c/", "count": 1}})
    assert put(client, "other", "x", 0).status == 200
    with pytest.raises(IncompleteResponseError):
        put(client, "c/1", "x", 0)
    assert (client.call("GET", "/objects/c/1").status == 200) is applied
    assert put(client, "c/2", "x", 0).status == 200, "only one occurrence"


@pytest.mark.parametrize(
    ("faults", "get", "write"),
    [
        ({"outage": True}, 503, 503),
        ({"refuse_writes": True}, 404, 503),
        ({"delay_ms": 1}, 404, 200),
    ],
)
def test_rejected_calls(client, faults, get, write):
    """A rejected call has no effect, but is counted."""
    client.call("POST", "/faults", json_body=faults)
    assert client.call("GET", "/objects/a").status == get
    assert put(client, "a", "x", 0).status == write
    assert client.call("GET", "/calls").json["create"] == 1
    assert len(client.call("GET", "/history?after=0").json["events"]) == (1 if write == 200 else 0)


def test_freeze_blocks_calls_until_cleared(client):
    """A call blocks while the store is frozen, and then continues."""
    client.call("POST", "/faults", json_body={"freeze": True})
    with ThreadPoolExecutor(1) as pool:
        pending = pool.submit(put, HttpClient(client.base), "a", "x", 0)
        assert client.call("GET", "/calls").status == 200
        assert client.call("GET", "/history").json["events"] == []
        client.call("POST", "/faults/reset")
        assert pending.result().status == 200


def test_unknown_fault_is_rejected(client):
    """An unknown fault is rejected; a misspelt one could otherwise let a test pass without it."""
    assert client.call("POST", "/faults", json_body={"outrage": True}).status == 400
    assert client.call("GET", "/faults").json["outage"] is False


def test_one_winner_per_version(client):
    """Of concurrent writes on one version, exactly one succeeds and appears in the history."""

    def attempt(worker: int) -> int:
        own = HttpClient(client.base)
        return sum(put(own, "k", f"{worker}", version).status == 200 for version in range(10))

    with ThreadPoolExecutor(6) as pool:
        assert sum(pool.map(attempt, range(6))) == 10
    history = client.call("GET", "/history?after=0").json["events"]
    assert [event["version"] for event in history] == list(range(1, 11))
    assert json.loads(history[-1]["value"]) in range(6)
