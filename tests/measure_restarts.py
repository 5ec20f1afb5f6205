"""Measures how long a server restarted under its id receives no request, and which runs are lost.

    python tests/measure_restarts.py [RESTARTS]

Two servers of each service and two entries run. Each entry receives ten requests a second that may
run only once, and every 0.4 s a stream that may be resumed. The servers are restarted in turn,
alternately after a crash and after the loss of their link. The output shows the time from a restart
until the restarted server has received a request (p50 and worst), the number of answers by status,
of which any other than 200 is a failure, the streams that ended early ("cut"), and the longest time
that a caller waited.
"""

from __future__ import annotations

import statistics
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from direct_harness import Deployment, Entry, deployment

from carobspool_standins.platform_server import (
    PlatformServer,
    ServedRequest,
    ServerConnection,
    event_stream_handler,
)

RUN_S = 0.08
STREAM_EVENTS = 30
EVENT_PAUSE_S = 0.03
DOWN_S = 0.15
"""Shorter than a heartbeat interval: the registration of the earlier start is still valid."""
RESTART_INTERVAL_S = 2.5
"""Longer than entries remember failures, so that restarts do not influence each other."""
MAX_UNUSED_S = 10.0


class _Load:
    """Callers that send requests to the entries, and the outcomes they received."""

    def __init__(self) -> None:
        self.outcomes: Counter[str] = Counter()
        self.longest_s = 0.0
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._threads: list[threading.Thread] = []

    def start(self, entry: Entry, target: str, every_s: float) -> None:
        self._spawn(lambda: self._send_repeatedly(entry, target, every_s))

    def stop(self) -> None:
        self._stopped.set()
        for thread in list(self._threads):
            thread.join()

    def _spawn(self, work: Callable[[], None]) -> None:
        thread = threading.Thread(target=work)
        self._threads.append(thread)
        thread.start()

    def _send_repeatedly(self, entry: Entry, target: str, every_s: float) -> None:
        while not self._stopped.wait(every_s):
            self._spawn(lambda: self._call(entry, target))

    def _call(self, entry: Entry, target: str) -> None:
        began = time.monotonic()
        answer = entry.call("POST", target, body=b"b")
        took = time.monotonic() - began
        kind = target.split("/")[1]
        end = str(answer.status) if answer.complete else "cut"
        with self._lock:
            self.outcomes[f"{kind} {end}"] += 1
            self.longest_s = max(self.longest_s, took)


def _answer_after_run(request: ServedRequest, connection: ServerConnection) -> None:
    time.sleep(RUN_S)
    connection.send_response(request)


def _time_until_used(
    system: Deployment, server: PlatformServer, service: str, crash: bool
) -> float:
    if crash:
        server.crash()
    else:
        server.isolate()
    time.sleep(DOWN_S)
    system.restart_server(server, service)
    restarted = time.monotonic()
    while time.monotonic() - restarted < MAX_UNUSED_S:
        if any(each.started == server.started for each in list(server.requests)):
            break
        time.sleep(0.005)
    return time.monotonic() - restarted


def main(restarts: int) -> None:
    """Restart servers under load, and print the measurements."""
    with tempfile.TemporaryDirectory() as folder, deployment(Path(folder)) as system:
        plain = [system.start_server("plain", _answer_after_run) for _ in range(2)]
        stream = event_stream_handler(STREAM_EVENTS, pause_s=EVENT_PAUSE_S)
        engines = [system.start_server("engine", stream) for _ in range(2)]
        load = _Load()
        for name in ("e1", "e2"):
            entry = system.start_entry(name)
            load.start(entry, "/once/x", 0.1)
            load.start(entry, "/resume/x", 0.4)
        time.sleep(2.0)
        times: dict[str, list[float]] = {"crashed": [], "cut off": []}
        for number in range(restarts):
            servers, service = ((plain, "plain"), (engines, "engine"))[number // 2 % 2]
            server = servers[number // 4 % 2]
            crash = number % 2 == 0
            took = _time_until_used(system, server, service, crash)
            times["crashed" if crash else "cut off"].append(took)
            time.sleep(RESTART_INTERVAL_S)
        load.stop()
    for how, found in times.items():
        print(
            f"{how}: restarts={len(found)} p50_ms={statistics.median(found) * 1000:.0f}"
            f" worst_ms={max(found) * 1000:.0f}"
        )
    outcomes = dict(sorted(load.outcomes.items()))
    print(f"longest_call_ms={load.longest_s * 1000:.0f} outcomes={outcomes}")


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 24)
