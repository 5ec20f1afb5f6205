"""The steps of docs/TOUR.md: the command line as an operator and a caller first use it.

`tests/test_tour.py` runs them; ``python tests/tour.py`` runs them and writes the page.
"""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
import tempfile
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from harness import FAST_ENGINE, MODEL, ORGANISATION, SERVICE, batch_items

from carobspool_standins._cluster import Cluster, Key

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "TOUR.md"
JOB_ITEMS = 40
LONG_JOB_ITEMS = 3000


@dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """One command of the tour.

    Attributes:
        title: Purpose of the step, one sentence.
        command: Arguments of ``carobspool``; ``{job}`` and ``{long}`` stand for job ids.
        code: Expected exit code.
        expected_texts: Texts that its output must contain.
        file_to_write: File of the folder to write before the command, and its value.
        save_job_as: Name under which later steps refer to the job id in the output; empty for none.
    """

    title: str
    command: tuple[str, ...]
    code: int = 0
    expected_texts: tuple[str, ...] = ()
    file_to_write: tuple[str, Any] | None = None
    save_job_as: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class StepResult:
    """A step that was run, with its exit code and output."""

    step: Step
    command: str
    code: int
    output: str


class Tour:
    """A small site without configuration, and a folder of files for it."""

    def __init__(self, cluster: Cluster, folder: Path) -> None:
        self.cluster = cluster
        self.folder = folder
        self.job_ids: dict[str, str] = {}
        self._key_file = folder / "operator.key"
        self._key_file.write_text(cluster.operator_key.value, encoding="utf-8")
        self.caller = Key()
        self.state = folder / "site"
        self.state.mkdir()
        self._write_files()

    def steps(self) -> list[Step]:
        """Return the steps in order."""
        site = "site"
        bad = {"organisations": [{"name": ORGANISATION, "weight": "much"}]}
        good = {"organisations": [{"name": ORGANISATION, "weight": 1.0}]}
        more = {"organisations": [{"name": ORGANISATION, "weight": 2.0}]}
        other = {"organisations": [{"name": ORGANISATION, "weight": 3.0}]}
        return [
            Step(
                title="A bad file is refused; the message names file, place, what was found and "
                "what is allowed.",
                file_to_write=("organisations.json", bad),
                command=("validate", site),
                code=2,
                expected_texts=("organisations.json", "weight", "much"),
            ),
            Step(
                title="Mended, the folder is good.",
                file_to_write=("organisations.json", good),
                command=("validate", site),
            ),
            Step(
                title="Apply it as a unit, with the reason for the audit trail.",
                command=("apply", site, "--reason", "first configuration"),
                expected_texts=("1",),
            ),
            Step(
                title="What is declared, what runs, on every upstream.",
                command=("status",),
                expected_texts=("engine-1", MODEL),
            ),
            Step(
                title="A change: see the difference, then apply it on the revision it was made on.",
                file_to_write=("organisations.json", more),
                command=("diff", site),
                expected_texts=(ORGANISATION,),
            ),
            Step(
                title="It is in force on every process within seconds.",
                command=("apply", site, "--base", "1", "--reason", "more weight for proofs"),
                expected_texts=("2",),
            ),
            Step(
                title="Another operator, still on revision 1, changes the same entry and is told "
                "whose change stands there.",
                file_to_write=("organisations.json", other),
                command=("apply", site, "--base", "1", "--reason", "racing"),
                code=3,
                expected_texts=("more weight for proofs",),
            ),
            Step(
                title="Submit a job and watch it to its end.",
                command=("job", "submit", "notes.jsonl", "--wait"),
                expected_texts=("completed",),
                save_job_as="job",
            ),
            Step(
                title="Read its results.",
                command=("job", "results", "{job}", "--output", "results.jsonl"),
            ),
            Step(
                title="Submit a long one by mistake,",
                command=("job", "submit", "long.jsonl"),
                save_job_as="long",
            ),
            Step(
                title="and cancel it.",
                command=("job", "cancel", "{long}", "--reason", "wrong file"),
                expected_texts=("cancel",),
            ),
            Step(
                title="Drain a host; it gets nothing new from now on.",
                command=("drain", "engine-2", "--reason", "new disk"),
            ),
            Step(
                title="The audit trail tells all of it.",
                command=("audit",),
                expected_texts=(
                    "first configuration",
                    "more weight for proofs",
                    "wrong file",
                    "new disk",
                ),
            ),
            Step(
                title="The host comes back.",
                command=("drain", "engine-2", "--return", "--reason", "disk replaced"),
            ),
        ]

    def run(self, step: Step) -> StepResult:
        """Write the step's file, run its command and return the result."""
        if step.file_to_write is not None:
            name, value = step.file_to_write
            (self.state / name).write_text(json.dumps(value, indent=2), encoding="utf-8")
        arguments = [argument.format(**self.job_ids) for argument in step.command]
        binary = Path(sys.executable).parent / "carobspool"
        completed = subprocess.run(
            [str(binary), "--no-ansi", *arguments],
            cwd=self.folder,
            env=self._environment(),
            capture_output=True,
            text=True,
            timeout=90,
            check=False,
        )
        output = completed.stdout + completed.stderr
        if step.save_job_as:
            job = re.search(r"batch_[0-9a-f]+", output)
            assert job is not None, output
            self.job_ids[step.save_job_as] = job.group()
        shown = " ".join(_quote_argument(argument) for argument in step.command)
        return StepResult(
            step=step, command=f"carobspool {shown}", code=completed.returncode, output=output
        )

    def _environment(self) -> Mapping[str, str]:
        entries = ",".join(self.cluster.member(f"entry-{number}").url for number in (1, 2))
        return {
            **os.environ,
            "CAROBSPOOL_ENTRY": entries,
            "CAROBSPOOL_KEY": self.cluster.operator_key.value,
        }

    def _write_files(self) -> None:
        cluster = self.cluster
        callers = [
            {"id": "editor", "organisation": ORGANISATION, "key_hashes": [self.caller.hash]},
            {
                "id": "operator",
                "organisation": ORGANISATION,
                "key_hashes": [cluster.operator_key.hash],
                "role": "operator",
            },
        ]
        sections: dict[str, Any] = {
            "callers": callers,
            "models": [{"name": MODEL, "version": "1"}],
            "upstreams": cluster.upstreams,
            "services": [{"name": SERVICE, "routes": [{"prefix": "/"}]}],
        }
        for name, value in sections.items():
            path = self.state / f"{name}.json"
            path.write_text(json.dumps({name: value}, indent=2), encoding="utf-8")
        for name, count in (("notes", JOB_ITEMS), ("long", LONG_JOB_ITEMS)):
            lines = batch_items(count, tokens=20, name=name)
            text = "".join(json.dumps(line) + "\n" for line in lines)
            (self.folder / f"{name}.jsonl").write_text(text, encoding="utf-8")


