"""``carobspool explain``: the timeline of one request, job or item across logs."""

from __future__ import annotations

import sys
from pathlib import Path

from cleo.helpers import argument

from carobspool_cli._base import JSON_OPTION, BaseCommand, Outcome, command_failure
from carobspool_cli._exit_codes import ExitCode
from carobspool_cli._timeline import LogLine, build_timeline


class ExplainCommand(BaseCommand):
    """``carobspool explain``."""

    name = "explain"
    description = "Show what the logs say of one request, job or item, in chronological order."
    arguments = [
        argument("id", "The id of a request, job or item."),
        argument("logs", "Log files; standard input by default.", optional=True, multiple=True),
    ]
    options = [JSON_OPTION]

    def run_command(self) -> Outcome:
        """Read the logs and show the lines that concern the id."""
        lines: list[str] = []
        for name in self.argument("logs") or ["-"]:
            try:
                text = sys.stdin.read() if name == "-" else Path(name).read_text(encoding="utf-8")
            except (OSError, UnicodeDecodeError) as error:
                return command_failure(ExitCode.USAGE, "unreadable_log", (f"{name}: {error}",))
            lines.extend(text.splitlines())
        found = build_timeline(self.argument("id"), lines)
        if not found.lines:
            message = f"no line of these logs names {self.argument('id')}"
            return command_failure(ExitCode.NOT_FOUND, "not_found", (message,))
        value = {
            "nodes": list(found.nodes),
            "upstreams": list(found.upstreams),
            "lines": [each.pairs for each in found.lines],
        }
        return self.write_result(
            value, [_format_line(each, found.lines[0].second) for each in found.lines]
        )


def _format_line(line: LogLine, start: float) -> str:
    return f"{line.second - start:+9.3f} s  {line.node:24} {line.text}"
