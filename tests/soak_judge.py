"""What a soak sees from outside, and the promises that are judged from it."""

from __future__ import annotations

import threading
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from datetime import UTC, datetime

from direct_harness import Answer, Entry, finished
from disturbances import Disturbances

EVENTS = 6
NOT_DONE = frozenset({429, 503})
"""Statuses that promise that nothing was done."""
END_GRACE_S = 3.5
END_BOUND_S = 3.0
"""Time after the acknowledgement of its end beyond which an entry that has run undisturbed for as
long sends nothing of a job; `ARRIVAL_SLACK_S` is for the way to the server."""
ARRIVAL_SLACK_S = 0.3
SHUTDOWN_S = 6.0
DEADLINE_S = 2.5
RUN_LOGGED_S = 1.0
"""Time after its arrival in which a run that is turned away stands in the log of its entry."""


@dataclass(slots=True)
class Record:
    """What servers have run and what callers were told."""

    lock: threading.Lock = field(default_factory=threading.Lock)
    runs: Counter[str] = field(default_factory=Counter)
    last_start: dict[str, float] = field(default_factory=dict)
    arrivals: dict[str, list[float]] = field(default_factory=dict)
    spoiled: set[str] = field(default_factory=set)
    accepted: dict[str, list[str]] = field(default_factory=dict)
    refused: dict[str, list[str]] = field(default_factory=dict)
    ended: dict[str, float] = field(default_factory=dict)
    ends_in_doubt: set[str] = field(default_factory=set)
    held: dict[str, list[str]] = field(default_factory=dict)
    positions: dict[str, list[tuple[str, str]]] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    calls: Counter[str] = field(default_factory=Counter)

    def arrived(self, request_id: str) -> None:
        """Note that a request has reached a server."""
        with self.lock:
            self.arrivals.setdefault(request_id, []).append(time.monotonic())

    def ran(self, request_id: str) -> None:
        """Note that a server began to run a request."""
        with self.lock:
            self.runs[request_id] += 1
            self.last_start[request_id] = time.monotonic()

    def violated(self, promise: str) -> None:
        """Note a broken promise."""
        with self.lock:
            self.violations.append(promise)


