"""Taking over changed settings, on SIGHUP and when the file changes without a signal."""

from __future__ import annotations

import signal
from pathlib import Path
from types import FrameType

from absl import logging
from returns.pipeline import is_successful

from carobspool_node.direct._settings import DirectSettings, load_direct_settings

LIVE = frozenset(("log_level",))
"""Settings that a running process takes over; the others need a restart and are logged."""


class SettingsReload:
    """Follows one settings file.

    Args:
        path: The file.
        settings: What the process runs with.
    """

    def __init__(self, path: Path, settings: DirectSettings) -> None:
        self._path = path
        self._settings = settings
        self._stamp = self._read_stamp()
        self._signals = 0
        self._signals_seen = 0

    def listen(self) -> None:
        """Take SIGHUP as the word that the file has changed."""
        signal.signal(signal.SIGHUP, self._take_signal)

    def check(self) -> None:
        """Reload when the file has changed or a signal has come; call it now and then."""
        stamp = self._read_stamp()
        signals = self._signals
        if stamp == self._stamp and signals == self._signals_seen:
            return
        self._stamp = stamp
        self._signals_seen = signals
        loaded = load_direct_settings(self._path)
        if not is_successful(loaded):
            for problem in loaded.failure():
                logging.error("event=reload done=False reason=%r", str(problem))
            return
        self._apply(loaded.unwrap())

    def _take_signal(self, number: int, frame: FrameType | None) -> None:
        # Only counts: a handler must not ask for a lock that the main task may hold.
        self._signals += 1

    def _apply(self, new: DirectSettings) -> None:
        names = DirectSettings.__struct_fields__
        changed = [name for name in names if getattr(new, name) != getattr(self._settings, name)]
        later = sorted(set(changed) - LIVE)
        self._settings = new
        logging.set_verbosity(new.log_level)
        logging.info(
            "event=reload done=True changed=%s needs_restart=%s",
            ",".join(changed) or "nothing",
            ",".join(later) or "nothing",
        )

    def _read_stamp(self) -> tuple[int, int]:
        try:
            found = self._path.stat()
        except OSError as error:
            logging.warning("event=settings_unreadable reason=%r", error)
            return (0, 0)
        return (found.st_mtime_ns, found.st_size)
