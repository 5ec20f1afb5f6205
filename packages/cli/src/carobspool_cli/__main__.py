"""The binary ``carobspool``: commands for operators and callers."""

from __future__ import annotations

import sys

from cleo.application import Application

from carobspool_cli._config_commands import (
    ApplyCommand,
    ConfigHistoryCommand,
    ConfigShowCommand,
    DiffCommand,
    ValidateCommand,
)
from carobspool_cli._explain_command import ExplainCommand
from carobspool_cli._job_commands import (
    CancelCommand,
    JobStatusCommand,
    ResultsCommand,
    SubmitCommand,
)
from carobspool_cli._operator_commands import AuditCommand, DrainCommand, StatusCommand

VERSION = "0.1.0"
COMMANDS = (
    ValidateCommand,
    DiffCommand,
    ApplyCommand,
    ConfigShowCommand,
    ConfigHistoryCommand,
    AuditCommand,
    SubmitCommand,
    JobStatusCommand,
    ResultsCommand,
    CancelCommand,
    StatusCommand,
    DrainCommand,
    ExplainCommand,
)


def make_application() -> Application:
    """Return the application with all commands.

    Since 0.1.
    """
    application = Application("carobspool", VERSION)
    for command in COMMANDS:
        application.add(command())
    return application


def main() -> int:
    """Run the command line; ``ExitCode`` defines the exit codes."""
    return make_application().run()


if __name__ == "__main__":
    sys.exit(main())
