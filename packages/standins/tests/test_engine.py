"""Contract of the stand-in for an engine."""

from __future__ import annotations

import json
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from carobspool_standins._client import HttpClient, IncompleteResponseError
from carobspool_standins._engine_settings import EngineSettings, LoadedModel
from carobspool_standins.engine import make_application
from carobspool_standins.weights import WeightsSettings
from carobspool_standins.weights import make_application as make_weights

CHAT = "/v1/chat/completions"


def settings(**changes) -> EngineSettings:
    """Return settings for an engine with short steps and no lags or gaps."""
    values = {
        "port": 0,
        "models": (LoadedModel(name="m"),),
        "step_base_ms": 1.0,
        "step_stream_ms": 0.0,
        "step_prefill_ms": 0.0,
        "load_lag_ms": 0.0,
        "cache_event_delay_ms": 0.0,
        "cache_event_gap_rate": 0.0,
        "model_load_ms": 1.0,
    }
    return EngineSettings(**(values | changes))


@pytest.fixture
def client(serve) -> HttpClient:
    """Return a client of an engine with short steps."""
    return serve(make_application(settings()))


def chat(text: str = "hello", **options) -> dict:
    """Return the body of a chat request."""
    return {"model": "m", "messages": [{"role": "user", "content": text}], **options}


def events(body: bytes) -> list:
    """Return the events of a complete stream, without ``[DONE]``."""
    lines = [line[6:] for line in body.decode().split("\n\n") if line]
    assert lines[-1] == "[DONE]"
    return [json.loads(line) for line in lines[:-1]]


def text_of(body: bytes) -> str:
    """Return the text of a streamed chat completion."""
    return "".join(e["choices"][0]["delta"].get("content", "") for e in events(body))


def wait_for(condition) -> None:
    """Poll until a condition holds, and fail after 10 seconds."""
    deadline = time.monotonic() + 10
    while not condition():
        assert time.monotonic() < deadline, "the condition never held"
        time.sleep(0.002)


def outcomes(client: HttpClient) -> list:
    """Return the outcomes in the run record."""
    return [run["outcome"] for run in client.call("GET", "/record").json["runs"]]


def _open_runs(client: HttpClient) -> int:
    load = client.call("GET", "/load").json
    return int(load["running"] + load["waiting"])


def test_stream_equals_whole_answer(client):
    """Runs of a request return the same text, streamed or not, and appear in the record."""
    whole = client.call("POST", CHAT, json_body=chat(max_tokens=12), headers={"X-Request-Id": "r1"})
    streamed = client.call("POST", CHAT, json_body=chat(max_tokens=12, stream=True))
    message = whole.json["choices"][0]["message"]["content"]
    assert text_of(streamed.body) == message
    last = events(streamed.body)[-1]
    assert last["choices"][0]["finish_reason"] == "length"
    assert last["usage"]["completion_tokens"] == 12
    assert whole.headers["x-request-id"] == "r1"
    record = client.call("GET", "/record").json["runs"]
    assert [(run["outcome"], run["tokens"]) for run in record] == [("done", 12), ("done", 12)]


@pytest.mark.parametrize(
    ("options", "count"),
    [({"max_tokens": 5}, 5), ({"min_tokens": 300}, 300), ({"max_tokens": 7, "min_tokens": 9}, 7)],
)
def test_length_bounds(client, options, count):
    """The token bounds of a request determine the length of its answer."""
    reply = client.call("POST", CHAT, json_body=chat(**options)).json
    assert reply["usage"]["completion_tokens"] == count


@pytest.mark.parametrize(
    ("path", "body", "status", "code"),
    [
        (CHAT, b"{", 400, "invalid_body"),
        (CHAT, b'{"model":"m"}', 400, "invalid_body"),
        (CHAT, json.dumps(chat() | {"model": "x"}).encode(), 404, "model_not_found"),
        ("/streams/none/cancel", b"{}", 404, "not_found"),
        ("/streams/none/resume", b"{}", 404, "not_kept"),
        ("/orders", b'{"order":"load"}', 400, "invalid_order"),
    ],
)
def test_bad_requests(client, path, body, status, code):
    """An invalid request is rejected with an error code and does not appear in the record."""
    reply = client.call("POST", path, body=body)
    assert (reply.status, reply.json["error"]["code"]) == (status, code)
    assert outcomes(client) == []


def test_completions_endpoint(client):
    """The completions endpoint accepts a prompt and returns text."""
    body = {"model": "m", "prompt": "once", "max_tokens": 3}
    assert (
        len(client.call("POST", "/v1/completions", json_body=body).json["choices"][0]["text"]) > 5
    )


