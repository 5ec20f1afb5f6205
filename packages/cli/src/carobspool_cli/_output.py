"""Formatting of results, errors and progress."""

from __future__ import annotations

import time
from collections.abc import Iterable, Sequence
from datetime import UTC, datetime
from typing import TextIO

from carobspool_cli._exit_codes import ExitCode
from carobspool_cli.errors import ClientFailure, CommandError
from carobspool_core import Json

REDRAW_INTERVAL_S = 0.2
"""Minimum interval between two updates of a progress line."""


def format_timestamp(at: float) -> str:
    """Return a timestamp as readable UTC text.

    Args:
        at: Milliseconds since the Unix epoch.
    """
    return datetime.fromtimestamp(at / 1000.0, tz=UTC).strftime("%Y-%m-%d %H:%M:%SZ")


def format_table(rows: Sequence[Sequence[str]]) -> list[str]:
    """Return rows as lines of text with aligned columns; the first row is the heading."""
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    lines = []
    for row in rows:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        lines.append("  ".join(cells).rstrip())
    return lines


class ProgressLine:
    """A progress line that is redrawn in place; without a terminal nothing is written."""

    def __init__(self, stream: TextIO, label: str) -> None:
        self._stream = stream
        self._label = label
        self._enabled = stream.isatty()
        self._last_draw = 0.0

    def draw(self, done: int, total: int) -> None:
        """Update the line, at most once per ``REDRAW_INTERVAL_S``."""
        now = time.monotonic()
        if not self._enabled or now - self._last_draw < REDRAW_INTERVAL_S:
            return
        self._last_draw = now
        share = f" ({100 * done // total}%)" if total else ""
        self._stream.write(f"\r\x1b[K{self._label}: {done} of {total or '?'}{share}")
        self._stream.flush()

    def end(self) -> None:
        """Clear the line."""
        if self._enabled:
            self._stream.write("\r\x1b[K")
            self._stream.flush()


def command_error(failure: ClientFailure) -> CommandError:
    """Return the command error that reports a failed call to the user."""
    lines = [f"{failure.code}: {failure.message}"]
    lines.extend(_conflict_lines(failure.details.get("conflicts", ())))
    lines.extend(_error_lines(failure.details.get("errors", ())))
    lines.extend(
        f"since the base: {_author_text(each)}" for each in failure.details.get("over", ())
    )
    value = {
        "error": {
            "status": failure.status,
            "code": failure.code,
            "message": failure.message,
            "outcome": failure.outcome,
            **failure.details,
        }
    }
    return CommandError(exit_code=_exit_code(failure), lines=tuple(lines), value=value)


def _exit_code(failure: ClientFailure) -> ExitCode:
    if failure.code in ("conflict", "invalid_together", "unknown_base"):
        return ExitCode.CONFLICT
    if failure.code == "invalid_configuration":
        return ExitCode.INVALID
    if failure.outcome == "unknown":
        return ExitCode.UNKNOWN
    if failure.status in (0, 503):
        return ExitCode.UNREACHABLE
    return ExitCode.REFUSED


def _conflict_lines(conflicts: Iterable[Json]) -> Iterable[str]:
    for conflict in conflicts:
        yield f"{conflict['subject']}: both changed it"
        yield from (f"  yours:  {line}" for line in conflict["mine"])
        yield from (f"  theirs: {line}" for line in conflict["theirs"])
        by = conflict.get("by")
        yield f"  by {_author_text(by)}" if by else "  author not known"


def _error_lines(errors: Iterable[Json]) -> Iterable[str]:
    for error in errors:
        place = f"{error['file']}: " if error["file"] else ""
        yield f"{place}{error['path']}: found {error['found']}; allowed: {error['allowed']}"


def _author_text(revision: Json) -> str:
    return (
        f"{revision['author']} at {format_timestamp(revision['at'])} "
        f"in revision {revision['revision']}: {revision['reason']}"
    )
