"""Settings of an entry and of a sidecar, as ``carobspoold`` is told when it starts.

Validated models and the data classes made of them belong here. Needs `settings`.
"""

from carobspool_node.roles._models import EntryModel, SidecarModel
from carobspool_node.roles._settings import (
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
    "OrderSettings",
    "SidecarModel",
    "SidecarSettings",
    "load_settings",
]
