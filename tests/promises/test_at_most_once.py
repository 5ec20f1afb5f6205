"""Promise: a request marked as non-idempotent runs at most once."""

from __future__ import annotations

import hashlib
import json
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from harness import SERVICE, Site, SitePlan, batch_items, chat_body, run_concurrently, running_site
from history import (
    History,
    failures_without_outcome,
    false_not_run_answers,
    items_without_one_result,
    requests_run_more_than_once,
)

pytestmark = pytest.mark.promise("non-idempotent runs at most once")
KEYS = 8
NON_IDEMPOTENT = {"carobspool-idempotent": "false"}


def _headers(number: int) -> dict[str, str]:
    return {
        **NON_IDEMPOTENT,
        "Idempotency-Key": f"reply to poet {number}",
        "carobspool-timeout-ms": "5000",
    }


def _calls_to_every_entry(site: Site, history: History) -> list[Callable[[], Any]]:
    return [
        lambda number=number, entry=entry: history.chat(  # type: ignore[misc]
            site, f"reply {number}", entry=entry, headers=_headers(number)
        )
        for number in range(KEYS)
        for entry in site.entries
    ]


def _assert_at_most_once(site: Site, history: History) -> None:
    digests = {call.digest for call in history.calls}
    assert requests_run_more_than_once(site.engine_runs(), digests) == []
    assert false_not_run_answers(history.calls, site.engine_runs()) == []
    assert failures_without_outcome(history.calls) == []


def test_resent_to_every_entry_at_once(tmp_path: Path) -> None:
    """The caller gets the answer of the only run, or an error that it is still in progress."""
    with running_site(tmp_path, SitePlan(entries=3)) as site:
        history = History()
        run_concurrently(_calls_to_every_entry(site, history))
        _assert_at_most_once(site, history)
        again = [
            history.chat(site, f"reply {number}", entry="entry-3", headers=_headers(number))
            for number in range(KEYS)
        ]
        assert all(call.status == 200 for call in again), [call.code for call in again]
        _assert_at_most_once(site, history)


@pytest.mark.parametrize(
    "fault",
    [
        {"hang": True},
        {"half_answer": True},
        {"reset_after_bytes": 0},
        {"reset_after_bytes": 200},
        {"refuse": True},
    ],
)
def test_retried_after_each_kind_of_break(tmp_path: Path, fault: dict[str, Any]) -> None:
    """The caller resends after a failure and the request still runs at most once.

    The engine fails before, during or after its answer. The caller, which got "unknown" or no
    answer at all, resends through both entries, also after the engine has recovered.
    """
    with running_site(tmp_path, SitePlan(engines=1)) as site:
        history = History()
        site.cluster.set_faults("engine-1", **fault)
        run_concurrently(_calls_to_every_entry(site, history))
        site.cluster.set_faults("engine-1")
        run_concurrently(_calls_to_every_entry(site, history))
        _assert_at_most_once(site, history)


@pytest.mark.parametrize("fault", ["kill", "freeze"])
def test_the_entry_that_runs_it_is_lost(tmp_path: Path, fault: str) -> None:
    """The caller resends through another entry after the first one was killed or frozen.

    The reservation is in the store, so the other entry knows that the request may have run. The
    frozen entry resumes later and must not send its pending requests a second time.
    """
    plan = SitePlan(
        engine={"step_base_ms": 40.0}, entry={"lease_ttl_ms": 2_000}, sidecar={"heartbeat_ms": 500}
    )
    with running_site(tmp_path, plan) as site:
        history = History()

        def inject_fault() -> None:
            time.sleep(0.25)
            if fault == "kill":
                site.cluster.kill("entry-1")
                return
            site.cluster.suspend("entry-1")
            time.sleep(4.0)
            site.cluster.resume("entry-1")

        first = [
            lambda number=number: history.chat(  # type: ignore[misc]
                site, f"reply {number}", entry="entry-1", headers=_headers(number), timeout_ms=8000
            )
            for number in range(KEYS)
        ]

        def resend() -> None:
            time.sleep(1.0)
            for number in range(KEYS):
                history.chat(site, f"reply {number}", entry="entry-2", headers=_headers(number))

        run_concurrently([*first, inject_fault, resend])
        time.sleep(3.0)
        for number in range(KEYS):
            history.chat(site, f"reply {number}", entry="entry-2", headers=_headers(number))
        _assert_at_most_once(site, history)