@pytest.mark.parametrize(
    ("keep", "kv_tokens", "status"), [(True, 1000, 200), (True, 0, 404), (False, 1000, 404)]
)
def test_cancel_and_resume(serve, keep, kv_tokens, status):
    """A cancelled stream ends as cancelled, and resumes where it stopped if its KV was kept."""
    client = serve(make_application(settings(kv_tokens=kv_tokens)))
    body = chat(min_tokens=400, max_tokens=400, stream=True)
    with ThreadPoolExecutor(1) as pool:
        own = HttpClient(client.base)
        pending = pool.submit(own.call, "POST", CHAT, json_body=body, headers={"X-Request-Id": "s"})
        wait_for(lambda: client.call("GET", "/load").json["kv_tokens"] > 10)
        cancelled = client.call("POST", "/streams/s/cancel", json_body={"keep_kv": keep}).json
        first = pending.result().body
    assert cancelled["kept"] is (status == 200)
    assert events(first)[-1]["choices"][0]["finish_reason"] == "cancelled"
    resumed = client.call(
        "POST", "/streams/s/resume", json_body={"from_token": cancelled["tokens"]}
    )
    assert resumed.status == status
    if status == 200:
        whole = client.call("POST", CHAT, json_body=body).body
        assert text_of(first) + text_of(resumed.body) == text_of(whole)
        assert outcomes(client) == ["cancelled", "done", "done"]


def test_client_disconnect_aborts_the_run(client):
    """A closed connection aborts the run of a streamed and of an unstreamed request."""
    for stream in (True, False):
        own = HttpClient(client.base, timeout_ms=30)
        with pytest.raises(IncompleteResponseError):
            own.call("POST", CHAT, json_body=chat(min_tokens=9000, stream=stream))
        own.close()
    wait_for(lambda: outcomes(client) == ["aborted", "aborted"])
    assert client.call("GET", "/load").json["running"] == 0


def test_arrival_order_and_slots(serve):
    """With one slot, requests run one at a time, in order of arrival.

    The engine is slowed down until its load is read. Otherwise, on a machine that is slow to send
    three requests, the first run could end before the load is read.
    """
    client = serve(make_application(settings(slots=1)))
    client.call("POST", "/faults", json_body={"slow_factor": 1000.0})
    with ThreadPoolExecutor(3) as pool:
        pending = []
        for number in range(3):
            own = HttpClient(client.base)
            headers = {"X-Request-Id": str(number)}
            body = chat(min_tokens=60, max_tokens=60)
            pending.append(pool.submit(own.call, "POST", CHAT, json_body=body, headers=headers))
            # A request stands in the record before it waits.
            wait_for(lambda count=number + 1: _open_runs(client) == count)
        load = client.call("GET", "/load").json
        assert (load["running"], load["waiting"], load["slots"]) == (1, 2, 1)
        client.call("POST", "/faults/reset")
        assert all(one.result().status == 200 for one in pending)
    ends = [run["ended"] for run in client.call("GET", "/record").json["runs"]]
    assert ends == sorted(ends)


def test_prefix_cache_skips_prefill(serve):
    """A cached prefix is not prefilled again, and cache events report stores and evictions."""
    client = serve(make_application(settings(step_prefill_ms=0.5, block_tokens=10, kv_tokens=300)))
    body = chat("w" * 800, max_tokens=1)
    durations = []
    for _ in range(2):
        start = time.monotonic()
        client.call("POST", CHAT, json_body=body)
        durations.append(time.monotonic() - start)
    assert durations[0] > 0.1 > durations[1]
    stored = client.call("GET", "/cache-events?from=0").json
    assert {e["kind"] for e in stored["events"]} == {"stored"}
    client.call("POST", CHAT, json_body=chat("v" * 800, max_tokens=1))
    later = client.call("GET", f"/cache-events?from={stored['next']}").json["events"]
    assert {e["kind"] for e in later} == {"stored", "evicted"}


def test_load_report_lags(serve):
    """The load report shows the load as it was ``load_lag_ms`` ago."""
    client = serve(make_application(settings(load_lag_ms=60_000)))
    with ThreadPoolExecutor(1) as pool:
        pending = pool.submit(HttpClient(client.base).call, "POST", CHAT, json_body=chat())
        assert pending.result().status == 200
    assert client.call("GET", "/load").json["kv_tokens"] == 0


