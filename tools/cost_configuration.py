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
import time
from dataclasses import dataclass, replace
from pathlib import Path

from returns.result import Result

from carobspool_core import (
    Caller,
    CallerRole,
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
from carobspool_node._codec import encode_frame
from carobspool_node._config_store import apply_state, make_follower
from carobspool_standins.memory_store import MemoryObjects, MemoryStore

SIZES = (300, 3_000, 30_000)
CALLERS_EACH = 2
UPSTREAMS = 2_900
MODELS = 7
CHANGES = 9
CHANGES_A_DAY = 7_000
SECONDS_A_DAY = 86_400


@dataclass(frozen=True, slots=True, kw_only=True)
class Cost:
    """Figures of one size; times are processor time in milliseconds, medians over the changes."""

    organisations: int
    first_written: int
    written: int
    writes: int
    reads: int
    shipped: int
    announced: int
    parse: float
    apply: float
    follow: float
    memory_mb: float


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
    options = parser.parse_args()
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
    applies, follows, sizes, announcements = [], [], [], []
    store.written = 0
    calls = store.count("create", "update"), store.count("get", "list")
    for number in range(CHANGES):
        state = with_changed_caller(entry.state, number)
        started = time.process_time()
        apply_state(store, entry, entry.revision, state, "operator", "one caller").unwrap()
        applies.append(elapsed(started))
        announcements.append(len(encode_frame([entry.message_for(entry.digests)])))
        message = entry.message_for(peer.digests)
        sizes.append(len(encode_frame([message])))
        started = time.process_time()
        assert peer.offer(message)
        follows.append(elapsed(started))
    shipped = int(statistics.median(sizes))
    return {
        "organisations": size,
        "callers": size * CALLERS_EACH,
        "first apply: bytes written": first_written,
        "one caller: bytes written": store.written // CHANGES,
        "one caller: writes": (store.count("create", "update") - calls[0]) / CHANGES,
        "one caller: reads": round((store.count("get", "list") - calls[1]) / CHANGES, 1),
        "one caller: bytes shipped to a peer": shipped,
        "announcement without values: bytes": int(statistics.median(announcements)),
        "bytes a second at 7,000 changes a day": round(shipped * CHANGES_A_DAY / SECONDS_A_DAY),
        "validate: ms": round(parse, 1),
        "apply: ms": round(statistics.median(applies), 1),
        "follow: ms": round(statistics.median(follows), 1),
        "process with two copies: MB": round(memory_mb(), 0),
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


def memory_mb() -> float:
    """Return the highest resident memory of this process in megabytes."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0


if __name__ == "__main__":
    sys.exit(main())
