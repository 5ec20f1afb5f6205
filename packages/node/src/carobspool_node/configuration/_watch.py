"""Keeps a follower up to date by watching the object store."""

from __future__ import annotations

import threading

from absl import logging
from returns.pipeline import is_successful
from returns.result import Failure, Result

from carobspool_core import Millis, ObjectStore, StoreFault
from carobspool_node.configuration._follower import ConfigurationFollower
from carobspool_node.configuration._objects import (
    HEAD_KEY,
    REVISIONS_PREFIX,
    ConfigReadError,
    read_error,
)

WATCH_TIME: Millis = 30_000.0
RETRY_PAUSE: Millis = 1_000.0


def follow(
    store: ObjectStore,
    follower: ConfigurationFollower,
    stop: threading.Event,
    *,
    watch_time: Millis = WATCH_TIME,
    retry_pause: Millis = RETRY_PAUSE,
) -> None:
    """Keep a follower up to date by a watch of ``config/revisions/`` until ``stop`` is set.

    Runs on a thread of its own. While the store is down the follower keeps what it has, and peers
    may still bring something newer.

    Args:
        store: The object store.
        follower: The follower.
        stop: Ends the loop, at the latest after one watch.
        watch_time: Longest wait of one watch, in milliseconds.
        retry_pause: Pause after a failed read, in milliseconds.

    Since 0.1.
    """
    since: int | None = None
    while not stop.is_set():
        step = (
            _start(store, follower) if since is None else _step(store, follower, since, watch_time)
        )
        if is_successful(step):
            since = step.unwrap()
            continue
        since = None
        logging.warning("event=configuration_unread detail=%r", step.failure().detail)
        stop.wait(retry_pause / 1000.0)


def _start(store: ObjectStore, follower: ConfigurationFollower) -> Result[int, ConfigReadError]:
    """Refresh, and return the store's revision from before the reading, so that no gap is left."""
    page = store.list(HEAD_KEY, limit=1)
    if not is_successful(page):
        return Failure(read_error(page.failure()))
    return follower.refresh().map(lambda _: page.unwrap().revision)


def _step(
    store: ObjectStore, follower: ConfigurationFollower, since: int, watch_time: Millis
) -> Result[int, ConfigReadError]:
    batch = store.watch(REVISIONS_PREFIX, revision=since, timeout=watch_time)
    if not is_successful(batch):
        failure = batch.failure()
        if failure.fault is StoreFault.COMPACTED:
            return _start(store, follower)
        return Failure(read_error(failure))
    events = batch.unwrap()
    return follower.observe(events.changes).map(lambda _: events.revision)
