"""Promise: a job that is cancelled stops."""

from __future__ import annotations

import time
from pathlib import Path

import pytest
from harness import Site, SitePlan, batch_items, running_site

pytestmark = pytest.mark.promise("a cancelled job stops")
STOP_LIMIT_MS = 2_000.0
PLAN = SitePlan(
    entries=2,
    engine={"step_base_ms": 10.0, "step_stream_ms": 0.1, "slots": 8},
    entry={"lease_ttl_ms": 2_000},
    state={"batch": {"chunk_items": 16}},
)


def _submit_and_wait_for_progress(site: Site, items: int = 400) -> str:
    batch = site.submit_batch(batch_items(items, tokens=60))
    site.cluster.wait_until(
        "some items are finished", lambda: len(_finished_runs(site)) >= 20, 30.0
    )
    return str(batch["id"])


def _finished_runs(site: Site) -> list[dict[str, object]]:
    return [run for run in site.engine_runs() if run["outcome"] == "done"]


def _cancel(site: Site, batch_id: str, entry: str = "entry-1") -> float:
    reply = site.caller(entry).call("POST", f"/v1/batches/{batch_id}/cancel")
    assert reply.status == 200, reply.text
    return time.time() * 1000.0


def _starts_after_limit(site: Site, cancelled_at: float) -> list[float]:
    starts = [float(run["started"]) for run in site.engine_runs()]
    return [start for start in starts if start > cancelled_at + STOP_LIMIT_MS]


def _unfinished_runs(site: Site) -> list[dict[str, object]]:
    return [run for run in site.engine_runs() if run["ended"] is None]


@pytest.mark.parametrize("entry", ["entry-1", "entry-2"])
def test_nothing_starts_two_seconds_later(tmp_path: Path, entry: str) -> None:
    """Cancelling a job stops its running streams and keeps its finished items readable."""
    with running_site(tmp_path, PLAN) as site:
        batch_id = _submit_and_wait_for_progress(site)
        cancelled_at = _cancel(site, batch_id, entry)
        time.sleep(STOP_LIMIT_MS / 1000.0)
        assert _unfinished_runs(site) == []
        batch = site.wait_batch_ended(batch_id)
        time.sleep(1.0)
        assert _starts_after_limit(site, cancelled_at) == []
        assert batch["status"] == "cancelled"
        assert batch["request_counts"]["completed"] > 0
        results = site.batch_results(batch)
        done = [each for each in results if each["response"] is not None]
        assert len(done) == batch["request_counts"]["completed"]


def test_a_frozen_owner_thaws_after_the_cancel(tmp_path: Path) -> None:
    """A job stays cancelled although one of the entries that run it was frozen during the cancel.

    The entry, which owns chunks of the job, is frozen before the cancel and thawed four seconds
    after it, with items ready to start. It must read the store again before it starts any of them.
    """
    with running_site(tmp_path, PLAN) as site:
        batch_id = _submit_and_wait_for_progress(site)
        site.cluster.suspend("entry-2")
        cancelled_at = _cancel(site, batch_id, "entry-1")
        time.sleep(4.0)
        site.cluster.resume("entry-2")
        batch = site.wait_batch_ended(batch_id)
        time.sleep(1.5)
        assert batch["status"] == "cancelled"
        assert _starts_after_limit(site, cancelled_at) == []
        assert _unfinished_runs(site) == []


def test_a_cancel_while_the_store_is_down_is_refused(tmp_path: Path) -> None:
    """The caller immediately gets a 503 with a retry delay; a later cancel succeeds."""
    with running_site(tmp_path, PLAN) as site:
        batch_id = _submit_and_wait_for_progress(site)
        site.cluster.set_faults("objects", outage=True)
        reply = site.caller().call("POST", f"/v1/batches/{batch_id}/cancel")
        site.cluster.set_faults("objects")
        assert reply.status == 503
        assert "retry-after" in reply.headers
        cancelled_at = _cancel(site, batch_id)
        batch = site.wait_batch_ended(batch_id)
        time.sleep(1.0)
        assert batch["status"] == "cancelled"
        assert _starts_after_limit(site, cancelled_at) == []
