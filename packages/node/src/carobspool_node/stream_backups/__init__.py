"""Continues streams that may run only once at another engine after their engine has ended.

The decisions are in `carobspool_core.stream_backups`.
"""

from carobspool_node.stream_backups._run_moves import MoveAnswer, MoveKind, RunMoves

__all__ = ["MoveAnswer", "MoveKind", "RunMoves"]