@contextmanager
def tour_site(folder: Path) -> Iterator[Tour]:
    """Start a site without configuration: two engines, a plain service, two entries."""
    with Cluster(folder / "processes") as cluster:
        with cluster.start_concurrently():
            cluster.start_object_api()
            cluster.start_host_list()
            engines = [
                cluster.start_engine(f"engine-{number}", models=[MODEL], **FAST_ENGINE)
                for number in (1, 2)
            ]
            plain = cluster.start_plain_service("shop-1", service=SERVICE)
        with cluster.start_concurrently():
            for number, engine in enumerate(engines, start=1):
                cluster.start_sidecar(f"sidecar-{number}", engine, models=[MODEL])
            cluster.start_sidecar("sidecar-3", plain, service=SERVICE)
            for number in (1, 2):
                cluster.start_entry(f"entry-{number}")
        yield Tour(cluster, folder)


def _quote_argument(argument: str) -> str:
    argument = argument.replace("{job}", "$JOB").replace("{long}", "$LONG")
    return f"'{argument}'" if " " in argument else argument


def _page_text(done: list[StepResult]) -> str:
    lines = [
        "# A tour",
        "",
        "A transcript of `.venv/bin/python tests/tour.py`, which starts two engines, a service,",
        "three sidecars and two entries on this machine and runs these commands;",
        "`tests/test_tour.py` runs the same in CI. Ids, times and ports differ with each run.",
        "The entries' URLs stand in `CAROBSPOOL_ENTRY`, the operator's key in `CAROBSPOOL_KEY`.",
        "",
    ]
    for each in done:
        lines += [each.step.title, "", "```", f"$ {each.command}"]
        lines += each.output.rstrip().splitlines()
        lines += [f"(exit code {each.code})", "```", ""]
    return "\n".join(lines)


def main() -> int:
    """Run the tour and write its transcript to the page."""
    with tempfile.TemporaryDirectory() as folder, tour_site(Path(folder)) as tour:
        done = [tour.run(step) for step in tour.steps()]
    PAGE.write_text(_page_text(done), encoding="utf-8")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
