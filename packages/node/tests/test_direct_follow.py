"""Following objects in the store: how many calls it takes, and how late a change is known."""

from __future__ import annotations

import threading
import time

from returns.result import Success

from carobspool_core import WatchBatch
from carobspool_node.direct._follow import Follower
from carobspool_standins.memory_store import MemoryObjects, MemoryStore


class _CountingStore(MemoryStore):
    """Counts watches."""

    def __init__(self, objects: MemoryObjects) -> None:
        super().__init__(objects, "follower")
        self.watches = 0

    def watch(self, prefix: str, *, revision: int, timeout: float):  # type: ignore[no-untyped-def]
        self.watches += 1
        return super().watch(prefix, revision=revision, timeout=timeout)


def _follow(changes: int, gather: float) -> tuple[int, float]:
    """Change objects one after the other; return the watches made and the longest delay in ms."""
    objects = MemoryObjects()
    writer = MemoryStore(objects, "writer")
    store = _CountingStore(objects)
    written: dict[str, float] = {}
    delays: list[float] = []
    done = threading.Event()

    def seen(key: str) -> None:
        delays.append((time.monotonic() - written[key]) * 1_000.0)
        if len(delays) == changes:
            done.set()

    follower = Follower(
        store,
        "hosts/",
        on_listing=lambda objects: None,
        on_change=lambda change: seen(change.object.key),
        gather=gather,
    )
    follower.start()
    time.sleep(0.4)
    for number in range(changes):
        key = f"hosts/{number}"
        written[key] = time.monotonic()
        writer.create(key, {"n": number})
        time.sleep(0.04)
    assert done.wait(5.0)
    return store.watches, max(delays)


def test_changes_that_come_together_cost_few_calls() -> None:
    """Twenty hosts start within a second. With a watch for each of them every process made twenty
    calls; now it makes some five, and knows each host within the pause."""
    at_once, _ = _follow(20, gather=0.0)
    gathered, delay = _follow(20, gather=250.0)
    assert at_once >= 15
    assert gathered <= 7
    assert delay < 1_000.0


def test_a_watch_with_an_event_that_cannot_be_read_is_followed_by_a_listing() -> None:
    """An upstream's registration turns unreadable, its name included. The watch cannot tell which
    one it was, and the old one would stay in use; the listing without it ends that."""
    objects = MemoryObjects()
    writer = MemoryStore(objects, "writer")
    writer.create("hosts/a", {"n": 0})
    listed: list[list[str]] = []
    follower = Follower(
        _UnreadableOnce(objects),
        "hosts/",
        on_listing=lambda found: listed.append([each.key for each in found]),
        on_change=lambda change: None,
    )
    follower.start()
    until = time.monotonic() + 5.0
    while len(listed) < 2 and time.monotonic() < until:
        time.sleep(0.01)
    assert listed == [["hosts/a"], ["hosts/a"]]


class _UnreadableOnce(MemoryStore):
    """Its first watch brings an event that cannot be read; the next ones wait."""

    def __init__(self, objects: MemoryObjects) -> None:
        super().__init__(objects, "follower")
        self._told = False

    def watch(self, prefix: str, *, revision: int, timeout: float):  # type: ignore[no-untyped-def]
        if self._told:
            return super().watch(prefix, revision=revision, timeout=timeout)
        self._told = True
        return Success(WatchBatch(revision=revision, changes=[], unreadable=1))
