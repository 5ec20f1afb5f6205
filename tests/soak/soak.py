"""A randomized soak of real entry processes: faults from outside, promises checked from outside.

One seed fixes the schedules of faults and what callers do; the machine's timing stays free. Faults
of processes, of links, of the store and of servers come in four series that overlap. Callers keep
using open connections until the process behind them is gone. What servers have run and what callers
were told is recorded, and every promise is judged from these two alone.

By hand: ``python tests/soak/soak.py --seeds 50 [--first N] [--seconds S]``.
"""

from __future__ import annotations

import argparse
import http.client
import json
import random
import signal
import socket
import sys
import tempfile
import threading
import time
import uuid
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from direct_harness import (
    HOST,
    STANDARD_ROUTES,
    Answer,
    Deployment,
    Entry,
    deployment,
    finished,
    read_results,
    route,
    submission,
)

from carobspool_standins._faults import FaultBoard
from carobspool_standins._relay_link import Relay, RelayFaults
from carobspool_standins.platform_server import (
    Behaviour,
    PlatformServer,
    ServedRequest,
    ServerConnection,
    answer_bytes,
)

EVENTS = 6
CALM_S = 14.0
"""Time without faults at the end, in which every accepted job has to finish: a takeover takes some
five seconds and the items of a job two."""
END_GRACE_S = 3.5
SETTLE_S = 1.2
MAX_ENTRIES = 3
SERVICES = ("plain", "plain", "engine", "engine", "engine")

Fault = Callable[[random.Random], None]


@dataclass(slots=True)
class Record:
    """What servers have run and what callers were told."""

    lock: threading.Lock = field(default_factory=threading.Lock)
    runs: Counter[str] = field(default_factory=Counter)
    last_start: dict[str, float] = field(default_factory=dict)
    accepted: dict[str, list[str]] = field(default_factory=dict)
    refused: dict[str, list[str]] = field(default_factory=dict)
    ended: dict[str, float] = field(default_factory=dict)
    positions: dict[str, list[tuple[str, str]]] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    calls: Counter[str] = field(default_factory=Counter)

    def ran(self, request_id: str) -> None:
        """Note that a server began to run a request."""
        with self.lock:
            self.runs[request_id] += 1
            self.last_start[request_id] = time.monotonic()

    def violated(self, promise: str) -> None:
        """Note a broken promise."""
        with self.lock:
            self.violations.append(promise)


