"""Record of a soak test as seen from outside, and the checks of promises against that record."""

from __future__ import annotations

import threading
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from datetime import UTC, datetime
from typing import Any

from direct_harness import Answer, Entry, all_results
from disturbances import Disturbances

EVENTS = 6
NOT_DONE = frozenset({429, 503})
"""HTTP statuses that promise that the request had no effect."""
END_GRACE_S = 3.5
"""Time after the acknowledgement that a job has ended in which its items may still start."""
END_BOUND_S = 3.0
"""Time after the acknowledgement that a job has ended beyond which an entry sends none of its
items, if the entry has run undisturbed for as long. `ARRIVAL_SLACK_S` allows for the transit time
to the server."""
ARRIVAL_SLACK_S = 0.3
JOB_TIME_S = 7.0
"""Time after its acceptance in which a job finishes without faults: five seconds for a takeover and
two for its items."""
SHUTDOWN_S = 6.0
DEADLINE_S = 2.5
RUN_LOGGED_S = 1.0
"""Time after its arrival at a server in which the entry logs a run that the server rejects."""


@dataclass(slots=True)
class Record:
    """What servers have run and how callers were answered.

    Attributes:
        lock: Guards the other attributes.
        runs: How often servers began to run each request or item.
        last_start: When a server last began to run it.
        arrivals: When it reached a server.
        faulty_requests: Requests for which a server injected a fault.
        accepted: Items of each accepted job.
        accepted_at: When the caller of each accepted job had its answer.
        refused: Items of each job for which every submission was refused.
        ended: When the end of each job was acknowledged.
        ends_in_doubt: Jobs whose end was neither acknowledged nor refused.
        ended_held: Items of each ended job that could not finish.
        positions: Item and text at each position of a job's results.
        violations: Broken promises, in words.
        calls: Number of online calls by kind and status, and of other observations.
    """

    lock: threading.Lock = field(default_factory=threading.Lock)
    runs: Counter[str] = field(default_factory=Counter)
    last_start: dict[str, float] = field(default_factory=dict)
    arrivals: dict[str, list[float]] = field(default_factory=dict)
    faulty_requests: set[str] = field(default_factory=set)
    accepted: dict[str, list[str]] = field(default_factory=dict)
    accepted_at: dict[str, float] = field(default_factory=dict)
    refused: dict[str, list[str]] = field(default_factory=dict)
    ended: dict[str, float] = field(default_factory=dict)
    ends_in_doubt: set[str] = field(default_factory=set)
    ended_held: dict[str, list[str]] = field(default_factory=dict)
    positions: dict[str, list[tuple[str, str]]] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    calls: Counter[str] = field(default_factory=Counter)

    def add_arrival(self, request_id: str) -> None:
        """Record that a request has reached a server."""
        with self.lock:
            self.arrivals.setdefault(request_id, []).append(time.monotonic())

    def add_run(self, request_id: str) -> None:
        """Record that a server began to run a request."""
        with self.lock:
            self.runs[request_id] += 1
            self.last_start[request_id] = time.monotonic()

    def add_violation(self, violation: str) -> None:
        """Record that a promise was broken."""
        with self.lock:
            self.violations.append(violation)


