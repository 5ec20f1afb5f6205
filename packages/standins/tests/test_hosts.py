"""Contract of the stand-in for the host list."""

from __future__ import annotations

import pytest

from carobspool_standins.hosts import HostRecord, HostsSettings, make_application

HOST = {"host": "up-1", "address": "127.0.0.1:9", "failure_domain": "leicester-hall"}


def test_list_lags_behind_changes(serve):
    """A change appears in the list only after the lag; an outage answers 503."""
    settings = HostsSettings(port=0, lag_ms=60_000, hosts=(HostRecord(**HOST),))
    client = serve(make_application(settings))
    leaving = HOST | {"state": "leaving"}
    assert client.call("PUT", "/hosts/up-1", json_body=leaving).status == 200
    assert [h["state"] for h in client.call("GET", "/hosts").json["hosts"]] == ["live"]
    client.call("POST", "/faults", json_body={"lag_ms": 0})
    assert client.call("GET", "/hosts").json["hosts"] == [leaving]
    assert client.call("DELETE", "/hosts/up-1").status == 200
    assert client.call("GET", "/hosts").json["hosts"] == []
    client.call("POST", "/faults", json_body={"outage": True})
    assert client.call("GET", "/hosts").status == 503


@pytest.mark.parametrize(
    ("name", "record", "status"),
    [("up-1", {"host": "up-1"}, 400), ("up-2", HOST, 400), ("up-1", HOST, 200)],
)
def test_records_are_validated(serve, name, record, status):
    """A record is accepted only if it is complete and names the host of the path."""
    client = serve(make_application(HostsSettings(port=0)))
    assert client.call("PUT", f"/hosts/{name}", json_body=record).status == status
    assert client.call("DELETE", "/hosts/none").status == 404
