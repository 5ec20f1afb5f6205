"""A late second answer to an item's failed run counts as the answer to its next run."""

from __future__ import annotations

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from deployment import (  # noqa: E402
    BROKEN,
    HELD,
    TROUBLE,
    CouldNotRunError,
    Deployment,
    Request,
    Server,
    call,
    chunk,
    configuration,
    event,
    job_body,
    main,
    route,
    stream_head,
    whole_answer,
)

FOLDER = Path(__file__).resolve().parent
MAX_ATTEMPTS = 3
JOBS, ITEMS = 70, 10
JOB_PAUSE_S = 0.08
EVENTS = 6
FAILED_RUNS = {"bad1": (1, 2), "bad2": (1, 3)}
"""Runs that end with 500, by the beginning of the item's id; all other runs succeed."""
GARBLED = "i-desk0"
"""The server that sends late second answers: one of two, of a share of 0.6 that the site allows."""
GARBLED_PART = 0.03
GARBLED_S = 5.0
"""The part of its answers, and the time, that the site allows."""


class Servers:
    """What the servers of the service do, and what they have answered."""

    def __init__(self, deployment: Deployment) -> None:
        self._record = deployment.record
        self.runs: Counter[str] = Counter()
        self.failed: Counter[str] = Counter()
        self.completed: set[str] = set()
        self.answers: Counter[str] = Counter()
        self.spoilt = 0
        self._spoilt_until: float | None = None
        self._late: dict[int, bytes] = {}

    def _may_spoil(self, server: Server) -> bool:
        """Whether an answer may be followed by a late second one within the site's limits."""
        if not TROUBLE or server.instance != GARBLED:
            return False
        now = time.monotonic()
        if self._spoilt_until is None:
            self._spoilt_until = now + GARBLED_S
        part = (self.spoilt + 1) / self.answers[GARBLED]
        return now < self._spoilt_until and part <= GARBLED_PART

    async def run(self, server: Server, request: Request, writer: asyncio.StreamWriter) -> None:
        """Run an item: fail, or stream its events."""
        item = request.request_id
        self.runs[item] += 1
        self.answers[server.instance] += 1
        run = self.runs[item]
        late = self._late.pop(id(writer), None)
        if late is not None:
            self._record.write(f"{server.instance} sends the late second answer before {item}")
            writer.write(late)
        if run in FAILED_RUNS.get(item[:4], ()):
            await asyncio.sleep(0.01)
            self.failed[item] += 1
            answer = whole_answer(request, 500, b"failed")
            writer.write(answer)
            self._record.write(f"{server.instance} run {run} of {item}: 500")
            if run == 1 and self._may_spoil(server):
                self.spoilt += 1
                self._late[id(writer)] = answer
            return
        start = int(request.headers.get("last-event-id", "0")) + 1
        writer.write(stream_head(request))
        for number in range(start, EVENTS + 1):
            await asyncio.sleep(0.01)
            writer.write(chunk(event(number, f"{item} piece {number}")))
            await writer.drain()
        writer.write(chunk(b""))
        self.completed.add(item)
        self._record.write(f"{server.instance} run {run} of {item}: complete")


async def case(deployment: Deployment) -> int:
    """Submit jobs and compare each result with what the servers have answered."""
    record = deployment.record
    servers = Servers(deployment)
    batch = route("/batch/", "batch", "desk", max_attempts=MAX_ATTEMPTS, timeout_ms=15_000)
    batch |= {"completion_target_ms": 18_000, "retention_s": 60, "max_count": 1_200_000}
    await deployment.store.put("config", "main", configuration(1, batch))
    for number in range(2):
        await deployment.server(f"i-desk{number}", "desk", servers.run)
    entries = [deployment.entry(f"edge-{number}") for number in range(2)]
    for entry in entries:
        await entry.start(bootstrap=True)
    for entry in entries:
        await entry.wait_ready()
    jobs: dict[str, list[str]] = {}
    for number in range(JOBS):
        names = []
        for position in range(ITEMS):
            # Two runs of each tenth item end with 500, which is one less than may fail.
            kind = f"bad{1 + number % 2}" if position == 7 else "item"
            names.append(f"{kind}-{number:02d}-{position:02d}")
        job = f"job{number:04d}"
        jobs[job] = names
        headers = {"Request-Id": job, "Deadline-Ms": "4000"}
        body = job_body([(each, f"/batch/{number}/{each}") for each in names])
        answer = await call(
            entries[number % 2], "POST", f"/batch/{number}", headers=headers, body=body
        )
        record.write(f"job {job} submitted: {answer and answer.status}")
        if answer is None or answer.status != 202:
            raise CouldNotRunError("a job was not accepted")
        await asyncio.sleep(JOB_PAUSE_S)
    broken = 0
    for number, (job, names) in enumerate(jobs.items()):
        results = await read_all(entries[number % 2], job)
        if len(results) < len(names):
            raise CouldNotRunError(f"{job} has {len(results)} results")
        for result in results:
            item = result["id"]
            if result["state"] == "dead_letter":
                failed = servers.failed[item]
                wrong = failed < MAX_ATTEMPTS
                broken += wrong
                record.write(
                    f"{item} is listed as dead_letter after {failed} answers of 500 in"
                    f" {servers.runs[item]} runs, a run succeeded: {item in servers.completed}"
                    f"{': MIXED broken' if wrong else ''}"
                )
    answers = servers.answers[GARBLED]
    record.write(f"{servers.spoilt} of {answers} answers of {GARBLED} had a late second one")
    record.write(f"results that break MIXED: {broken}")
    return BROKEN if broken else HELD


async def read_all(entry, job: str) -> list[dict[str, str]]:  # type: ignore[no-untyped-def]
    """Return a job's results once all are there, or what there is after 60 s."""
    until = time.monotonic() + 60
    results: list[dict[str, str]] = []
    while time.monotonic() < until:
        answer = await call(entry, "GET", f"/api/lots/{job}?after={len(results)}")
        if answer is not None and answer.status == 200:
            page = answer.json()
            results += page["results"]
            if len(results) >= page["total"]:
                break
        await asyncio.sleep(0.5)
    return results


if __name__ == "__main__":
    main(FOLDER, case)
