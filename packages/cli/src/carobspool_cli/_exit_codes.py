"""Exit codes of ``carobspool``; scripts may rely on them."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit code of a command.

    Attributes:
        DONE: The command succeeded.
        USAGE: The command line is invalid.
        INVALID: The files are invalid; nothing was sent or applied.
        CONFLICT: Another operator changed the same entries; nothing was applied.
        REFUSED: The entry refused the call; nothing was done.
        UNREACHABLE: No entry answered, or none can reach the store; nothing was done.
        UNKNOWN: An answer was lost; the call may have been carried out. Repeating it is harmless.
        JOB_FAILED: The job ended without completing.
        NOT_FOUND: The given files do not contain the id asked for.

    Since 0.1.
    """

    DONE = 0
    USAGE = 1
    INVALID = 2
    CONFLICT = 3
    REFUSED = 4
    UNREACHABLE = 5
    UNKNOWN = 6
    JOB_FAILED = 7
    NOT_FOUND = 8
