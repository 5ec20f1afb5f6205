"""The binary ``carobspoold``: ``run SETTINGS`` and ``check SETTINGS``."""

from __future__ import annotations

import sys
from pathlib import Path

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument
from returns.pipeline import is_successful
from returns.result import Result

from carobspool_core.border import Problem, read_json
from carobspool_node.direct import DIRECT_ROLES, DirectSettings, load_direct_settings
from carobspool_node.errors import NodeError
from carobspool_node.process import run_entry, run_sidecar
from carobspool_node.roles import EntrySettings, SidecarSettings, load_settings

EXIT_SETTINGS = 2
EXIT_START = 3
_SETTINGS = argument("settings", "The settings file (JSON with comments).")


class CheckCommand(Command):
    """``carobspoold check``: validate a settings file."""

    name = "check"
    description = "Check a settings file and start nothing."
    arguments = [_SETTINGS]

    def handle(self) -> int:
        """Print every error, or that there is none."""
        settings = _load(self)
        if settings is None:
            return EXIT_SETTINGS
        role = _role(settings)
        self.line(f"{self.argument('settings')}: good settings of the {role} {settings.node}")
        return 0


class RunCommand(Command):
    """``carobspoold run``: run the process that the settings describe."""

    name = "run"
    description = "Run an entry or a sidecar until SIGTERM."
    arguments = [_SETTINGS]

    def handle(self) -> int:
        """Run until told to stop."""
        settings = _load(self)
        if settings is None:
            return EXIT_SETTINGS
        try:
            if isinstance(settings, EntrySettings):
                return run_entry(settings)
            if isinstance(settings, SidecarSettings):
                return run_sidecar(settings)
            self.line_error(f"cannot start: a {settings.role} is started by a platform's adapter")
            return EXIT_START
        except (NodeError, OSError) as error:
            self.line_error(f"cannot start: {error}")
            return EXIT_START


def main() -> int:
    """Run the command line and return the exit code."""
    application = Application("carobspoold", "0.1.0")
    application.add(RunCommand())
    application.add(CheckCommand())
    return application.run()


def _load(command: Command) -> EntrySettings | SidecarSettings | DirectSettings | None:
    path = Path(command.argument("settings"))
    loaded: Result[EntrySettings | SidecarSettings | DirectSettings, tuple[Problem, ...]]
    value = read_json(path)
    role = value.unwrap().get("role") if is_successful(value) else None
    loaded = load_direct_settings(path) if role in DIRECT_ROLES else load_settings(path)
    if is_successful(loaded):
        return loaded.unwrap()
    for error in loaded.failure():
        command.line_error(str(error))
    return None


def _role(settings: EntrySettings | SidecarSettings | DirectSettings) -> str:
    if isinstance(settings, DirectSettings):
        return settings.role
    return "entry" if isinstance(settings, EntrySettings) else "sidecar"


if __name__ == "__main__":
    sys.exit(main())
