"""What a sidecar remembers of each request: its pieces for replay, and where it stands."""

from __future__ import annotations

import threading
from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import replace
from enum import StrEnum

from carobspool_core import Data, End, Failure, Head, Message, Millis, Open, Outcome, RequestId

REPLAY_TTL: Millis = 10_000.0
MAX_ENDED_RUNS = 4_000
MAX_FORGOTTEN_IDS = 50_000
"""Ids kept after their pieces are gone, so that a request that ran is never said not to have run.

At ten requests a second this is more than an hour; an entry asks again within seconds.
"""
MAX_ENDED_BYTES = 64 * 1024 * 1024


class RunState(StrEnum):
    """Where a request stands at its sidecar."""

    WAITING = "waiting"
    RUNNING = "running"
    ENDED = "ended"


class Run:
    """One request at a sidecar. Since 0.1.

    All pieces sent to the entry are kept until some time after the end, so that an entry that
    lost its connection or a frame gets them again.
    """

    __slots__ = (
        "_begun_at",
        "_deliver",
        "_end",
        "_gave_way",
        "_head",
        "_lock",
        "_pieces",
        "_state",
        "_waits_since",
        "ended_at",
        "open",
    )

    def __init__(self, request: Open, deliver: Callable[[Message], None], received: Millis) -> None:
        self._deliver = deliver
        self._lock = threading.Lock()
        self._head: Head | None = None
        self._pieces: list[bytes] = []
        self._end: End | None = None
        self._state = RunState.WAITING
        self._gave_way = False
        self._begun_at: Millis = 0.0
        self._waits_since = received
        self.open = request
        self.ended_at: Millis = 0.0

    @property
    def state(self) -> RunState:
        """Where it stands."""
        return self._state

    @property
    def begun_at(self) -> Millis:
        """When it was last handed to the upstream."""
        return self._begun_at

    @property
    def waits_since(self) -> Millis:
        """When it came, or last gave way."""
        return self._waits_since

    @property
    def size(self) -> int:
        """Bytes kept for replay."""
        return sum(len(piece) for piece in self._pieces)

    def begin(self, now: Millis) -> bool:
        """Mark it as handed to the upstream; false when it has ended before."""
        with self._lock:
            if self._state is RunState.ENDED:
                return False
            self._state = RunState.RUNNING
            self._begun_at = now
            return True

    def give_way(self, now: Millis) -> None:
        """Mark it as waiting again after it was preempted."""
        with self._lock:
            if self._state is RunState.RUNNING:
                self._state = RunState.WAITING
                self._waits_since = now
                self._gave_way = True

    def end_waiting(self, failure: Failure, now: Millis) -> bool:
        """End it unless it is at the upstream; false when it is, or when it has ended."""
        with self._lock:
            if self._state is not RunState.WAITING:
                return False
            self._finish(failure, now)
            return True

    def head(self, status: int, headers: dict[str, str]) -> None:
        """Send status and headers."""
        with self._lock:
            self._head = Head(id=self.open.id, status=status, headers=headers)
            self._deliver(self._head)

    def data(self, payload: bytes) -> None:
        """Send a piece of the body."""
        with self._lock:
            message = Data(id=self.open.id, sequence=len(self._pieces), payload=payload)
            self._pieces.append(payload)
            self._deliver(message)

    def end(self, failure: Failure | None, now: Millis) -> None:
        """Send the end, once; later calls do nothing."""
        with self._lock:
            if self._end is None:
                self._finish(failure, now)

    def replay(self, sequence: int) -> None:
        """Send head, the pieces from ``sequence`` on, and the end if there is one."""
        with self._lock:
            if self._head is not None:
                self._deliver(self._head)
            for number in range(sequence, len(self._pieces)):
                piece = self._pieces[number]
                self._deliver(Data(id=self.open.id, sequence=number, payload=piece))
            if self._end is not None:
                self._deliver(self._end)

    def _finish(self, failure: Failure | None, now: Millis) -> None:
        if failure is not None and self._gave_way and failure.outcome is Outcome.NOT_RUN:
            # Its last run may not have been sent, but an earlier one was.
            failure = replace(failure, outcome=Outcome.UNKNOWN)
        self._end = End(id=self.open.id, count=len(self._pieces), failure=failure)
        self._state = RunState.ENDED
        self.ended_at = now
        self._deliver(self._end)


class RunTable:
    """All requests of a sidecar, with the ended ones kept for a while. Since 0.1."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._runs: dict[RequestId, Run] = {}
        self._forgotten: OrderedDict[RequestId, None] = OrderedDict()

    def add(self, run: Run) -> bool:
        """Add a run; false when its id is already known (a duplicated frame)."""
        with self._lock:
            if run.open.id in self._runs or run.open.id in self._forgotten:
                return False
            self._runs[run.open.id] = run
            return True

    def forgotten(self, identity: RequestId) -> bool:
        """Whether a run was known once and its pieces are gone."""
        return identity in self._forgotten

    def get(self, identity: RequestId) -> Run | None:
        """Return a run by its id."""
        return self._runs.get(identity)

    def of_incarnation(self, incarnation: str) -> list[Run]:
        """Return the unended runs of one entry process."""
        return [run for run in self._open() if run.open.id.incarnation == incarnation]

    def waiting(self) -> list[Run]:
        """Return the runs that are not at the upstream."""
        return [run for run in self._open() if run.state is RunState.WAITING]

    def running(self) -> list[Run]:
        """Return the runs that are at the upstream."""
        return [run for run in self._open() if run.state is RunState.RUNNING]

    def open_count(self) -> int:
        """Return how many runs have not ended."""
        return sum(1 for _ in self._open())

    def expire(self, now: Millis) -> None:
        """Forget ended runs that are old, and the oldest ones over the bounds."""
        with self._lock:
            ended = [run for run in self._runs.values() if run.state is RunState.ENDED]
            ended.sort(key=lambda run: run.ended_at, reverse=True)
            kept_bytes = 0
            for count, run in enumerate(ended):
                kept_bytes += run.size
                old = now - run.ended_at > REPLAY_TTL
                if old or count >= MAX_ENDED_RUNS or kept_bytes > MAX_ENDED_BYTES:
                    del self._runs[run.open.id]
                    self._forgotten[run.open.id] = None
            while len(self._forgotten) > MAX_FORGOTTEN_IDS:
                self._forgotten.popitem(last=False)

    def _open(self) -> Iterator[Run]:
        with self._lock:
            runs = list(self._runs.values())
        return (run for run in runs if run.state is not RunState.ENDED)
