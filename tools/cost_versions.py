"""What it costs an entry to remember the software versions at which streams began.

python tools/cost_versions.py [--entries 24 300] [--streams 20000]

The sizes are those of the encoded hints; calls to peers are not made.
"""

from __future__ import annotations

import argparse
import time
from collections.abc import Callable, Sequence

from carobspool_core import boottime_clock
from carobspool_core.direct import Upstream
from carobspool_core.stream_versions import (
    StreamOrigin,
    VersionHistory,
    VersionsView,
    peers_to_ask,
)
from carobspool_node.direct._origin_messages import encode_origins_hint
from carobspool_node.direct._peer import Peer
from carobspool_node.direct._stream_origins import StreamOrigins

WINDOW = 15_000.0
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

    def __init__(self, versions: Sequence[str]) -> None:
        self._history = VersionHistory(knows_past=True)
        self._history.record([("engine", version) for version in versions], 0.0)

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
    origins = StreamOrigins(
        boottime_clock(),
        name="edge-hall-0",
        peers=peers,
        views=_Views(versions),
        window=lambda: WINDOW,
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
    each = _microseconds_each(lambda n: origins.begin(f"{n:016x}", upstream), streams)
    names = [peer.name for peer in peers.live()]
    choice = _microseconds_each(lambda n: peers_to_ask(f"{n:016x}", "edge-hall-0", names), 1_000)
    print(
        f"{entries} entries, {len(versions)} version(s): {each:.1f} us a stream,"
        f" {peers.datagrams / streams:.1f} datagrams and {peers.sent_bytes / streams:.0f} bytes"
        f" a stream; choice of the peers to ask {choice:.0f} us a take-up"
    )


def main() -> None:
    """Measure each number of entries, with one version and with two."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, nargs="+", default=[24, 300])
    parser.add_argument("--streams", type=int, default=20_000)
    options = parser.parse_args()
    for entries in options.entries:
        for versions in (("v1",), ("v1", "v2")):
            _measure(entries, versions, options.streams)


if __name__ == "__main__":
    main()
