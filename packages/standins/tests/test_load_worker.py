"""Load generator against an engine, and merging of its measurements."""

from __future__ import annotations

import json
import time

import pytest

from carobspool_standins._engine_settings import EngineSettings, LoadedModel
from carobspool_standins._load_result import LoadResult, Measure, jain_index, merge_results
from carobspool_standins._load_worker import LoadPlan, run_load
from carobspool_standins._workload import Kind, PlannedRequest, chat_body
from carobspool_standins.engine import make_application

STEP_MS = 10.0


@pytest.fixture
def engine(serve):
    """Return a client of an engine whose steps take 10 ms."""
    settings = EngineSettings(
        port=0,
        models=(LoadedModel(name="online"),),
        step_base_ms=STEP_MS,
        step_stream_ms=0,
        step_prefill_ms=0,
    )
    return serve(make_application(settings))


def request(number: int, model: str = "online", tokens: int = 10) -> PlannedRequest:
    """Return a chat request that is planned 20 ms after the previous one."""
    body = {**chat_body(model, f"number {number}", tokens), "stream": True}
    return PlannedRequest(
        at=0.02 * number,
        kind=Kind.CHAT,
        caller=number % 2,
        path="/v1/chat/completions",
        body=json.dumps(body).encode(),
        answer_tokens=tokens,
    )


def run(engine, requests, *, timeout_ms=5000, settle_s=5.0) -> LoadResult:
    """Send the requests; the first one falls into the warm-up and is not counted."""
    plan = LoadPlan(
        requests=requests,
        targets=[engine.base],
        keys=["a", "b"],
        start_at=time.monotonic(),
        count_from_s=0.01,
        settle_s=settle_s,
        timeout_ms=timeout_ms,
    )
    return run_load(plan)


def test_measures_what_callers_receive(engine):
    """Tokens, token intervals and endings of the counted requests match the engine's answers."""
    summary = merge_results([run(engine, [request(number) for number in range(9)])])
    assert summary.sent == 8
    assert summary.endings == {"chat whole": 8}
    assert summary.callers[0].delivered == summary.callers[1].delivered == 40
    assert summary.histograms[Measure.FIRST_TOKEN].get_total_count() == 8
    assert summary.histograms[Measure.BETWEEN_TOKENS].get_total_count() == 72
    assert summary.quantiles_ms(Measure.BETWEEN_TOKENS)["p50"] == pytest.approx(STEP_MS, rel=0.5)
    assert summary.quantiles_ms(Measure.WHOLE_ANSWER)["p50"] >= 9 * STEP_MS


@pytest.mark.parametrize(
    ("faults", "model", "ending"),
    [
        ({}, "none", "chat 404 model_not_found"),
        ({"reset_after_bytes": 300}, "online", "chat broken"),
        ({"hang": True}, "online", "chat timeout"),
    ],
)
def test_incomplete_answers_are_counted_by_ending(engine, faults, model, ending):
    """A request without a complete answer is counted by its ending, never as delivered."""
    engine.call("POST", "/faults", json_body=faults)
    result = run(engine, [request(0), request(1, model)], timeout_ms=200)
    assert result.endings == {ending: 1}
    assert result.callers[1].delivered == 0


def test_request_in_progress_at_the_end_is_unfinished(engine):
    """A request still in progress when the run ends counts as unfinished, not as timed out."""
    result = run(engine, [request(0), request(1, tokens=5000)], settle_s=0.1)
    assert result.endings == {"chat unfinished": 1}


@pytest.mark.parametrize(
    ("shares", "index"), [([1, 1, 1, 1], 1.0), ([1, 0, 0, 0], 0.25), ([], 1.0), ([0, 0], 1.0)]
)
def test_jain_index(shares, index):
    """The index is 1 for equal shares and 1/n if one of n shares has everything."""
    assert jain_index(shares) == pytest.approx(index)
