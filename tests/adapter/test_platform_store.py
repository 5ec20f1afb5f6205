"""Contract of the store adapter, against a stand-in that speaks the published protocol."""

from __future__ import annotations

import socket
import threading
from collections.abc import Iterator

import pytest
from returns.result import Failure, Result, Success

from carobspool_core import Json, StoreFailure, StoreFault, boottime_clock
from carobspool_platform._store import CALL_TIMEOUT, PlatformStore
from carobspool_standins.platform_store import PlatformObjects, serve_platform_store

Served = tuple[PlatformObjects, PlatformStore]


@pytest.fixture
def served() -> Iterator[Served]:
    """A store and the adapter that calls it."""
    objects = PlatformObjects()
    with serve_platform_store(objects) as address:
        yield objects, PlatformStore(address, boottime_clock())


def _fault(result: Result[Json, StoreFailure]) -> StoreFault:
    assert isinstance(result, Failure)
    return result.failure().fault


def test_create_read_update_delete(served: Served) -> None:
    objects, store = served
    created = store.create("jobs/a", {"x": 1}).unwrap()
    assert objects.spec("jobs", "a") == {"x": 1}
    updated = store.update("jobs/a", {"x": 2}, version=created.version).unwrap()
    assert store.get("jobs/a").unwrap() == updated
    assert isinstance(store.delete("jobs/a", version=updated.version), Success)
    assert _fault(store.get("jobs/a")) is StoreFault.NOT_FOUND


def test_conflicts_carry_the_object_as_it_stands(served: Served) -> None:
    _, store = served
    first = store.create("jobs/a", 1).unwrap()
    conflict = store.create("jobs/a", 2)
    assert _fault(conflict) is StoreFault.CONFLICT
    assert conflict.failure().current == first
    assert _fault(store.update("jobs/a", 3, version=first.version + 5)) is StoreFault.CONFLICT


def test_a_status_is_written_beside_the_operators_words(served: Served) -> None:
    objects, store = served
    revision = objects.put("retirements", "m1", {"duration_s": 8})
    store.update("retirements/m1/status", {"state": "completed"}, version=revision).unwrap()
    stored = objects.objects[("retirements", "m1")]
    assert stored["status"] == {"state": "completed"}
    assert stored["spec"] == {"duration_s": 8}
    assert store.get("retirements/m1").unwrap().value == {"duration_s": 8}


@pytest.mark.parametrize("operation", ["create", "update"])
def test_a_write_whose_answer_is_lost_is_found_by_reading_back(
    served: Served, operation: str
) -> None:
    """The store writes and its answer is lost. The caller sees success, and the write stands once:
    sent again, it would conflict with itself and look like somebody else's."""
    objects, store = served
    version = store.create("jobs/b", 0).unwrap().version
    objects.faults.resets_after_write = 1
    if operation == "create":
        assert isinstance(store.create("jobs/a", {"x": 1}), Success)
        assert objects.spec("jobs", "a") == {"x": 1}
    else:
        assert isinstance(store.update("jobs/b", 9, version=version), Success)
        assert objects.spec("jobs", "b") == 9


def test_a_write_that_never_arrived_ends_as_unknown(
    served: Served, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The connection is cut before the effect. It may still take effect seconds later, so neither
    'written' nor 'not written' would be true."""
    objects, store = served
    monkeypatch.setattr("carobspool_platform._store.SETTLE_TIME", 300.0)
    objects.faults.resets_before_write = 1
    assert _fault(store.create("jobs/a", 1)) is StoreFault.UNKNOWN


def test_a_write_that_nothing_acknowledges_is_given_up_soon() -> None:
    """The store's machine is cut off while a call is on a kept connection. What was sent is never
    acknowledged, and waiting for the call timeout would use up most of the caller's time. The write
    may have arrived before the cut, so its end is unknown, and nothing is read back over a way that
    is gone. A machine that reads nothing stands for the cut: its full buffers acknowledge no more.
    The value is the largest that the store accepts.
    """
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        clock = boottime_clock()
        store = PlatformStore(f"127.0.0.1:{listener.getsockname()[1]}", clock)
        started = clock.now()
        assert _fault(store.create("jobs/a", "x" * 1_000_000)) is StoreFault.UNKNOWN
        assert clock.now() - started < CALL_TIMEOUT


@pytest.mark.parametrize("status", [503, 429])
def test_a_refusal_says_that_nothing_was_done(served: Served, status: int) -> None:
    objects, store = served
    objects.faults.status = status
    assert _fault(store.create("jobs/a", 1)) is StoreFault.UNAVAILABLE
    assert _fault(store.get("jobs/a")) is StoreFault.UNAVAILABLE
    assert _fault(store.list("jobs/")) is StoreFault.UNAVAILABLE
    assert _fault(store.watch("jobs/", revision=1, timeout=10)) is StoreFault.UNAVAILABLE


def test_an_address_without_a_store_was_sent_nothing() -> None:
    store = PlatformStore("127.0.0.1:1", boottime_clock())
    assert _fault(store.create("jobs/a", 1)) is StoreFault.UNAVAILABLE


def test_a_watch_goes_on_from_a_listing(served: Served) -> None:
    objects, store = served
    objects.put("servers", "i-1", {"state": "ready"})
    page = store.list("servers/").unwrap()
    assert [each.key for each in page.objects] == ["servers/i-1"]
    threading.Timer(0.1, objects.remove, ("servers", "i-1")).start()
    batch = store.watch("servers/", revision=page.revision, timeout=5_000).unwrap()
    assert [(each.object.key, each.deleted) for each in batch.changes] == [("servers/i-1", True)]
    empty = store.watch("servers/", revision=batch.revision, timeout=50).unwrap()
    assert list(empty.changes) == []


def test_a_watch_from_a_forgotten_revision_asks_for_a_listing(served: Served) -> None:
    objects, store = served
    objects.put("servers", "i-1", {})
    objects.compact()
    assert _fault(store.watch("servers/", revision=1, timeout=50)) is StoreFault.COMPACTED


def test_a_long_listing_comes_in_pages(served: Served) -> None:
    objects, store = served
    for number in range(600):
        objects.put("jobs", f"j{number:04}", number)
    first = store.list("jobs/").unwrap()
    assert first.more
    rest = store.list("jobs/", after=first.objects[-1].key).unwrap()
    assert len(first.objects) + len(rest.objects) == 600
    assert not rest.more
