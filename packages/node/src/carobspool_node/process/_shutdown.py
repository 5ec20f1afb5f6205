"""Signals: the first asks for a graceful shutdown, the second cuts it short."""

from __future__ import annotations

import os
import signal
import sys
import threading
from types import FrameType
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
    """Waits for SIGTERM or SIGINT. Since 0.1."""

    def __init__(self) -> None:
        self._first = threading.Event()
        self._second = threading.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._handle)

    @property
    def hurried(self) -> threading.Event:
        """Set when a second signal came: stop waiting for what is in progress."""
        return self._second

    def wait(self) -> None:
        """Wait for the first signal."""
        # A wait without a time limit is not interrupted by a signal's handler on every system.
        while not self._first.wait(1.0):
            continue

    def _handle(self, number: int, frame: FrameType | None) -> None:
        if self._first.is_set():
            logging.warning("event=second_signal signal=%d", number)
            self._second.set()
            return
        self._first.set()
