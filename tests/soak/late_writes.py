"""Soak test with writes that the store does seconds later and never answers.

Beside the faults of `soak.soak`: the store loses a share of all writes and does them one to six
seconds later, entries are killed and frozen meanwhile, and the waiting limit is reached again and
again. Servers answer with statuses that HTTP does not define, with bytes that do not end, and with
parts of answers before they cut off an upload. At the end each job that the store holds must be
finished, whoever was told of its acceptance.

By hand: ``python tests/soak/late_writes.py --seeds 50 [--first N] [--seconds S]``.
"""

from __future__ import annotations

import contextlib
import random
import socket
import sys
import threading
import time
import uuid
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

if __name__ == "__main__":
    # Replaces this folder, in which ``soak`` would name the module instead of the package.
    sys.path[0] = str(Path(__file__).resolve().parent.parent)

from direct_harness import STANDARD_ROUTES, Deployment, deployment, eventually, route
from soak.soak import HELD_PREFIX, Fault, Soak, run_seeds
from soak_judge import EVENTS, Record, events

from carobspool_standins.platform_server import RequestHandler, ServedRequest, ServerConnection

LOST_SHARE = 0.3
LOST_FOR_S = (1.5, 4.5)
LATE_S = (1.0, 6.0)
WAITING_LIMIT = 260
"""Tokens that may wait: some five jobs, and those that are held."""
NO_ANSWER_SHARE = 0.04
ENDLESS_S = 4.0
CUTTING = "cutting"
"""Service whose servers cut off each upload. No relay is in between, which would read it all."""
CUT_ROUTES = (
    route("/cut-safe/", "safe", CUTTING),
    route("/cut-once/", "unsafe", CUTTING),
    route("/cut-stream/", "streaming", CUTTING, max_attempts=1),
    route("/cut-resume/", "streaming", CUTTING, resumable=True),
)
UPLOAD = b"x" * 3_500_000
FINISHED_S = 15.0
"""Time after the last submission in which all stored jobs finish."""


