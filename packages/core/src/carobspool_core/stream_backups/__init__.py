"""Decisions about copies of streams that may run only once, and about their continuation.

This package decides only: it uses no network, no threads and no clock; callers pass in the time.
"""

from carobspool_core.stream_backups._backup_choice import (
    MEMORY_SHARE,
    MIN_HEALTHY,
    BackupCandidate,
    choose_backup,
    needs_backup,
)
from carobspool_core.stream_backups._continuation import (
    MAX_CONTINUATIONS,
    MIN_RUN_TIME,
    ContinuationWay,
    LossReason,
    RunFacts,
    reason_to_end,
)

__all__ = [
    "MAX_CONTINUATIONS",
    "MEMORY_SHARE",
    "MIN_HEALTHY",
    "MIN_RUN_TIME",
    "BackupCandidate",
    "ContinuationWay",
    "LossReason",
    "RunFacts",
    "choose_backup",
    "needs_backup",
    "reason_to_end",
]
