"""Commands on the configuration: validate, diff, apply, config show, config history."""

from __future__ import annotations

import json
from pathlib import Path

from cleo.helpers import argument, option
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from carobspool_cli._base import (
    JSON_OPTION,
    REMOTE_OPTIONS,
    BaseCommand,
    Outcome,
    RemoteCommand,
    call_entry,
    usage_error,
    write_warning,
)
from carobspool_cli._client import Client
from carobspool_cli._exit_codes import ExitCode
from carobspool_cli._output import format_table, format_timestamp
from carobspool_cli.errors import CommandError
from carobspool_core import DesiredState, Json
from carobspool_core.schema import ConfigError, dump_state, load_folder

BASE_FILE = ".carobspool-base"
"""File in the folder with the revision that the folder's content last matched."""

NEWEST = "newest"
STATE_FILE = "state.json"
DEFAULT_LIMIT = 20

_FOLDER = argument("dir", "Folder with the files of the desired state.")
_BASE = option(
    "base",
    None,
    f"Revision from which the folder was made, or '{NEWEST}'. By default as recorded in the folder "
    "by the last apply or config show --to.",
    flag=False,
)
_LIMIT = option("limit", None, "Most lines to show.", flag=False, default=str(DEFAULT_LIMIT))


class ValidateCommand(BaseCommand):
    """``carobspool validate``."""

    name = "validate"
    description = "Check a folder of the desired state; all errors are reported at once."
    arguments = [_FOLDER]
    options = [JSON_OPTION]

    def run_command(self) -> Outcome:
        """Check the folder."""
        state = _load_state(Path(self.argument("dir")))
        if not is_successful(state):
            return Failure(state.failure())
        counts = {name: len(each) for name, each in dump_state(state.unwrap()).items()}
        counts = {name: counts[name] for name in ("organisations", "callers", "models")} | {
            name: counts[name] for name in ("upstreams", "services")
        }
        words = ", ".join(f"{count} {name}" for name, count in counts.items())
        return self.write_result({"valid": True, "counts": counts}, [f"valid: {words}"])


class DiffCommand(RemoteCommand):
    """``carobspool diff``."""

    name = "diff"
    description = "Show what an apply of a folder would change."
    arguments = [_FOLDER]
    options = [*REMOTE_OPTIONS, _BASE]

    def run_remote(self, client: Client) -> Outcome:
        """Request a dry run of the apply and show its changes."""
        folder = Path(self.argument("dir"))
        body = _apply_body(client, folder, self.option("base"), "diff")
        if not is_successful(body):
            return Failure(body.failure())
        answer = call_entry(client, "POST", "/operator/config?dry_run=1", body.unwrap())
        if not is_successful(answer):
            return Failure(answer.failure())
        reply = answer.unwrap()
        lines = list(reply["summary"]) or ["no changes"]
        return self.write_result(reply, [*lines, *_merged_lines(reply)])


class ApplyCommand(RemoteCommand):
    """``carobspool apply``."""

    name = "apply"
    description = "Apply a folder as a unit: all of it comes into force, or nothing does."
    arguments = [_FOLDER]
    options = [
        *REMOTE_OPTIONS,
        _BASE,
        option("reason", None, "Why; kept in the audit trail.", flag=False),
    ]

    def run_remote(self, client: Client) -> Outcome:
        """Apply the folder."""
        folder = Path(self.argument("dir"))
        reason = self.option("reason")
        if not reason:
            return usage_error("--reason is required; the audit trail records it")
        body = _apply_body(client, folder, self.option("base"), reason)
        if not is_successful(body):
            return Failure(body.failure())
        answer = call_entry(client, "POST", "/operator/config", body.unwrap())
        if not is_successful(answer):
            return Failure(answer.failure())
        reply = answer.unwrap()
        if not reply.get("over"):
            _record_base(folder, reply["revision"])
        verb = "applied" if reply.get("written", True) else "nothing to change"
        first = f"{verb}: revision {reply['revision']}"
        return self.write_result(reply, [first, *reply["summary"], *_merged_lines(reply)])


class ConfigShowCommand(RemoteCommand):
    """``carobspool config show``."""

    name = "config show"
    description = "Show the configuration in force, or write it into a folder."
    options = [
        *REMOTE_OPTIONS,
        option("to", None, "Folder to write it to; it must hold no *.json file.", flag=False),
    ]

    def run_remote(self, client: Client) -> Outcome:
        """Read the configuration."""
        answer = call_entry(client, "GET", "/operator/config")
        if not is_successful(answer):
            return Failure(answer.failure())
        reply = answer.unwrap()
        target = self.option("to")
        if target is None:
            text = json.dumps(reply["state"], indent=2)
            return self.write_result(reply, [f"// revision {reply['revision']}", text])
        written = _write_folder(Path(target), reply)
        if not is_successful(written):
            return written
        lines = [f"revision {reply['revision']} written to {target}"]
        return self.write_result({"revision": reply["revision"], "to": target}, lines)


