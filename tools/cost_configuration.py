"""Measure what a change of the configuration costs, by number of organisations.

For each size, in processes of their own: the first apply, then changes of one caller each. Prints
bytes written to the store, bytes shipped to a peer, processor time at the applying entry and at a
follower, and the memory that a follower adds to its process.
"""

from __future__ import annotations

import argparse
import hashlib
import json
import resource
import statistics
import subprocess
import sys
import tempfile
import time
from dataclasses import replace
from pathlib import Path

from returns.result import Result

from carobspool_core import (
    Caller,
    CallerRole,
    Configuration,
    DesiredState,
    Json,
    Model,
    Organisation,
    StoredObject,
    StoreFailure,
    Upstream,
    monotonic_clock,
)
from carobspool_core.schema import dump_state, parse_state
from carobspool_node.configuration import apply_state, make_follower
from carobspool_node.links import decode_frame, encode_frame
from carobspool_standins.memory_store import MemoryObjects, MemoryStore

SIZES = (300, 3_000, 30_000)
CALLERS_EACH = 2
UPSTREAMS = 2_900
MODELS = 7
CHANGES = 9
CHANGES_A_DAY = 7_000
SECONDS_A_DAY = 86_400


class CountingStore(MemoryStore):
    """Counts what is written, as the store would hold it."""

    def __init__(self, objects: MemoryObjects) -> None:
        super().__init__(objects, "entry")
        self.written = 0

    def create(self, key: str, value: Json) -> Result[StoredObject, StoreFailure]:
        """Count and create."""
        self.written += len(key) + len(json.dumps(value))
        return super().create(key, value)

    def update(self, key: str, value: Json, *, version: int) -> Result[StoredObject, StoreFailure]:
        """Count and update."""
        self.written += len(key) + len(json.dumps(value))
        return super().update(key, value, version=version)

    def count(self, *operations: str) -> int:
        """Return the calls made so far."""
        return sum(self.calls.get(operation, 0) for operation in operations)


