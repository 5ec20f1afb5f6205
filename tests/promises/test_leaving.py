"""Promise: an upstream that is leaving receives no new work after a few seconds."""

from __future__ import annotations

import threading
import time
from pathlib import Path

import pytest
from harness import Site, SitePlan, running_site
from history import History, false_not_run_answers

pytestmark = pytest.mark.promise("a leaving upstream gets nothing new")
GRACE_PERIOD_MS = 3_000.0
LOAD_THREADS = 6


class _RequestLoad:
    """Threads that each send one request after another until stopped."""

    def __init__(self, site: Site, history: History) -> None:
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(site, history, number))
            for number in range(LOAD_THREADS)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop sending and wait for the threads."""
        self._stop.set()
        for thread in self._threads:
            thread.join(30.0)

    def _run(self, site: Site, history: History, number: int) -> None:
        count = 0
        headers = {"carobspool-timeout-ms": "4000"}
        while not self._stop.is_set():
            count += 1
            entry = site.entries[count % len(site.entries)]
            history.chat(site, f"{number}/{count}", entry=entry, tokens=5, headers=headers)


def _starts_between(site: Site, engine: str, after: float, before: float) -> list[float]:
    """Return the start times at an engine between two wall-clock times, in milliseconds."""
    starts = [float(run["started"]) for run in site.engine_runs(engine)]
    return [at for at in starts if after < at < before]


def _now() -> float:
    return time.time() * 1000.0


@pytest.mark.parametrize("cause", ["terminated", "drained", "frozen"])
def test_nothing_new_after_three_seconds(tmp_path: Path, cause: str) -> None:
    """The engine behind a leaving sidecar starts no request later than three seconds afterwards.

    The platform's list of hosts lags by 30 s. The sidecar is terminated, or an operator drains its
    host, or it is frozen and cannot announce that it leaves. A frozen sidecar is thawed after the
    callers have stopped, with requests still in its buffers, which must not start then.
    """
    with running_site(tmp_path, SitePlan(engines=2)) as site:
        site.process_client("hosts").call("POST", "/faults", json_body={"lag_ms": 30_000})
        history = History()
        load = _RequestLoad(site, history)
        time.sleep(1.0)
        left_at = _now()
        if cause == "terminated":
            site.cluster.terminate("sidecar-1")
        elif cause == "drained":
            reply = site.operator().call(
                "POST", "/operator/drains/engine-1", json_body={"reason": "test", "drain": True}
            )
            assert reply.status == 200, reply.text
        else:
            site.cluster.suspend("sidecar-1")
        time.sleep(6.0)
        # The callers stop before the thaw, so a request that starts after it was sent before it.
        load.stop()
        if cause == "frozen":
            site.cluster.resume("sidecar-1")
            time.sleep(2.0)
        assert _starts_between(site, "engine-1", left_at + GRACE_PERIOD_MS, _now()) == []
        assert false_not_run_answers(history.calls, site.engine_runs()) == []
        served = [call for call in history.calls if call.status == 200]
        assert len(served) > len(history.calls) * 0.9
