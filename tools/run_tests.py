"""Run the test suite and close with the plain line ``N passed, N failed``.

Unit tests run first on several workers. The system tests start real processes and are sensitive
to a crowded machine, so they run afterwards on fewer workers. A test listed in ``KNOWN-RED.txt``
is run and printed, and its failure is not counted against the verdict.
"""

from __future__ import annotations

import argparse
import subprocess
import sys
import tempfile
import xml.etree.ElementTree as ElementTree
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
UNIT_WORKERS = 6
SYSTEM_WORKERS = 3
PYTEST_NO_TESTS = 5
TIMED = ("tests/promises/test_head_of_line.py",)
"""Tests that judge milliseconds; they run alone, since a crowded machine would decide them."""


@dataclass(frozen=True, slots=True)
class Case:
    """One executed test: its ``file::name`` id, whether it failed, and the promise it proves."""

    test: str
    failed: bool
    skipped: bool
    promise: str
    seconds: float


def main() -> int:
    """Run the chosen tests and return the process exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--promises", action="store_true", help="only the proofs of promises")
    options = parser.parse_args()
    cases: list[Case] = []
    broken = False
    for paths, workers in _suites(promises_only=options.promises):
        code, found = _run_pytest(paths, workers)
        cases.extend(found)
        broken = broken or code not in (0, 1, PYTEST_NO_TESTS)
    if options.promises:
        _print_promises(cases)
    return _verdict(cases, broken=broken)


def _suites(*, promises_only: bool) -> list[tuple[list[str], int]]:
    spared = [f"--ignore={path}" for path in TIMED]
    if promises_only:
        return [(["tests/promises", *spared], SYSTEM_WORKERS), (list(TIMED), 1)]
    return [
        (["packages"], UNIT_WORKERS),
        (["tests", *spared], SYSTEM_WORKERS),
        (list(TIMED), 1),
    ]


def _run_pytest(paths: list[str], workers: int) -> tuple[int, list[Case]]:
    present = [path for path in paths if path.startswith("-") or (ROOT / path).exists()]
    if not present:
        return PYTEST_NO_TESTS, []
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.xml"
        command = [sys.executable, "-m", "pytest", f"--junitxml={report}", "-n", str(workers)]
        command += ["--dist", "loadfile", *present]
        code = subprocess.run(command, cwd=ROOT, check=False).returncode
        return code, _read_report(report)


def _read_report(report: Path) -> list[Case]:
    if not report.exists():
        return []
    cases = []
    for node in ElementTree.parse(report).iter("testcase"):
        name = f"{node.get('classname', '')}::{node.get('name', '')}"
        failed = node.find("failure") is not None or node.find("error") is not None
        cases.append(
            Case(
                test=name,
                failed=failed,
                skipped=node.find("skipped") is not None,
                promise=_promise(node),
                seconds=float(node.get("time", "0")),
            )
        )
    return cases


def _promise(node: ElementTree.Element) -> str:
    for each in node.iter("property"):
        if each.get("name") == "promise":
            return each.get("value", "")
    return ""


def _print_promises(cases: list[Case]) -> None:
    """Print a row for each promise and fault: how often it ran and how often it was violated."""
    rows: dict[tuple[str, str], list[Case]] = {}
    for case in cases:
        fault = case.test.rpartition("::")[2].removeprefix("test_").replace("_", " ")
        rows.setdefault((case.promise, fault), []).append(case)
    print(f"{'promise':44} {'fault':64} {'runs':>4} {'violations':>10}")
    for (promise, fault), found in sorted(rows.items()):
        violations = sum(case.failed for case in found)
        print(f"{promise:44} {fault[:64]:64} {len(found):4} {violations:10}")


def _known_red() -> list[str]:
    if not KNOWN_RED.exists():
        return []
    lines = [line.strip() for line in KNOWN_RED.read_text().splitlines()]
    return [line.split()[0] for line in lines if line and not line.startswith("#")]


def _verdict(cases: list[Case], *, broken: bool) -> int:
    known = _known_red()
    red = [case for case in cases if case.failed and case.test in known]
    failed = [case for case in cases if case.failed and case.test not in known]
    passed = [case for case in cases if not case.failed and not case.skipped]
    for case in red:
        print(f"known red: {case.test}")
    for case in failed:
        print(f"failed: {case.test}")
    count = len(failed) + int(broken)
    print(f"{len(passed)} passed, {count} failed")
    return 1 if count or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
