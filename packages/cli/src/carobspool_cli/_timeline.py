"""Timeline of one request, job or item from the logs of several processes."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass

CONTEXT_EVENTS = frozenset(
    (
        "start",
        "stop",
        "stop_requested",
        "reload",
        "configuration",
        "upstream_changed",
        "store_lost",
        "store_regained",
        "peer_lost",
        "process_stalled",
        "upstreams_listed",
    )
)
"""Events that change a process's view of the system and so explain its later decisions."""
CONTEXT_WINDOW_S = 5.0
"""How long before the subject's first line such events are included."""

_PAIR = re.compile(r"""(\w+)=("(?:[^"\\]|\\.)*"|'(?:[^'\\]|\\.)*'|\S*)""")
_TIME = re.compile(r"time=\d+-\d+-\d+T(\d+):(\d+):(\d+\.\d+)")
_DAY_S = 86_400.0


@dataclass(frozen=True, slots=True, kw_only=True)
class LogLine:
    """One line of a log.

    Attributes:
        second: Seconds since midnight.
        node: The process that wrote it.
        event: Name of the event.
        pairs: All its key=value pairs.
        text: The line from ``event=`` on.
    """

    second: float
    node: str
    event: str
    pairs: dict[str, str]
    text: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Timeline:
    """The lines that name one id, and the events that explain them."""

    lines: tuple[LogLine, ...]
    nodes: tuple[str, ...]
    upstreams: tuple[str, ...]


def parse_log_line(text: str) -> LogLine | None:
    """Parse a line of a process's log; return ``None`` for any other text."""
    time = _TIME.search(text)
    start = text.find("event=")
    if time is None or start < 0:
        return None
    pairs = {key: value.strip("\"'") for key, value in _PAIR.findall(text[time.start() :])}
    hours, minutes, seconds = time.groups()
    return LogLine(
        second=int(hours) * 3600 + int(minutes) * 60 + float(seconds),
        node=pairs.get("node", ""),
        event=pairs.get("event", ""),
        pairs=pairs,
        text=text[start:].rstrip("\n"),
    )


def build_timeline(subject: str, lines: Iterable[str]) -> Timeline:
    """Return the timeline of a request, job or item.

    Besides the lines that name its id, the timeline has the context events of the same processes
    from ``CONTEXT_WINDOW_S`` before its first line until its last one. Of the changes to upstreams
    it has only those of upstreams that its matching lines name.
    """
    parsed = [each for each in map(parse_log_line, lines) if each is not None]
    matching = [each for each in parsed if subject in each.pairs.values()]
    if not matching:
        return Timeline(lines=(), nodes=(), upstreams=())
    first = min(each.second for each in matching)
    last = max(each.second for each in matching)
    nodes = {each.node for each in matching}
    upstreams = {name for each in matching for name in _upstreams(each) if name}
    found = list(matching)
    for each in parsed:
        in_time = (first - each.second) % _DAY_S <= CONTEXT_WINDOW_S or first <= each.second <= last
        if each in matching or each.node not in nodes or not in_time:
            continue
        if each.event not in CONTEXT_EVENTS:
            continue
        if each.event == "upstream_changed" and each.pairs.get("upstream") not in upstreams:
            continue
        found.append(each)
    found.sort(key=lambda each: each.second)
    return Timeline(
        lines=tuple(found), nodes=tuple(sorted(nodes)), upstreams=tuple(sorted(upstreams))
    )


def _upstreams(line: LogLine) -> list[str]:
    named = [each.partition(":")[0] for each in line.pairs.get("upstreams", "").split(",")]
    return [line.pairs.get("upstream", ""), *named]
