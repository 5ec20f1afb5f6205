"""What organisations cost a direct entry: their directory, keys, limits and hints.

python tools/cost_organisations.py [--organisations 81 3000 30000] [--entries 23]
"""

from __future__ import annotations

import argparse
import resource
import threading
import time
from collections.abc import Callable

from carobspool_core import boottime_clock
from carobspool_core.organisations import (
    KnownPeer,
    Organisation,
    OrganisationDirectory,
    RateLimit,
    RequestLimits,
    key_digest,
)
from carobspool_node.organisations import CallerAuthenticator, RequestQuota

REQUESTS = 20_000
TICK_S = 0.001


def directory_of(organisations: int) -> OrganisationDirectory:
    """Return so many organisations with two keys and a limit each."""
    limit = RateLimit(per_second=1e6, burst=1e6)
    return OrganisationDirectory(
        Organisation(
            name=f"organisation-{number}",
            key_digests=(key_digest(f"key-{number}-a"), key_digest(f"key-{number}-b")),
            limit=limit,
        )
        for number in range(organisations)
    )


def longest_pause(work: Callable[[], object]) -> float:
    """Return the longest time, in ms, for which another thread stood still during some work."""
    done = threading.Event()
    worst = 0.0

    def tick() -> None:
        nonlocal worst
        while not done.is_set():
            before = time.perf_counter()
            time.sleep(TICK_S)
            worst = max(worst, time.perf_counter() - before - TICK_S)

    ticking = threading.Thread(target=tick)
    ticking.start()
    work()
    done.set()
    ticking.join()
    return worst * 1000.0


def each_us(work: Callable[[int], object]) -> float:
    """Return the processor time of one call in microseconds."""
    started = time.process_time()
    for number in range(REQUESTS):
        work(number)
    return (time.process_time() - started) / REQUESTS * 1e6


def measure(organisations: int, entries: int) -> None:
    """Print what so many organisations cost."""
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    started = time.process_time()
    found: list[OrganisationDirectory] = []
    pause = longest_pause(lambda: found.append(directory_of(organisations)))
    took = (time.process_time() - started) * 1000.0
    clock = boottime_clock()
    peers = [
        KnownPeer(name=f"e{number}", last_heard_at=clock.now() + 1e9)
        for number in range(entries - 1)
    ]
    quota = RequestQuota(clock, known_peers=lambda: peers)
    quota_pause = longest_pause(lambda: quota.configure(found[0]))
    memory = (resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before) / 1024.0
    access = CallerAuthenticator(
        clock, directory=lambda: found[0], confirm_configuration=lambda: True
    )
    keys = [[f"Bearer key-{number % organisations}-b".encode()] for number in range(REQUESTS)]
    names = [f"organisation-{number % organisations}" for number in range(REQUESTS)]
    print(
        f"organisations={organisations} entries={entries} build_ms={took:.0f}"
        f" pause_ms={pause:.0f} limits_pause_ms={quota_pause:.0f}"
        f" memory_mb={memory:.0f}"
        f" key_us={each_us(lambda number: access.identify(keys[number])):.1f}"
        f" limit_us={each_us(lambda number: quota.admit(names[number])):.1f}"
        f" hint_us={each_us(lambda n: quota.apply_peer_counts('e1', '1', {n % 97: n})):.1f}"
        f" tidy_ms={_tidy_ms(found[0]):.1f}"
    )


def _tidy_ms(directory: OrganisationDirectory) -> float:
    """Return what a look for idle organisations takes when all are active."""
    limits = RequestLimits(0.0)
    limits.configure(directory.limits(), 0.0)
    for each in directory:
        limits.admit(each.name, 0.0)
    started = time.process_time()
    limits.drop_idle(0.0, idle=1.0)
    return (time.process_time() - started) * 1000.0


def main() -> None:
    """Measure each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--organisations", type=int, nargs="+", default=[81, 3_000, 30_000])
    parser.add_argument("--entries", type=int, default=23)
    chosen = parser.parse_args()
    for organisations in chosen.organisations:
        measure(organisations, chosen.entries)


if __name__ == "__main__":
    main()
