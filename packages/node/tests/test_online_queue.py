"""The queue's adapter: reports on the wire, bounds, callers that leave, and limits."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable
from typing import Any

import cbor2
import pytest

from carobspool_core.direct import UNKNOWN_SERVICE, Load, Upstream, short_key_of
from carobspool_core.online_queue import QueueReport
from carobspool_node.direct._load_hint import encode_load_hint, read_load_hint
from carobspool_node.direct._telemetry import Telemetry
from carobspool_node.online_queue import (
    OnlineQueue,
    QueueRefusedError,
    WaitingRequest,
    _waiting_tickets,
)
from carobspool_node.online_queue._reports import pack_waiting, unpack_waiting
from carobspool_node.online_queue._requests import Ticket

SERVICE = short_key_of("s")


class _Clock:
    def __init__(self) -> None:
        self.at = 1_000.0

    def now(self) -> float:
        return self.at


class _Gone(Exception):
    pass


class _Watch:
    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock

    def fileno(self) -> int | None:
        return self._socket.fileno()

    def check(self, flags: int) -> None:
        raise _Gone


class _Placed:
    upstream = Upstream(
        instance="i",
        service="s",
        address=("127.0.0.1", 1),
        failure_domain="z",
        slots=8,
        ready=True,
    )


class _Entry:
    """A queue over one upstream with a number of free slots."""

    def __init__(self) -> None:
        self.free = 0
        self.clock = _Clock()
        self.caller, self.own_end = socket.socketpair()
        self.released: list[_Placed] = []
        self.queue: OnlineQueue[_Placed] = OnlineQueue(
            self.clock,
            Telemetry(),
            name="e1",
            room=lambda service: ({"i": self.free} if self.free else {}, 8),
        )

    def request(self, **changes: Any) -> WaitingRequest[_Placed]:
        """Return a request that takes a free slot."""

        def place(usable: frozenset[str] | None) -> _Placed | None:
            if not self.free:
                return None
            self.free -= 1
            return _Placed()

        values: dict[str, Any] = {
            "request_id": "r",
            "service": "s",
            "organisation": "",
            "cost": 1.0,
            "body_bytes": 0,
            "arrived": self.clock.at,
            "target_latency": 1e6,
            "deadline": self.clock.at + 1e7,
            "is_retry": False,
            "is_continued": False,
            "may_have_run": False,
            "watch": _Watch(self.own_end),
            "place": place,
            "release": self.released.append,
            "rank": lambda: 0,
            "refusal": lambda: None,
            "refusal_by_configuration": lambda: None,
        }
        return WaitingRequest(**(values | changes))

    def wait(self, request: WaitingRequest[_Placed]) -> tuple[threading.Thread, list[Any]]:
        """Place a request on a thread of its own and wait until it is queued."""
        outcome: list[Any] = []

        def run() -> None:
            try:
                outcome.append(self.queue.place(request))
            except Exception as error:  # noqa: BLE001
                outcome.append(error)

        before = self.queue.reports.report().state
        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        _until(lambda: self.queue.reports.report().state != before or bool(outcome))
        return thread, outcome


def _until(check: Callable[[], bool]) -> None:
    for _ in range(500):
        if check():
            return
        threading.Event().wait(0.005)
    raise AssertionError("the condition did not become true in time")


def _hint(**changes: Any) -> bytes:
    values = {"name": "e1", "incarnation": "a", "sequence": 1, "backlog": ()}
    return encode_load_hint(**(values | {"loads": {"u": Load(1, 0)}} | changes))


def test_reports_are_the_eighth_element_and_absent_if_nothing_waits() -> None:
    """Entries of the previous build read seven elements, and a deployment without the setting must
    send the bytes that it sent before."""
    waiting, services = pack_waiting({SERVICE: {(2, 1): 3, (0, 0): 70_000}})
    message = cbor2.loads(_hint(queue=QueueReport(waiting, services)))
    assert message[6:10] == [b"", b"\x00\x00\xff\xff\x02\x01\x00\x03", b"", b""]
    assert message[10:] == [SERVICE.to_bytes(4, "big")]
    assert len(cbor2.loads(_hint())) == 6
    assert len(cbor2.loads(_hint(counts={1: 2}))) == 7
    read = read_load_hint(message)
    assert read is not None
    found = {(0, 0): 65_535, (2, 1): 3}
    assert unpack_waiting(read.waiting, read.waiting_services) == {SERVICE: found}
    previous = read_load_hint(message[:9])
    assert previous is not None
    assert unpack_waiting(previous.waiting, previous.waiting_services) == {UNKNOWN_SERVICE: found}
    later = read_load_hint([*message[:7], {"of": "a later build"}, 9])
    assert later is not None
    assert later.waiting == b""
    assert unpack_waiting(b"\x00\x00\x01") == {}
    assert unpack_waiting(b"\x00\x07\x00\x01") == {}


def test_a_request_waits_only_for_those_of_its_service() -> None:
    """Guards against a refusal because of requests that wait at a peer for another service."""
    entry = _Entry()
    waiting, services = pack_waiting({short_key_of("other"): {(0, 0): 200}})
    entry.queue.reports.apply_report("e2", waiting, services)
    target = {"target_latency": 1_000.0}
    thread, outcome = entry.wait(entry.request(**target))
    assert not outcome
    entry.queue.reports.apply_report("e2", waiting)
    _, refused = entry.wait(entry.request(**target))
    assert isinstance(refused[0], QueueRefusedError)
    entry.queue.close()
    thread.join(2.0)


@pytest.mark.parametrize(
    ("most", "body_bytes"), [(256, 3_000_000), (2, 0)], ids=["bytes", "requests"]
)
def test_a_service_that_stands_still_does_not_take_all_places(
    monkeypatch: pytest.MonkeyPatch, most: int, body_bytes: int
) -> None:
    """Guards against requests of one service that fill the bounds of the process: those of another
    one, which are less urgent, were all refused."""
    monkeypatch.setattr(_waiting_tickets, "MAX_WAITING", most)
    entry = _Entry()
    still = [
        entry.wait(entry.request(service="still", body_bytes=body_bytes, rank=lambda: 0))
        for _ in range(2)
    ]
    other = entry.wait(entry.request(body_bytes=body_bytes, rank=lambda: 1))
    _until(lambda: bool(still[0][1] or still[1][1]))
    assert not other[1]
    entry.queue.close()
    for thread, outcome in (*still, other):
        thread.join(2.0)
        assert isinstance(outcome[0], QueueRefusedError)


def test_a_place_is_given_up_if_the_caller_leaves_as_it_gets_it() -> None:
    """The slot of a request that is never sent would stay counted for ever."""
    entry = _Entry()
    thread, outcome = entry.wait(entry.request())
    with entry.queue._lock:  # noqa: SLF001
        entry.caller.close()
        entry.free = 1
    entry.queue.start_waiting()
    thread.join(2.0)
    if isinstance(outcome[0], _Gone):
        assert len(entry.released) in (0, 1)
        assert entry.free + len(entry.released) == 1
    else:
        assert isinstance(outcome[0], _Placed)
    assert entry.queue.reports.report().waiting == b""


def test_the_process_holds_a_bounded_number_of_bytes() -> None:
    """Bodies of 3 MB wait: the third exceeds 8 MB, and the least urgent one is refused."""
    entry = _Entry()
    waits = [
        entry.wait(entry.request(body_bytes=3_000_000, rank=lambda rank=rank: rank))
        for rank in (1, 2, 0)
    ]
    _until(lambda: bool(waits[1][1]))
    refused = waits[1][1][0]
    assert isinstance(refused, QueueRefusedError)
    assert refused.status == 503
    report = entry.queue.reports.report()
    counts = unpack_waiting(report.waiting, report.services)
    assert counts == {SERVICE: {(0, 0): 1, (1, 0): 1}}
    entry.queue.close()
    for thread, outcome in waits:
        thread.join(2.0)
        assert isinstance(outcome[0], QueueRefusedError)


def test_a_request_that_may_have_run_is_never_refused() -> None:
    """Its caller would run it again; at its deadline it goes back with an unknown outcome."""
    entry = _Entry()
    request = entry.request(
        may_have_run=True,
        is_continued=True,
        deadline=entry.clock.at + 50.0,
        refusal=lambda: QueueRefusedError("x", retry_after=None),
    )
    outcome: list[Any] = []
    thread = threading.Thread(target=lambda: outcome.append(entry.queue.place(request)))
    thread.start()
    entry.queue.start_waiting()
    assert outcome == []
    entry.clock.at += 100.0
    thread.join(2.0)
    assert outcome == [None]


def test_callers_over_a_limit_get_one_token_each() -> None:
    """All of them would otherwise return for the same token."""
    queue = _Entry().queue
    delays = [queue.delay_over_limit("acme", wait=200.0, per_second=4.0) for _ in range(3)]
    assert delays == pytest.approx([200.0, 450.0, 700.0])
    assert queue.delay_over_limit("other", wait=200.0, per_second=4.0) == pytest.approx(200.0)


def _wait_with(entry: _Entry, **changes: Any) -> tuple[threading.Thread, list[Any]]:
    """Place a request and wait until it waits, whether it is reported or not."""
    outcome: list[Any] = []
    request = entry.request(**changes)
    thread = threading.Thread(target=lambda: outcome.append(entry.queue.place(request)))
    thread.start()
    _until(lambda: len(entry.queue._waiting) == 1)  # noqa: SLF001
    return thread, outcome


def test_closing_does_not_refuse_a_request_that_may_have_run() -> None:
    """Its caller would read from the refusal that it has not run, and send it again."""
    entry = _Entry()
    thread, outcome = _wait_with(entry, may_have_run=True, is_continued=True)
    entry.queue.close()
    thread.join(2.0)
    assert outcome == [None]


def test_a_wait_ends_only_after_its_thread_is_woken(monkeypatch: pytest.MonkeyPatch) -> None:
    """A thread that saw the end before the wake-up closed its event, and the wake-up then wrote to
    a closed descriptor or to one that another connection had got."""
    ticket = Ticket(1, _Entry().request(), 0, 0.0)
    ticket.prepare_wait()
    ended: list[bool] = []
    monkeypatch.setattr("os.eventfd_write", lambda event, value: ended.append(ticket.ended))
    ticket.end()
    assert ended == [False]
    assert ticket.ended
    ticket.close()


def test_return_times_of_removed_organisations_are_dropped() -> None:
    """The times of each organisation that was ever over its limit were kept for ever."""
    queue = _Entry().queue
    for number in range(2_000):
        queue.delay_over_limit(f"o{number}", wait=200.0, per_second=4.0)
    assert len(queue._returns) <= 1_024  # noqa: SLF001
