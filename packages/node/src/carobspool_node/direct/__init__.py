"""Entries that call upstreams directly, for platforms without a sidecar beside each upstream.

The package contains the HTTP server for callers, the calls to upstreams, batch jobs kept in the
object store, and the hints that entries send each other. A `Deployment` supplies the names and
formats that are specific to a platform.
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
from carobspool_node.direct._start_check import StartReport

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
    "StartReport",
    "load_direct_settings",
    "make_direct_entry",
    "make_keeper",
    "prepare_socket",
]
