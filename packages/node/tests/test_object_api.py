"""Contract of the `ObjectStore` port, run against the in-memory store and the HTTP adapter."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator

import pytest
from returns.result import Failure, Result

from carobspool_core import Json, ObjectStore, StoreFailure, StoreFault
from carobspool_node._object_api import http_object_store
from carobspool_standins.memory_store import MemoryObjects, MemoryStore


def _memory() -> Iterator[ObjectStore]:
    yield MemoryStore(MemoryObjects(), "test")


MAKERS: dict[str, Callable[[], Iterator[ObjectStore]]] = {"memory": _memory}


@pytest.fixture(params=sorted(MAKERS))
def store(request: pytest.FixtureRequest) -> Iterator[ObjectStore]:
    """Each implementation of the port in turn."""
    yield from MAKERS[request.param]()


def _fault(result: Result[Json, StoreFailure]) -> StoreFault:
    assert isinstance(result, Failure)
    return result.failure().fault


def test_created_object_is_read_back(store: ObjectStore) -> None:
    """A value of any JSON shape comes back unchanged with its version."""
    value = {"text": "Mañana, “quoted”", "list": [1, 2.5, None, True]}
    created = store.create("jobs/a b/ü", value).unwrap()
    assert store.get("jobs/a b/ü").unwrap() == created
    assert created.value == value


def test_conditional_writes(store: ObjectStore) -> None:
    """A write whose condition does not hold changes nothing and tells what stands there."""
    first = store.create("a", 1).unwrap()
    again = store.create("a", 2)
    assert _fault(again) is StoreFault.CONFLICT
    assert again.failure().current == first
    second = store.update("a", 3, version=first.version).unwrap()
    assert second.version > first.version
    assert _fault(store.update("a", 4, version=first.version)) is StoreFault.CONFLICT
    assert _fault(store.update("absent", 4, version=7)) is StoreFault.CONFLICT
    assert _fault(store.delete("a", version=first.version)) is StoreFault.CONFLICT
    store.delete("a", version=second.version).unwrap()
    assert _fault(store.get("a")) is StoreFault.NOT_FOUND
    assert _fault(store.delete("a", version=second.version)) is StoreFault.NOT_FOUND


def test_value_over_the_limit(store: ObjectStore) -> None:
    """A value over a megabyte is refused as such."""
    assert _fault(store.create("big", "x" * 1_100_000)) is StoreFault.TOO_LARGE


def test_listing_in_pages(store: ObjectStore) -> None:
    """Pages follow key order and hold only keys under the prefix."""
    for name in ("c", "a", "b"):
        store.create(f"p/{name}", name).unwrap()
    store.create("q/z", "z").unwrap()
    page = store.list("p/", limit=2).unwrap()
    assert [item.value for item in page.objects] == ["a", "b"]
    assert page.more
    rest = store.list("p/", after="p/b", limit=2).unwrap()
    assert [item.value for item in rest.objects] == ["c"]
    assert not rest.more


def test_watch_tells_changes_in_order(store: ObjectStore) -> None:
    """A watch returns the changes after its revision, deletions included, then waits for more."""
    revision = store.list("w/").unwrap().revision
    first = store.create("w/a", 1).unwrap()
    store.delete("w/a", version=first.version).unwrap()
    batch = store.watch("w/", revision=revision, timeout=1000.0).unwrap()
    assert [(change.object.value, change.deleted) for change in batch.changes] == [
        (1, False),
        (None, True),
    ]
    threading.Timer(0.05, lambda: store.create("w/b", 2)).start()
    later = store.watch("w/", revision=batch.revision, timeout=2000.0).unwrap()
    assert [change.object.value for change in later.changes] == [2]
    assert store.watch("w/", revision=later.revision, timeout=20.0).unwrap().changes == []


def test_store_that_is_not_there() -> None:
    """With nothing listening, writes are known not to have been made, and nothing is raised."""
    absent = http_object_store("http://127.0.0.1:9")
    assert _fault(absent.get("a")) is StoreFault.UNAVAILABLE
    assert _fault(absent.create("a", 1)) is StoreFault.UNAVAILABLE
    assert _fault(absent.delete("a", version=1)) is StoreFault.UNAVAILABLE
