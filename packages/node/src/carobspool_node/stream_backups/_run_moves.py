"""How a platform writes the call that stops a run and moves its memory to another engine."""

from __future__ import annotations

from enum import StrEnum
from typing import Protocol

from msgspec import Struct


class MoveKind(StrEnum):
    """Outcome of a move.

    Attributes:
        MOVED: The run was stopped; the target has its memory.
        NO_RUN: The engine has no such run.
        KEPT: The run was stopped; the source keeps its memory.
        FAILED: Unknown: the run may still be working.
    """

    MOVED = "moved"
    NO_RUN = "no_run"
    KEPT = "kept"
    FAILED = "failed"


class MoveAnswer(Struct, frozen=True):
    """An engine's answer to a move.

    Attributes:
        kind: Outcome of the move.
        handle: Name of the stopped run at the source; empty unless it was moved or kept. It can be
            used once.
    """

    kind: MoveKind
    handle: str = ""


class RunMoves(Protocol):
    """Writes the calls on runs, all of which go to the engine at which the run began."""

    def move_request(self, request_id: str, target: str) -> tuple[bytes, bytes, bytes]:
        """Return method, path and body of the call that stops a run and moves its memory.

        Args:
            request_id: Request id of the run.
            target: ``IP:PORT`` of the engine that receives the memory.
        """

    def read_move(self, status: int, body: bytes) -> MoveAnswer:
        """Return the outcome of a move; an answer of another form counts as failed."""

    def free_request(self, handle: str) -> tuple[bytes, bytes]:
        """Return method and path of the call that frees an unused handle."""
