"""Commands on batch jobs: submit, status, results, cancel."""

from __future__ import annotations

import sys
import time
import uuid
from pathlib import Path
from urllib.parse import quote

from cleo.helpers import argument, option
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from carobspool_cli._base import (
    REMOTE_OPTIONS,
    Outcome,
    RemoteCommand,
    call_entry,
    command_failure,
    usage_error,
)
from carobspool_cli._client import Call, Client
from carobspool_cli._exit_codes import ExitCode
from carobspool_cli._output import ProgressLine, command_error
from carobspool_cli.errors import CommandError
from carobspool_core import Json

TERMINAL_STATUSES = frozenset({"completed", "failed", "expired", "cancelled"})
POLL_INTERVAL_S = 1.0
COMPLETION_WINDOW = "24h"
REASON_HEADER = "carobspool-reason"

_JOB = argument("id", "Id of the job.")
_WAIT = option("wait", None, "Wait for the job's end and show its progress.", flag=True)


class SubmitCommand(RemoteCommand):
    """``carobspool job submit``."""

    name = "job submit"
    description = "Submit a file of items (JSONL) as a batch job."
    arguments = [argument("file", "File of items, one JSON object a line with a custom_id.")]
    options = [
        *REMOTE_OPTIONS,
        _WAIT,
        option(
            "endpoint",
            None,
            "Endpoint that the items call.",
            flag=False,
            default="/v1/chat/completions",
        ),
        option(
            "idempotency-key",
            None,
            "Submitting again under this key finds the same job; generated if not given.",
            flag=False,
        ),
        option("metadata", None, "NAME=VALUE, repeatable.", flag=False, multiple=True),
    ]

    def run_remote(self, client: Client) -> Outcome:
        """Upload the file, create the job, and wait for its end if ``--wait`` is given."""
        path = Path(self.argument("file"))
        if not path.is_file():
            return usage_error(f"there is no file {path}")
        metadata = _parse_metadata(self.option("metadata"))
        if metadata is None:
            return usage_error("--metadata takes NAME=VALUE")
        uploaded = _upload_file(client, path)
        if not is_successful(uploaded):
            return Failure(uploaded.failure())
        body = {
            "input_file_id": uploaded.unwrap()["id"],
            "endpoint": self.option("endpoint"),
            "completion_window": COMPLETION_WINDOW,
            "metadata": metadata,
        }
        key = self.option("idempotency-key") or uuid.uuid4().hex
        headers = {"Idempotency-Key": key}
        call = Call(method="POST", path="/v1/batches", body=body, headers=headers)
        created = client.call(call).alt(command_error)
        if not is_successful(created):
            return Failure(created.failure())
        job = created.unwrap()
        if not self.option("wait"):
            return self.write_result(job, [f"accepted: {job['id']}"])
        return _show_ended_job(self, _wait_for_end(client, job["id"]))


class JobStatusCommand(RemoteCommand):
    """``carobspool job status``."""

    name = "job status"
    description = "Show a batch job."
    arguments = [_JOB]
    options = [*REMOTE_OPTIONS, _WAIT]

    def run_remote(self, client: Client) -> Outcome:
        """Show the job, with ``--wait`` once it has ended."""
        job_id = self.argument("id")
        if self.option("wait"):
            return _show_ended_job(self, _wait_for_end(client, job_id))
        answer = call_entry(client, "GET", _job_path(job_id))
        if not is_successful(answer):
            return Failure(answer.failure())
        return self.write_result(answer.unwrap(), _job_lines(answer.unwrap()))


