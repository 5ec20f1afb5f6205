"""Soak test of the order of events: in streams over all attempts, and in the texts of batch items.

The data of each event names the run that made it, and a checksum over the stream and the numbers of
all its events up to this one. Servers break off at any byte of their answers' bodies, which have a
length, chunks or neither; engines copy and move runs that may not be repeated.

By hand: ``python tests/soak/pieces.py --seeds 50 [--first N] [--seconds S]``.
"""

from __future__ import annotations

import http.client
import itertools
import random
import re
import sys
import threading
import time
import uuid
import zlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

if __name__ == "__main__":
    # Replaces this folder, in which ``soak`` would name the module instead of the package.
    sys.path[0] = str(Path(__file__).resolve().parent.parent)

from direct_harness import (
    HOST,
    STANDARD_ROUTES,
    Deployment,
    Entry,
    all_results,
    configuration,
    deployment,
    eventually,
    fetch_results_page,
    job_body,
    route,
)
from soak.soak import run_seeds
from soak.versions import VersionSoak
from soak_judge import Record

from carobspool_standins._engine_runs import EngineRun
from carobspool_standins.engine_backups import HANDLE_PATH, MOVE_PATH, EngineBackups
from carobspool_standins.platform_server import (
    RequestHandler,
    ServedRequest,
    ServerConnection,
    event_bytes,
)

RESUMED = "/resume/pieces/"
COPIED = "/stream/pieces/"
BATCH = "/batch/pieces/"
EVENTS = 40
PAUSE_S = 0.02
CALLERS = 8
ATTEMPTS = 4
BREAK_SHARE = 0.3
BROKEN_ITEMS = 20
MAX_BREAKS_S = 15.0
RESULTS_S = 10.0
FRAMINGS = ("length", "chunks", "neither")
PIECE = re.compile(r"(\S+) (\S+) (\d+) ([0-9a-f]{8})")


class Piece(NamedTuple):
    """An event as its reader received it."""

    number: int
    version: str
    run: str
    checksum: str


@dataclass(slots=True)
class Run:
    """A run at a server: its stream, the event after which it was asked to go on, and its end."""

    key: str
    after: int
    end: str = ""


