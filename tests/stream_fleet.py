"""Callers of streams that may run only once, and engines that copy and move their runs."""

from __future__ import annotations

import http.client
import re
import threading
import time
import uuid

from direct_harness import HOST, Deployment, Entry, eventually

from carobspool_standins.engine_backups import EngineBackups
from carobspool_standins.platform_server import PlatformServer, ServedRequest, ServerConnection

EVENTS = 40
PAUSE_S = 0.03
SURE_AFTER_S = 0.1
"""A stream whose first event is older than this at a crash must be completed."""
MARKER = b"no engine survives this"


class Caller:
    """Reads one stream in a thread, with the arrival time of each event."""

    def __init__(self, entry: Entry, *, body: bytes = b"x") -> None:
        self.request_id = uuid.uuid4().hex
        self.status = 0
        self.events: list[tuple[int, float]] = []
        self.complete = False
        self._entry = entry
        self._body = body
        self._thread = threading.Thread(target=self._read, daemon=True)
        self._thread.start()

    @property
    def ids(self) -> list[int]:
        """Ids of the received events."""
        return [number for number, _ in self.events]

    @property
    def age(self) -> float:
        """Time since the first event."""
        return time.monotonic() - self.events[0][1]

    @property
    def longest_pause(self) -> float:
        """Longest time between two events."""
        times = [at for _, at in self.events]
        return max(later - earlier for earlier, later in zip(times, times[1:], strict=False))

    def join(self) -> Caller:
        """Wait for the end of the answer."""
        self._thread.join(10.0)
        return self

    def _read(self) -> None:
        headers = {"Host": HOST, "Request-Id": self.request_id, "Deadline-Ms": "3000"}
        headers |= {"Kv-Backup": "127.0.0.1:9", "Kv-From": "127.0.0.1:9/x"}
        connection = http.client.HTTPConnection("127.0.0.1", self._entry.port, timeout=10.0)
        try:
            connection.request("POST", "/stream/1", self._body, headers)
            response = connection.getresponse()
            self.status = response.status
            while piece := response.read1(65_536):
                now = time.monotonic()
                self.events += [(int(each), now) for each in re.findall(rb"id: (\d+)", piece)]
            self.complete = True
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()


class Fleet:
    """Entries, and engines that copy and move runs."""

    def __init__(self, system: Deployment, *, entries: int = 1, engines: int = 2) -> None:
        self.system = system
        self.engines = EngineBackups(EVENTS, pause_s=PAUSE_S)
        for _ in range(engines):
            self.start_engine()
        for number in range(entries):
            system.start_entry(f"e{number}", wait=False)
        for entry in system.entries:
            eventually(entry.is_ready, 15.0)

    def start_engine(self) -> PlatformServer:
        """Start an engine that ends when it runs a request with `MARKER`."""
        server = self.system.start_server("engine", self._handle)
        return self.engines.add(server)

    def call(self, *, body: bytes = b"x") -> tuple[Caller, PlatformServer, PlatformServer]:
        """Start a stream; return its caller, its engine and another engine after some events."""
        caller = Caller(self.system.entries[0], body=body)
        # A stream whose run broke within 100 ms of its first event does not continue.
        old_enough = SURE_AFTER_S * 2
        eventually(lambda: caller.events and caller.age > old_enough, 3.0)
        source = next(e for e in self.system.servers if self.engines.working_runs(e))
        return caller, source, next(e for e in self.system.servers if e is not source)

    def lines(self, text: str) -> list[str]:
        """Return the log lines of all entries that match a regular expression."""
        found = [line for e in self.system.entries for line in e.log_lines_containing("event=")]
        return [line for line in found if re.search(text, line)]

    def _handle(self, request: ServedRequest, connection: ServerConnection) -> None:
        if MARKER in request.body:
            delay_s = float(request.body.split()[-1])
            port = int(connection.address.rpartition(":")[2])
            server = next(each for each in self.system.servers if each.address[1] == port)
            threading.Timer(PAUSE_S + delay_s, server.crash).start()
        self.engines.handle_request(request, connection)
