"""What the logs of many processes say of one request, job or item, in the order of time."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass

NODE_EVENTS = frozenset(
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
"""Events that change what a process believes; they explain a decision that follows them."""
LOOK_BACK_S = 5.0
"""How long before the first line of the subject such events are shown."""

_PAIR = re.compile(r"""(\w+)=("(?:[^"\\]|\\.)*"|'(?:[^'\\]|\\.)*'|\S*)""")
_TIME = re.compile(r"time=\d+-\d+-\d+T(\d+):(\d+):(\d+\.\d+)")
_DAY_S = 86_400.0


@dataclass(frozen=True, slots=True, kw_only=True)
class LogLine:
    """One line of a log.

    Attributes:
        second: Second of the day.
        node: The process that wrote it.
        event: What happened.
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
    """The lines that concern one id, and those that explain them."""

    lines: tuple[LogLine, ...]
    nodes: tuple[str, ...]
    upstreams: tuple[str, ...]


def read_line(text: str) -> LogLine | None:
    """Return a line of a process's log, ``None`` for anything else."""
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


def timeline(subject: str, lines: Iterable[str]) -> Timeline:
    """Return what concerns a request, job or item.

    Besides the lines that name it: what changed at the same processes shortly before and until its
    last line, and what the same processes learned of the upstreams that it met.
    """
    known = [each for each in map(read_line, lines) if each is not None]
    own = [each for each in known if subject in each.pairs.values()]
    if not own:
        return Timeline(lines=(), nodes=(), upstreams=())
    first = min(each.second for each in own)
    last = max(each.second for each in own)
    nodes = {each.node for each in own}
    upstreams = {name for each in own for name in _upstreams(each) if name}
    found = list(own)
    for each in known:
        in_time = (first - each.second) % _DAY_S <= LOOK_BACK_S or first <= each.second <= last
        if each in own or each.node not in nodes or not in_time:
            continue
        if each.event not in NODE_EVENTS:
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