class LateWritesSoak(Soak):
    """One run of the soak test with late writes."""

    def __init__(self, system: Deployment, seed: int, seconds: float) -> None:
        super().__init__(system, seed, seconds)
        self._losses = random.Random(f"{seed}/late")
        self._losses_lock = threading.Lock()
        self._lost_until = 0.0
        system.objects.faults.lose = self._lose
        for number in range(2):
            server = system.start_server(CUTTING, self._cut_uploads(number))
            server.reads_bodies = False
            self._services[server.instance] = CUTTING

    def run(self) -> Record:
        """Inject faults under load, then check the promises."""
        record = super().run()
        self._check_stored_jobs()
        return record

    def _write_configuration(self, *routes: dict[str, Any]) -> None:
        """Write a configuration whose waiting limit is reached."""
        self._version += 1
        batch = route(
            "/batch/", "batch", "engine", max_attempts=3, retention_s=60, max_count=WAITING_LIMIT
        )
        declared = (*STANDARD_ROUTES[:-1], *CUT_ROUTES, batch, *routes)
        self._system.write_configuration(self._version, *declared)

    def _play_series(self, faults: Sequence[Fault], draw: random.Random, seconds: float) -> None:
        if self._lose_store_answers in faults:
            faults = (*faults, self._lose_writes_late, self._lose_writes_late)
        super()._play_series(faults, draw, seconds)

    def _lose_writes_late(self, draw: random.Random) -> None:
        with self._disturbances.record():
            self._lost_until = time.monotonic() + draw.uniform(*LOST_FOR_S)
            time.sleep(max(0.0, self._lost_until - time.monotonic()))

    def _lose(self, method: str, kind: str, name: str) -> float | None:
        if time.monotonic() > self._lost_until:
            return None
        with self._losses_lock:
            if self._losses.random() >= LOST_SHARE:
                return None
            self._record.calls[f"late {kind}"] += 1
            return self._losses.uniform(*LATE_S)

    def _heal(self) -> None:
        self._lost_until = 0.0
        super()._heal()

    def _behave(self, number: int) -> RequestHandler:
        draw = random.Random(f"{number}/no answer")
        handle_others = super()._behave(number)

        def handle_request(request: ServedRequest, connection: ServerConnection) -> None:
            is_held = request.request_id.startswith(HELD_PREFIX)
            if is_held or not self._faulty.is_set() or draw.random() >= NO_ANSWER_SHARE:
                handle_others(request, connection)
                return
            self._record.faulty_requests.add(request.request_id)
            self._record.add_arrival(request.request_id)
            kind = draw.choice(("status", "refusal", "bytes"))
            self._record.calls[f"no answer, {kind}"] += 1
            _send_no_answer(kind, request, connection)

        return handle_request

    def _tasks(self) -> list[Callable[[random.Random], None]]:
        return [*super()._tasks(), self._call_with_upload]

    def _call_with_upload(self, draw: random.Random) -> None:
        """Send a request whose upload each server cuts off, so that no answer is complete."""
        entry = draw.choice(list(self._entries.values()))
        kind = draw.choice(("safe", "once", "stream", "resume"))
        request_id = uuid.uuid4().hex
        target = f"/cut-{kind}/{draw.randrange(1_000)}"
        answer = entry.call("POST", target, body=UPLOAD, request_id=request_id, timeout=5.0)
        self._judge.check_online(kind, request_id, target, answer)
        self._record.calls["upload cut"] += 1
        time.sleep(0.1)

    def _cut_uploads(self, number: int) -> RequestHandler:
        draw = random.Random(f"{number}/cuts")

        def handle_request(request: ServedRequest, connection: ServerConnection) -> None:
            self._record.faulty_requests.add(request.request_id)
            self._record.add_run(request.request_id)
            _cut_upload(request, connection, draw)

        return handle_request

    def _check_stored_jobs(self) -> None:
        """Check that every stored job is finished, or has ended."""
        try:
            eventually(lambda: not self._open_jobs(), FINISHED_S)
        except AssertionError:
            for job_id, owner in self._open_jobs().items():
                self._record.add_violation(f"job {job_id}: stored, not finished, owner {owner}")

    def _open_jobs(self) -> dict[str, str]:
        """Return the stored jobs that are not finished, with the owners that they name."""
        objects = self._system.objects
        with objects.changed:
            names = [name for kind, name in objects.objects if kind == "jobs"]
        found = {}
        for name in names:
            if HELD_PREFIX in name:
                continue
            job, progress = objects.spec("jobs", name), objects.spec("progress", name)
            if progress is None:
                found[name] = "" if job is None else str(job["owner"])
            elif not progress["ended"] and len(progress["results"]) < progress["total"]:
                found[name] = str(progress["owner"])
        return found


def _send_no_answer(kind: str, request: ServedRequest, connection: ServerConnection) -> None:
    """Send what is no answer, or a refusal without end."""
    identity = f"Request-Id: {request.request_id}\r\n"
    if kind == "status":
        head = f"HTTP/1.1 600 X\r\n{identity}Server-Stamp: s\r\nContent-Length: 2\r\n\r\nok"
        connection.send(head.encode())
        connection.close()
        return
    if kind == "refusal":
        connection.send(f"HTTP/1.1 503 X\r\n{identity}Not-Executed: 1\r\n\r\n".encode())
    until = time.monotonic() + ENDLESS_S
    while time.monotonic() < until and not connection.peer_has_closed:
        connection.send(b"x" * 10_000)
        time.sleep(0.01)
    connection.close()


def _cut_upload(request: ServedRequest, connection: ServerConnection, draw: random.Random) -> None:
    """Send the first bytes of an answer without a length, and cut off the upload."""
    connection.send_open_headers(request)
    connection.send(events(1, EVENTS // 2) if draw.random() < 0.5 else b"")
    if draw.random() < 0.5:
        with contextlib.suppress(OSError):
            connection.socket.shutdown(socket.SHUT_WR)
    time.sleep(draw.random() * 0.2)
    connection.reset()


def play(seed: int, seconds: float, folder: Path) -> Record:
    """Run the soak test with one seed and return its record."""
    with deployment(folder) as system:
        return LateWritesSoak(system, seed, seconds).run()


if __name__ == "__main__":
    sys.exit(run_seeds(play, __doc__))