def test_the_store_loses_its_answers(tmp_path: Path) -> None:
    """The caller gets its answer although the store's answers to reservations are lost."""
    with running_site(tmp_path, SitePlan()) as site:
        history = History()
        site.cluster.set_faults(
            "objects",
            lose_answer={
                "prefix": "reservations/",
                "ops": ["create", "update", "delete"],
                "count": 40,
            },
        )
        run_concurrently(_calls_to_every_entry(site, history))
        _assert_at_most_once(site, history)
        assert any(call.status == 200 for call in history.calls)


def test_the_store_is_down(tmp_path: Path) -> None:
    """The caller immediately gets a 503 with outcome "not run" and a retry delay."""
    with running_site(tmp_path, SitePlan()) as site:
        history = History()
        site.cluster.set_faults("objects", outage=True)
        calls = [
            history.chat(site, f"reply {number}", headers=_headers(number))
            for number in range(KEYS)
        ]
        site.cluster.set_faults("objects")
        _assert_at_most_once(site, history)
        for call in calls:
            assert call.status == 503
            assert call.outcome == "not_run"
            assert call.retry_after
            assert call.duration_s < 2.0
        after = [
            history.chat(site, f"reply {number}", headers=_headers(number))
            for number in range(KEYS)
        ]
        assert all(call.status == 200 for call in after)
        _assert_at_most_once(site, history)


def test_a_plain_service_call_under_a_key(tmp_path: Path) -> None:
    """A non-idempotent call is executed once, however often the caller resends it."""
    with running_site(tmp_path, SitePlan(engines=0, plain_services=1)) as site:
        history = History()
        site.cluster.set_faults("plain-1", delay_ms=200)
        run_concurrently(
            [
                lambda number=number, entry=entry: history.send(  # type: ignore[misc]
                    site.caller(entry),
                    "POST",
                    f"/services/{SERVICE}/orders",
                    f'{{"order": {number}}}'.encode(),
                    entry=entry,
                    headers={"Idempotency-Key": f"order {number}"},
                )
                for number in range(5)
                for entry in site.entries
            ]
        )
        runs = site.process_client("plain-1").call("GET", "/record").json["runs"]
        assert requests_run_more_than_once(runs, {call.digest for call in history.calls}) == []
        assert len(runs) == 5
        assert failures_without_outcome(history.calls) == []


@pytest.mark.parametrize("fault", ["kill", "freeze"])
def test_batch_items_that_run_at_most_once(tmp_path: Path, fault: str) -> None:
    """The caller gets each item once; one that may have run at a lost owner is "unknown".

    Half of the items are marked as non-idempotent. Their owner is killed, or frozen past the end of
    its lease, during the job. Its successor does not rerun items whose start the owner recorded.
    """
    plan = SitePlan(
        entries=3,
        engine={"step_base_ms": 15.0, "slots": 8},
        entry={"lease_ttl_ms": 2_000},
        state={"batch": {"chunk_items": 16}},
    )
    with running_site(tmp_path, plan) as site:
        items = batch_items(90, tokens=30)
        for item in items[::2]:
            item["idempotent"] = False
        batch = site.submit_batch(items)
        time.sleep(1.2)
        if fault == "kill":
            site.cluster.kill("entry-2")
        else:
            site.cluster.suspend("entry-2")
            time.sleep(6.0)
            site.cluster.resume("entry-2")
        done = site.wait_batch_ended(batch["id"], timeout_s=90.0)
        results = site.batch_results(done)
        assert items_without_one_result(items, results) == []
        texts = {item["body"]["messages"][0]["content"] for item in items[::2]}
        assert _run_more_than_once(site, texts) == []


def _run_more_than_once(site: Site, texts: set[str]) -> list[str]:
    # The engine records the digest of this body: a batch item runs as a stream with usage.
    digests: dict[str, str] = {}
    for text in texts:
        body = {
            **chat_body(text, tokens=30),
            "stream": True,
            "stream_options": {"include_usage": True},
        }
        digests[hashlib.sha256(json.dumps(body, ensure_ascii=False).encode()).hexdigest()] = text
    runs = [run for run in site.engine_runs() if not run["resumed"]]
    assert any(run["digest"] in digests for run in runs)
    return requests_run_more_than_once(runs, digests)
