"""Batch jobs of several services: the items of each service wait for its own upstreams only."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from direct_harness import (
    Deployment,
    all_results,
    deployment,
    eventually,
    job_body,
    route,
)

from carobspool_standins.platform_server import event_stream_handler

EVENTS = 4
ROUTES = tuple(
    route(
        f"/{service}/",
        "batch",
        service,
        max_attempts=3,
        completion_target_ms=18_000,
        retention_s=60,
        max_count=1_000_000,
    )
    for service in ("annex", "desk")
)


@pytest.fixture
def system(tmp_path: Path) -> Iterator[Deployment]:
    """A deployment of stand-ins without entries, with a batch route for each of two services."""
    with deployment(tmp_path, *ROUTES) as running:
        yield running


@pytest.mark.parametrize("names", [("e1",), ("e1", "e2")], ids=len)
def test_items_finish_while_items_of_a_service_without_servers_wait(
    system: Deployment, names: tuple[str, ...]
) -> None:
    """Guards against items that wait for room at a service which they do not use."""
    system.start_server("desk", event_stream_handler(EVENTS))
    entries = [system.start_entry(name) for name in names]
    for number in range(8):
        entry = entries[number % len(entries)]
        for service in ("annex", "desk"):
            job = f"{service}{number}"
            body = job_body(*(f"{job}i{item}" for item in range(4)), path=f"/{service}/{number}")
            answer = entry.call("POST", f"/{service}/{job}", body=body, request_id=job)
            assert answer.status == 202
        time.sleep(0.2)
    for number in range(8):
        results = eventually(lambda job=f"desk{number}": all_results(entries[0], job), 10.0)
        assert {each["state"] for each in results} == {"completed"}
    assert all_results(entries[0], "annex0") is None
    for entry in entries:
        assert entry.log_lines_containing("event=items_wait service=annex reason=no_upstream")


@pytest.mark.parametrize(
    "changes",
    [
        {"id": "\ud800"},
        {"path": "/desk/\ud800"},
        {"path": "/desk/a b"},
        {"path": "/desk/\u00e9"},
        {"headers": {"M\ud800": "x"}},
        {"headers": {"a name": "x"}},
        {"headers": {"M": "\u0000"}},
    ],
    ids=ascii,
)
def test_a_job_with_an_item_that_cannot_be_sent_is_refused(
    system: Deployment, changes: dict[str, Any]
) -> None:
    """Guards against an item that ends each pass over the items of all jobs, or never runs."""
    system.start_server("desk", event_stream_handler(EVENTS))
    entry = system.start_entry("e1")
    body = json.loads(job_body("odd0", path="/desk/1"))
    body["items"][0] |= changes
    answer = entry.call("POST", "/desk/j", body=json.dumps(body).encode(), request_id="odd")
    assert answer.status == 400
    body = job_body("sound0", path="/desk/1")
    assert entry.call("POST", "/desk/j", body=body, request_id="sound").status == 202
    assert eventually(lambda: all_results(entry, "sound"), 5.0)
