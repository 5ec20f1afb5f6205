"""Logs: one line of key=value pairs for each event, by absl."""

from __future__ import annotations

import logging as standard_logging
import sys

from absl import logging

_VERBOSITY = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class LineFormatter(standard_logging.Formatter):
    """Puts time, level and node before the pairs of an event, all on one line."""

    def __init__(self, node: str) -> None:
        super().__init__()
        self._node = node

    def format(self, record: standard_logging.LogRecord) -> str:
        text = record.getMessage().replace("\n", "\\n")
        line = (
            f"time={self.formatTime(record, '%Y-%m-%dT%H:%M:%S')}.{int(record.msecs):03d}"
            f" level={record.levelname.lower()} node={self._node} {text}"
        )
        if record.exc_info:
            trace = self.formatException(record.exc_info).replace("\n", "\\n")
            line = f'{line} trace="{trace}"'
        return line


def set_up_logs(node: str, level: str) -> None:
    """Send this process's logs to standard error.

    Args:
        node: Name of the process.
        level: ``debug``, ``info``, ``warning`` or ``error``.
    """
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.setFormatter(LineFormatter(node))
    handler.python_handler.stream = sys.stderr
    logging.set_verbosity(_VERBOSITY[level])
    standard_logging.getLogger("websockets").setLevel(standard_logging.ERROR)
    standard_logging.getLogger("werkzeug").setLevel(standard_logging.ERROR)