def main() -> int:
    """Measure each size and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--size", type=int, help="measure this size alone and print it as JSON")
    parser.add_argument("--follow", type=Path, help="print the memory that this frame's state adds")
    options = parser.parse_args()
    if options.follow:
        print(follow_memory(options.follow))
        return 0
    if options.size:
        print(json.dumps(measure(options.size)))
        return 0
    rows = []
    for size in SIZES:
        command = [sys.executable, str(Path(__file__)), "--size", str(size)]
        output = subprocess.run(command, check=True, capture_output=True, text=True).stdout
        rows.append(json.loads(output))
    print_table(rows)
    return 0


def print_table(rows: list[dict[str, float]]) -> None:
    """Print figures as a table in Markdown, one column for each size."""
    print("| figure | " + " | ".join(f"{row['organisations']:,}" for row in rows) + " |")
    print("|---" * (len(rows) + 1) + "|")
    for name in rows[0]:
        if name == "organisations":
            continue
        print(f"| {name} | " + " | ".join(f"{row[name]:,}" for row in rows) + " |")


def measure(size: int) -> dict[str, float]:
    """Return the figures of one size."""
    state = build(size)
    started = time.process_time()
    state = parse_state(dump_state(state)).unwrap()
    parse = elapsed(started)
    store = CountingStore(MemoryObjects())
    entry = make_follower(store, monotonic_clock())
    peer = make_follower(store, monotonic_clock())
    apply_state(store, entry, 0, state, "operator", "first").unwrap()
    first_written = store.written
    peer.offer(entry.message_for(()))
    memory = lone_follower_memory(encode_frame([entry.message_for(())]))
    applies, follows, deltas, sizes, announcements = [], [], [], [], []
    store.written = 0
    calls = store.count("create", "update"), store.count("get", "list")
    for number in range(CHANGES):
        state = with_changed_caller(entry.state, number)
        started = time.process_time()
        apply_state(store, entry, entry.revision, state, "operator", "one caller").unwrap()
        applies.append(elapsed(started))
        announcements.append(len(encode_frame([entry.message_for(entry.digests)])))
        sizes.append(len(encode_frame([entry.message_for(peer.digests)])))
        news = entry.news()
        deltas.append(len(encode_frame([news])))
        started = time.process_time()
        assert peer.offer(news)
        follows.append(elapsed(started))
    revision = store.get(f"config/revisions/{entry.revision:010d}").unwrap().value
    shipped = int(statistics.median(deltas))
    watched = len(json.dumps(revision))
    return {
        "organisations": size,
        "callers": size * CALLERS_EACH,
        "first apply: bytes written": first_written,
        "one caller: bytes written": store.written // CHANGES,
        "one caller: writes": (store.count("create", "update") - calls[0]) / CHANGES,
        "one caller: reads": round((store.count("get", "list") - calls[1]) / CHANGES, 1),
        "one caller: bytes to a peer, changes alone": shipped,
        "one caller: bytes to a peer, parts": int(statistics.median(sizes)),
        "one caller: bytes of the watch event": watched,
        "digests of all parts: bytes": int(statistics.median(announcements)),
        "7,000 changes a day: watch and one peer, bytes/s": a_second(shipped + watched),
        "state as JSON: bytes": len(json.dumps(dump_state(state))),
        "validate: ms": round(parse, 1),
        "apply: ms": round(statistics.median(applies), 1),
        "follow: ms": round(statistics.median(follows), 1),
        "7,000 changes a day: follow, share of a core %": round(
            statistics.median(follows) * CHANGES_A_DAY / SECONDS_A_DAY / 10.0, 2
        ),
        "memory that following adds: MB": memory,
    }


def build(size: int) -> DesiredState:
    """Return a state with this many organisations, and the fleet of letter 1."""
    organisations = {name: Organisation(name=name) for name in names("org", size)}
    callers: dict[str, Caller] = {}
    for number, organisation in enumerate(organisations):
        for position in range(CALLERS_EACH):
            name = f"caller-{number:06d}-{position}"
            role = CallerRole.OPERATOR if number == 0 else CallerRole.CALLER
            callers[name] = Caller(
                id=name, organisation=organisation, key_hashes=(key_hash(name),), role=role
            )
    models = {name: Model(name=name, version="1") for name in names("model", MODELS)}
    upstreams: dict[str, Upstream] = {}
    for number, host in enumerate(names("host", UPSTREAMS)):
        upstreams[host] = Upstream(
            host=host,
            address=f"10.{number // 250}.{number % 250}.1:9100",
            failure_domain=f"domain-{number % 15}",
            models=(f"model-{number % MODELS:06d}",),
        )
    return DesiredState(
        organisations=organisations, callers=callers, models=models, upstreams=upstreams
    )


def names(kind: str, count: int) -> list[str]:
    """Return names of one kind."""
    return [f"{kind}-{number:06d}" for number in range(count)]


def key_hash(text: str) -> str:
    """Return a hash that does not compress, as real ones."""
    return hashlib.sha256(text.encode()).hexdigest()


def with_changed_caller(state: DesiredState, number: int) -> DesiredState:
    """Return the state with another weight of one caller, as a new file would give it."""
    name = sorted(state.callers)[number * 7]
    changed = replace(state.callers[name], weight=state.callers[name].weight + 1.0)
    return replace(state, callers={**state.callers, name: changed})


def elapsed(started: float) -> float:
    """Return processor time since an instant, in milliseconds."""
    return (time.process_time() - started) * 1000.0


def a_second(size: int) -> int:
    """Return bytes a second when this many are moved for each change."""
    return round(size * CHANGES_A_DAY / SECONDS_A_DAY)


def lone_follower_memory(frame: bytes) -> float:
    """Return the memory in MB that a state adds to a process which does nothing else."""
    with tempfile.NamedTemporaryFile() as file:
        file.write(frame)
        file.flush()
        command = [sys.executable, str(Path(__file__)), "--follow", file.name]
        output = subprocess.run(command, check=True, capture_output=True, text=True).stdout
    return float(output)


def follow_memory(path: Path) -> float:
    """Take the state of a frame, and return the memory that this added, in MB."""
    before = resident_memory()
    follower = make_follower(MemoryStore(MemoryObjects(), "peer"), monotonic_clock())
    (message,) = decode_frame(path.read_bytes())
    assert isinstance(message, Configuration)
    assert follower.offer(message)
    del message
    return round(resident_memory() - before, 1)


def resident_memory() -> float:
    """Return the resident memory of this process in MB."""
    pages = int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1])
    return pages * resource.getpagesize() / 1024.0 / 1024.0


if __name__ == "__main__":
    sys.exit(main())
