"""A request that crashes every upstream that runs it takes down two at most."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import pytest
from harness import Plan, Site, in_threads, running_site
from history import History

pytestmark = pytest.mark.promise("a crashing request is isolated")
MARKER = "verse that no engine survives"
FAULTS: dict[str, Any] = {
    "crash_marker": MARKER,
    "crash_mode": "restart",
    "restart_ms": 1_500.0,
}


def _crashes(site: Site) -> int:
    return sum(
        site.cluster.log(f"sidecar-{number + 1}").count("event=upstream_down")
        for number in range(site.plan.engines)
    )


def _arm(site: Site) -> None:
    for engine in site.engines:
        site.cluster.faults(engine, **FAULTS)


def test_resent_through_every_entry(tmp_path: Path) -> None:
    """The caller is refused with 422 at once, on every entry, after two upstreams at most.

    The caller sends the request again as soon as it fails, through all entries in turn and at
    once. What ran beside it on the first engine is innocent and completes when sent again.
    """
    with running_site(tmp_path, Plan(entries=3, engines=4)) as site:
        _arm(site)
        history = History()
        innocent = History()

        def resend(entry: str) -> None:
            for _ in range(12):
                call = history.chat(site, MARKER, entry=entry, stream=True, tokens=50)
                if call.status == 422:
                    return
                time.sleep(0.25)

        def bystander(number: int) -> None:
            for _ in range(20):
                call = innocent.chat(
                    site, f"innocent {number}", entry=site.entries[number % 3], tokens=60
                )
                if call.is_complete:
                    return
                time.sleep(0.5)

        in_threads(
            [
                *(lambda entry=entry: resend(entry) for entry in site.entries),  # type: ignore[misc]
                *(lambda number=number: bystander(number) for number in range(9)),  # type: ignore[misc]
            ]
        )
        assert _crashes(site) <= 2
        for entry in site.entries:
            last = history.chat(site, MARKER, entry=entry)
            assert last.status == 422, (last.status, last.code)
            assert last.duration_s < 0.5
            assert last.outcome == "not_run"
        finished = {call.digest for call in innocent.calls if call.is_complete}
        assert len(finished) == 9
        assert _crashes(site) <= 2
        records = site.operator().call("GET", "/operator/audit").json["records"]
        assert "quarantine" in {record["kind"] for record in records}


def test_a_restarted_entry_knows_the_quarantine(tmp_path: Path) -> None:
    """The caller is refused with 422 also by an entry that was started after the crashes."""
    with running_site(tmp_path, Plan(entries=2, engines=3)) as site:
        _arm(site)
        history = History()
        for _ in range(12):
            if history.chat(site, MARKER, stream=True).status == 422:
                break
            time.sleep(0.5)
        assert _crashes(site) <= 2
        time.sleep(0.5)
        site.cluster.kill("entry-2")
        site.cluster.restart("entry-2")
        site.wait_ready("entry-2")
        site.cluster.wait_until(
            "the restarted entry refuses it",
            lambda: history.chat(site, MARKER, entry="entry-2").status == 422,
            5.0,
        )
        assert _crashes(site) <= 2
