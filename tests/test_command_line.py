"""The program ``carobspool`` against a running site, as an operator and a caller use it."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

from harness import Site, batch_items, running_site

from carobspool_cli._exit_codes import ExitCode

UNREACHABLE_ENTRY = "http://127.0.0.1:1"


class CommandRunner:
    """Runs commands with one key against the site's entries, the first of which is down."""

    def __init__(self, site: Site, key: str, folder: Path) -> None:
        entries = [site.process_client(entry).base for entry in site.entries]
        listed = ",".join([UNREACHABLE_ENTRY, *entries])
        self._environment = {"CAROBSPOOL_ENTRY": listed, "CAROBSPOOL_KEY": key}
        self._folder = folder

    def run(self, *arguments: str, code: ExitCode = ExitCode.DONE) -> str:
        """Run a command, check its exit code and return what it wrote."""
        command = [sys.executable, "-m", "carobspool_cli", *arguments]
        done = subprocess.run(
            command,
            env=self._environment,
            cwd=self._folder,
            capture_output=True,
            text=True,
            check=False,
            timeout=60,
        )
        assert done.returncode == code, done.stdout + done.stderr
        return done.stdout + done.stderr

    def run_json(self, *arguments: str) -> Any:
        """Run a command with ``--json`` and return the value that it wrote."""
        return json.loads(self.run(*arguments, "--json"))


def test_commands_of_an_operator_and_a_caller(tmp_path: Path) -> None:
    """Configure, drain, run a job, cancel another, and find the changes in the audit trail."""
    with running_site(tmp_path / "site") as site:
        operator = CommandRunner(site, site.cluster.operator_key.value, tmp_path)
        caller = CommandRunner(site, site.key.value, tmp_path)
        operator.run("config", "show", "--to", "state")
        operator.run("validate", "state")
        assert "no changes" in operator.run("diff", "state")
        state = json.loads((tmp_path / "state" / "state.json").read_text())
        state["organisations"].append({"name": "clinics"})
        (tmp_path / "state" / "state.json").write_text(json.dumps(state))
        assert "organisations/clinics: added" in operator.run("diff", "state")
        operator.run("apply", "state", "--reason", "a new customer")
        operator.run("drain", "engine-1", "--reason", "fans")
        operator.run("drain", "engine-1", "--return", "--reason", "fans changed")
        hosts = [each["host"] for each in operator.run_json("status")["upstreams"]]
        assert hosts == ["engine-1", "engine-2"]

        items = tmp_path / "items.jsonl"
        items.write_text("".join(json.dumps(item) + "\n" for item in batch_items(5)))
        job = caller.run_json("job", "submit", str(items), "--wait")
        assert job["request_counts"] == {"total": 5, "completed": 5, "failed": 0}
        caller.run("job", "results", job["id"], "--output", "out.jsonl")
        assert len((tmp_path / "out.jsonl").read_text().splitlines()) == 5
        items.write_text(
            "".join(json.dumps(item) + "\n" for item in batch_items(400, tokens=200, name="long"))
        )
        long = caller.run_json("job", "submit", str(items))
        caller.run("job", "cancel", long["id"], "--reason", "não é este")
        caller.run("job", "status", long["id"], "--wait", code=ExitCode.JOB_FAILED)
        caller.run("audit", code=ExitCode.REFUSED)

        records = operator.run_json("audit", "--limit", "5")["records"]
        recorded = [(each["kind"], each["reason"]) for each in records]
        assert ("cancel", "não é este") in recorded
        assert ("drain", "fans changed") in recorded
        assert ("configuration", "a new customer") in recorded
