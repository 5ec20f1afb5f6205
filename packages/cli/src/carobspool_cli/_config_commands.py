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
    fetch,
    usage,
    warn,
)
from carobspool_cli._client import Client
from carobspool_cli._exit_codes import ExitCode
from carobspool_cli._output import instant, table
from carobspool_cli.errors import CommandError
from carobspool_core import DesiredState, Json
from carobspool_core.schema import ConfigError, dump_state, load_folder

BASE_FILE = ".carobspool-base"
"""File in the folder that holds the revision to which the folder was last equal."""

NEWEST = "newest"
STATE_FILE = "state.json"
DEFAULT_LIMIT = 20

_FOLDER = argument("dir", "Folder with the files of the desired state.")
_BASE = option(
    "base",
    None,
    f"Revision from which the folder was made, or '{NEWEST}'. By default as noted in the folder by "
    "the last apply or config show --to.",
    flag=False,
)
_LIMIT = option("limit", None, "Most lines to show.", flag=False, default=str(DEFAULT_LIMIT))


class ValidateCommand(BaseCommand):
    """``carobspool validate``."""

    name = "validate"
    description = "Check a folder of the desired state; every error is told at once."
    arguments = [_FOLDER]
    options = [JSON_OPTION]

    def run_command(self) -> Outcome:
        """Check the folder."""
        state = _load(Path(self.argument("dir")))
        if not is_successful(state):
            return Failure(state.failure())
        counts = {name: len(each) for name, each in dump_state(state.unwrap()).items()}
        counts = {name: counts[name] for name in ("organisations", "callers", "models")} | {
            name: counts[name] for name in ("upstreams", "services")
        }
        words = ", ".join(f"{count} {name}" for name, count in counts.items())
        return self.show({"valid": True, "counts": counts}, [f"valid: {words}"])


class DiffCommand(RemoteCommand):
    """``carobspool diff``."""

    name = "diff"
    description = "Show what an apply of a folder would change."
    arguments = [_FOLDER]
    options = [*REMOTE_OPTIONS, _BASE]

    def run_remote(self, client: Client) -> Outcome:
        """Ask the entry for the changes."""
        folder = Path(self.argument("dir"))
        body = _apply_body(client, folder, self.option("base"), "diff")
        if not is_successful(body):
            return Failure(body.failure())
        answer = fetch(client, "POST", "/operator/config?dry_run=1", body.unwrap())
        if not is_successful(answer):
            return Failure(answer.failure())
        found = answer.unwrap()
        lines = list(found["summary"]) or ["no changes"]
        return self.show(found, [*lines, *_over_lines(found)])


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
            return usage("say why by --reason; it is kept in the audit trail")
        body = _apply_body(client, folder, self.option("base"), reason)
        if not is_successful(body):
            return Failure(body.failure())
        answer = fetch(client, "POST", "/operator/config", body.unwrap())
        if not is_successful(answer):
            return Failure(answer.failure())
        found = answer.unwrap()
        if not found.get("over"):
            _note_base(folder, found["revision"])
        verb = "applied" if found.get("written", True) else "nothing to change"
        first = f"{verb}: revision {found['revision']}"
        return self.show(found, [first, *found["summary"], *_over_lines(found)])


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
        answer = fetch(client, "GET", "/operator/config")
        if not is_successful(answer):
            return Failure(answer.failure())
        found = answer.unwrap()
        target = self.option("to")
        if target is None:
            text = json.dumps(found["state"], indent=2)
            return self.show(found, [f"// revision {found['revision']}", text])
        written = _write_folder(Path(target), found)
        if not is_successful(written):
            return written
        lines = [f"revision {found['revision']} written to {target}"]
        return self.show({"revision": found["revision"], "to": target}, lines)


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
            return usage("--limit and --after take whole numbers")
        path = f"/operator/config/history?after={after}&limit={limit}"
        answer = fetch(client, "GET", path)
        if not is_successful(answer):
            return Failure(answer.failure())
        found = answer.unwrap()
        rows = [["revision", "at", "author", "reason", "changes"]]
        for each in found["revisions"]:
            changes = "; ".join(each["summary"])
            number = str(each["revision"])
            rows.append([number, instant(each["at"]), each["author"], each["reason"], changes])
        return self.show(found, table(rows))


def _load(folder: Path) -> Result[DesiredState, CommandError]:
    return load_folder(folder).alt(_invalid)


def _invalid(errors: tuple[ConfigError, ...]) -> CommandError:
    found = [
        {"file": each.file, "path": each.path, "found": each.found, "allowed": each.allowed}
        for each in errors
    ]
    lines = [str(each) for each in errors]
    lines.append(f"{len(errors)} errors; nothing was applied")
    value = {"error": {"code": "invalid_configuration", "errors": found}}
    return CommandError(exit_code=ExitCode.INVALID, lines=tuple(lines), value=value)


def _apply_body(
    client: Client, folder: Path, base: str | None, reason: str
) -> Result[Json, CommandError]:
    state = _load(folder)
    if not is_successful(state):
        return Failure(state.failure())
    number = _base_number(client, folder, base)
    if not is_successful(number):
        return Failure(number.failure())
    content = dump_state(state.unwrap())
    return Success({"base": number.unwrap(), "state": content, "reason": reason})


def _base_number(client: Client, folder: Path, base: str | None) -> Result[int, CommandError]:
    """Return the revision that the folder was made from.

    Taking the newest by default would undo, unseen, whatever others applied since the files were
    written: the folder is the whole state, so what it does not have is removed.
    """
    noted = _noted_base(folder) if base is None else base
    if noted is not None and noted.isdecimal():
        return Success(int(noted))
    if noted is not None and noted != NEWEST:
        return usage(f"--base takes a revision number or '{NEWEST}', not {noted!r}")
    answer = fetch(client, "GET", "/operator/config")
    if not is_successful(answer):
        return Failure(answer.failure())
    newest: int = answer.unwrap()["revision"]
    if noted == NEWEST or newest == 0:
        return Success(newest)
    return usage(
        f"revision {newest} is in force and the folder does not say from which revision it was "
        f"made; see 'config history', then give --base (or --base {NEWEST} to replace whatever is "
        "there)"
    )


def _noted_base(folder: Path) -> str | None:
    path = folder / BASE_FILE
    return path.read_text(encoding="utf-8").strip() if path.is_file() else None


def _note_base(folder: Path, revision: int) -> None:
    try:
        (folder / BASE_FILE).write_text(f"{revision}\n", encoding="utf-8")
    except OSError as error:
        warn(f"revision {revision} could not be noted in the folder: {type(error).__name__}")


def _over_lines(found: Json) -> list[str]:
    over = found.get("over", [])
    if not over:
        return []
    numbers = ", ".join(str(each) for each in over)
    return [
        f"merged with the changes of revision {numbers}, which the folder does not have: "
        "take them into its files, or write the folder anew by 'config show --to'"
    ]


def _write_folder(folder: Path, found: Json) -> Outcome:
    if any(folder.glob("*.json")):
        return usage(f"{folder} holds *.json files already")
    try:
        folder.mkdir(parents=True, exist_ok=True)
        text = json.dumps(found["state"], indent=2) + "\n"
        (folder / STATE_FILE).write_text(text, encoding="utf-8")
    except OSError as error:
        return usage(f"{folder} cannot be written: {type(error).__name__}")
    _note_base(folder, found["revision"])
    return Success(None)
