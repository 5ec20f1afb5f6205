"""Soak test with requests that share a part under which servers end, beside sound ones.

No two requests are alike. Entries are killed, stopped, paused and restarted meanwhile, the store
fails, and servers crash for reasons of their own.

By hand: ``python tests/soak/crashing.py --seeds 50 [--first N] [--seconds S]``.
"""

from __future__ import annotations

import http.client
import random
import sys
import threading
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

if __name__ == "__main__":
    # Replaces this folder, in which ``soak`` would name the module instead of the package.
    sys.path[0] = str(Path(__file__).resolve().parent.parent)

from direct_harness import Deployment, deployment, route
from soak.soak import Soak, run_seeds
from soak_judge import Record

from carobspool_standins.crashing_parts import crash_on_part, shared_parts
from carobspool_standins.platform_server import (
    PlatformServer,
    ServedRequest,
    ServerConnection,
)

FIRST = "a11ce"
CULPRIT = "bad0"
PARTS = 2_000
SERVICE = "parts"
ROUTES = (
    route("/part/once/", "streaming", SERVICE, max_attempts=1),
    route("/part/resume/", "streaming", SERVICE, resumable=True),
)
SOUND_CALLERS = 6
ENGINES = 6
MAX_DOWN_S = 2.0
STABILITY_WINDOW_S = 3.0
CRASHES = 5
MAX_LATE_REQUESTS = 3
"""RULES.md, BUDGET: requests with the part that reach servers `STABILITY_WINDOW_S` after the fifth
crash, sent by entries that were not disturbed."""
NOT_RUNNING = -1
"""Status of a request that no process has read: an entry that is still starting, which takes
seconds on a busy machine, is not in touch."""
MIN_SERVED_SHARE = 0.5
"""RULES.md, LOST: sound requests that begin, against those outside disruption, which all do."""
MAX_DENIED = 5
"""RULES.md, DENIED."""


@dataclass(frozen=True, slots=True)
class Call:
    """A request with these parts: when it was sent, through which entry, and its status."""

    sent: float
    entry: str
    status: int


