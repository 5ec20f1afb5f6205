"""What the adapter reads and writes: configuration, registrations, calls on jobs."""

from __future__ import annotations

import json

import pytest

from carobspool_core import Json
from carobspool_core.direct import ItemOutcome, ItemResult, RouteKind
from carobspool_core.problems import UnusableRecordError
from carobspool_node.direct import (
    BadRequestError,
    CallerRequest,
    EndJob,
    ReadBody,
    ReadResults,
    ResultsPage,
)
from carobspool_platform._configuration import read_configuration
from carobspool_platform._dialect import PlatformDialect
from carobspool_platform._registrations import read_upstream

ROUTE: Json = {
    "name": "r",
    "host": "h.example",
    "path_prefix": "/p/",
    "kind": "streaming",
    "timeout_ms": 5000,
    "target_latency_ms": 300,
    "priority": 0,
    "service": "s1",
    "max_attempts": 2,
    "resumable": True,
}
LIMITS = {
    "max_header_bytes": 1,
    "max_body_bytes": 2,
    "header_timeout_ms": 3,
    "idle_timeout_ms": 4,
}
ITEM: Json = {"id": "i", "path": "/p/1", "headers": {"Model": "m"}, "body": "AAE=", "tokens": 7}


def _request(method: str, target: str, wait: str | None = None) -> CallerRequest:
    path, _, query = target.partition("?")
    headers = [] if wait is None else [(b"wait-ms", wait.encode())]
    return CallerRequest(
        method=method.encode(),
        target=target.encode(),
        headers=headers,
        body=b"",
        arrived=0.0,
        request_id="r",
        host="h",
        path=path,
        query=query,
    )


def test_configuration() -> None:
    split = ROUTE | {
        "traffic_split": [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
    }
    batch = ROUTE | {"kind": "batch", "max_count": 10, "retention_s": 60.5}
    value = {"version": 7, "routes": [ROUTE, split, batch], "services": [], "limits": LIMITS}
    config = read_configuration(value)
    plain, divided, jobs = config.routes
    assert (config.version, plain.kind, plain.resumable) == (7, RouteKind.STREAM, True)
    assert [each.service for each in divided.services] == ["a", "b"]
    assert (jobs.waiting_limit, jobs.retention) == (10, 60_500.0)
    assert config.limits.idle_timeout == 4.0


@pytest.mark.parametrize(
    "tokens", [True, False, 0, -1, 1.5, "9000", None, [], {}], ids=lambda each: repr(each)
)
def test_a_declared_engine_memory_of_another_form_counts_as_not_declared(tokens: Json) -> None:
    """Guards against a configuration that refuses all requests with 413, such as with ``true``, or
    that can't be read, because of a field that earlier versions ignored."""
    services = [
        {"name": "s1", "engine": {"kv_capacity_tokens": tokens}},
        {"name": "s2", "engine": {"kv_capacity_tokens": 9_000}},
        {"name": 3, "engine": {"kv_capacity_tokens": 9_000}},
        {"name": "s4", "engine": None},
        "s5",
    ]
    value = {"version": 1, "routes": [ROUTE], "services": services, "limits": LIMITS}
    assert read_configuration(value).engine_memory == {"s2": 9_000}


def test_an_unknown_kind_of_route_may_not_repeat() -> None:
    value = {"version": 1, "routes": [ROUTE | {"kind": "new"}], "limits": LIMITS}
    assert read_configuration(value).routes[0].kind is RouteKind.UNSAFE


def test_registration() -> None:
    value = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "z",
        "version": "v1",
        "slots": 8,
        "cold_remaining_ms": 0,
        "state": "draining",
        "sequence": 4,
    }
    found = read_upstream("i-1", value)
    assert (found.instance, found.address, found.ready) == ("i-1", ("10.0.0.1", 80), False)
    assert (found.started, found.identity) == (0, "i-1")
    again = read_upstream("i-1", value | {"born": 1_790_000_000_000})
    assert again.replaces(found)
    assert again.identity != found.identity


@pytest.mark.parametrize("start", [None, "5", 5.0, True, -1, [5]])
def test_a_start_of_another_type_makes_a_registration_unusable(start: object) -> None:
    value = {"service": "s", "address": "10.0.0.1:80", "zone": "z", "slots": 8, "state": "ready"}
    value |= {"version": "v1", "cold_remaining_ms": 0, "sequence": 1}
    assert read_upstream("i-1", value).started == 0
    with pytest.raises(UnusableRecordError, match="born"):
        read_upstream("i-1", value | {"born": start})


@pytest.mark.parametrize(
    ("method", "target", "call"),
    [
        ("GET", "/api/lots/j?after=12", ReadResults(job_id="j", after=12, wait=1000.0)),
        ("GET", "/api/lots/j", ReadResults(job_id="j", after=0, wait=1000.0)),
        ("DELETE", "/api/lots/j", EndJob(job_id="j")),
        ("GET", "/api/items/j?id=i", ReadBody(job_id="j", item_id="i")),
        ("POST", "/p/x", None),
    ],
)
def test_calls_on_jobs(method: str, target: str, call: object) -> None:
    assert PlatformDialect().job_call(_request(method, target, "1000")) == call


@pytest.mark.parametrize("target", ["/api/lots/j?after=-1", "/api/lots/j?after=x"])
def test_an_improper_position_is_refused(target: str) -> None:
    with pytest.raises(BadRequestError):
        PlatformDialect().job_call(_request("GET", target))


def test_items_of_a_submission() -> None:
    (item,) = PlatformDialect().job_items(json.dumps({"items": [ITEM]}).encode())
    assert (item.item_id, item.body, item.tokens) == ("i", b"\x00\x01", 7)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b'{"items": []}',
        b'{"items": 3}',
        json.dumps({"items": [ITEM, ITEM]}).encode(),
        json.dumps({"items": [ITEM | {"body": "!!"}]}).encode(),
        json.dumps({"items": [ITEM | {"path": "/p\r\nX: y"}]}).encode(),
        json.dumps({"items": [ITEM | {"headers": {"A": "b\n"}}]}).encode(),
        json.dumps({"items": [ITEM | {"id": str(n)} for n in range(201)]}).encode(),
    ],
)
def test_an_improper_submission_is_refused_whole(body: bytes) -> None:
    with pytest.raises(BadRequestError) as error:
        PlatformDialect().job_items(body)
    assert error.value.status == 400


def test_a_page_of_results_is_bounded_but_never_empty() -> None:
    long = [
        ItemResult(item_id=f"i{number}", outcome=ItemOutcome.COMPLETED, text="x" * 600_000)
        for number in range(3)
    ]
    page = ResultsPage(total=9, after=4, results=long)
    answer = json.loads(PlatformDialect().results(page))
    assert answer["total"] == 9
    assert answer["next_token"] == 5
    assert [each["state"] for each in answer["results"]] == ["completed"]