class Soak:
    """One seeded run."""

    def __init__(self, system: Deployment, seed: int, seconds: float) -> None:
        self._system = system
        self._seed = seed
        self._seconds = seconds
        self._record = Record()
        self._relays: dict[str, FaultBoard[RelayFaults]] = {}
        self._addresses: dict[str, str] = {}
        self._entries: dict[str, Entry] = {}
        self._stopped = threading.Event()
        self._faulty = threading.Event()
        self._version = 1

    def run(self) -> Record:
        """Play the faults under load, then a calm, then judge."""
        for number, service in enumerate(SERVICES):
            self._serve(service, self._behave(number))
        for number in range(MAX_ENTRIES):
            self._start(f"e{number}", first_start=True)
        time.sleep(2.6)
        tasks = [self._call_online, self._call_online, self._submit_jobs, self._read_jobs]
        callers = [
            threading.Thread(target=self._until_stopped, args=(task, random.Random(number)))
            for number, task in enumerate(tasks)
        ]
        for caller in callers:
            caller.start()
        self._faulty.set()
        self._play_faults()
        self._faulty.clear()
        self._heal()
        time.sleep(CALM_S)
        self._stopped.set()
        for caller in callers:
            caller.join()
        self._judge_jobs()
        return self._record

    def _serve(self, service: str, behave: Behaviour) -> None:
        """Start a server that is reached through a relay."""
        server = self._system.server(service, behave)
        host, port = server.address
        server.address = _split(self._relay(server.instance, (host, port)))
        self._system.objects.put("servers", server.instance, server.registration(service))

    def _relay(self, name: str, target: tuple[str, int]) -> str:
        """Return the address of a relay in front of a target."""
        listener = socket.create_server(("127.0.0.1", 0))
        board = FaultBoard(RelayFaults)
        relay = Relay(listener, target, lambda: board.current.delay_ms or 0.0, board)
        board._on_change = lambda: relay.cut() if board.current.cut else None
        self._relays[name] = board
        return f"127.0.0.1:{listener.getsockname()[1]}"

    def _start(self, name: str, *, first_start: bool) -> None:
        if name not in self._addresses:
            self._addresses[name] = self._relay(name, _split(self._system.store))
        self._entries[name] = self._system.entry(
            name, first_start=first_start, wait=False, store=self._addresses[name]
        )

    def _behave(self, number: int) -> Callable[[ServedRequest, ServerConnection], None]:
        draw = random.Random(number)

        def behave(request: ServedRequest, connection: ServerConnection) -> None:
            faulty = self._faulty.is_set() and draw.random() < 0.08
            if faulty and draw.random() < 0.4:
                connection.not_run(request)
                return
            self._record.ran(request.request_id)
            if request.target.startswith(("/stream/", "/resume/", "/batch/")):
                _stream(request, connection, cut=draw.randrange(EVENTS) if faulty else None)
                return
            time.sleep(draw.random() * 0.05)
            body = f"{request.request_id} {request.target}".encode()
            if faulty:
                kind = draw.choice(("reset", "short", "twice"))
                if kind == "reset":
                    connection.reset()
                    return
                whole = answer_bytes(request.request_id, 200, body)
                connection.send(whole[:-3] if kind == "short" else whole + whole)
                if kind == "short":
                    connection.close()
                return
            connection.answer(request, 200, body)

        return behave

    def _until_stopped(self, task: Callable[[random.Random], None], draw: random.Random) -> None:
        while not self._stopped.is_set():
            try:
                task(draw)
            except (OSError, http.client.HTTPException):
                time.sleep(0.05)

    def _call_online(self, draw: random.Random) -> None:
        """Use one connection until it ends, as callers do."""
        entry = draw.choice(list(self._entries.values()))
        connection = http.client.HTTPConnection("127.0.0.1", entry.port, timeout=5.0)
        try:
            for _ in range(draw.randrange(1, 12)):
                kind = draw.choice(("safe", "once", "stream", "resume"))
                request_id = uuid.uuid4().hex
                target = f"/{kind}/{draw.randrange(1_000)}"
                headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": "2500"}
                connection.request("POST", target, body=b"x", headers=headers)
                response = connection.getresponse()
                try:
                    answer = Answer(response.status, {}, response.read())
                except http.client.IncompleteRead as error:
                    answer = Answer(response.status, {}, error.partial, complete=False)
                self._judge_online(kind, request_id, target, answer)
                if not answer.complete or response.will_close:
                    return
        finally:
            connection.close()

    def _judge_online(self, kind: str, request_id: str, target: str, answer: Answer) -> None:
        self._record.calls[f"{kind} {answer.status}"] += 1
        with self._record.lock:
            runs = self._record.runs[request_id]
        if answer.status in (429, 503) and runs:
            self._record.violated(f"{kind} {request_id}: told {answer.status}, ran {runs} times")
        if kind in ("once", "stream") and runs > 1:
            self._record.violated(f"{kind} {request_id}: ran {runs} times")
        if answer.status == 404:
            self._record.violated(f"{kind} {request_id}: denied")
        if answer.status != 200 or not answer.complete:
            return
        if kind in ("safe", "once"):
            if answer.body != f"{request_id} {target}".encode():
                self._record.violated(f"{kind} {request_id}: another answer {answer.body!r}")
        elif answer.body != _events(1, EVENTS):
            self._record.violated(f"{kind} {request_id}: not its whole stream {answer.body!r}")

    def _submit_jobs(self, draw: random.Random) -> None:
        job_id = uuid.uuid4().hex[:16]
        items = [f"{job_id}-{number}" for number in range(draw.randrange(1, 8))]
        body = submission(*items, path="/batch/x")
        statuses: list[int] = []
        for _ in range(3):
            entry = draw.choice(list(self._entries.values()))
            try:
                found = entry.call("POST", "/batch/x", body=body, request_id=job_id, timeout=6.0)
                statuses.append(found.status)
            except (OSError, http.client.HTTPException):
                statuses.append(0)
            if statuses[-1] == 202 and draw.random() < 0.7:
                break
        with self._record.lock:
            if 202 in statuses:
                self._record.accepted[job_id] = items
            elif set(statuses) <= {429, 503}:
                self._record.refused[job_id] = items
        if 202 in statuses and draw.random() < 0.15:
            self._end(job_id, draw)
        time.sleep(0.4 + draw.random() * 0.4)

    def _end(self, job_id: str, draw: random.Random) -> None:
        time.sleep(draw.random())
        entry = draw.choice(list(self._entries.values()))
        if entry.call("DELETE", f"/api/lots/{job_id}", timeout=6.0).status == 200:
            with self._record.lock:
                self._record.ended[job_id] = time.monotonic()

    def _read_jobs(self, draw: random.Random) -> None:
        with self._record.lock:
            known = list(self._record.accepted)
        if not known:
            time.sleep(0.1)
            return
        job_id = draw.choice(known[-12:])
        page = read_results(draw.choice(list(self._entries.values())), job_id)
        if page == 404:
            self._record.violated(f"job {job_id}: unknown after its acceptance")
        if not isinstance(page, int):
            found = [(each["id"], each["text"]) for each in page["results"]]
            self._judge_positions(job_id, found)
        time.sleep(0.05)

    def _judge_positions(self, job_id: str, found: list[tuple[str, str]]) -> None:
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

    def _play_faults(self) -> None:
        """Play four series of faults beside each other."""
        series = (
            (self._kill, self._terminate, self._freeze, self._kill_all),
            (self._cut_link, self._disturb_link, self._replace_server, self._reconfigure),
            (self._refuse_all, self._lose_answers, self._deafen),
            (self._crash_server, self._cut_off_server),
        )
        players = [
            threading.Thread(target=self._play_series, args=(faults, random.Random(key)))
            for key, faults in ((f"{self._seed}/{n}", each) for n, each in enumerate(series))
        ]
        for player in players:
            player.start()
        for player in players:
            player.join()

    def _play_series(self, faults: Sequence[Fault], draw: random.Random) -> None:
        until = time.monotonic() + self._seconds
        while time.monotonic() < until:
            draw.choice(faults)(draw)
            time.sleep(draw.random() * 1.5)

    def _one(self, draw: random.Random) -> str:
        return draw.choice(sorted(self._entries))

    def _kill(self, draw: random.Random) -> None:
        name = self._one(draw)
        self._entries[name].signal(signal.SIGKILL)
        self._restart(name, draw)

    def _kill_all(self, draw: random.Random) -> None:
        for entry in self._entries.values():
            entry.signal(signal.SIGKILL)
        for name in sorted(self._entries):
            self._restart(name, draw)

    def _terminate(self, draw: random.Random) -> None:
        name = self._one(draw)
        self._entries[name].signal(signal.SIGTERM)
        self._restart(name, draw)

    def _restart(self, name: str, draw: random.Random) -> None:
        process = self._entries[name].process
        process.wait(timeout=8.0)
        time.sleep(draw.random())
        self._start(name, first_start=False)

    def _freeze(self, draw: random.Random) -> None:
        entry = self._entries[self._one(draw)]
        entry.signal(signal.SIGSTOP)
        time.sleep(0.3 + draw.random() * 4.0)
        entry.signal(signal.SIGCONT)

    def _cut_link(self, draw: random.Random) -> None:
        self._fault_link(draw, {"cut": True})

    def _disturb_link(self, draw: random.Random) -> None:
        faults = ({"hold": True}, {"hold_answers": True}, {"delay_ms": 120.0})
        self._fault_link(draw, draw.choice(faults))

    def _fault_link(self, draw: random.Random, fault: dict[str, object]) -> None:
        """Disturb the link of an entry to the store, or of all entries to one server."""
        board = self._relays[draw.choice(sorted(self._relays, key=self._place))]
        board.merge(fault)
        time.sleep(draw.random() * 3.0)
        board.reset()

    def _place(self, relay: str) -> int:
        return list(self._relays).index(relay)

    def _reconfigure(self, draw: random.Random) -> None:
        self._version += 1
        changed = route("/extra/", "safe", "plain", timeout_ms=draw.randrange(1_000, 3_000))
        self._system.configure(self._version, *STANDARD_ROUTES, changed)

    def _refuse_all(self, draw: random.Random) -> None:
        faults = self._system.objects.faults
        faults.status = draw.choice((503, 429))
        time.sleep(draw.random() * 3.0)
        faults.status = 0

    def _lose_answers(self, draw: random.Random) -> None:
        self._system.objects.faults.lose_answers = draw.randrange(1, 4)

    def _deafen(self, draw: random.Random) -> None:
        self._system.objects.faults.deaf = True
        time.sleep(0.5 + draw.random())
        self._system.objects.compact()
        self._system.objects.faults.deaf = False

    def _replace_server(self, draw: random.Random) -> None:
        server = draw.choice(self._system.servers)
        service = SERVICES[self._system.servers.index(server)]
        state = draw.choice(("draining", "gone"))
        if state == "gone":
            self._system.objects.remove("servers", server.instance)
        else:
            entry = server.registration(service, state="draining")
            self._system.objects.put("servers", server.instance, entry)
        time.sleep(draw.random())
        self._system.objects.put("servers", server.instance, server.registration(service))

    def _crash_server(self, draw: random.Random) -> None:
        server = draw.choice(self._system.servers)
        server.crash()
        self._restart_server(server, draw)

    def _cut_off_server(self, draw: random.Random) -> None:
        server = draw.choice(self._system.servers)
        server.cut_off()
        self._restart_server(server, draw)
        if draw.random() < 0.5:
            server.deliver_late()

    def _restart_server(self, server: PlatformServer, draw: random.Random) -> None:
        """Start a server again under its id, often before its registration would lapse."""
        time.sleep(draw.random() * 1.5)
        service = SERVICES[self._system.servers.index(server)]
        self._system.restart(server, service)

    def _heal(self) -> None:
        self._system.objects.faults.status = 0
        self._system.objects.faults.lose_answers = 0
        for board in self._relays.values():
            board.reset()

    def _judge_jobs(self) -> None:
        record = self._record
        entries = list(self._entries.values())
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
            for entry in entries:
                self._judge_job(job_id, items, finished(entry, job_id))
        for job_id, items in record.refused.items():
            if any(record.runs[item] for item in items):
                record.violated(f"job {job_id}: refused each time, and ran")

    def _judge_job(
        self, job_id: str, items: list[str], results: list[dict[str, str]] | None
    ) -> None:
        if results is None:
            self._record.violated(f"job {job_id}: accepted and not finished in calm")
            return
        self._judge_positions(job_id, [(each["id"], each["text"]) for each in results])
        if Counter(each["id"] for each in results) != Counter(items):
            self._record.violated(f"job {job_id}: not each item once")
        text = "\n".join(f"piece {number}" for number in range(1, EVENTS + 1))
        if any(each["text"] != text for each in results):
            self._record.violated(f"job {job_id}: a text is not whole")


