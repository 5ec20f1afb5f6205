"""Settings of a process, and the form of its log lines.

What a process is told when it starts belongs here: validated models, the data classes made of
them, and the logs that they set up. Needs no other room; direct entries share it.
"""

from carobspool_node.settings._logs import LineFormatter, set_up_logs
from carobspool_node.settings._models import (
    HIGHEST_PORT,
    EntryModel,
    IpAddress,
    LogLevel,
    NodeName,
    SidecarModel,
    setting,
)
from carobspool_node.settings._settings import (
    Endpoint,
    EntrySettings,
    OrderSettings,
    SidecarSettings,
    load_settings,
)

__all__ = [
    "Endpoint",
    "EntryModel",
    "EntrySettings",
    "HIGHEST_PORT",
    "IpAddress",
    "LineFormatter",
    "LogLevel",
    "NodeName",
    "OrderSettings",
    "SidecarModel",
    "SidecarSettings",
    "load_settings",
    "set_up_logs",
    "setting",
]