class Runs:
    """All runs of all servers, by the names that their events bear."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._numbers = itertools.count(1)
        self._runs: dict[str, Run] = {}

    def add(self, key: str, after: int) -> str:
        """Add a run of a stream and return its name."""
        with self._lock:
            name = f"run{next(self._numbers)}"
            self._runs[name] = Run(key, after)
        return name

    def end(self, name: str, end: str) -> None:
        """Record how a server ended a run."""
        self._runs[name].end = end

    def describe(self, name: str) -> str:
        """Return what is known of a run."""
        return f"{name}: {self._runs[name]}"

    def faults(self, key: str, pieces: Sequence[Piece], after: int = 0) -> list[str]:
        """Return what is out of order in the events of a stream that follow event ``after``."""
        found = []
        for place, piece in enumerate(pieces, after + 1):
            if piece.number != place:
                found.append(f"event {piece.number} in the place of event {place}")
                break
            if piece.checksum != checksum(key, piece.number):
                found.append(f"event {piece.number} is not one of this stream")
        for earlier, later in itertools.pairwise(pieces):
            run = self._runs[later.run]
            if later.run != earlier.run and run.after != earlier.number:
                found.append(
                    f"event {earlier.number} of {earlier.run} is followed by one of {later.run},"
                    f" which was asked to go on after {run.after}"
                )
        if len({piece.version for piece in pieces}) > 1:
            found.append(f"events of {sorted({piece.version for piece in pieces})}")
        return found


def checksum(key: str, number: int) -> str:
    """Return the checksum over a stream and the numbers of its events up to ``number``."""
    found = zlib.crc32(key.encode())
    for each in range(1, number + 1):
        found = zlib.crc32(str(each).encode(), found)
    return f"{found:08x}"


def data_of(version: str, run: str, key: str, number: int) -> str:
    """Return the data of an event."""
    return f"{version} {run} {number} {checksum(key, number)}"


def read_piece(data: str) -> Piece | None:
    """Return the event with this data, ``None`` if it is not whole."""
    found = PIECE.fullmatch(data)
    return None if found is None else Piece(int(found[3]), found[1], found[2], found[4])


class PiecesSoak(VersionSoak):
    """One run of the soak test in which the order of all events is checked."""

    def __init__(self, system: Deployment, seed: int, seconds: float) -> None:
        super().__init__(system, seed, seconds)
        system.settings["stream_backups"] = "auto"
        self._runs = Runs()
        self._engines = EngineBackups(EVENTS, pause_s=PAUSE_S, event_data=self._copied_data)
        self._copied_lock = threading.Lock()
        self._copied: dict[EngineRun, str] = {}
        self._piece_jobs: dict[str, list[str]] = {}
        self._results: dict[tuple[str, int], tuple[str, str]] = {}
        self._broken_items: set[str] = set()

    def run(self) -> Record:
        """Inject faults under load, then check the promises."""
        record = super().run()
        self._check_piece_jobs()
        for each in self._engines.violations:
            record.add_violation(each)
        return record

    def _tasks(self) -> list[Callable[[random.Random], None]]:
        jobs = [self._submit_pieces, self._read_results, self._read_revisions]
        return [*super()._tasks(), *[self._call_pieces] * CALLERS, *jobs]

    def _play_faults(self) -> None:
        """Inject faults, then let servers break off answers until enough items had several runs."""
        super()._play_faults()
        until = time.monotonic() + MAX_BREAKS_S
        while len(self._broken_items) < BROKEN_ITEMS and time.monotonic() < until:
            time.sleep(0.1)

    def _write_configuration(self, *routes: dict[str, Any]) -> None:
        """Write a configuration with a route for each version of it up to this one."""
        self._version += 1
        revisions = [
            route(f"/revision/{number}/", "safe", "plain", name=f"revision-{number}")
            for number in range(1, self._version + 1)
        ]
        declared = configuration(self._version, *STANDARD_ROUTES, *revisions, *routes)
        declared["services"] = [{"name": "engine", "engine": {"backups": True, "moves": True}}]
        self._system.objects.put("config", "main", declared)

    def _start_server(
        self, service: str, handle_request: RequestHandler, version: str = "v1"
    ) -> None:
        """Start a server; engines know each other by the addresses on which they listen."""
        if service != "engine":
            super()._start_server(service, handle_request, version)
            return
        server = self._system.start_server(service, handle_request, version=version)
        self._services[server.instance] = service
        self._engines.add(server)

    def _behave(self, number: int) -> RequestHandler:
        handle_others = super()._behave(number)
        draw = random.Random(f"{number}/pieces")

        def handle_request(request: ServedRequest, connection: ServerConnection) -> None:
            is_engine_call = request.target.startswith((COPIED, MOVE_PATH, HANDLE_PATH))
            if is_engine_call or "kv-from" in request.headers:
                self._engines.handle_request(request, connection)
                return
            if request.target.startswith((RESUMED, BATCH)):
                breaks = self._faulty.is_set() and draw.random() < BREAK_SHARE
                self._serve_pieces(request, connection, draw, breaks=breaks)
                return
            handle_others(request, connection)

        return handle_request

    def _copied_data(self, run: EngineRun, number: int) -> str:
        key = run.request.target.rpartition("/")[2]
        with self._copied_lock:
            if run not in self._copied:
                after = int(run.request.headers.get("last-event-id", "0"))
                self._copied[run] = self._runs.add(key, after)
            name = self._copied[run]
        return data_of(run.request.version, name, key, number)

    def _serve_pieces(
        self,
        request: ServedRequest,
        connection: ServerConnection,
        draw: random.Random,
        *,
        breaks: bool,
    ) -> None:
        """Stream the events after ``Last-Event-Id``, or the first bytes of them."""
        is_item = request.target.startswith(BATCH)
        key = request.request_id if is_item else request.target.rpartition("/")[2]
        after = int(request.headers.get("last-event-id", "0"))
        run = self._runs.add(key, after)
        framing = draw.choice(FRAMINGS)
        pieces = [
            event_bytes(number, data_of(request.version, run, key, number))
            for number in range(after + 1, EVENTS + 1)
        ]
        size = sum(map(len, pieces))
        if framing == "chunks":
            pieces = [b"%x\r\n%b\r\n" % (len(each), each) for each in pieces]
            pieces.append(b"0\r\n\r\n")
        ends = set(itertools.accumulate(map(len, pieces), initial=0))
        cut = draw.randrange(max(ends)) if breaks and pieces else max(ends)
        # Where nothing frames a body, the end of its connection after an event is its end.
        resets = draw.random() < 0.5 or framing == "neither" and cut in ends
        _send_head(request, connection, framing, size)
        sent = 0
        for piece in pieces:
            time.sleep(PAUSE_S)
            if connection.server_crashed:
                self._runs.end(run, f"{framing}, crashed after {sent} bytes")
                return
            whole = piece[: max(0, cut - sent)]
            middle = draw.randrange(len(piece))
            connection.send(whole[:middle])
            connection.send(whole[middle:])
            sent += len(piece)
            if len(whole) == len(piece):
                continue
            self._runs.end(run, f"{framing}, {'reset' if resets else 'closed'} after {cut} bytes")
            if is_item and sent > len(piece):
                self._broken_items.add(key)
            if resets:
                connection.reset()
            else:
                connection.close()
            return
        self._runs.end(run, f"{framing}, whole")
        if framing == "neither":
            connection.close()

    def _call_pieces(self, draw: random.Random) -> None:
        """Read a stream to its end, over several attempts at any entries if it may be resumed."""
        resumable = draw.random() < 0.75
        key = uuid.uuid4().hex[:12]
        target = (RESUMED if resumable else COPIED) + key
        origin = ""
        pieces: list[Piece] = []
        for _ in range(ATTEMPTS if resumable else 1):
            request_id = uuid.uuid4().hex
            leaves_after = draw.randrange(2, EVENTS) if draw.random() < 0.3 else EVENTS + 1
            entry = draw.choice(list(self._entries.values()))
            after = len(pieces)
            status, found, complete = self._read_pieces(
                entry, target, request_id, origin, after, leaves_after
            )
            if origin:
                self._record.calls["pieces taken up"] += 1
                self._record.calls["pieces went on"] += bool(found)
            if found:
                origin = origin or request_id
            pieces += found
            faults = self._runs.faults(key, pieces)
            if complete and status == 200 and len(pieces) < EVENTS:
                last = self._runs.describe(pieces[-1].run) if pieces else "no run"
                faults.append(f"ends as complete after event {len(pieces)} ({last})")
            for fault in faults:
                self._record.add_violation(f"stream {target} at {entry.name}: {fault}")
            if faults or len(pieces) >= EVENTS:
                runs = len({piece.run for piece in pieces})
                self._record.calls[f"pieces of {'several runs' if runs > 1 else 'one run'}"] += 1
                return
        time.sleep(0.1)

    def _read_pieces(
        self,
        entry: Entry,
        target: str,
        request_id: str,
        origin: str,
        after: int,
        leaves_after: int,
    ) -> tuple[int, list[Piece], bool]:
        """Return the status, the whole events and whether the answer is framed as complete."""
        headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": "2500"}
        if origin:
            headers |= {"Resumes": origin, "Last-Event-Id": str(after)}
        connection = http.client.HTTPConnection("127.0.0.1", entry.port, timeout=5.0)
        received = b""
        status = 0
        complete = False
        try:
            connection.request("POST", target, body=b"x", headers=headers)
            response = connection.getresponse()
            status = response.status
            while piece := response.read1(65_536):
                received += piece
                if received.count(b"\n\n") >= leaves_after:
                    break
            else:
                complete = True
        except (OSError, http.client.HTTPException):
            time.sleep(0.02)
        finally:
            connection.close()
        if status != 200:
            return status, [], complete
        return status, self._parse(target, received, complete=complete), complete

    def _parse(self, target: str, received: bytes, *, complete: bool) -> list[Piece]:
        *events, rest = received.decode().split("\n\n")
        if complete and rest:
            self._record.add_violation(f"stream {target}: ends as complete with {rest!r}")
        pieces = []
        for event in events:
            number, _, data = event.removeprefix("id: ").partition("\ndata: ")
            piece = read_piece(data)
            if piece is None or number != str(piece.number):
                self._record.add_violation(f"stream {target}: holds {event!r}")
                continue
            pieces.append(piece)
        return pieces

    def _submit_pieces(self, draw: random.Random) -> None:
        job_id = uuid.uuid4().hex[:16]
        items = [f"{job_id}-{number}" for number in range(draw.randrange(1, 5))]
        entry = draw.choice(list(self._entries.values()))
        body = job_body(*items, path=f"{BATCH}x")
        if self._call_job(entry, "POST", f"{BATCH}x", job_id, body).status == 202:
            self._piece_jobs[job_id] = items
        time.sleep(0.3 + draw.random() * 0.6)

    def _read_results(self, draw: random.Random) -> None:
        """Read the results of a job from any position, at any entry."""
        if not self._piece_jobs:
            time.sleep(0.1)
            return
        job_id = draw.choice(list(self._piece_jobs)[-12:])
        items = self._piece_jobs[job_id]
        after = draw.randrange(len(items))
        page = fetch_results_page(draw.choice(list(self._entries.values())), job_id, after)
        if page == 404:
            self._record.add_violation(f"job {job_id}: unknown after its acceptance")
        if isinstance(page, int):
            return
        results = page["results"]
        if (page["total"], page["next_token"]) != (len(items), after + len(results)):
            self._record.add_violation(f"job {job_id}: {len(items)} items, but {page}")
        for position, each in enumerate(results, after):
            found = each["id"], each["text"]
            if self._results.setdefault((job_id, position), found) != found:
                self._record.add_violation(f"job {job_id}: another result at {position}")
        time.sleep(0.05)

    def _read_revisions(self, draw: random.Random) -> None:
        """Check that an entry serves no earlier configuration than before."""
        names = sorted(self._entries)
        served = dict.fromkeys(names, 1)
        while not self._stopped.is_set():
            name = draw.choice(names)
            if self._revision_status(name, served[name] + 1) == 200:
                served[name] += 1
                self._record.calls["later configuration"] += 1
            if self._revision_status(name, served[name]) == 404:
                self._record.add_violation(f"{name} no longer serves revision {served[name]}")
            time.sleep(0.05)

    def _revision_status(self, name: str, number: int) -> int:
        try:
            return self._entries[name].call("GET", f"/revision/{number}/x", timeout=2.0).status
        except (OSError, http.client.HTTPException):
            return 0

    def _check_piece_jobs(self) -> None:
        """Check the texts of all items, at each entry."""
        for job_id, items in self._piece_jobs.items():
            for entry in self._entries.values():
                try:
                    results = eventually(lambda e=entry, job=job_id: all_results(e, job), RESULTS_S)
                except AssertionError:
                    self._record.add_violation(f"job {job_id}: not finished at {entry.name}")
                    continue
                self._check_results(job_id, items, results)

    def _check_results(self, job_id: str, items: list[str], results: list[dict[str, str]]) -> None:
        if sorted(each["id"] for each in results) != sorted(items):
            self._record.add_violation(f"job {job_id}: not exactly one result for each item")
        for position, each in enumerate(results):
            found = each["id"], each["text"]
            if self._results.setdefault((job_id, position), found) != found:
                self._record.add_violation(f"job {job_id}: another result at {position}")
            pieces = [read_piece(line) for line in each["text"].split("\n")]
            whole = [piece for piece in pieces if piece is not None]
            faults = self._runs.faults(each["id"], whole)
            if len(whole) != EVENTS or len(pieces) != EVENTS or each["state"] != "completed":
                faults.append(f"{each['state']} with {len(whole)} whole of {len(pieces)} events")
            for fault in faults:
                self._record.add_violation(f"item {each['id']}: {fault}")
            runs = len({piece.run for piece in whole})
            self._record.calls[f"texts of {'several runs' if runs > 1 else 'one run'}"] += 1


def _send_head(
    request: ServedRequest, connection: ServerConnection, framing: str, size: int
) -> None:
    if framing == "chunks":
        connection.send_stream_headers(request)
    elif framing == "neither":
        connection.send_open_headers(request)
    else:
        head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request.request_id}\r\nServer-Stamp: s\r\n"
        head += f"Content-Type: text/event-stream\r\nContent-Length: {size}\r\n\r\n"
        connection.send(head.encode())


def play(seed: int, seconds: float, folder: Path) -> Record:
    """Run the soak test with one seed and return its record."""
    with deployment(folder) as system:
        return PiecesSoak(system, seed, seconds).run()


if __name__ == "__main__":
    sys.exit(run_seeds(play, __doc__))
