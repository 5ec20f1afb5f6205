"""Streams that reached a new start of their engine before its registration was known."""

from __future__ import annotations

import contextlib
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest
from direct_harness import Deployment, Entry, eventually
from stream_fleet import stream_deployment

from carobspool_standins.engine_backups import EngineBackups


@pytest.fixture
def system(tmp_path: Path) -> Iterator[Deployment]:
    """A deployment of stand-ins without entries, whose engines declare copies and moves."""
    with stream_deployment(tmp_path) as running:
        yield running


def _call(entry: Entry) -> None:
    with contextlib.suppress(OSError):
        entry.call("POST", "/stream/x", body=b"b")


@pytest.mark.parametrize("fault", ["broken off", "slow"])
def test_a_run_at_the_new_start_is_stopped_before_it_is_continued(
    system: Deployment, fault: str
) -> None:
    """An engine starts again and accepts a stream before its registration is read, so the entry
    attributes the stream to the earlier start. Then the registration arrives, and the engine breaks
    off the answer, or is silent for longer than 0.3 s. Guards against a continuation beside the
    run, which still works at the new start."""
    count, pause_s = (40, 0.05) if fault == "broken off" else (6, 0.45)
    engines = EngineBackups(count, pause_s=pause_s)
    servers = [system.start_server("engine", engines.handle_request) for _ in range(2)]
    entry = system.start_entry("e1")
    for each in servers:
        engines.add(each).crash()
        each.start()
    caller = threading.Thread(target=_call, args=(entry,))
    caller.start()
    (run,) = eventually(lambda: [run for run in engines.runs if run.events > 1], 3.0)
    system.objects.put("servers", run.server.instance, run.server.registration("engine"))
    eventually(lambda: entry.log_lines_containing("event=upstream_restarted"), 1.0)
    if fault == "broken off":
        engines.break_off(run.server)
    caller.join()
    assert engines.violations == []
