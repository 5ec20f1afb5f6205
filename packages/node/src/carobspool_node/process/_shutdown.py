"""Signals: the first asks for a graceful shutdown, the second cuts it short."""

from __future__ import annotations

import os
import queue
import signal
import sys
import threading
from typing import NoReturn

from absl import logging


def end_process(code: int) -> NoReturn:
    """End the process at once, after everything that may be finished was.

    The interpreter would first wait for every worker of every pool. One that serves a stream which
    was given up on would keep the process, and its port, for as long as the stream lasts.
    """
    logging.flush()
    sys.stdout.flush()
    os._exit(code)


class ShutdownRequest:
    """Waits for SIGTERM or SIGINT. Since 0.1.

    A handler runs on the main task, wherever that stands, and must not ask for a lock that the main
    task may hold: of the event on which it waits, or of the log. Both would wait for ever, and the
    process would be killed with all that it serves. The handler only puts into a simple queue,
    which takes no such lock; a task of its own does the rest.
    """

    def __init__(self) -> None:
        self._signals: queue.SimpleQueue[int] = queue.SimpleQueue()
        self._first = threading.Event()
        self._second = threading.Event()
        threading.Thread(target=self._take_signals, name="signals", daemon=True).start()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda number, _: self._signals.put(number))

    @property
    def hurried(self) -> threading.Event:
        """Set when a second signal came: stop waiting for what is in progress."""
        return self._second

    def wait(self) -> None:
        """Wait for the first signal."""
        # A wait without a time limit is not interrupted by a signal's handler on every system.
        while not self._first.wait(1.0):
            continue

    def _take_signals(self) -> None:
        self._signals.get()
        self._first.set()
        number = self._signals.get()
        logging.warning("event=second_signal signal=%d", number)
        self._second.set()
