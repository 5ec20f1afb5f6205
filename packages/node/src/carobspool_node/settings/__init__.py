"""What settings of every process are made of, and the form of its log lines.

What single settings may be, and the logs that they set up, belong here. Needs no other room; direct
entries share it. A direct entry that starts again after a crash serves nobody while it imports, so
the models of the other roles, and the library that they need, stand in `roles`.
"""

from carobspool_node.settings._logs import LineFormatter, set_up_logs
from carobspool_node.settings._values import (
    HIGHEST_PORT,
    IP_ADDRESS,
    KEY_HASH,
    NODE_NAME,
    URL,
    LogLevel,
)

__all__ = [
    "HIGHEST_PORT",
    "IP_ADDRESS",
    "KEY_HASH",
    "LineFormatter",
    "LogLevel",
    "NODE_NAME",
    "URL",
    "set_up_logs",
]
