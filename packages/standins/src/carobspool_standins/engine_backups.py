"""Stand-in for engines that keep copies of each other's runs and move runs between them.

The engines are servers of `platform_server` in one process; their runs and copies are in memory.
A stream is copied while it runs, and continues at another engine from its copy or from the memory
that a move left behind a handle. `EngineBackups.violations` lists what must never happen to a
request that may run only once.
"""

from __future__ import annotations

import itertools
import json
import threading
import time
from collections.abc import Callable
from typing import Any

from carobspool_standins._engine_runs import EngineFaults, EngineRun, RunMemory
from carobspool_standins.platform_server import PlatformServer, ServedRequest, ServerConnection

COPY_INTERVAL_S = 0.1
COPY_TTL_S = 5.0
HANDLE_TTL_S = 2.0
READ_EVENT_S = 0.005
"""Time in which a continued run produces an event again that its copy does not have."""
OVERLAP_LIMIT_S = 0.4
"""Time after the start of a continuation from which the earlier run may no longer work."""
SILENT_S = 2.0
MOVE_PATH = "/api/kv-move"
HANDLE_PATH = "/api/kv-handle/"


def _version_and_number(run: EngineRun, number: int) -> str:
    return f"{run.request.version} {number}"


class EngineBackups:
    """Engines that stream events, each able to continue the others' runs.

    Args:
        events: Number of events of each stream.
        pause_s: Time before each event.
        event_data: Returns the data of a run's event by its number; by default the software
            version and the number.

    Attributes:
        runs: All runs, in the order in which they began.
        violations: What must never happen: a request that runs twice, a run that goes on from
            another request's memory or at another software version, a handle that is used twice,
            and a run that goes on while the earlier one works.
    """

    def __init__(
        self,
        events: int,
        *,
        pause_s: float = 0.03,
        event_data: Callable[[EngineRun, int], str] = _version_and_number,
    ) -> None:
        self.runs: list[EngineRun] = []
        self.violations: list[str] = []
        self._events = events
        self._pause_s = pause_s
        self._event_data = event_data
        self._lock = threading.RLock()
        self._servers: dict[str, PlatformServer] = {}
        self._faults: dict[str, EngineFaults] = {}
        self._copies: dict[tuple[str, str], RunMemory] = {}
        self._handles: dict[tuple[str, str], RunMemory] = {}
        self._numbers = itertools.count(1)

    def add(self, server: PlatformServer) -> PlatformServer:
        """Add a server that was started with `handle_request`, and return it."""
        with self._lock:
            self._servers[_address(server)] = server
        return server

    def faults(self, server: PlatformServer) -> EngineFaults:
        """Return the faults of an engine, which stay over its starts."""
        with self._lock:
            return self._faults.setdefault(server.instance, EngineFaults())

    def working_runs(self, server: PlatformServer) -> list[EngineRun]:
        """Return the runs in progress at an engine."""
        with self._lock:
            return [run for run in self.runs if run.server is server and run.is_working]

    def copies(self, server: PlatformServer) -> set[str]:
        """Return the ids of the requests of which an engine has a copy."""
        with self._lock:
            kept = [key for key, copy in self._copies.items() if copy.is_kept_by(server)]
        return {request_id for _, request_id in kept}

    def unused_handles(self) -> set[str]:
        """Return the handles that were neither used nor freed and have not expired."""
        with self._lock:
            found = [key for key, each in self._handles.items() if each.is_kept_by(each.at)]
            return {handle for source, handle in found if not self._handles[source, handle].used}

    def break_off(self, server: PlatformServer, *, runs_end: bool = False) -> None:
        """Close the streams of all runs of an engine that stays alive.

        Args:
            server: The engine.
            runs_end: Whether the runs end as well.
        """
        for run in self.working_runs(server):
            if runs_end:
                run.stop.set()
                run.over.wait(1.0)
            run.connection.close()

    def handle_request(self, request: ServedRequest, connection: ServerConnection) -> None:
        """Handle a request that one of the engines has received."""
        server = self._servers[connection.address]
        if request.target == MOVE_PATH:
            self._move(server, request, connection)
        elif request.target.startswith(HANDLE_PATH):
            handle = request.target.removeprefix(HANDLE_PATH)
            with self._lock:
                freed = self._handles.pop((connection.address, handle), None)
            connection.send_response(request, 200 if freed is not None else 404)
        elif "kv-from" in request.headers:
            self._continue(server, request, connection)
        else:
            with self._lock:
                if any(run.request.request_id == request.request_id for run in self.runs):
                    self.violations.append(f"request {request.request_id} runs twice")
                run = self._add_run(request, server, "new", connection)
            self._work(run, 0, read_s=0.0)

    def _add_run(
        self, request: ServedRequest, server: PlatformServer, way: str, connection: ServerConnection
    ) -> EngineRun:
        run = EngineRun(request, server, way, connection, copied_at=time.monotonic())
        self.runs.append(run)
        return run

    def _work(self, run: EngineRun, after: int, *, read_s: float) -> None:
        run.events = after
        run.connection.send_stream_headers(run.request)
        for number in range(after + 1, self._events + 1):
            run.stop.wait(self._pause_s + read_s)
            read_s = 0.0
            if not run.is_working:
                break
            self._judge_overlap(run)
            run.events = number
            skipped = self.faults(run.server).skips_event and run.way != "new"
            if not skipped or number != after + 1:
                run.connection.send_event(number, self._event_data(run, number))
            self._copy(run)
        run.finished = run.events == self._events and run.is_working
        if run.finished:
            # Before the end of the stream, which a test may see at once.
            with self._lock:
                self._copies = {key: e for key, e in self._copies.items() if e.run is not run}
            run.connection.end_stream()
        elif run.stop.is_set():
            run.connection.close()
        run.over.set()

    def _judge_overlap(self, run: EngineRun) -> None:
        if run.continued_at is None or time.monotonic() - run.continued_at < OVERLAP_LIMIT_S:
            return
        run.continued_at = None
        self.violations.append(f"request {run.request.request_id} works at two engines")

    def _copy(self, run: EngineRun) -> None:
        """Copy what the run has produced since the last copy to the engine named by the request."""
        now = time.monotonic()
        target = self._servers.get(run.request.headers.get("kv-backup", ""))
        if target is None or not (run.server.is_reachable and target.is_reachable):
            return
        if now - run.copied_at < COPY_INTERVAL_S:
            return
        run.copied_at = now
        limit = self.faults(run.server).copied_events
        events = run.events if limit is None else min(run.events, limit)
        if not events or self.faults(target).no_room:
            return
        copy = RunMemory(run, target, target.started, events, now + COPY_TTL_S)
        with self._lock:
            self._copies[_address(target), run.request.request_id] = copy

    def _continue(
        self, server: PlatformServer, request: ServedRequest, connection: ServerConnection
    ) -> None:
        address, _, name = request.headers["kv-from"].partition("/")
        with self._lock:
            way = "handle" if (address, name) in self._handles else "copy"
            memory = self._handles.get((address, name)) or self._copies.pop((address, name), None)
            if memory is not None and memory.used:
                self.violations.append(f"handle {name} is used twice by {request.request_id}")
            if memory is None or memory.used or not memory.is_kept_by(server):
                connection.send_not_executed(request)
                return
            run = self._continued_run(memory, request, connection, way)
        after = int(request.headers.get("last-event-id", "0"))
        self._work(run, after, read_s=max(0, after - memory.events) * READ_EVENT_S)

    def _continued_run(
        self, memory: RunMemory, request: ServedRequest, connection: ServerConnection, way: str
    ) -> EngineRun:
        memory.used = True
        first = memory.run.request
        if (first.request_id, first.body) != (request.request_id, request.body):
            self.violations.append(f"request {request.request_id} goes on from {first.request_id}")
        if first.version != request.version:
            self.violations.append(
                f"request {request.request_id} began at {first.version}, goes on at"
                f" {request.version}"
            )
        for earlier in self.runs:
            if earlier.request.request_id == request.request_id and earlier.is_working:
                earlier.continued_at = time.monotonic()
        return self._add_run(request, memory.at, way, connection)

    def _move(
        self, server: PlatformServer, request: ServedRequest, connection: ServerConnection
    ) -> None:
        faults = self.faults(server)
        asked: dict[str, Any] = json.loads(request.body)
        if faults.silent:
            time.sleep(SILENT_S)
            connection.close()
            return
        if faults.move_status or asked["last"] is not True:
            connection.send_response(request, faults.move_status or 400)
            return
        status, answer = self._stop(server, asked["id"], asked["target"])
        time.sleep(faults.move_delay_s)
        connection.send_response(request, status, json.dumps(answer).encode())

    def _stop(self, server: PlatformServer, request_id: str, target: str) -> tuple[int, Any]:
        """Stop a run and place its memory; return the status and body of the answer."""
        with self._lock:
            found = [e for e in self.working_runs(server) if e.request.request_id == request_id]
            moving = [e for e in self.runs if e.moving and e.request.request_id == request_id]
            if not found:
                return (409 if moving else 404), {}
            run = found[0]
            run.moving = True
            run.stop.set()
        run.over.wait(1.0)
        handle = f"h-{next(self._numbers)}"
        receiver = self._servers.get(target)
        has_room = receiver is not None and receiver.is_reachable
        if receiver is None or not has_room or self.faults(receiver).no_room:
            receiver, status = server, 503
        else:
            status = 200
        until = time.monotonic() + HANDLE_TTL_S
        memory = RunMemory(run, receiver, receiver.started, run.events, until)
        with self._lock:
            run.moving = False
            self._handles[_address(server), handle] = memory
        return status, {"handle": handle, "created_rev": run.events}


def _address(server: PlatformServer) -> str:
    return "{}:{}".format(*server.address)
