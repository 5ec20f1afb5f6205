"""Soak test with rollouts: servers are replaced by ones of another version, or return as such.

Callers break their connections, and take their streams up at any entry. No stream and no batch item
may hold events of two versions, over all attempts and runs.

By hand: ``python tests/soak/versions.py --seeds 50 [--first N] [--seconds S]``.
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
from collections import defaultdict
from collections.abc import Callable, Sequence
from pathlib import Path

if __name__ == "__main__":
    # Replaces this folder, in which ``soak`` would name the module instead of the package.
    sys.path[0] = str(Path(__file__).resolve().parent.parent)

from direct_harness import HOST, Deployment, deployment
from soak.soak import Fault, Soak, run_seeds
from soak_judge import Record

from carobspool_standins.platform_server import (
    PlatformServer,
    RequestHandler,
    ServedRequest,
    ServerConnection,
)

VERSIONED = "/resume/versioned/"
EVENTS = 30
PAUSE_S = 0.03
CALLERS = 6
ATTEMPTS = 3
VERSIONS = ("v1", "v2", "v3")
SERVED_AFTER_REMOVAL_S = 1.0
"""Longest time for which a replaced server still serves after its registration is gone."""
MAX_DOWN_S = 0.5
REGISTERED_AFTER_S = 0.6
"""Longest time for which a server has started again and its registration does not say so."""


class VersionSoak(Soak):
    """One run of the soak test in which servers of several software versions serve."""

    def __init__(self, system: Deployment, seed: int, seconds: float) -> None:
        super().__init__(system, seed, seconds)
        self._numbers = itertools.count(100)
        self._replaced: list[PlatformServer] = []
        self._senders_lock = threading.Lock()
        self._senders: dict[tuple[str, int], set[str]] = defaultdict(set)

    def _tasks(self) -> list[Callable[[random.Random], None]]:
        return [*super()._tasks(), *[self._call_versioned] * CALLERS]

    def _play_series(self, faults: Sequence[Fault], draw: random.Random, seconds: float) -> None:
        if self._replace_server in faults:
            faults = (*faults, self._roll_out, self._roll_out)
        super()._play_series(faults, draw, seconds)

    def _roll_out(self, draw: random.Random) -> None:
        """Replace one engine by one of another version; the new one starts first."""
        engines = [
            server
            for server in self._system.servers
            if self._services[server.instance] == "engine" and server not in self._replaced
        ]
        old = draw.choice(engines)
        self._replaced.append(old)
        version = draw.choice([each for each in VERSIONS if each != old.version])
        self._start_server("engine", self._behave(next(self._numbers)), version)
        time.sleep(draw.random() * 0.5)
        self._deregister(old)
        time.sleep(draw.random() * SERVED_AFTER_REMOVAL_S)
        old.crash()

    def _restart_server(self, server: PlatformServer, draw: random.Random) -> None:
        """Restart a server, often at another version that is registered only some time later."""
        if draw.random() < 0.5:
            super()._restart_server(server, draw)
            return
        time.sleep(draw.random() * MAX_DOWN_S)
        server.version = draw.choice(VERSIONS)
        server.start()
        time.sleep(draw.random() * REGISTERED_AFTER_S)
        registration = server.registration(self._services[server.instance])
        self._system.objects.put("servers", server.instance, registration)

    def _behave(self, number: int) -> RequestHandler:
        handle_others = super()._behave(number)
        draw = random.Random(number)

        def handle_request(request: ServedRequest, connection: ServerConnection) -> None:
            if not request.target.startswith(VERSIONED):
                handle_others(request, connection)
                return
            breaks = self._faulty.is_set() and draw.random() < 0.1
            connection.send_stream_headers(request)
            first = int(request.headers.get("last-event-id", "0")) + 1
            for event in range(first, EVENTS + 1):
                time.sleep(PAUSE_S)
                if connection.server_crashed or (breaks and event == first + 8):
                    connection.reset()
                    return
                connection.send_event(event, f"{request.version} {event}")
            connection.end_stream()

        return handle_request

    def _record_run(self, request: ServedRequest) -> None:
        """Check where an item resumes: its last event must be one of this version."""
        if not request.target.startswith("/batch/"):
            return
        item, after = request.request_id, int(request.headers.get("last-event-id", "0"))
        with self._senders_lock:
            senders = self._senders[item, after]
            resumes_other = after > 0 and request.version not in senders
            for event in range(after + 1, EVENTS + 1):
                self._senders[item, event].add(request.version)
        if resumes_other:
            self._record.add_violation(
                f"item {item}: event {after} of {sorted(senders)} goes on at {request.version}"
            )

    def _call_versioned(self, draw: random.Random) -> None:
        """Read a stream to its end, over several attempts at any entries."""
        origin = ""
        held: set[str] = set()
        last = 0
        for attempt in range(ATTEMPTS):
            request_id = uuid.uuid4().hex
            leaves_after = draw.randrange(2, EVENTS) if draw.random() < 0.4 else EVENTS + 1
            status, events = self._read(request_id, origin, last, leaves_after, draw)
            if origin:
                self._record.calls["taken up"] += 1
                self._record.calls["went on"] += bool(events)
                self._record.calls[f"take-up {status}"] += 1
            if events:
                origin = origin or request_id
                last = events[-1][0]
                held |= {version for _, version in events}
            if len(held) > 1:
                self._record.add_violation(
                    f"stream {origin}: holds events of {sorted(held)} after attempt {attempt}"
                )
                return
            if last == EVENTS:
                self._record.calls["versioned complete"] += 1
                return
        time.sleep(0.1)

    def _read(
        self, request_id: str, origin: str, last: int, leaves_after: int, draw: random.Random
    ) -> tuple[int, list[tuple[int, str]]]:
        """Return the status and the events of one attempt, each with its version."""
        entry = draw.choice(list(self._entries.values()))
        headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": "2500"}
        if origin:
            headers |= {"Resumes": origin, "Last-Event-Id": str(last)}
        connection = http.client.HTTPConnection("127.0.0.1", entry.port, timeout=5.0)
        received = b""
        status = 0
        try:
            connection.request("POST", f"{VERSIONED}x", body=b"x", headers=headers)
            response = connection.getresponse()
            status = response.status
            while piece := response.read1(65_536):
                received += piece
                if received.count(b"\n\n") >= leaves_after:
                    break
        except (OSError, http.client.HTTPException):
            time.sleep(0.02)
        finally:
            connection.close()
        found = re.findall(rb"id: (\d+)\ndata: (\S+) \d+\n\n", received)
        return status, [(int(number), version.decode()) for number, version in found]


def play(seed: int, seconds: float, folder: Path) -> Record:
    """Run the soak test with one seed and return its record."""
    with deployment(folder) as system:
        return VersionSoak(system, seed, seconds).run()


if __name__ == "__main__":
    sys.exit(run_seeds(play, __doc__))