class Judge:
    """Judges every promise from a record.

    Args:
        record: What was seen.
        disturbances: When which entry was disturbed.
        entries: Every entry that was ever started.
        headers: Returns what a caller of a job sends beside its id.
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
        self.asked: dict[int, float] = {}
        """When each entry, by its port for peers, was asked to stop."""

    def online(self, kind: str, request_id: str, target: str, answer: Answer) -> None:
        """Judge the answer to an online request."""
        self._record.calls[f"{kind} {answer.status}"] += 1
        with self._record.lock:
            runs = self._record.runs[request_id]
        if answer.status in (429, 503) and runs:
            self._record.violated(f"{kind} {request_id}: told {answer.status}, ran {runs} times")
        if kind in ("once", "stream") and runs > 1:
            self._record.violated(f"{kind} {request_id}: ran {runs} times")
        if answer.status in (401, 404):
            self._record.violated(f"{kind} {request_id}: denied with {answer.status}")
        if answer.status != 200 or not answer.complete:
            return
        if kind in ("safe", "once"):
            if answer.body != f"{request_id} {target}".encode():
                self._record.violated(f"{kind} {request_id}: another answer {answer.body!r}")
        elif answer.body != events(1, EVENTS):
            self._record.violated(f"{kind} {request_id}: not its whole stream {answer.body!r}")

    def broken(self, entry: Entry, kind: str, request_id: str, sent: float) -> None:
        """Judge a request without a whole answer: a leaving entry must not have passed it on."""
        now = time.monotonic()
        asked = self.asked.get(entry.peer_port)
        if asked is None or now > asked + SHUTDOWN_S + 1.0 or now - sent > 0.7 * DEADLINE_S:
            return
        if self._disturbances.any(entry.name, sent - END_BOUND_S, now, planned=False):
            return
        with self._record.lock:
            spoiled = request_id in self._record.spoiled
            passed_on = request_id in self._record.arrivals
        self._record.calls["broken around a stop"] += 1
        if passed_on and not spoiled:
            self._record.violated(
                f"{kind} {request_id}: passed on and cut by {entry.name}, sent"
                f" {sent - asked:.3f} s and cut {now - asked:.3f} s after it was asked to stop"
            )

    def positions(self, job_id: str, found: list[tuple[str, str]]) -> None:
        """Judge a page of results: what stands at a position stays there."""
        with self._record.lock:
            seen = self._record.positions.setdefault(job_id, [])
            common = min(len(seen), len(found))
            moved = seen[:common] != found[:common]
            if len(found) > len(seen):
                self._record.positions[job_id] = found
        if moved:
            self._record.violated(f"job {job_id}: a position changed its content")
        if len({item for item, _ in found}) != len(found):
            self._record.violated(f"job {job_id}: an item stands twice")

    def jobs(self, entries: Sequence[Entry]) -> None:
        """Judge all accepted jobs at each of the entries, and all refused ones."""
        record = self._record
        for job_id, items in record.accepted.items():
            if job_id in record.ended:
                late = [
                    item
                    for item in items
                    if record.last_start.get(item, 0.0) > record.ended[job_id] + END_GRACE_S
                ]
                if late:
                    record.violated(f"job {job_id}: {late} ran after its end")
                continue
            if job_id in record.ends_in_doubt:
                # Its end was answered with neither a success nor a promise that nothing was done.
                continue
            for entry in entries:
                self._job(job_id, items, finished(entry, job_id, headers=self._headers(job_id)))
        for job_id, items in record.refused.items():
            if any(record.runs[item] for item in items):
                record.violated(f"job {job_id}: refused each time, and ran")

    def ends(self) -> None:
        """Nothing of an ended job comes from an entry that ran undisturbed."""
        for job_id, items in self._record.held.items():
            ended = self._record.ended[job_id]
            bound = ended + END_BOUND_S + ARRIVAL_SLACK_S
            for item in items:
                late = [at for at in self._record.arrivals.get(item, ()) if at > bound]
                blamed = [at for at in late if self._was_undisturbed(item, at)]
                if blamed:
                    self._record.violated(
                        f"{item}: came {len(blamed)} times, first {blamed[0] - ended:.3f} s after"
                        f" its end, from {sorted(self._senders(item, blamed[0]))}"
                    )

    def _was_undisturbed(self, item: str, at: float) -> bool:
        """Whether each entry was that may have sent an item; a kill may have lost its line."""
        since = at - END_BOUND_S - ARRIVAL_SLACK_S
        senders = self._senders(item, at)
        if not senders:
            return not self._disturbances.any(None, since, at)
        return not any(self._disturbances.any(name, since, at) for name in senders)

    def _senders(self, item: str, at: float) -> set[str]:
        """Return the entries that logged the end of a run of an item right after its arrival."""
        found = set()
        arrived = time.time() - time.monotonic() + at
        for entry in self._entries:
            for line in entry.logged(f" item={item} "):
                logged = datetime.fromisoformat(line.split("time=", 1)[1].split()[0])
                if -0.1 < logged.replace(tzinfo=UTC).timestamp() - arrived < RUN_LOGGED_S:
                    found.add(entry.name)
        return found

    def _job(self, job_id: str, items: list[str], results: list[dict[str, str]] | None) -> None:
        if results is None:
            self._record.violated(f"job {job_id}: accepted and not finished in calm")
            return
        self.positions(job_id, [(each["id"], each["text"]) for each in results])
        if Counter(each["id"] for each in results) != Counter(items):
            self._record.violated(f"job {job_id}: not each item once")
        text = "\n".join(f"piece {number}" for number in range(1, EVENTS + 1))
        if any(each["text"] != text for each in results):
            self._record.violated(f"job {job_id}: a text is not whole")


def events(first: int, last: int) -> bytes:
    """Return a part of the stream that every server sends."""
    return b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(first, last + 1))
