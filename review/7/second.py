"""A job's old owner does not know that it was replaced when the new one ends: nobody has it."""

from __future__ import annotations

import os
import re
import signal
import subprocess
import sys
import threading
import time
import tomllib
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "parts-2"))

import engine as servers
import store as stores
from fleet import ROOT, Entry, Record, batch_route, configuration, entries, job_body

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENTRIES = ["edge-1", "edge-2", "edge-3"]
SERVERS, SLOTS = 3, 8
ITEMS = 12
EVENTS, PAUSE_S = 167, 0.03
FREEZE_S = 3.2
STORE_DOWN_AT_S, STORE_DOWN_S = 2.9, 4.5
KILL_AT_S, RESTART_S = 3.0, 0.5
"""Counted from the start of the freeze; the killed process starts again after ``RESTART_S``."""
RECOVERY_S, FINISH_S = 12.0, 18.0
CALM_S, LAST_FINISH_S = 5.0, 3.0
COULD_NOT_RUN = 2


class StoreHandler(stores._Handler):
    """Answers 503 to every call while ``down`` is set; nothing is done then."""

    down: threading.Event

    def _refuses(self) -> bool:
        if not self.down.is_set():
            return False
        self.rfile.read(int(self.headers.get("Content-Length", "0") or 0))
        self._answer((503, {"error": "the store is down"}))
        return True

    def do_GET(self) -> None:  # noqa: N802
        if not self._refuses():
            super().do_GET()

    def _write_unless_down(self) -> None:
        if not self._refuses():
            self._write()

    do_POST = _write_unless_down  # noqa: N815
    do_PUT = _write_unless_down  # noqa: N815
    do_DELETE = _write_unless_down  # noqa: N815


class StoreServer(stores._Server):
    """Serves the store; callers that have left are no errors."""

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Write nothing."""


def serve_store(store: stores.Store, down: threading.Event) -> str:
    """Serve the store on a free port and return its address."""
    handler = type("Handler", (StoreHandler,), {"store": store, "down": down})
    server = StoreServer(("127.0.0.1", 0), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return f"127.0.0.1:{server.server_address[1]}"


def start_again(entry: Entry) -> None:
    """Start an entry's process again, as the platform does, with the settings in effect now."""
    settings = entry.log.with_suffix(".json")
    text = settings.read_text()
    settings.write_text(re.sub(r'("first_start":) true', r"\1 false", text))
    command = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]["run"]
    environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
    environment |= {"CAROBSPOOL_SETTINGS": str(settings), "PYTHONPATH": str(ROOT / "target/deps")}
    with entry.log.open("ab") as log:
        entry.process = subprocess.Popen(
            command.split(), cwd=ROOT, env=environment, stdout=log, stderr=log
        )
    entry.record.note(f"{entry.name} is started again")


def wait_until(moment: float) -> None:
    """Sleep until a moment of the monotonic clock."""
    time.sleep(max(0.0, moment - time.monotonic()))


def new_owner(store: stores.Store, job: str, old: Entry, fleet: list[Entry]) -> Entry | None:
    """Return the entry that the store names as a job's owner, ``None`` if that is the old one."""
    stored = store.spec("progress", job)
    name = "" if stored is None else str(stored["owner"]).partition("#")[0]
    return next((each for each in fleet if each.name == name and each is not old), None)


def disturb(
    record: Record, store: stores.Store, down: threading.Event, job: str, fleet: list[Entry]
) -> bool:
    """Freeze the owner, take the store down, kill the next owner; return whether it came so."""
    old = fleet[0]
    old.signal(signal.SIGSTOP)
    begun = time.monotonic()
    wait_until(begun + STORE_DOWN_AT_S)
    down.set()
    record.note("the store is down")
    successor = new_owner(store, job, old, fleet)
    record.note(f"the store names {successor.name if successor else 'no other'} as the owner")
    wait_until(begun + KILL_AT_S)
    if successor is not None:
        successor.signal(signal.SIGKILL)
        assert successor.process is not None
        successor.process.wait()
    wait_until(begun + FREEZE_S)
    old.signal(signal.SIGCONT)
    if successor is not None:
        wait_until(begun + KILL_AT_S + RESTART_S)
        start_again(successor)
    wait_until(begun + STORE_DOWN_AT_S + STORE_DOWN_S)
    down.clear()
    record.note("the store is back")
    return successor is not None


def read(entry: Entry, job: str) -> dict[str, str] | int:
    """Return the state of each listed item, or the status of the refusal."""
    page = entry.results(job)
    if isinstance(page, int):
        return page
    return {each["id"]: each["state"] for each in page["results"]}


def main() -> int:
    """Run the case and return the exit code."""
    record = Record(Path(__file__).with_name("second-record.txt"))
    record.note(f"TROUBLE={int(TROUBLE)}")
    store = stores.Store()
    store.put("config", "main", configuration(1, batch_route("/batch/", "reading-desk")))
    engines = [
        servers.serve(servers.Engine(f"i-{number}", SLOTS, lambda request: (EVENTS, PAUSE_S)))
        for number in range(SERVERS)
    ]
    for engine in engines:
        engine.note = record.note
        store.put("servers", engine.instance, engine.registration("reading-desk"))
    down = threading.Event()
    with entries(record, serve_store(store, down), ENTRIES) as fleet:
        time.sleep(4.0)
        job = os.urandom(8).hex()
        items = [os.urandom(8).hex() for _ in range(ITEMS)]
        body = job_body(items, "/batch/1")
        status, _ = fleet[0].call("POST", "/batch/1", request_id=job, body=body)
        if status != 202:
            return COULD_NOT_RUN
        time.sleep(1.5)
        if TROUBLE and not disturb(record, store, down, job, fleet):
            return COULD_NOT_RUN
        until = time.monotonic() + RECOVERY_S + FINISH_S
        known: dict[str, str] = {}
        while len(known) < ITEMS and time.monotonic() < until:
            time.sleep(0.5)
            for entry in fleet:
                found = read(entry, job)
                if isinstance(found, dict):
                    known |= found
        return judge(record, store, engines, fleet, job, known)


def judge(
    record: Record,
    store: stores.Store,
    engines: list[servers.Engine],
    fleet: list[Entry],
    job: str,
    known: dict[str, str],
) -> int:
    """Check LOST as `finish_s` is over, and return the exit code."""
    now = time.monotonic()
    for entry in fleet:
        found = read(entry, job)
        listed = f"{len(found)} items listed" if isinstance(found, dict) else f"status {found}"
        record.note(f"client: GET /api/lots/{job} at {entry.name}: {listed} of {ITEMS}")
    ended = [run["end"] for engine in engines for run in engine.runs]
    had = sum(end is None or end > now - CALM_S for end in ended)
    record.note(f"in the last {CALM_S:.0f} s servers had {had} items")
    if len(known) == ITEMS:
        record.note("the rule held: all items are listed")
        return 0
    last = max((end for end in ended if end is not None), default=0.0)
    record.note(f"the last run of an item at a server ended {now - last:.1f} s ago")
    owner = (store.spec("progress", job) or {}).get("owner")
    record.note(f"the store names {owner} as the owner")
    if had:
        record.note("items are not listed, but servers have some: not judged")
        return 0
    record.note("LOST is broken: the job is open, its items are not listed, and no server has any")
    return 1


if __name__ == "__main__":
    raise SystemExit(main())
