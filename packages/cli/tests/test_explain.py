"""Tests of ``carobspool explain``, which finds the cause of a failure in the logs by an id."""

from __future__ import annotations

import json
from pathlib import Path

from cleo.testers.command_tester import CommandTester

from carobspool_cli._explain_command import ExplainCommand
from carobspool_cli._timeline import build_timeline, parse_log_line

E1 = """time=2026-01-11T10:00:00.000 level=info node=e1 event=configuration version=3 routes=2
time=2026-01-11T10:00:03.000 level=info node=e1 event=upstream_changed upstream=i-1 deleted=True
time=2026-01-11T10:00:03.100 level=info node=e1 event=upstream_changed upstream=i-9 deleted=True
time=2026-01-11T10:00:04.000 level=info node=e1 event=try_failed request=abc upstream=i-1 sent=True
a line that is no event
time=2026-01-11T10:00:04.500 level=info node=e1 event=request request=abc outcome=unknown
time=2026-01-11T10:00:04.600 level=info node=e1 event=request request=abcd outcome=answered
"""
E2 = """time=2026-01-11T10:00:02.000 level=warning node=e2 event=store_lost prefix=config/
time=2026-01-11T10:00:04.400 level=info node=e1 event=job_call request=abc detail='a b=c'
"""


def test_a_line_is_read_with_its_quoted_values() -> None:
    line = parse_log_line(E2.splitlines()[1])
    assert line is not None
    assert (line.node, line.event, line.pairs["detail"]) == ("e1", "job_call", "a b=c")
    assert parse_log_line("Traceback") is None


def test_a_request_is_shown_with_what_explains_it_and_nothing_else() -> None:
    found = build_timeline("abc", (E1 + E2).splitlines())
    assert [each.event for each in found.lines] == [
        "configuration",
        "upstream_changed",
        "try_failed",
        "job_call",
        "request",
    ]
    assert (found.nodes, found.upstreams) == (("e1",), ("i-1",))


def test_the_command_reads_files_and_says_when_nothing_is_found(tmp_path: Path) -> None:
    logs = [tmp_path / "e1.log", tmp_path / "e2.log"]
    for path, text in zip(logs, (E1, E2), strict=True):
        path.write_text(text)
    names = " ".join(str(path) for path in logs)
    tester = CommandTester(ExplainCommand())
    assert tester.execute(f"abc {names} --json") == 0
    assert len(json.loads(tester.io.fetch_output())["lines"]) == 5
    assert tester.execute(f"nobody {names}") == 8
    assert tester.execute(f"abc {tmp_path / 'missing'}") == 1