def play(seed: int, seconds: float, folder: Path) -> Record:
    """Play one seed and return what was seen."""
    with deployment(folder) as system:
        return Soak(system, seed, seconds).run()


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def _stream(request: ServedRequest, connection: ServerConnection, *, cut: int | None) -> None:
    connection.start_events(request)
    first = int(request.headers.get("last-event-id", "0")) + 1
    for number in range(first, EVENTS + 1):
        if cut is not None and number - first >= cut:
            connection.chunk(b"id: 9")
            connection.reset()
            return
        time.sleep(0.03)
        connection.event(number)
    connection.end_events()


def _events(first: int, last: int) -> bytes:
    return b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(first, last + 1))


def main() -> int:
    """Play seeds one after the other; the exit code tells whether any promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=int(time.time()) % 1_000_000)
    parser.add_argument("--seconds", type=float, default=12.0)
    options = parser.parse_args()
    broken = 0
    for seed in range(options.first, options.first + options.seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        record = play(seed, options.seconds, folder)
        found = {"seed": seed, "violations": record.violations, "calls": dict(record.calls)}
        found["jobs"] = [len(record.accepted), len(record.refused), len(record.ended)]
        print(json.dumps(found), f"logs={folder}" if record.violations else "", flush=True)
        broken += bool(record.violations)
    print(f"{options.seeds - broken} seeds kept every promise, {broken} did not")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