class CrashingSoak(Soak):
    """One run of the soak test in which a part of prompts crashes servers."""

    def __init__(self, system: Deployment, seed: int, seconds: float) -> None:
        super().__init__(system, seed, seconds)
        self._part_lock = threading.Lock()
        self._senders: dict[str, str] = {}
        self._crash_times: list[float] = []
        self._late: list[tuple[float, str]] = []
        self._sound: list[Call] = []

    def run(self) -> Record:
        """Run the soak test, then check requests with the part and sound ones."""
        for number in range(ENGINES):
            self._start_engine(100 + number)
        record = super().run()
        self._check_culprits()
        self._check_sound_requests()
        return record

    def _tasks(self) -> list[Callable[[random.Random], None]]:
        sound: list[Callable[[random.Random], None]] = [self._call_sound] * SOUND_CALLERS
        return [*super()._tasks(), *sound, self._call_culprit]

    def _write_configuration(self, *routes: dict[str, Any]) -> None:
        super()._write_configuration(*ROUTES, *routes)

    def _start_engine(self, number: int) -> None:
        """Start an engine that entries reach directly: a relay would accept connections for it."""
        holder: list[PlatformServer] = []
        serve = crash_on_part(
            CULPRIT, self._behave(number), lambda: self._end(holder[0]), streams=True
        )

        def handle_request(request: ServedRequest, connection: ServerConnection) -> None:
            if CULPRIT in shared_parts(request):
                self._record_culprit(request)
            serve(request, connection)

        holder.append(self._system.start_server(SERVICE, handle_request))
        self._services[holder[0].instance] = SERVICE

    def _end(self, server: PlatformServer) -> None:
        """End a server, which starts again some time later."""
        with self._part_lock:
            if not server.is_reachable:
                return
            server.crash()
            self._crash_times.append(time.monotonic())
        draw = random.Random(f"{self._seed}/{len(self._crash_times)}")

        def restart() -> None:
            time.sleep(0.5 + draw.random() * MAX_DOWN_S)
            if not server.is_reachable:
                self._system.restart_server(server, SERVICE)

        threading.Thread(target=restart, daemon=True).start()

    def _restart_server(self, server: PlatformServer, draw: random.Random) -> None:
        time.sleep(draw.random() * 1.5)
        with self._part_lock:
            if not server.is_reachable:
                self._system.restart_server(server, self._services[server.instance])

    def _record_culprit(self, request: ServedRequest) -> None:
        now = time.monotonic()
        with self._part_lock:
            known = len(self._crash_times) >= CRASHES
            if known and now > self._crash_times[CRASHES - 1] + STABILITY_WINDOW_S:
                self._late.append((now, self._senders.get(request.request_id, "")))

    def _call_culprit(self, draw: random.Random) -> None:
        status = self._send(draw, f"{draw.randrange(PARTS):x}", CULPRIT).status
        self._record.calls[f"culprit {status}"] += 1
        time.sleep(0.2)

    def _call_sound(self, draw: random.Random) -> None:
        # Some parts are popular, most are rare.
        part = int(PARTS ** draw.random())
        call = self._send(draw, f"{part:x}")
        self._record.calls[f"sound {call.status}"] += 1
        with self._part_lock:
            self._sound.append(call)
        time.sleep(0.05)

    def _send(self, draw: random.Random, *shared: str) -> Call:
        name = draw.choice(sorted(self._entries))
        request_id = uuid.uuid4().hex
        with self._part_lock:
            self._senders[request_id] = name
        own = request_id[:8]
        parts = ",".join(f"{part}:100" for part in (FIRST, *shared, own))
        headers = {"Prompt-Prefix": parts, "Token-Count": "400,20", "Model": "m"}
        sent = time.monotonic()
        try:
            answer = self._entries[name].call(
                "POST",
                f"/part/{draw.choice(('once', 'resume'))}/x",
                body=own.encode(),
                headers={**headers, "Deadline-Ms": "2500"},
                request_id=request_id,
                timeout=5.0,
            )
            status = answer.status if answer.complete else 0
        except ConnectionRefusedError:
            status = NOT_RUNNING
            time.sleep(0.1)
        except (OSError, http.client.HTTPException):
            status = 0
        return Call(sent, name, status)

    def _is_calm(self, entry: str, at: float) -> bool:
        since = at - STABILITY_WINDOW_S
        return not self._disturbances.was_disturbed(entry, since, at)

    def _check_culprits(self) -> None:
        late = [each for each in self._late if self._is_calm(each[1], each[0])]
        self._record.calls["culprit crashes"] = len(self._crash_times)
        self._record.calls["culprit late"] = len(late)
        if len(late) > MAX_LATE_REQUESTS:
            self._record.add_violation(
                f"{len(late)} requests reached servers after {len(self._crash_times)} had ended"
            )

    def _check_sound_requests(self) -> None:
        crashes = self._crash_times
        if not crashes:
            return
        since = crashes[min(CRASHES, len(crashes)) - 1] + 2.0 * STABILITY_WINDOW_S
        calm = [
            call
            for call in self._sound
            if call.sent > since and self._is_calm(call.entry, call.sent)
        ]
        served = sum(call.status == 200 for call in calm)
        self._record.calls["sound calm"] = len(calm)
        self._record.calls["sound calm 200"] = served
        if len(calm) >= 20 and served < MIN_SERVED_SHARE * len(calm):
            self._record.add_violation(f"{served} of {len(calm)} sound requests were served")
        denied = sum(call.status == 422 for call in calm)
        if denied > MAX_DENIED:
            self._record.add_violation(f"{denied} sound requests were refused for good")


def play(seed: int, seconds: float, folder: Path) -> Record:
    """Run the soak test with one seed and return its record."""
    with deployment(folder) as system:
        return CrashingSoak(system, seed, seconds).run()


if __name__ == "__main__":
    sys.exit(run_seeds(play, __doc__))
