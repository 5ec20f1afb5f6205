"""A job that is stored comes again at the waiting limit and gets its 202, but nobody runs it."""

from __future__ import annotations

import os
import sys
import threading
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "parts-2"))

import engine as servers
import store as stores
from fleet import Entry, Record, batch_route, configuration, entries, job_body

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENTRIES = ["edge-1", "edge-2", "edge-3"]
SERVERS, SLOTS = 3, 8
EVENTS, PAUSE_S = 60, 0.03
ITEMS, ITEM_TOKENS = 12, 5_000
LIMIT = 1_200_000
WAITING_JOBS = 16
"""Jobs that wait at first; an entry of three takes a job of a third of what is left at most."""
OTHER_ITEMS, SUBMIT_PAUSE_S = 4, 0.2
"""Further jobs of other clients, which fill the limit up again and again."""
LOST_FOR_S, LATE_S, MOST_LOST = 4.5, 4.8, 0.35
DEADLINE_S = 4.0
AGAIN_AT_S = 5.0
FINISH_S = 18.0
CALM_S = 5.0
LONGEST_S = 75.0
COULD_NOT_RUN = 2


class Case:
    """The entries, the clients and what they have got."""

    def __init__(self, record: Record, store: stores.Store, fleet: list[Entry]) -> None:
        self.record = record
        self.store = store
        self.fleet = fleet
        self.accepted: dict[str, list[str]] = {}

    def submit(self, entry: Entry, job: str, items: list[str]) -> int:
        """Submit a job once and return the status, 0 without an answer in time."""
        status, _ = entry.call(
            "POST",
            "/batch/1",
            request_id=job,
            body=job_body(items, "/batch/1", ITEM_TOKENS),
            headers={"Deadline-Ms": str(int(DEADLINE_S * 1000))},
            timeout=DEADLINE_S,
        )
        if status == 202:
            self.accepted[job] = items
        return status

    def unlisted(self) -> dict[str, int]:
        """Return how many items of each accepted job are not listed, without finished jobs."""
        found = {}
        for job, items in self.accepted.items():
            page = self.fleet[2].results(job)
            listed = 0 if isinstance(page, int) else len(page["results"])
            if listed < len(items):
                found[job] = len(items) - listed
        return found


def new_ids(count: int) -> list[str]:
    """Return new ids."""
    return [os.urandom(8).hex() for _ in range(count)]


def main() -> int:
    """Run the case and return the exit code."""
    record = Record(Path(__file__).with_name("record.txt"))
    record.note(f"TROUBLE={int(TROUBLE)}")
    store = stores.Store()
    store.note = record.note
    route = batch_route("/batch/", "reading-desk") | {"max_count": LIMIT}
    store.put("config", "main", configuration(1, route))
    engines = [
        servers.serve(servers.Engine(f"i-{number}", SLOTS, lambda request: (EVENTS, PAUSE_S)))
        for number in range(SERVERS)
    ]
    for engine in engines:
        store.put("servers", engine.instance, engine.registration("reading-desk"))
    with entries(record, stores.serve(store), ENTRIES) as fleet:
        time.sleep(4.0)
        case = Case(record, store, fleet)
        return play(case, engines)


def play(case: Case, engines: list[servers.Engine]) -> int:
    """Play the case and return the exit code."""
    record, fleet = case.record, case.fleet
    for number in range(WAITING_JOBS):
        if case.submit(fleet[number % 3], new_ids(1)[0], new_ids(ITEMS)) != 202:
            return COULD_NOT_RUN
    job, items = new_ids(1)[0], new_ids(ITEMS)
    record.note(f"job J is {job}")
    begun = time.monotonic()

    def lose(method: str, kind: str, name: str, body: Any) -> float | None:
        is_lost = kind == "jobs" and name == job and time.monotonic() - begun < LOST_FOR_S
        return LATE_S - (time.monotonic() - begun) if TROUBLE and is_lost else None

    case.store.lose = lose
    stopped = threading.Event()

    def press() -> None:
        while not stopped.wait(SUBMIT_PAUSE_S):
            case.submit(fleet[2], new_ids(1)[0], new_ids(OTHER_ITEMS))

    others = threading.Thread(target=press, daemon=True)
    others.start()
    status = case.submit(fleet[0], job, items)
    record.note(f"J at {fleet[0].name}: {status or 'no answer'}")
    if not TROUBLE and status != 202:
        return COULD_NOT_RUN
    number = 1
    time.sleep(max(0.0, begun + AGAIN_AT_S - time.monotonic()))
    while status != 202:
        status = case.submit(fleet[number % 2], job, items)
        record.note(f"J again at {fleet[number % 2].name}: {status or 'no answer'}")
        number += 1
        if status != 202:
            time.sleep(1.0)
        if time.monotonic() - begun > 20.0:
            return COULD_NOT_RUN
    stopped.set()
    others.join()
    writes = [each for each in case.store.writes if 0.0 <= each[0] - begun < LOST_FOR_S]
    lost = [each for each in writes if each[2:] == ("jobs", job)]
    record.note(f"the store took {len(writes)} writes in {LOST_FOR_S} s; {len(lost)} were for J")
    if TROUBLE and len(lost) > MOST_LOST * len(writes):
        return COULD_NOT_RUN
    ended = time.monotonic()
    while time.monotonic() - begun < LONGEST_S:
        left = case.unlisted()
        now = time.monotonic()
        had = [
            run["id"]
            for engine in engines
            for run in engine.runs
            if run["end"] is None or run["end"] > now - CALM_S
        ]
        if not left:
            record.note("the rule held: all items of all accepted jobs are listed")
            return 0
        if now - ended > FINISH_S and not had:
            break
        time.sleep(1.0)
    for each, count in left.items():
        name = "J" if each == job else each
        total = len(case.accepted[each])
        record.note(f"{name}: {count} of {total} items are not listed {now - ended:.0f} s later")
    ran = sum(run["id"] in items for engine in engines for run in engine.runs)
    record.note(f"runs of items of J: {ran}; servers had {len(had)} items in the last {CALM_S} s")
    record.note(f"the store names {case.store.spec('jobs', job)['owner']} as the owner of J")
    if had:
        return COULD_NOT_RUN
    record.note("LOST is broken")
    return 1


if __name__ == "__main__":
    raise SystemExit(main())
