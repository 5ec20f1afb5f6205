"""Cost of isolating requests that crash upstreams: ``python tools/cost_isolation.py``.

Prints the time that an entry spends on a request, the memory of its table, and what a crash sends,
with thousands of parts of prompts and up to 300 entries.
"""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable
from functools import partial

from carobspool_core import SuspectUpdate, monotonic_clock
from carobspool_core.direct import Upstream, part_fingerprint, request_fingerprint
from carobspool_core.upstream_pace import read_shared_parts
from carobspool_node.direct._crash_isolation import CrashIsolation
from carobspool_node.direct._suspect_messages import encode_suspects_hint
from carobspool_node.direct._telemetry import Telemetry

RECORDS = (0, 5_000, 20_000)
PARTS = (2, 32)
ENTRIES = (24, 300)
REPEATS = 5_000
SUSPECTS_PER_CRASH = 8
CRASHES_A_DAY = 53


def main() -> None:
    """Print all figures."""
    for records in RECORDS:
        tracemalloc.start()
        isolation = _isolation(records)
        memory_mb = tracemalloc.get_traced_memory()[0] / 1e6
        tracemalloc.stop()
        for parts in PARTS:
            check_us = _time_us(partial(isolation.check, _fingerprints(parts)))
            written_us = _time_us(partial(isolation.record_written, _parts(parts)))
            print(
                f"records={records} parts={parts} check_us={check_us:.1f}"
                f" first_event_us={written_us:.1f} table_mb={memory_mb:.1f}"
            )
    for parts in PARTS:
        size = len(_hint(parts))
        for entries in ENTRIES:
            sent = size * SUSPECTS_PER_CRASH * entries * CRASHES_A_DAY
            print(
                f"parts={parts} entries={entries} hint_bytes={size}"
                f" fleet_bytes_a_crash={size * SUSPECTS_PER_CRASH * entries}"
                f" bytes_a_second_a_day={sent / 86_400.0:.0f}"
            )


def _isolation(records: int) -> CrashIsolation:
    isolation = CrashIsolation(
        monotonic_clock(), Telemetry(), tell=lambda updates: None, save=lambda update: None
    )
    for number in range(records // 2):
        upstream = _upstream(number % 53)
        isolation.record_crash(
            (f"request-{number}", part_fingerprint(b"m", f"{number:x}")), upstream
        )
    return isolation


def _upstream(number: int) -> Upstream:
    return Upstream(
        instance=f"i-{number:08x}",
        service="engine",
        address=("127.0.0.1", 1),
        failure_domain="a",
        slots=8,
        ready=True,
    )


def _header(parts: int) -> bytes:
    return ",".join(f"{number + 10**6:x}:100" for number in range(parts + 1)).encode()


def _parts(parts: int) -> Callable[[], list[str]]:
    header = _header(parts)
    return lambda: [part_fingerprint(b"m", each) for each in read_shared_parts(header)]


def _fingerprints(parts: int) -> Callable[[], list[str]]:
    shared = _parts(parts)
    body = b"x" * 2_000

    def fingerprints() -> list[str]:
        own = request_fingerprint(
            organisation="o", method=b"POST", host="h", target=b"/a", body=body
        )
        return [own, *shared()]

    return fingerprints


def _hint(parts: int) -> bytes:
    updates = [
        SuspectUpdate(
            fingerprint=fingerprint,
            quarantined=False,
            values={"crashes": "i-00000001@1700000000000"},
        )
        for fingerprint in _fingerprints(parts)()
    ]
    return encode_suspects_hint(name="edge-1", incarnation="a" * 16, updates=updates)


def _time_us(run: Callable[[], object]) -> float:
    begun = time.perf_counter()
    for _ in range(REPEATS):
        run()
    return (time.perf_counter() - begun) / REPEATS * 1e6


if __name__ == "__main__":
    main()
