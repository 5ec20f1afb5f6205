"""Promise: a request that crashes every upstream that runs it crashes at most two."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import pytest
from harness import Site, SitePlan, run_concurrently, running_site
from history import History

pytestmark = pytest.mark.promise("a crashing request is isolated")
MARKER = "verse that no engine survives"
FAULTS: dict[str, Any] = {
    "crash_marker": MARKER,
    "crash_mode": "restart",
    "restart_ms": 1_500.0,
}


def _crash_count(site: Site) -> int:
    return sum(
        site.cluster.read_log(f"sidecar-{number + 1}").count("event=upstream_down")
        for number in range(site.plan.engines)
    )


def _crash_engines_on_marker(site: Site) -> None:
    for engine in site.engines:
        site.cluster.set_faults(engine, **FAULTS)


def test_resent_through_every_entry(tmp_path: Path) -> None:
    """After at most two crashes, every entry immediately refuses the request with 422.

    The caller resends the request after each failure, through all entries concurrently. Other
    requests that ran on the crashed engines are not refused and complete when they are resent.
    """
    with running_site(tmp_path, SitePlan(entries=3, engines=4)) as site:
        _crash_engines_on_marker(site)
        history = History()
        innocent = History()

        def resend_until_refused(entry: str) -> None:
            for _ in range(12):
                call = history.chat(site, MARKER, entry=entry, stream=True, tokens=50)
                if call.status == 422:
                    return
                time.sleep(0.25)

        def resend_until_answered(number: int) -> None:
            for _ in range(20):
                call = innocent.chat(
                    site, f"innocent {number}", entry=site.entries[number % 3], tokens=60
                )
                if call.is_complete:
                    return
                time.sleep(0.5)

        run_concurrently(
            [
                *(lambda entry=entry: resend_until_refused(entry) for entry in site.entries),  # type: ignore[misc]
                *(lambda number=number: resend_until_answered(number) for number in range(9)),  # type: ignore[misc]
            ]
        )
        assert _crash_count(site) <= 2
        for entry in site.entries:
            last = history.chat(site, MARKER, entry=entry)
            assert last.status == 422, (last.status, last.code)
            assert last.duration_s < 0.5
            assert last.outcome == "not_run"
        finished = {call.digest for call in innocent.calls if call.is_complete}
        assert len(finished) == 9
        assert _crash_count(site) <= 2
        records = site.operator().call("GET", "/operator/audit").json["records"]
        assert "quarantine" in {record["kind"] for record in records}


def test_a_restarted_entry_knows_the_quarantine(tmp_path: Path) -> None:
    """An entry that is restarted after the crashes refuses the request with 422 as well."""
    with running_site(tmp_path, SitePlan(entries=2, engines=3)) as site:
        _crash_engines_on_marker(site)
        history = History()
        for _ in range(12):
            if history.chat(site, MARKER, stream=True).status == 422:
                break
            time.sleep(0.5)
        assert _crash_count(site) <= 2
        time.sleep(0.5)
        site.cluster.kill("entry-2")
        site.cluster.restart("entry-2")
        site.wait_ready("entry-2")
        site.cluster.wait_until(
            "the restarted entry refuses it",
            lambda: history.chat(site, MARKER, entry="entry-2").status == 422,
            5.0,
        )
        assert _crash_count(site) <= 2