@pytest.mark.parametrize(
    ("check", "fence", "status"),
    [
        (True, [2, 1], 200),
        (True, [2, 0], 409),
        (True, [1, 9], 409),
        (True, None, 409),
        (True, [3, 0], 200),
        (False, [1, 0], 200),
        (False, None, 200),
    ],
)
def test_fencing(serve, check, fence, status):
    """Only an engine that checks fencing rejects a stale or missing fencing number."""
    client = serve(make_application(settings(check_fence=check)))
    order = {"order": "load", "model": "n", "version": "2", "fence": [2, 1]}
    assert client.call("POST", "/orders", json_body=order).json["models"]["n"]["state"] == "ready"
    order = {"order": "role", "role": "idle", "fence": fence}
    reply = client.call("POST", "/orders", json_body=order)
    assert reply.status == status
    assert client.call("GET", "/state").json["role"] == ("idle" if status == 200 else "serve")
    if status == 409:
        assert reply.json == {"fence": [2, 1]}


def test_order_key(serve):
    """An engine with an order key rejects orders without the key."""
    client = serve(make_application(settings(order_key="k")))
    order = {"order": "unload", "model": "m"}
    assert client.call("POST", "/orders", json_body=order).status == 403
    headers = {"Authorization": "Bearer k"}
    assert client.call("POST", "/orders", json_body=order, headers=headers).json["models"] == {}
    assert client.call("POST", CHAT, json_body=chat()).status == 404


def test_load_downloads_from_the_weight_store(serve):
    """A load downloads the weights; if the download fails, the previous version stays."""
    store = serve(make_weights(WeightsSettings(port=0, bytes_per_second=1e9)))
    client = serve(make_application(settings(weight_store=store.base, weight_bytes=100_000)))
    order = {"order": "load", "model": "m", "version": "2"}
    assert client.call("POST", "/orders", json_body=order).json["models"]["m"]["version"] == "2"
    assert store.call("GET", "/calls").json["bytes"] == 100_000
    store.call("POST", "/faults", json_body={"outage": True})
    assert client.call("POST", "/orders", json_body=order | {"version": "3"}).status == 503
    assert client.call("GET", "/state").json["models"]["m"]["version"] == "2"


@pytest.mark.parametrize(
    ("faults", "stream", "status", "outcome"),
    [
        ({"refuse": True}, False, None, []),
        ({"error_rate": 1.0}, False, 500, ["aborted"]),
        ({"reset_after_bytes": 40}, True, None, ["aborted"]),
        ({"half_answer": True}, False, None, ["done"]),
        ({"half_answer": True}, True, None, ["aborted"]),
        ({"slow_factor": 2.0}, True, 200, ["done"]),
        (
            {"crash_marker": "hello", "crash_mode": "restart", "restart_ms": 0},
            True,
            None,
            ["aborted"],
        ),
    ],
)
def test_faults(client, faults, stream, status, outcome):
    """Each fault determines what the client receives and which outcome is recorded."""
    client.call("POST", "/faults", json_body=faults)
    body = chat(min_tokens=40, max_tokens=40, stream=stream)
    try:
        found = client.call("POST", CHAT, json_body=body).status
    except IncompleteResponseError:
        found = None
    assert found == status
    client.call("POST", "/faults/reset")
    wait_for(lambda: outcomes(client) == outcome)
    assert client.call("POST", CHAT, json_body=body).status == 200


def test_hanging_request_is_recorded(client):
    """A hanging request is recorded without an outcome, and runs once the fault is cleared."""
    client.call("POST", "/faults", json_body={"hang": True})
    with ThreadPoolExecutor(1) as pool:
        pending = pool.submit(HttpClient(client.base).call, "POST", CHAT, json_body=chat())
        wait_for(lambda: outcomes(client) == [None])
        client.call("POST", "/faults/reset")
        assert pending.result().status == 200


def test_crash_ends_all_streams(client):
    """A crash in mode ``restart`` resets all streams and loses state; then calls are refused."""
    client.call("POST", "/orders", json_body={"order": "load", "model": "n"})
    client.call(
        "POST",
        "/faults",
        json_body={"crash_marker": "boom", "crash_mode": "restart", "restart_ms": 100},
    )
    with ThreadPoolExecutor(1) as pool:
        body = chat(min_tokens=9000, stream=True)
        pending = pool.submit(HttpClient(client.base).call, "POST", CHAT, json_body=body)
        wait_for(lambda: client.call("GET", "/load").json["running"] == 1)
        with pytest.raises(IncompleteResponseError):
            HttpClient(client.base).call("POST", CHAT, json_body=chat("boom"))
        with pytest.raises(IncompleteResponseError):
            pending.result()

    def restarted() -> bool:
        try:
            return client.call("GET", "/state").json["models"].keys() == {"m"}
        except IncompleteResponseError:
            return False

    wait_for(restarted)
    assert outcomes(client) == ["aborted", "aborted"]
