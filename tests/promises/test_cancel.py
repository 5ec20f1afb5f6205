"""Promise: a job that is cancelled stops."""

from __future__ import annotations

import time
from pathlib import Path

import pytest
from harness import Plan, Site, batch_items, running_site

pytestmark = pytest.mark.promise("a cancelled job stops")
STOP_MS = 2_000.0
PLAN = Plan(
    entries=2,
    engine={"step_base_ms": 10.0, "step_stream_ms": 0.1, "slots": 8},
    entry={"lease_ttl_ms": 2_000},
    state={"batch": {"chunk_items": 16}},
)


def _begin(site: Site, items: int = 400) -> str:
    batch = site.submit(batch_items(items, tokens=60))
    site.cluster.wait_until("some items are finished", lambda: len(_finished(site)) >= 20, 30.0)
    return str(batch["id"])


def _finished(site: Site) -> list[dict[str, object]]:
    return [run for run in site.runs() if run["outcome"] == "done"]


def _cancel(site: Site, batch_id: str, entry: str = "entry-1") -> float:
    reply = site.caller(entry).call("POST", f"/v1/batches/{batch_id}/cancel")
    assert reply.status == 200, reply.text
    return time.time() * 1000.0


def _late_starts(site: Site, cancelled_at: float) -> list[float]:
    starts = [float(run["started"]) for run in site.runs()]
    return [start for start in starts if start > cancelled_at + STOP_MS]


def _running(site: Site) -> list[dict[str, object]]:
    return [run for run in site.runs() if run["ended"] is None]


@pytest.mark.parametrize("entry", ["entry-1", "entry-2"])
def test_nothing_starts_two_seconds_later(tmp_path: Path, entry: str) -> None:
    """The caller sees the job cancelled: running streams stop, finished items stay readable."""
    with running_site(tmp_path, PLAN) as site:
        batch_id = _begin(site)
        cancelled_at = _cancel(site, batch_id, entry)
        time.sleep(STOP_MS / 1000.0)
        assert _running(site) == []
        batch = site.wait_ended(batch_id)
        time.sleep(1.0)
        assert _late_starts(site, cancelled_at) == []
        assert batch["status"] == "cancelled"
        assert batch["request_counts"]["completed"] > 0
        results = site.results(batch)
        done = [each for each in results if each["response"] is not None]
        assert len(done) == batch["request_counts"]["completed"]


def test_a_frozen_owner_thaws_after_the_cancel(tmp_path: Path) -> None:
    """The caller sees the job cancelled although an entry that runs it slept through the news.

    The entry that holds chunks is frozen before the cancel and thawed four seconds after it, with
    items ready to start. It reads the store again before it starts anything.
    """
    with running_site(tmp_path, PLAN) as site:
        batch_id = _begin(site)
        site.cluster.freeze("entry-2")
        cancelled_at = _cancel(site, batch_id, "entry-1")
        time.sleep(4.0)
        site.cluster.thaw("entry-2")
        batch = site.wait_ended(batch_id)
        time.sleep(1.5)
        assert batch["status"] == "cancelled"
        assert _late_starts(site, cancelled_at) == []
        assert _running(site) == []


def test_a_cancel_while_the_store_is_down_is_refused(tmp_path: Path) -> None:
    """The caller is told that the cancel was not accepted, at once and with when to come back."""
    with running_site(tmp_path, PLAN) as site:
        batch_id = _begin(site)
        site.cluster.faults("objects", outage=True)
        reply = site.caller().call("POST", f"/v1/batches/{batch_id}/cancel")
        site.cluster.faults("objects")
        assert reply.status == 503
        assert "retry-after" in reply.headers
        cancelled_at = _cancel(site, batch_id)
        batch = site.wait_ended(batch_id)
        time.sleep(1.0)
        assert batch["status"] == "cancelled"
        assert _late_starts(site, cancelled_at) == []