class ResultsCommand(RemoteCommand):
    """``carobspool job results``."""

    name = "job results"
    description = "Read a job's results into a file."
    arguments = [_JOB]
    options = [
        *REMOTE_OPTIONS,
        option("output", "o", "File to write; by default <id>.jsonl.", flag=False),
        option("errors", None, "Read the items that ended as errors instead.", flag=True),
    ]

    def run_remote(self, client: Client) -> Outcome:
        """Look up the job's result file and download it."""
        job_id = self.argument("id")
        answer = call_entry(client, "GET", _job_path(job_id))
        if not is_successful(answer):
            return Failure(answer.failure())
        field = "error_file_id" if self.option("errors") else "output_file_id"
        file_id = answer.unwrap().get(field)
        if file_id is None:
            status = answer.unwrap()["status"]
            return command_failure(
                ExitCode.REFUSED, "no_results", (f"{job_id}: {status}, no {field}",)
            )
        suffix = ".errors.jsonl" if self.option("errors") else ".jsonl"
        target = Path(self.option("output") or f"{job_id}{suffix}")
        return self._read(client, file_id, target)

    def _read(self, client: Client, file_id: str, target: Path) -> Outcome:
        line = ProgressLine(sys.stderr, "reading bytes")
        path = f"/v1/files/{quote(file_id, safe='')}/content"
        try:
            size = client.download(path, target, line.draw).alt(command_error)
        except OSError as error:
            return usage_error(f"{target} cannot be written: {type(error).__name__}")
        finally:
            line.end()
        if not is_successful(size):
            return Failure(size.failure())
        value = {"file": str(target), "bytes": size.unwrap()}
        return self.write_result(value, [f"{target}: {size.unwrap()} bytes"])


class CancelCommand(RemoteCommand):
    """``carobspool job cancel``."""

    name = "job cancel"
    description = "Stop a batch job; finished items stay readable."
    arguments = [_JOB]
    options = [
        *REMOTE_OPTIONS,
        option("reason", None, "Why; kept in the audit trail.", flag=False, default=""),
    ]

    def run_remote(self, client: Client) -> Outcome:
        """Cancel the job."""
        # Percent-encoded: a header allows no line breaks and few characters beyond ASCII.
        headers = {REASON_HEADER: quote(self.option("reason"))}
        call = Call(method="POST", path=f"{_job_path(self.argument('id'))}/cancel", headers=headers)
        answer = client.call(call).alt(command_error)
        if not is_successful(answer):
            return Failure(answer.failure())
        return self.write_result(answer.unwrap(), _job_lines(answer.unwrap()))


def _upload_file(client: Client, path: Path) -> Result[Json, CommandError]:
    line = ProgressLine(sys.stderr, "sending bytes")
    try:
        call = Call(method="POST", path="/v1/files", upload=path)
        return client.call(call, line.draw).alt(command_error)
    finally:
        line.end()


def _wait_for_end(client: Client, job_id: str) -> Result[Json, CommandError]:
    line = ProgressLine(sys.stderr, f"{job_id} items")
    try:
        while True:
            answer = call_entry(client, "GET", _job_path(job_id))
            if not is_successful(answer):
                return answer
            job = answer.unwrap()
            counts = job["request_counts"]
            line.draw(counts["completed"] + counts["failed"], counts["total"])
            if job["status"] in TERMINAL_STATUSES:
                return Success(job)
            time.sleep(POLL_INTERVAL_S)
    finally:
        line.end()


def _show_ended_job(command: RemoteCommand, ended: Result[Json, CommandError]) -> Outcome:
    if not is_successful(ended):
        return Failure(ended.failure())
    job = ended.unwrap()
    lines = _job_lines(job)
    if job["status"] == "completed":
        return command.write_result(job, lines)
    error = CommandError(exit_code=ExitCode.JOB_FAILED, lines=tuple(lines), value=job)
    return Failure(error)


def _job_lines(job: Json) -> list[str]:
    counts = job["request_counts"]
    return [
        f"{job['id']}: {job['status']}",
        f"items: {counts['total']}, completed {counts['completed']}, failed {counts['failed']}",
    ]


def _job_path(job_id: str) -> str:
    return f"/v1/batches/{quote(job_id, safe='')}"


def _parse_metadata(pairs: list[str]) -> dict[str, str] | None:
    found: dict[str, str] = {}
    for pair in pairs:
        name, separator, value = pair.partition("=")
        if not separator or not name:
            return None
        found[name] = value
    return found
