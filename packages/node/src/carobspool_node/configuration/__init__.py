"""The configuration in the object store: following, applying, history and audit.

Passing it from process to process belongs here too, and drain orders: both are what operators
declare and processes follow.
"""

from carobspool_node.configuration._apply import apply_state, preview_state
from carobspool_node.configuration._drain_follower import DrainFollower
from carobspool_node.configuration._drains import set_drain
from carobspool_node.configuration._exchange import (
    announcement,
    answer_sidecar,
    exchange,
    news,
)
from carobspool_node.configuration._follower import ConfigurationFollower, make_follower
from carobspool_node.configuration._history import audit, history
from carobspool_node.configuration._objects import ConfigReadError
from carobspool_node.configuration._outcomes import (
    Applied,
    ApplyError,
    Conflict,
    ConflictItem,
    InvalidTogether,
    OutcomeUnknown,
    StoreDown,
    TooLarge,
    UnknownBase,
)
from carobspool_node.configuration._watch import follow

__all__ = [
    "Applied",
    "ApplyError",
    "ConfigReadError",
    "ConfigurationFollower",
    "Conflict",
    "ConflictItem",
    "DrainFollower",
    "InvalidTogether",
    "OutcomeUnknown",
    "StoreDown",
    "TooLarge",
    "UnknownBase",
    "announcement",
    "answer_sidecar",
    "apply_state",
    "audit",
    "exchange",
    "follow",
    "history",
    "make_follower",
    "news",
    "preview_state",
    "set_drain",
]
