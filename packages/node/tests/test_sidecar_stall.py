"""A sidecar whose process stood still, on a real link, before an upstream that records its calls.

What callers saw: a sidecar froze for six seconds, and at its thaw the upstream got a request that
had long been answered elsewhere. The order: an entry counts a silent sidecar as lost after four
seconds and sends to it until then. A request sent shortly before that was 2.2 s old at the thaw,
which passed for a slow network, although its sidecar had been given up for two seconds. What waited
for a place or was about to start had no check at all, or one that began to count at the thaw.
"""

from __future__ import annotations

import http.server
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace

import pytest

from carobspool_core import (
    AdmissionMode,
    AdmissionSettings,
    End,
    Heartbeat,
    ManualClock,
    Open,
    Outcome,
    Priority,
    RequestId,
    make_admission,
)
from carobspool_node.links._handshake import Identity, dial
from carobspool_node.links._link import Link
from carobspool_node.links._peer_keys import PeerKeys
from carobspool_node.upstreams._scheduler import Scheduler
from carobspool_node.upstreams._sidecar import Sidecar, SidecarOptions
from carobspool_node.upstreams._stall_watch import STALL_LIMIT, StallWatch

KEYS = PeerKeys(keys={"k": b"key"}, use="k")
FREEZE = 6_000.0
NOTICED_S = 0.4
"""Real time in which the tasks of a sidecar have looked at a clock that was moved."""


class _Upstream(http.server.ThreadingHTTPServer):
    """Answers each call once it is let go, and records the paths."""

    def __init__(self) -> None:
        super().__init__(("127.0.0.1", 0), _Handler)
        self.paths: list[str] = []
        self.let_go = threading.Event()
        self.let_go.set()


class _Handler(http.server.BaseHTTPRequestHandler):
    server: _Upstream

    def do_GET(self) -> None:  # noqa: N802
        self._answer()

    def do_POST(self) -> None:  # noqa: N802
        self.server.paths.append(self.path)
        self.server.let_go.wait(10.0)
        self._answer()

    def _answer(self) -> None:
        self.send_response(200)
        self.send_header("Content-Length", "2")
        self.end_headers()
        self.wfile.write(b"ok")

    def log_message(self, format: str, *args: object) -> None:  # noqa: A002
        """Leave these calls out of the output."""


class _Entry:
    """The entry's side of a link, and the ends that it was told."""

    def __init__(self, link: Link, clock: ManualClock) -> None:
        self._link = link
        self._clock = clock
        self.ends: dict[int, End] = {}
        link.send(Heartbeat(sent=clock.now()))
        threading.Thread(target=self._read, daemon=True).start()

    def open(self, counter: int, *, sent: float | None = None) -> None:
        """Send a request, as sent at an instant."""
        request = replace(_request(counter), sent=self._clock.now() if sent is None else sent)
        self._link.send(request)

    def _read(self) -> None:
        for message in self._link.messages():
            if isinstance(message, End):
                self.ends[message.id.counter] = message


def _request(counter: int) -> Open:
    return Open(
        id=RequestId("entry-1", counter),
        priority=Priority.ONLINE,
        target="m",
        method="POST",
        path=f"/{counter}",
        headers={},
        body=b"{}",
        caller="c",
        organisation="o",
        weight=1.0,
        cost_tokens=1,
        prompt_tokens=1,
        timeout=60_000.0,
        idempotent=True,
        stream=False,
        fingerprint="f",
        suspect=False,
        sent=0.0,
    )


def _identity(role: str) -> Identity:
    return Identity(node=role, incarnation=f"{role}-1", role=role, failure_domain="d")


def _eventually(seen: Callable[[], object]) -> None:
    until = time.monotonic() + 5.0
    while not seen() and time.monotonic() < until:
        time.sleep(0.01)
    assert seen()


@contextmanager
def _running(clock: ManualClock, upstream: _Upstream) -> Iterator[Sidecar]:
    threading.Thread(target=upstream.serve_forever, daemon=True).start()
    options = SidecarOptions(
        address="127.0.0.1",
        port=0,
        upstream=f"http://127.0.0.1:{upstream.server_address[1]}",
        host="engine-1",
        targets=("m",),
        slots=1,
    )
    settings = AdmissionSettings(mode=AdmissionMode.POLICY, slots=1)

    def make_scheduler(**ports: object) -> Scheduler:
        return Scheduler(make_admission(settings, clock), clock, **ports)  # type: ignore[arg-type]

    sidecar = Sidecar(options, _identity("sidecar"), KEYS, clock, make_scheduler)
    sidecar.start()
    try:
        yield sidecar
    finally:
        sidecar.stop()
        upstream.let_go.set()
        upstream.shutdown()
        upstream.server_close()


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(100_000.0)


@pytest.fixture
def upstream() -> _Upstream:
    return _Upstream()


@pytest.fixture
def entry(clock: ManualClock, upstream: _Upstream) -> Iterator[_Entry]:
    """An entry that is connected to a running sidecar."""
    with _running(clock, upstream) as sidecar:
        link = dial(
            f"127.0.0.1:{sidecar.port}", identity=_identity("entry"), keys=KEYS, clock=clock
        )
        assert link is not None
        yield _Entry(link, clock)
        link.close()


def _freeze(clock: ManualClock) -> None:
    clock.advance(FREEZE)


def test_a_request_from_the_time_of_a_freeze_is_not_started(
    clock: ManualClock, upstream: _Upstream, entry: _Entry
) -> None:
    """It was sent late in the freeze, and is read at the thaw."""
    _freeze(clock)
    entry.open(1, sent=clock.now() - 2_205.0)
    _eventually(lambda: 1 in entry.ends)
    failure = entry.ends[1].failure
    assert failure is not None
    assert failure.outcome is Outcome.NOT_RUN
    assert failure.code == "stale"
    assert upstream.paths == []


def test_a_request_that_waited_through_a_freeze_is_not_started(
    clock: ManualClock, upstream: _Upstream, entry: _Entry
) -> None:
    """It waits for the only place, which is free again at the thaw."""
    upstream.let_go.clear()
    entry.open(1)
    _eventually(lambda: upstream.paths == ["/1"])
    entry.open(2)
    time.sleep(NOTICED_S)
    _freeze(clock)
    time.sleep(NOTICED_S)
    upstream.let_go.set()
    _eventually(lambda: 2 in entry.ends)
    failure = entry.ends[2].failure
    assert failure is not None
    assert failure.outcome is Outcome.NOT_RUN
    assert upstream.paths == ["/1"]


def test_a_request_after_a_freeze_is_served(
    clock: ManualClock, upstream: _Upstream, entry: _Entry
) -> None:
    """The thaw is over; a message that the network held up a little is no sign of a freeze."""
    _freeze(clock)
    time.sleep(NOTICED_S)
    clock.advance(500.0)
    entry.open(1, sent=clock.now() - 400.0)
    _eventually(lambda: 1 in entry.ends)
    assert entry.ends[1].failure is None
    assert upstream.paths == ["/1"]


def test_an_instant_before_a_stall_lies_before_its_end(clock: ManualClock) -> None:
    """Nobody has looked at the clock in between, as right after a thaw."""
    watch = StallWatch(clock)
    before = watch.now()
    clock.advance(STALL_LIMIT)
    assert watch.now() > watch.woke_at
    assert watch.woke_at <= before
    _freeze(clock)
    after = watch.now()
    assert before < watch.woke_at <= after
