"""Tests of reading online requests at the border."""

from __future__ import annotations

import json

import pytest
from returns.pipeline import is_successful

from carobspool_core import Caller, DesiredState, Model, Organisation, Route, Service
from carobspool_node.callers._caller_keys import Identified
from carobspool_node.callers._online_requests import find_route, read_completion, read_service_call

_WHO = Identified(
    caller=Caller(id="c", organisation="o", key_hashes=(), weight=2.0),
    organisation=Organisation(name="o", weight=3.0),
)
_STATE = DesiredState(
    revision=1,
    models={"m": Model(name="m", version="1")},
    services={
        "shop": Service(
            name="shop",
            routes=(
                Route(prefix="/"),
                Route(prefix="/orders", methods=("POST",), idempotent=False),
            ),
        )
    },
)
_MESSAGES = [{"role": "user", "content": "hello"}]


def _read(body: object, headers: dict[str, str] | None = None):  # type: ignore[no-untyped-def]
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    return read_completion(
        "/v1/chat/completions", headers or {}, raw, _WHO, _STATE, default_timeout=1000.0
    )


@pytest.mark.parametrize(
    ("body", "status", "code"),
    [
        (b"{", 400, "invalid_json"),
        ([], 400, "invalid_body"),
        ({}, 400, "invalid_body"),
        ({"model": "m"}, 400, "invalid_body"),
        ({"model": "m", "messages": []}, 400, "invalid_body"),
        ({"model": "m", "messages": _MESSAGES, "max_tokens": 0}, 400, "invalid_body"),
        ({"model": "x", "messages": _MESSAGES}, 404, "model_not_found"),
    ],
)
def test_bad_requests_are_refused(body: object, status: int, code: str) -> None:
    """Each mistake has its status and code, and nothing was run."""
    failure = _read(body).failure()
    assert (failure.status, failure.code) == (status, code)
    assert failure.outcome.value == "not_run"


@pytest.mark.parametrize("value", ["x", "0", "-1", "nan", "1e9"])
def test_bad_deadlines_are_refused(value: str) -> None:
    """A deadline that is no number of milliseconds in the allowed range is refused."""
    refused = _read(
        {"model": "m", "messages": _MESSAGES}, {"carobspool-timeout-ms": value}
    ).failure()
    assert refused.code == "invalid_timeout"


def test_a_good_request_is_read_whole() -> None:
    """Weights multiply, the answer's bound counts, and the mark of non-idempotence is heard."""
    read = _read(
        {"model": "m", "messages": _MESSAGES, "max_tokens": 50, "stream": True},
        {"carobspool-idempotent": "false", "idempotency-key": "k"},
    ).unwrap()
    assert read.open.weight == 6.0
    assert read.open.cost_tokens == read.open.prompt_tokens + 50
    assert not read.open.idempotent
    assert read.open.stream
    assert read.idempotency_key == "k"


def test_the_longest_route_decides() -> None:
    """A call is treated by the most specific route that takes its method."""
    routes = _STATE.services["shop"].routes
    assert find_route(routes, "POST", "/orders/1") is routes[1]
    assert find_route(routes, "GET", "/orders/1") is routes[0]
    assert find_route(routes, "DELETE", "/orders/1") is None


def test_a_service_call_passes_no_keys_on() -> None:
    """An upstream never sees the caller's key or the system's own headers."""
    read = read_service_call(
        "shop",
        "POST",
        "/orders",
        {"authorization": "Bearer x", "carobspool-idempotent": "true", "accept": "a"},
        b"",
        _WHO,
        _STATE,
    ).unwrap()
    assert read.open.headers == {"accept": "a"}
    assert not read.open.idempotent


def test_an_unknown_service_is_refused() -> None:
    """A service that is not declared gets 404."""
    refused = read_service_call("x", "GET", "/", {}, b"", _WHO, _STATE)
    assert not is_successful(refused)
    assert refused.failure().status == 404


def test_a_prompt_is_recognised_however_it_is_answered() -> None:
    """A prompt sent again without a stream or shorter has the fingerprint of the first one."""
    first = _read({"model": "m", "messages": _MESSAGES, "stream": True}).unwrap()
    again = _read({"model": "m", "messages": _MESSAGES, "max_tokens": 5}).unwrap()
    other = _read({"model": "m", "messages": [{"role": "user", "content": "x"}]}).unwrap()
    assert first.open.fingerprint == again.open.fingerprint
    assert first.open.fingerprint != other.open.fingerprint
