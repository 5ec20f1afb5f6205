"""Store calls beside a loop: they run on a small pool, and what they found comes back in order."""

from __future__ import annotations

import contextlib
import queue
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar

from absl import logging

from carobspool_core import Millis

WORKERS = 8

_T = TypeVar("_T")


class StoreCalls:
    """The pool and the inbox of one loop."""

    def __init__(self) -> None:
        self._pool = ThreadPoolExecutor(max_workers=WORKERS, thread_name_prefix="job-store")
        self._inbox: queue.SimpleQueue[Callable[[], None]] = queue.SimpleQueue()

    def post(self, news: Callable[[], None]) -> None:
        """Let the loop call ``news`` in its next round; safe on any thread."""
        self._inbox.put(news)

    def wake(self) -> None:
        """Let the loop begin its next round now."""
        self._inbox.put(_nothing)

    def submit(self, call: Callable[[], _T], take: Callable[[_T], None]) -> None:
        """Run a call on the pool; the loop then calls ``take`` with its result."""

        def work() -> None:
            try:
                found = call()
            except Exception:
                logging.exception("event=store_call_failed")
                return
            self.post(lambda: take(found))

        with contextlib.suppress(RuntimeError):  # the pool was shut down meanwhile
            self._pool.submit(work)

    def take_news(self, timeout: Millis) -> None:
        """Wait for one piece of news, then take all that there are.

        Args:
            timeout: Longest wait, in milliseconds.
        """
        try:
            news = self._inbox.get(timeout=timeout / 1000.0)
        except queue.Empty:
            return
        while True:
            news()
            try:
                news = self._inbox.get_nowait()
            except queue.Empty:
                return

    def stop(self) -> None:
        """Start no further call."""
        self._pool.shutdown(wait=False, cancel_futures=True)


def _nothing() -> None:
    return None
