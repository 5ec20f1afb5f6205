"""Reloads the settings file on SIGHUP and when the file changes without a signal."""

from __future__ import annotations

import signal
from pathlib import Path
from types import FrameType

from absl import logging
from returns.pipeline import is_successful

from carobspool_node.direct._settings import DirectSettings, load_direct_settings

RELOADABLE = frozenset(("log_level",))
"""Settings that apply without a restart. Other changed settings are logged as needing a restart."""


class SettingsReload:
    """Detects and applies changes of a settings file.

    Args:
        path: The settings file.
        settings: The settings that are in use.
    """

    def __init__(self, path: Path, settings: DirectSettings) -> None:
        self._path = path
        self._settings = settings
        self._file_stamp = self._read_stamp()
        self._signal_count = 0
        self._handled_signal_count = 0

    def listen(self) -> None:
        """Install a SIGHUP handler that requests a reload at the next `check`."""
        signal.signal(signal.SIGHUP, self._count_signal)

    def check(self) -> None:
        """Reload if the file has changed or SIGHUP has arrived; must be called periodically."""
        stamp = self._read_stamp()
        signals = self._signal_count
        if stamp == self._file_stamp and signals == self._handled_signal_count:
            return
        self._file_stamp = stamp
        self._handled_signal_count = signals
        loaded = load_direct_settings(self._path)
        if not is_successful(loaded):
            for problem in loaded.failure():
                logging.error("event=reload done=False reason=%r", str(problem))
            return
        self._apply(loaded.unwrap())

    def _count_signal(self, number: int, frame: FrameType | None) -> None:
        # Only counts: a signal handler must not acquire a lock that the main task may hold.
        self._signal_count += 1

    def _apply(self, new: DirectSettings) -> None:
        names = DirectSettings.__struct_fields__
        changed = [name for name in names if getattr(new, name) != getattr(self._settings, name)]
        needs_restart = sorted(set(changed) - RELOADABLE)
        self._settings = new
        logging.set_verbosity(new.log_level)
        logging.info(
            "event=reload done=True changed=%s needs_restart=%s",
            ",".join(changed) or "nothing",
            ",".join(needs_restart) or "nothing",
        )

    def _read_stamp(self) -> tuple[int, int]:
        try:
            found = self._path.stat()
        except OSError as error:
            logging.warning("event=settings_unreadable reason=%r", error)
            return (0, 0)
        return (found.st_mtime_ns, found.st_size)
