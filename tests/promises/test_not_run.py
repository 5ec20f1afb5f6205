"""Promise: a request that is answered with "not run" was not run.

The tests compare the answers with the records of the stand-ins. Faults occur before the connection,
in the queue, while the request is sent, after that, and during the answer.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from harness import SERVICE, Site, SitePlan, run_concurrently, running_site
from history import History, failures_without_outcome, false_not_run_answers

pytestmark = pytest.mark.promise("not run is true")
REQUESTS = 24

_ENGINE_FAULTS: dict[str, dict[str, Any]] = {
    "connection refused": {"refuse": True},
    "sent and no answer": {"hang": True},
    "half an answer": {"half_answer": True},
    "reset before the head": {"reset_after_bytes": 0},
    "reset within the answer": {"reset_after_bytes": 300},
    "queued past the deadline": {"slow_factor": 60.0},
    "errors of the engine": {"error_rate": 0.5},
}


def _calls(
    site: Site, history: History, *, stream: bool, idempotent: bool, deadline_ms: int = 1500
) -> list[Callable[[], Any]]:
    headers = {"carobspool-timeout-ms": str(deadline_ms)}
    if not idempotent:
        headers["carobspool-idempotent"] = "false"
    return [
        lambda number=number: history.chat(  # type: ignore[misc]
            site,
            f"note {number} {stream} {idempotent}",
            entry=site.entries[number % len(site.entries)],
            stream=stream,
            headers=headers,
        )
        for number in range(REQUESTS)
    ]


@pytest.mark.parametrize("fault", list(_ENGINE_FAULTS))
def test_breaks_at_the_engine(tmp_path: Path, fault: str) -> None:
    """The caller gets a typed failure, with "not run" only if no engine recorded a run.

    Both engines fail in the same way while idempotent and non-idempotent requests, with and without
    streaming, arrive in bursts. The final answer must account for a retry that ran elsewhere.
    """
    plan = SitePlan(engine={"step_base_ms": 4.0, "slots": 4})
    with running_site(tmp_path, plan) as site:
        history = History()
        for engine in site.engines:
            site.cluster.set_faults(engine, **_ENGINE_FAULTS[fault])
        calls: list[Callable[[], Any]] = []
        for stream in (False, True):
            for idempotent in (False, True):
                calls += _calls(site, history, stream=stream, idempotent=idempotent)
        run_concurrently(calls)
        for engine in site.engines:
            site.cluster.set_faults(engine)
        time.sleep(0.5)
        assert len(history.calls) == 4 * REQUESTS
        assert false_not_run_answers(history.calls, site.engine_runs()) == []
        assert failures_without_outcome(history.calls) == []


@pytest.mark.parametrize("fault", ["kill", "freeze"])
def test_the_sidecar_is_lost_with_requests_in_hand(tmp_path: Path, fault: str) -> None:
    """The caller gets an answer or a failure with the known outcome, never a false "not run".

    One sidecar is killed, or frozen and thawed five seconds later, while requests are queued,
    being sent, and being answered. Requests that it had accepted may have run and are "unknown".
    """
    plan = SitePlan(engine={"step_base_ms": 10.0, "slots": 4})
    with running_site(tmp_path, plan) as site:
        history = History()
        calls = _calls(site, history, stream=True, idempotent=False, deadline_ms=8000)
        calls += _calls(site, history, stream=False, idempotent=True, deadline_ms=8000)

        def inject_fault() -> None:
            time.sleep(0.3)
            if fault == "kill":
                site.cluster.kill("sidecar-1")
                return
            site.cluster.suspend("sidecar-1")
            time.sleep(5.0)
            site.cluster.resume("sidecar-1")

        run_concurrently([*calls, inject_fault])
        time.sleep(1.0)
        assert false_not_run_answers(history.calls, site.engine_runs()) == []
        assert failures_without_outcome(history.calls) == []
        assert any(call.is_complete for call in history.calls)


@pytest.mark.parametrize(
    "fault",
    [
        {"refuse": True},
        {"hang": True},
        {"reset_before_run": True},
        {"reset_after_run": True},
        {"half_answer": True},
    ],
)
def test_breaks_at_a_plain_service(tmp_path: Path, fault: dict[str, Any]) -> None:
    """A non-idempotent call gets "not run" only if the service did not execute it."""
    plan = SitePlan(entries=1, engines=0, plain_services=1)
    with running_site(tmp_path, plan) as site:
        history = History()
        site.cluster.set_faults("plain-1", **fault)
        headers = {"carobspool-timeout-ms": "1000", "Content-Type": "application/json"}
        run_concurrently(
            [
                lambda number=number: history.send(  # type: ignore[misc]
                    site.caller(),
                    "POST",
                    f"/services/{SERVICE}/orders",
                    f'{{"order": {number}}}'.encode(),
                    entry="entry-1",
                    headers=headers,
                )
                for number in range(8)
            ]
        )
        site.cluster.set_faults("plain-1")
        runs = site.process_client("plain-1").call("GET", "/record").json["runs"]
        assert len(history.calls) == 8
        assert false_not_run_answers(history.calls, runs) == []
        assert failures_without_outcome(history.calls) == []
        assert all(call.status != 200 for call in history.calls)
