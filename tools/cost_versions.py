"""What it costs an entry to remember the software versions at which streams began.

python tools/cost_versions.py [--entries 24 300] [--streams 20000] [--open 40 400 8000]

The sizes are those of the encoded hints and values; calls to peers are not made, and the store is
one in memory.
"""

from __future__ import annotations

import argparse
import json
import time
import tracemalloc
from collections.abc import Callable, Sequence

from carobspool_core import boottime_clock
from carobspool_core.direct import Upstream
from carobspool_core.organisations import KnownPeer
from carobspool_core.stream_versions import (
    ServiceVersion,
    StreamOrigin,
    VersionHistory,
    VersionsView,
    peers_to_ask,
    write_interval,
)
from carobspool_node.direct._origin_messages import encode_origins_hint
from carobspool_node.direct._peer import Peer
from carobspool_node.direct._stream_origins import StreamOrigins
from carobspool_node.direct._stream_records import ORIGINS_PREFIX, StreamRecords
from carobspool_node.direct._telemetry import Telemetry
from carobspool_standins.memory_store import MemoryObjects, MemoryStore

WINDOW = 60_000.0
FAR = 1e15
UDP_AND_IP_BYTES = 28


class _Peers:
    """Live peers that count what they are sent."""

    def __init__(self, entries: int) -> None:
        self.sent_bytes = 0
        self.datagrams = 0
        self._live = [
            Peer(name=f"edge-hall-{n}", incarnation="0", address=("127.0.0.1", 1), last_heard_at=0)
            for n in range(entries - 1)
        ]

    def live(self) -> list[Peer]:
        return list(self._live)

    def known_peers(self) -> list[KnownPeer]:
        return []

    def recent_pause(self) -> float:
        return 0.0

    def hears_all_known(self) -> bool:
        return True

    def announce(self) -> None:
        pass

    def send_origins(
        self, origin: StreamOrigin, streams: Sequence[str], names: Sequence[str]
    ) -> None:
        data = encode_origins_hint(
            name="edge-hall-1", incarnation="0123abcd", origin=origin, streams=streams
        )
        self.datagrams += len(names)
        self.sent_bytes += (len(data) + UDP_AND_IP_BYTES) * len(names)


class _Views:
    """Registrations of one service, with one software version or two."""

    can_route = True
    stream_window = WINDOW
    knows_past_versions = True

    def __init__(self, versions: Sequence[str]) -> None:
        self._history = VersionHistory()
        self._history.load_past((), 0.0)
        self._history.record([("engine", version) for version in versions], 0.0)

    def registered_versions(self) -> frozenset[ServiceVersion]:
        return self._history.registered()

    def recent_versions(self, within: float) -> frozenset[ServiceVersion]:
        return self._history.recent(1.0, within)

    def load_past_versions(self, versions: object, window: float) -> None:
        pass

    def extend_stream_window(self, duration: float) -> None:
        pass

    def services(self) -> set[str]:
        return self._history.services()

    def versions_of(self, service: str) -> VersionsView:
        return self._history.view(service, 1.0, WINDOW)

    def has_other_version(self, upstream: Upstream) -> bool:
        return False

    def knows_the_same_starts(self, versions: object) -> bool:
        return True


def _microseconds_each(work: Callable[[int], object], count: int) -> float:
    started = time.perf_counter()
    for number in range(count):
        work(number)
    return (time.perf_counter() - started) / count * 1e6


def _measure(entries: int, versions: Sequence[str], streams: int) -> None:
    peers = _Peers(entries)
    views = _Views(versions)
    records = _records(views, MemoryObjects(), entries)
    origins = StreamOrigins(
        boottime_clock(),
        name="edge-hall-0",
        peers=peers,
        views=views,
        window=lambda: WINDOW,
        records=records,
        call_peer=lambda peer, operation, body, timeout: (404, None),
    )
    upstream = Upstream(
        instance="i-0",
        service="engine",
        address=("127.0.0.1", 1),
        failure_domain="z",
        slots=8,
        ready=True,
        version="v1",
    )

    def stream(number: int) -> None:
        origins.begin(f"{number:016x}", upstream, "v1", FAR)
        origins.complete(f"{number:016x}")

    each = _microseconds_each(stream, streams)
    names = [peer.name for peer in peers.live()]
    choice = _microseconds_each(lambda n: peers_to_ask(f"{n:016x}", "edge-hall-0", names), 1_000)
    print(
        f"{entries} entries, {len(versions)} version(s): {each:.1f} us a stream,"
        f" {peers.datagrams / streams:.1f} datagrams and {peers.sent_bytes / streams:.0f} bytes"
        f" a stream; choice of the peers to ask {choice:.0f} us a take-up"
    )


def _records(views: _Views, objects: MemoryObjects, entries: int) -> StreamRecords:
    return StreamRecords(
        boottime_clock(),
        MemoryStore(objects, "edge-hall-0"),
        Telemetry(),
        name="edge-hall-0-0123abcd",
        views=views,
        first_start=True,
        has_duty=lambda duty: True,
        entries=lambda: entries,
        value_limit=1_048_576,
        on_origins=lambda origin, streams: None,
    )


def _measure_records(entries: int, streams: int) -> None:
    """Measure one write of the origins of streams that are open at an entry, and their memory."""
    objects = MemoryObjects()
    records = _records(_Views(("v1", "v2")), objects, entries)
    for _ in range(3):
        records._step()
    origin = StreamOrigin(service="engine", version="v1")
    tracemalloc.start()
    for number in range(streams):
        records.begin(f"{number:016x}", origin, FAR)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    time.sleep(0.6)
    records._next_write = 0.0
    started = time.process_time()
    records._write_origins()
    took = time.process_time() - started
    (value,) = (each for key, each in objects.json_by_key.items() if key.startswith(ORIGINS_PREFIX))
    size = len(value if isinstance(value, str) else json.dumps(value))
    interval = write_interval(entries)
    print(
        f"{entries} entries, {streams} open streams an entry: a write each {interval / 1e3:.1f} s,"
        f" {entries * 1e3 / interval:.0f} a second of all; {took * 1e3:.1f} ms and {size} bytes a"
        f" write, {size / interval * 1e3:.0f} bytes/s an entry, {memory / 1e6:.2f} MB"
    )


def main() -> None:
    """Measure each number of entries, with one version and with two."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, nargs="+", default=[24, 300])
    parser.add_argument("--streams", type=int, default=20_000)
    parser.add_argument("--open", type=int, nargs="+", default=[40, 400, 8_000])
    options = parser.parse_args()
    for entries in options.entries:
        for versions in (("v1",), ("v1", "v2")):
            _measure(entries, versions, options.streams)
        for streams in options.open:
            _measure_records(entries, streams)


if __name__ == "__main__":
    main()