class Judge:
    """Checks every promise against a record, and adds the violations to it.

    Args:
        record: What servers and callers observed.
        disturbances: When each entry was disturbed.
        entries: All entries started during the run, also those that have ended.
        headers: Returns the headers that the caller of a job sends, by the job's id.

    Attributes:
        stop_requested_at: When each entry, by its port for peers, was asked to stop.
    """

    def __init__(
        self,
        record: Record,
        disturbances: Disturbances,
        entries: Sequence[Entry],
        headers: Callable[[str], dict[str, str]],
    ) -> None:
        self._headers = headers
        self._record = record
        self._disturbances = disturbances
        self._entries = entries
        self.stop_requested_at: dict[int, float] = {}

    def check_online(self, kind: str, request_id: str, target: str, answer: Answer) -> None:
        """Check the answer to an online request."""
        self._record.calls[f"{kind} {answer.status}"] += 1
        with self._record.lock:
            runs = self._record.runs[request_id]
        if answer.status in (429, 503) and runs:
            self._record.add_violation(
                f"{kind} {request_id}: refused with {answer.status}, ran {runs} times"
            )
        if kind in ("once", "stream") and runs > 1:
            self._record.add_violation(f"{kind} {request_id}: ran {runs} times")
        if answer.status in (401, 404):
            self._record.add_violation(f"{kind} {request_id}: denied with {answer.status}")
        if answer.status != 200 or not answer.complete:
            return
        if kind in ("safe", "once"):
            if answer.body != f"{request_id} {target}".encode():
                self._record.add_violation(f"{kind} {request_id}: wrong answer {answer.body!r}")
        elif answer.body != events(1, EVENTS):
            self._record.add_violation(
                f"{kind} {request_id}: incomplete or wrong stream {answer.body!r}"
            )

    def check_broken(self, entry: Entry, kind: str, request_id: str, sent: float) -> None:
        """Check a request without a complete answer.

        An entry that shuts down must not have forwarded it and then cut it off.
        """
        now = time.monotonic()
        asked_at = self.stop_requested_at.get(entry.peer_port)
        if asked_at is None or now > asked_at + SHUTDOWN_S + 1.0 or now - sent > 0.7 * DEADLINE_S:
            return
        if self._disturbances.was_disturbed(entry.name, sent - END_BOUND_S, now, planned=False):
            return
        with self._record.lock:
            was_faulty = request_id in self._record.faulty_requests
            was_forwarded = request_id in self._record.arrivals
        self._record.calls["broken around a stop"] += 1
        if was_forwarded and not was_faulty:
            self._record.add_violation(
                f"{kind} {request_id}: forwarded and then cut off by {entry.name}, sent"
                f" {sent - asked_at:.3f} s and cut {now - asked_at:.3f} s after its stop request"
            )

    def check_positions(self, job_id: str, found: list[tuple[str, str]]) -> None:
        """Check a page of results: the result at a position never changes."""
        with self._record.lock:
            seen = self._record.positions.setdefault(job_id, [])
            common = min(len(seen), len(found))
            moved = seen[:common] != found[:common]
            if len(found) > len(seen):
                self._record.positions[job_id] = found
        if moved:
            self._record.add_violation(f"job {job_id}: the result at a position changed")
        if len({item for item, _ in found}) != len(found):
            self._record.add_violation(f"job {job_id}: an item has two results")

    def check_jobs(self, entries: Sequence[Entry]) -> None:
        """Check the results of all accepted jobs at each entry, and that no refused job ran."""
        record = self._record
        for job_id, items in record.accepted.items():
            if job_id in record.ended:
                late = [
                    item
                    for item in items
                    if record.last_start.get(item, 0.0) > record.ended[job_id] + END_GRACE_S
                ]
                if late:
                    record.add_violation(f"job {job_id}: {late} ran after its end")
                continue
            if job_id in record.ends_in_doubt:
                # The answer to the call that ends the job was neither a success nor a promise that
                # the call had no effect.
                continue
            for entry in entries:
                self._check_job(job_id, items, self._results_in_time(entry, job_id))
        for job_id, items in record.refused.items():
            if any(record.runs[item] for item in items):
                record.add_violation(f"job {job_id}: ran although each submission was refused")

    def check_ends(self) -> None:
        """Check that no entry that ran undisturbed sent items of an ended job."""
        for job_id, items in self._record.ended_held.items():
            ended = self._record.ended[job_id]
            bound = ended + END_BOUND_S + ARRIVAL_SLACK_S
            for item in items:
                late = [at for at in self._record.arrivals.get(item, ()) if at > bound]
                blamed = [at for at in late if self._was_undisturbed(item, at)]
                if blamed:
                    self._record.add_violation(
                        f"{item}: arrived {len(blamed)} times, first {blamed[0] - ended:.3f} s"
                        f" after the end of its job, from {sorted(self._senders(item, blamed[0]))}"
                    )

    def _was_undisturbed(self, item: str, at: float) -> bool:
        """Return whether no entry that may have sent an item was disturbed.

        If no entry logged the run, any entry may have sent it, since a kill may lose log lines.
        """
        since = at - END_BOUND_S - ARRIVAL_SLACK_S
        senders = self._senders(item, at)
        if not senders:
            return not self._disturbances.was_disturbed(None, since, at)
        return not any(self._disturbances.was_disturbed(name, since, at) for name in senders)

    def _senders(self, item: str, at: float) -> set[str]:
        """Return the entries that logged the end of a run of the item right after its arrival."""
        found = set()
        arrived = time.time() - time.monotonic() + at
        for entry in self._entries:
            for line in entry.log_lines_containing(f" item={item} "):
                logged = datetime.fromisoformat(line.split("time=", 1)[1].split()[0])
                if -0.1 < logged.replace(tzinfo=UTC).timestamp() - arrived < RUN_LOGGED_S:
                    found.add(entry.name)
        return found

    def _results_in_time(self, entry: Entry, job_id: str) -> list[dict[str, Any]] | None:
        """Return the results of a job, or ``None`` if it is not finished when it has to be."""
        until = self._record.accepted_at[job_id] + JOB_TIME_S
        while True:
            is_due = time.monotonic() >= until
            results = all_results(entry, job_id, headers=self._headers(job_id))
            if results is not None or is_due:
                return results
            time.sleep(0.05)

    def _check_job(
        self, job_id: str, items: list[str], results: list[dict[str, str]] | None
    ) -> None:
        if results is None:
            self._record.add_violation(
                f"job {job_id}: accepted, but not finished when no faults occur"
            )
            return
        self.check_positions(job_id, [(each["id"], each["text"]) for each in results])
        if Counter(each["id"] for each in results) != Counter(items):
            self._record.add_violation(f"job {job_id}: not exactly one result for each item")
        text = "\n".join(f"piece {number}" for number in range(1, EVENTS + 1))
        if any(each["text"] != text for each in results):
            self._record.add_violation(f"job {job_id}: a text is incomplete or wrong")


def events(first: int, last: int) -> bytes:
    """Return the events ``first`` to ``last`` of the stream that every server sends."""
    return b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(first, last + 1))