class ConfigHistoryCommand(RemoteCommand):
    """``carobspool config history``."""

    name = "config history"
    description = "Show accepted revisions with author, time and reason."
    options = [
        *REMOTE_OPTIONS,
        _LIMIT,
        option("after", None, "Revision after which to start.", flag=False, default="0"),
    ]

    def run_remote(self, client: Client) -> Outcome:
        """Read the history."""
        limit, after = self.option("limit"), self.option("after")
        if not (limit.isdecimal() and after.isdecimal()):
            return usage_error("--limit and --after take whole numbers")
        path = f"/operator/config/history?after={after}&limit={limit}"
        answer = call_entry(client, "GET", path)
        if not is_successful(answer):
            return Failure(answer.failure())
        reply = answer.unwrap()
        rows = [["revision", "at", "author", "reason", "changes"]]
        for each in reply["revisions"]:
            changes = "; ".join(each["summary"])
            number = str(each["revision"])
            rows.append(
                [number, format_timestamp(each["at"]), each["author"], each["reason"], changes]
            )
        return self.write_result(reply, format_table(rows))


def _load_state(folder: Path) -> Result[DesiredState, CommandError]:
    return load_folder(folder).alt(_configuration_error)


def _configuration_error(errors: tuple[ConfigError, ...]) -> CommandError:
    entries = [
        {"file": each.file, "path": each.path, "found": each.found, "allowed": each.allowed}
        for each in errors
    ]
    lines = [str(each) for each in errors]
    lines.append(f"{len(errors)} errors; nothing was applied")
    value = {"error": {"code": "invalid_configuration", "errors": entries}}
    return CommandError(exit_code=ExitCode.INVALID, lines=tuple(lines), value=value)


def _apply_body(
    client: Client, folder: Path, base: str | None, reason: str
) -> Result[Json, CommandError]:
    state = _load_state(folder)
    if not is_successful(state):
        return Failure(state.failure())
    number = _base_revision(client, folder, base)
    if not is_successful(number):
        return Failure(number.failure())
    content = dump_state(state.unwrap())
    return Success({"base": number.unwrap(), "state": content, "reason": reason})


def _base_revision(client: Client, folder: Path, base: str | None) -> Result[int, CommandError]:
    """Return the revision from which the folder was made.

    A default of the newest revision would silently undo what other operators applied since the
    files were written: the folder is the complete state, so what it does not contain is removed.
    """
    recorded = _read_recorded_base(folder) if base is None else base
    if recorded is not None and recorded.isdecimal():
        return Success(int(recorded))
    if recorded is not None and recorded != NEWEST:
        return usage_error(f"--base takes a revision number or '{NEWEST}', not {recorded!r}")
    answer = call_entry(client, "GET", "/operator/config")
    if not is_successful(answer):
        return Failure(answer.failure())
    newest: int = answer.unwrap()["revision"]
    if recorded == NEWEST or newest == 0:
        return Success(newest)
    return usage_error(
        f"revision {newest} is in force and the folder does not say from which revision it was "
        f"made; see 'config history', then give --base (or --base {NEWEST} to replace what is "
        "in force)"
    )


def _read_recorded_base(folder: Path) -> str | None:
    path = folder / BASE_FILE
    return path.read_text(encoding="utf-8").strip() if path.is_file() else None


def _record_base(folder: Path, revision: int) -> None:
    try:
        (folder / BASE_FILE).write_text(f"{revision}\n", encoding="utf-8")
    except OSError as error:
        write_warning(
            f"revision {revision} could not be recorded in the folder: {type(error).__name__}"
        )


def _merged_lines(reply: Json) -> list[str]:
    over = reply.get("over", [])
    if not over:
        return []
    numbers = ", ".join(str(each) for each in over)
    return [
        f"merged with the changes of revision {numbers}, which the folder does not have: "
        "add them to its files, or write the folder again with 'config show --to'"
    ]


def _write_folder(folder: Path, reply: Json) -> Outcome:
    if any(folder.glob("*.json")):
        return usage_error(f"{folder} holds *.json files already")
    try:
        folder.mkdir(parents=True, exist_ok=True)
        text = json.dumps(reply["state"], indent=2) + "\n"
        (folder / STATE_FILE).write_text(text, encoding="utf-8")
    except OSError as error:
        return usage_error(f"{folder} cannot be written: {type(error).__name__}")
    _record_base(folder, reply["revision"])
    return Success(None)
