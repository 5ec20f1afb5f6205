"""Errors of the command line."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from carobspool_cli._exit_codes import ExitCode
from carobspool_core import Json


@dataclass(frozen=True, slots=True, kw_only=True)
class ClientFailure:
    """A call to the entries that did not succeed.

    Attributes:
        status: HTTP status of the answer; 0 when there was none.
        code: The entry's code of the failure, or ``unreachable``, or ``answer_lost``.
        message: One sentence for a person.
        outcome: ``not_run``, ``ran`` or ``unknown``.
        details: Further fields of the entry's error, such as conflicts and errors.

    Since 0.1.
    """

    status: int
    code: str
    message: str
    outcome: str
    details: Mapping[str, Json] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class CommandError:
    """Report of a failed command to its user.

    Attributes:
        exit_code: Exit code of the process.
        lines: Text for a person; the first line says what happened.
        value: The report as JSON.

    Since 0.1.
    """

    exit_code: ExitCode
    lines: tuple[str, ...]
    value: Json
