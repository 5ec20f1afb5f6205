"""What settings of every process are made of, and the form of its log lines.

Types of single settings, their declaration, and the logs that they set up belong here. Needs no
other room; direct entries share it. A direct entry that starts again after a crash serves nobody
while it imports, so the models of the other roles stand in `roles`.
"""

from carobspool_node.settings._fields import (
    HIGHEST_PORT,
    IpAddress,
    KeyHash,
    LogLevel,
    NodeName,
    Url,
    setting,
)
from carobspool_node.settings._logs import LineFormatter, set_up_logs

__all__ = [
    "HIGHEST_PORT",
    "IpAddress",
    "KeyHash",
    "LineFormatter",
    "LogLevel",
    "NodeName",
    "Url",
    "set_up_logs",
    "setting",
]
