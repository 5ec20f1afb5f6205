"""Signals: the first asks for a graceful shutdown, the second cuts it short."""

from __future__ import annotations

import signal
import threading
from types import FrameType

from absl import logging


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
