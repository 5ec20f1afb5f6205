"""HTTP for callers and operators, and the serving of online requests.

The server, the routes and keys belong here, the reading of online requests, their limits, and
their forwarding to upstreams until the answer stands on the caller's socket.
"""

from carobspool_node.callers._api import ApiRoute, make_application
from carobspool_node.callers._api_jobs import job_routes
from carobspool_node.callers._api_online import online_routes
from carobspool_node.callers._api_operator import operator_routes
from carobspool_node.callers._caller_keys import CallerKeys
from carobspool_node.callers._forward import Forwarder
from carobspool_node.callers._http_server import PooledServer
from carobspool_node.callers._online import OnlineService
from carobspool_node.callers._shared_limits import SharedLimits
from carobspool_node.callers._upstream_status import upstream_status

__all__ = [
    "ApiRoute",
    "CallerKeys",
    "Forwarder",
    "OnlineService",
    "PooledServer",
    "SharedLimits",
    "job_routes",
    "make_application",
    "online_routes",
    "operator_routes",
    "upstream_status",
]
