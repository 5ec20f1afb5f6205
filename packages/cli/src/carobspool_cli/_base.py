"""Base classes and options of all commands, and the errors that end one."""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.outputs.output import Type
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from carobspool_cli._client import Call, Client
from carobspool_cli._exit_codes import ExitCode
from carobspool_cli._output import command_error
from carobspool_cli.errors import CommandError
from carobspool_core import Json

ENTRY_VARIABLE = "CAROBSPOOL_ENTRY"
KEY_VARIABLE = "CAROBSPOOL_KEY"

Outcome = Result[None, CommandError]

JSON_OPTION = option("json", None, "Write one JSON value instead of text.", flag=True)
REMOTE_OPTIONS = [
    option(
        "entry",
        None,
        f"Address of an entry, http://ip:port; repeat it for several, which are tried in order. "
        f"By default from {ENTRY_VARIABLE}, separated by commas.",
        flag=False,
        multiple=True,
    ),
    option(
        "key-file",
        None,
        f"File that holds the key. By default the key is taken from {KEY_VARIABLE}.",
        flag=False,
    ),
    JSON_OPTION,
]


class BaseCommand(Command):
    """A command that ends with text or JSON and a documented exit code."""

    def handle(self) -> int:
        """Run the command."""
        outcome = self.run_command()
        if is_successful(outcome):
            return int(ExitCode.DONE)
        error = outcome.failure()
        if self.option("json"):
            self._write(json.dumps(error.value, indent=2))
            return int(error.exit_code)
        for line in error.lines:
            self.io.error_output.write_line(line, type=Type.RAW)
        return int(error.exit_code)

    def run_command(self) -> Outcome:
        """Execute the command and write its result."""
        raise NotImplementedError

    def write_result(self, value: Json, lines: list[str]) -> Outcome:
        """Write the result as lines of text, or as JSON if ``--json`` is given."""
        if self.option("json"):
            self._write(json.dumps(value, indent=2))
            return Success(None)
        for line in lines:
            self._write(line)
        return Success(None)

    def _write(self, text: str) -> None:
        self.io.output.write_line(text, type=Type.RAW)


class RemoteCommand(BaseCommand):
    """A command that calls the entries."""

    def run_command(self) -> Outcome:
        """Resolve the entries and the key, then execute the command."""
        entries = _entry_addresses(self.option("entry"))
        if not entries:
            return usage_error(f"no entry is given: use --entry or {ENTRY_VARIABLE}")
        key = _read_key(self.option("key-file"))
        if not is_successful(key):
            return Failure(key.failure())
        return self.run_remote(Client(entries=entries, key=key.unwrap()))

    def run_remote(self, client: Client) -> Outcome:
        """Execute the command through a client of the entries."""
        raise NotImplementedError


def call_entry(
    client: Client, method: str, path: str, body: Json = None
) -> Result[Any, CommandError]:
    """Call the entries and convert a failure of the call into a command error."""
    return client.call(Call(method=method, path=path, body=body)).alt(command_error)


def usage_error(message: str) -> Result[Any, CommandError]:
    """Return the error for an invalid command line."""
    return command_failure(ExitCode.USAGE, "usage", (message,))


def command_failure(
    exit_code: ExitCode, code: str, lines: tuple[str, ...]
) -> Result[Any, CommandError]:
    """Return an error that the command detected without an answer of an entry."""
    value = {"error": {"code": code, "message": "; ".join(lines)}}
    return Failure(CommandError(exit_code=exit_code, lines=lines, value=value))


def _entry_addresses(given: list[str]) -> tuple[str, ...]:
    if given:
        return tuple(given)
    listed = os.environ.get(ENTRY_VARIABLE, "").split(",")
    return tuple(entry.strip() for entry in listed if entry.strip())


def _read_key(path: str | None) -> Result[str | None, CommandError]:
    if path is None:
        return Success(os.environ.get(KEY_VARIABLE) or None)
    try:
        return Success(Path(path).read_text(encoding="utf-8").strip())
    except (OSError, UnicodeDecodeError) as error:
        return usage_error(f"the key file cannot be read: {type(error).__name__}")


def write_warning(text: str) -> None:
    """Write a warning to standard error, which is not part of the result."""
    sys.stderr.write(f"{text}\n")
