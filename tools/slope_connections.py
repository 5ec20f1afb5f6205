"""Measure what connections cost: sidecars per entry, and entries per sidecar.

Starts real processes at several sizes, leaves them without requests and reads from the operating
system what each entry and sidecar spends: processor time, memory, and bytes between them.

    .venv/bin/python tools/slope_connections.py [--seconds 20]
"""

from __future__ import annotations

import argparse
import json
import math
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))

from carobspool_standins._cluster import Cluster, Key  # noqa: E402
from carobspool_standins._processes import process_cpu_seconds  # noqa: E402

MODEL = "notes"
SETTLE_SECONDS = 8.0
SIDECARS = (2, 8, 16, 24)
ENTRIES = (1, 4, 8, 16)


@dataclass(frozen=True, slots=True)
class Spent:
    """What one process spends: share of a core, memory in MB, bytes a second both ways."""

    core_percent: float
    memory_mb: float
    bytes_per_second: float


def main() -> int:
    """Print one row for each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    seconds = parser.parse_args().seconds
    print("role     entries sidecars  core %  memory MB  bytes/s")
    for count in SIDECARS:
        entry, sidecar = _measure(entries=1, sidecars=count, seconds=seconds)
        _row("entry", 1, count, entry)
        _row("sidecar", 1, count, sidecar)
    for count in ENTRIES:
        entry, sidecar = _measure(entries=count, sidecars=1, seconds=seconds)
        _row("entry", count, 1, entry)
        _row("sidecar", count, 1, sidecar)
    return 0


def _row(role: str, entries: int, sidecars: int, spent: Spent) -> None:
    print(
        f"{role:8} {entries:7} {sidecars:8} {spent.core_percent:7.2f}"
        f" {spent.memory_mb:10.1f} {spent.bytes_per_second:8.0f}",
        flush=True,
    )


def _measure(*, entries: int, sidecars: int, seconds: float) -> tuple[Spent, Spent]:
    with tempfile.TemporaryDirectory() as folder, Cluster(Path(folder)) as cluster:
        key = _start(cluster, entries=entries, sidecars=sidecars)
        time.sleep(SETTLE_SECONDS)
        before = [process_cpu_seconds(cluster.pid(name)) for name in ("entry-1", "sidecar-1")]
        bytes_before = _link_bytes(cluster, key)
        time.sleep(seconds)
        after = [process_cpu_seconds(cluster.pid(name)) for name in ("entry-1", "sidecar-1")]
        per_entry = (_link_bytes(cluster, key) - bytes_before) / seconds
        cores = [100.0 * (b - a) / seconds for a, b in zip(before, after, strict=True)]
        return (
            Spent(cores[0], _memory_mb(cluster.pid("entry-1")), per_entry),
            Spent(
                cores[1],
                _memory_mb(cluster.pid("sidecar-1")),
                # With several entries their hints to each other are in the count as well.
                per_entry / sidecars if entries == 1 else math.nan,
            ),
        )


def _start(cluster: Cluster, *, entries: int, sidecars: int) -> Key:
    key = cluster.operator_key
    cluster.start_object_api()
    engine = cluster.start_engine("engine-1", models=[MODEL])
    upstreams = []
    with cluster.start_concurrently():
        for number in range(sidecars):
            name = f"sidecar-{number + 1}"
            cluster.start_sidecar(name, engine, models=[MODEL])
            upstreams.append({**cluster.upstreams[-1], "host": name})
        for number in range(entries):
            cluster.start_entry(f"entry-{number + 1}")
    # All sidecars stand before one engine, so one of them declares itself under its host's name.
    upstreams[0] = {**upstreams[0], "host": engine.name}
    state = {
        "organisations": [{"name": "o"}],
        "callers": [
            {"id": "op", "organisation": "o", "key_hashes": [key.hash], "role": "operator"}
        ],
        "models": [{"name": MODEL, "version": "1"}],
        "upstreams": upstreams,
    }
    cluster.apply_configuration("entry-1", state)
    return key


def _link_bytes(cluster: Cluster, key: Key) -> float:
    reply = cluster.client("entry-1", key).call("GET", "/operator/status")
    found = json.loads(reply.body)["link_bytes"]
    return float(found["sent"] + found["received"])


def _memory_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines():
        if line.startswith("VmRSS:"):
            return float(line.split()[1]) / 1024.0
    return 0.0


if __name__ == "__main__":
    raise SystemExit(main())
