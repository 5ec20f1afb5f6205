"""The configuration in the object store: following, applying, history and audit."""

from carobspool_node._config_apply import apply_state, preview_state
from carobspool_node._config_follower import ConfigurationFollower, make_follower
from carobspool_node._config_history import audit, history
from carobspool_node._config_objects import ConfigReadError
from carobspool_node._config_outcomes import (
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
from carobspool_node._config_watch import follow

__all__ = [
    "Applied",
    "ApplyError",
    "ConfigReadError",
    "ConfigurationFollower",
    "Conflict",
    "ConflictItem",
    "InvalidTogether",
    "OutcomeUnknown",
    "StoreDown",
    "TooLarge",
    "UnknownBase",
    "apply_state",
    "audit",
    "follow",
    "history",
    "make_follower",
    "preview_state",
]
