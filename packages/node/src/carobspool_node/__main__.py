"""The binary ``carobspoold``: ``run SETTINGS`` and ``check SETTINGS``."""

from __future__ import annotations

import sys
from pathlib import Path

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument
from returns.pipeline import is_successful

from carobspool_node._entry_node import run_entry
from carobspool_node._settings import EntrySettings, SidecarSettings, load_settings
from carobspool_node._sidecar_node import run_sidecar
from carobspool_node.errors import NodeError

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
        role = "entry" if isinstance(settings, EntrySettings) else "sidecar"
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
            return run_sidecar(settings)
        except (NodeError, OSError) as error:
            self.line_error(f"cannot start: {error}")
            return EXIT_START


def main() -> int:
    """Run the command line and return the exit code."""
    application = Application("carobspoold", "0.1.0")
    application.add(RunCommand())
    application.add(CheckCommand())
    return application.run()


def _load(command: Command) -> EntrySettings | SidecarSettings | None:
    loaded = load_settings(Path(command.argument("settings")))
    if is_successful(loaded):
        return loaded.unwrap()
    for error in loaded.failure():
        command.line_error(str(error))
    return None


if __name__ == "__main__":
    sys.exit(main())
