"""Batch items of a service without servers keep the items of another service from starting."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from deployment import (  # noqa: E402
    BROKEN,
    HELD,
    TROUBLE,
    CouldNotRunError,
    Deployment,
    Process,
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
)

FOLDER = Path(__file__).resolve().parent
EVENTS = 40
EVENT_S = 0.05
TRAFFIC_S = 30.0
LOSS_AT_S = 4.0
FINISH_S = 18.0
CALM_S = 5.0
UNFINISHED_S = 3.0
ITEMS = {"desk": 4, "annex": 1}
SERVERS = {"desk": ("z1", "z1", "z2"), "annex": ("z3",)}
"""The zones of the servers, by service."""


class Servers:
    """What the servers run, and when they have run it."""

    def __init__(self, deployment: Deployment) -> None:
        self._record = deployment.record
        self.running: dict[str, int] = {}
        self.last_run: dict[str, float] = {}
        self.finished: list[float] = []

    async def run(self, server: Server, request: Request, writer: asyncio.StreamWriter) -> None:
        """Stream the events of an item."""
        item = request.request_id
        self.running[server.instance] = self.running.get(server.instance, 0) + 1
        try:
            start = int(request.headers.get("last-event-id", "0")) + 1
            writer.write(stream_head(request))
            for number in range(start, EVENTS + 1):
                await asyncio.sleep(EVENT_S)
                self.last_run[item] = time.monotonic()
                writer.write(chunk(event(number, f"{item} piece {number}")))
                await writer.drain()
            writer.write(chunk(b""))
            self.finished.append(time.monotonic())
            self._record.write(f"{server.instance} ran {item}")
        finally:
            self.running[server.instance] -= 1


async def submit_jobs(
    deployment: Deployment, entries: list[Process], jobs: dict[str, tuple[str, list[str]]]
) -> None:
    """Submit a job of each service every second, at each entry in turn."""
    for number in range(int(TRAFFIC_S)):
        for service in ("annex", "desk"):
            job = f"{service}{number:03d}"
            items = [f"{job}i{position:02d}" for position in range(ITEMS[service])]
            body = job_body([(each, f"/{service}/{number}/{each}") for each in items])
            headers = {"Request-Id": job, "Deadline-Ms": "4000"}
            entry = entries[number % len(entries)]
            answer = await call(entry, "POST", f"/{service}/{number}", headers=headers, body=body)
            status = None if answer is None else answer.status
            deployment.record.write(f"{job} submitted at {entry.name}: {status}")
            if status == 202:
                jobs[job] = (service, items)
        await asyncio.sleep(1.0)


async def listed(entries: list[Process], job: str) -> set[str]:
    """Return the items of a job that are listed."""
    for entry in entries * 3:
        answer = await call(entry, "GET", f"/api/lots/{job}?after=0")
        if answer is not None and answer.status == 200:
            return {each["id"] for each in answer.json()["results"]}
        await asyncio.sleep(0.2)
    raise CouldNotRunError(f"{job} cannot be read")


async def case(deployment: Deployment) -> int:
    """Lose the only server of one service, and check the jobs of the other one."""
    record = deployment.record
    work = Servers(deployment)
    batch = {"completion_target_ms": 18_000, "retention_s": 60, "max_count": 1_200_000}
    batch |= {"max_attempts": 3, "timeout_ms": 15_000}
    routes = [route(f"/{service}/", "batch", service, **batch) for service in SERVERS]
    await deployment.store.put("config", "main", configuration(1, *routes))
    servers = {
        service: [
            await deployment.server(f"i-{service}{number}", service, work.run, zone=zone)
            for number, zone in enumerate(zones)
        ]
        for service, zones in SERVERS.items()
    }
    entries = [deployment.entry(f"edge-{number}") for number in range(2)]
    for entry in entries:
        await entry.start(bootstrap=True)
    for entry in entries:
        await entry.wait_ready()
    jobs: dict[str, tuple[str, list[str]]] = {}
    traffic = asyncio.create_task(submit_jobs(deployment, entries, jobs))
    await asyncio.sleep(LOSS_AT_S)
    if TROUBLE:
        record.write("i-annex0 is lost for good")
        await servers["annex"][0].lose()
    await traffic
    record.write("traffic has ended")
    most_running = 0
    end = time.monotonic() + FINISH_S
    while (now := time.monotonic()) < end:
        if now > end - CALM_S:
            running = sum(work.running.get(each.instance, 0) for each in servers["desk"])
            most_running = max(most_running, running)
        await asyncio.sleep(0.1)
    slots = sum(each.slots for each in servers["desk"])
    record.write(f"finish_s is over; desk ran at most {most_running} of {slots} in the last 5 s")
    finished_ago = end - max(work.finished, default=0.0)
    record.write(f"the last item of any job was finished {finished_ago:.1f} s before")
    finished = sum(each > end - CALM_S for each in work.finished)
    lost = waiting = 0
    for job, (service, items) in jobs.items():
        missing = set(items) - await listed(entries, job)
        waiting += len(missing)
        recent = [each for each in items if work.last_run.get(each, 0.0) > end - CALM_S]
        if service == "desk" and missing and not recent:
            lost += len(missing)
            record.write(f"{job}: {len(missing)} of {len(items)} items are not listed")
    record.write(f"{waiting} items wait, {finished} were finished in the last 5 s")
    # "Nor do finished items excuse, if those of the last 5 s are under a tenth of all that wait."
    is_busy = most_running * 2 >= slots
    is_excused = is_busy or (finished_ago < UNFINISHED_S and finished * 10 >= waiting)
    record.write(f"items of desk that are not listed: {lost}; excused: {is_excused}")
    return BROKEN if lost and not is_excused else HELD


if __name__ == "__main__":
    main(FOLDER, case)
