"""Continues streams that may run only once at another engine after their engine has ended.

The decisions are in `carobspool_core.stream_backups`.
"""

from carobspool_node.stream_backups._backed_up_runs import (
    BackedUpRun,
    EngineAnswer,
    NextRun,
    Reach,
)
from carobspool_node.stream_backups._run_moves import MoveAnswer, MoveKind, RunMoves
from carobspool_node.stream_backups._stream_backups import StreamBackups
from carobspool_node.stream_backups._stream_progress import StreamProgress

__all__ = [
    "BackedUpRun",
    "EngineAnswer",
    "MoveAnswer",
    "MoveKind",
    "NextRun",
    "Reach",
    "RunMoves",
    "StreamBackups",
    "StreamProgress",
]
