"""Following objects in the store: the number of calls, and the delay of a change."""

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


def _follow(changes: int, watch_pause: float) -> tuple[int, float]:
    """Change objects one after the other; return the watches made and the longest delay in ms."""
    objects = MemoryObjects()
    writer = MemoryStore(objects, "writer")
    store = _CountingStore(objects)
    written: dict[str, float] = {}
    delays: list[float] = []
    done = threading.Event()

    def record_delay(key: str) -> None:
        delays.append((time.monotonic() - written[key]) * 1_000.0)
        if len(delays) == changes:
            done.set()

    follower = Follower(
        store,
        "hosts/",
        on_listing=lambda objects: None,
        on_change=lambda change: record_delay(change.object.key),
        watch_pause=watch_pause,
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


def test_changes_in_quick_succession_take_few_calls() -> None:
    """Twenty hosts start within a second. Guards against one watch per change, with which every
    process made twenty calls. With a pause between watches a process makes about five, and learns
    of each host within the pause."""
    watches_without_pause, _ = _follow(20, watch_pause=0.0)
    watches_with_pause, delay = _follow(20, watch_pause=250.0)
    assert watches_without_pause >= 15
    assert watches_with_pause <= 7
    assert delay < 1_000.0


def test_a_listing_follows_a_watch_with_an_unreadable_event() -> None:
    """An upstream's registration becomes unreadable, its name included. The watch cannot show which
    one it was, so the old registration would stay in use; the listing, which lacks it, removes it.
    """
    objects = MemoryObjects()
    writer = MemoryStore(objects, "writer")
    writer.create("hosts/a", {"n": 0})
    listed: list[list[str]] = []
    follower = Follower(
        _UnreadableOnceStore(objects),
        "hosts/",
        on_listing=lambda found: listed.append([each.key for each in found]),
        on_change=lambda change: None,
    )
    follower.start()
    until = time.monotonic() + 5.0
    while len(listed) < 2 and time.monotonic() < until:
        time.sleep(0.01)
    assert listed == [["hosts/a"], ["hosts/a"]]


class _UnreadableOnceStore(MemoryStore):
    """Its first watch returns an unreadable event; later watches wait for changes."""

    def __init__(self, objects: MemoryObjects) -> None:
        super().__init__(objects, "follower")
        self._returned_event = False

    def watch(self, prefix: str, *, revision: int, timeout: float):  # type: ignore[no-untyped-def]
        if self._returned_event:
            return super().watch(prefix, revision=revision, timeout=timeout)
        self._returned_event = True
        return Success(WatchBatch(revision=revision, changes=[], unreadable=1))
