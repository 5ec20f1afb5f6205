"""Soak test with losses of all entries, of a service's servers, and with second answers.

Beside the rollouts of `soak.versions`: one service has no server while the others are busy, servers
answer a second time and late, also to runs of items that fail, and all entries are killed often.
Some callers take their streams up only long after that.

By hand: ``python tests/soak/losses.py --seeds 50 [--first N] [--seconds S]``.
"""

from __future__ import annotations

import random
import sys
import threading
import time
import uuid
from collections import Counter
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

if __name__ == "__main__":
    # Replaces this folder, in which ``soak`` would name the module instead of the package.
    sys.path[0] = str(Path(__file__).resolve().parent.parent)

from direct_harness import Deployment, all_results, deployment, eventually, job_body, route
from soak.soak import Fault, run_seeds
from soak.versions import EVENTS, VersionSoak
from soak_judge import Record

from carobspool_standins.platform_server import RequestHandler, ServedRequest, ServerConnection
from carobspool_standins.second_answers import SecondAnswers

FAILING = "fails-"
"""Items with this prefix end with 500 in all runs but the last allowed one."""
MAX_ATTEMPTS = 3
REPEATED_SHARE = 0.05
REPEATED_SHARE_OF_FAILED = 0.5
LATE_CALLERS = 6
LATE_AFTER_S = (15.5, 20.0)
RESULTS_S = 10.0


class LossesSoak(VersionSoak):
    """One run of the soak test with losses of all entries and of a service's servers."""

    def __init__(self, system: Deployment, seed: int, seconds: float) -> None:
        super().__init__(system, seed, seconds)
        self._answers_lock = threading.Lock()
        self._failed: Counter[str] = Counter()
        self._failing_jobs: dict[str, list[str]] = {}

    def run(self) -> Record:
        """Inject faults under load, then check the promises."""
        record = super().run()
        self._check_failing_jobs()
        return record

    def _write_configuration(self, *routes: dict[str, Any]) -> None:
        """Write a configuration with a batch route whose service has no server."""
        annex = route("/annex/", "batch", "annex", max_attempts=3, retention_s=60)
        super()._write_configuration(annex, *routes)

    def _tasks(self) -> list[Callable[[random.Random], None]]:
        late = [self._take_up_late] * LATE_CALLERS
        return [*super()._tasks(), *late, self._submit_unservable, self._submit_failing]

    @property
    def _process_faults(self) -> tuple[Fault, ...]:
        return (*super()._process_faults, self._kill_all)

    def _play_series(self, faults: Sequence[Fault], draw: random.Random, seconds: float) -> None:
        if self._kill_all in faults:
            faults = (*faults, self._kill_all)
        super()._play_series(faults, draw, seconds)

    def _behave(self, number: int) -> RequestHandler:
        draw = random.Random(f"{number}/second")
        handle_others = super()._behave(number)

        def handle_request(request: ServedRequest, connection: ServerConnection) -> None:
            if not request.request_id.startswith(FAILING):
                handle_others(request, connection)
                return
            with self._answers_lock:
                is_failed = self._failed[request.request_id] < MAX_ATTEMPTS - 1
                self._failed[request.request_id] += is_failed
            if is_failed:
                connection.send_response(request, 500, b"failed")
                return
            handle_others(request, connection)

        def is_repeated(request: ServedRequest) -> bool:
            if request.request_id.startswith(FAILING):
                return draw.random() < REPEATED_SHARE_OF_FAILED
            return self._faulty.is_set() and draw.random() < REPEATED_SHARE

        return SecondAnswers(handle_request, is_repeated)

    def _submit_unservable(self, draw: random.Random) -> None:
        """Submit a job that no server can do, in front of all others."""
        job_id = uuid.uuid4().hex[:16]
        body = job_body(*(f"{job_id}-{number}" for number in range(4)), path="/annex/x")
        entry = draw.choice(list(self._entries.values()))
        self._record.calls[f"unservable {self._submit(entry, '/annex/x', job_id, body)}"] += 1
        time.sleep(0.2 + draw.random() * 0.2)

    def _submit_failing(self, draw: random.Random) -> None:
        """Submit a job whose items fail as often as they may."""
        job_id = uuid.uuid4().hex[:16]
        items = [f"{FAILING}{job_id}-{number}" for number in range(4)]
        entry = draw.choice(list(self._entries.values()))
        status = self._submit(entry, "/batch/x", job_id, job_body(*items, path="/batch/x"))
        if status == 202:
            self._failing_jobs[job_id] = items
        time.sleep(0.3 + draw.random() * 0.3)

    def _submit(self, entry: Any, target: str, job_id: str, body: bytes) -> int:
        return self._call_job(entry, "POST", target, job_id, body).status

    def _take_up_late(self, draw: random.Random) -> None:
        """Begin a stream and take it up long after it broke off."""
        origin = uuid.uuid4().hex
        _, events = self._read(origin, "", 0, draw.randrange(2, EVENTS), draw)
        if not events or events[-1][0] == EVENTS:
            return
        until = time.monotonic() + draw.uniform(*LATE_AFTER_S)
        while time.monotonic() < until:
            if self._stopped.wait(0.1):
                return
        status, rest = self._read(uuid.uuid4().hex, origin, events[-1][0], EVENTS + 1, draw)
        self._record.calls[f"late take-up {status}"] += 1
        held = {version for _, version in (*events, *rest)}
        if len(held) > 1:
            self._record.add_violation(f"stream {origin}: late take-up joined {sorted(held)}")

    def _check_failing_jobs(self) -> None:
        """Check that no item was given up after fewer failures than are allowed."""
        entry = next(iter(self._entries.values()))
        for job_id, items in self._failing_jobs.items():
            try:
                results = eventually(lambda job=job_id: all_results(entry, job), RESULTS_S)
            except AssertionError:
                self._record.add_violation(f"job {job_id}: not finished")
                continue
            states = {each["id"]: each["state"] for each in results}
            for item in items:
                self._record.calls[f"failing {states[item]}"] += 1
                if states[item] != "completed":
                    self._record.add_violation(
                        f"item {item}: {states[item]} after {self._failed[item]} failed runs"
                    )


def play(seed: int, seconds: float, folder: Path) -> Record:
    """Run the soak test with one seed and return its record."""
    with deployment(folder) as system:
        return LossesSoak(system, seed, seconds).run()


if __name__ == "__main__":
    sys.exit(run_seeds(play, __doc__))
