"""Entries that call upstreams directly: for hosts where no process runs beside each upstream.

Callers' HTTP, calls to upstreams, batch jobs over the object store, hints between entries. What a
platform calls these things is told by a `Deployment`.
"""

from carobspool_node.direct._channel import prepare as prepare_socket
from carobspool_node.direct._deployment import (
    CallerDialect,
    Deployment,
    EndJob,
    JobCall,
    ReadBody,
    ReadResults,
)
from carobspool_node.direct._entry import DirectEntry, make_direct_entry
from carobspool_node.direct._errors import BadRequestError
from carobspool_node.direct._jobs import ResultsPage
from carobspool_node.direct._keeper import Keeper, make_keeper
from carobspool_node.direct._messages import CallerRequest, HeaderNames
from carobspool_node.direct._settings import (
    DIRECT_ROLES,
    DirectModel,
    DirectSettings,
    load_direct_settings,
)

__all__ = [
    "DIRECT_ROLES",
    "BadRequestError",
    "CallerDialect",
    "CallerRequest",
    "Deployment",
    "DirectEntry",
    "DirectModel",
    "DirectSettings",
    "EndJob",
    "HeaderNames",
    "Keeper",
    "JobCall",
    "ReadBody",
    "ReadResults",
    "ResultsPage",
    "load_direct_settings",
    "make_direct_entry",
    "make_keeper",
    "prepare_socket",
]
