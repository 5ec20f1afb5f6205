"""The sidecar and its upstream: an engine or a plain service.

Calls to the upstream belong here, its health, the runs of requests with the admission that starts
them, and the orders by which a reconciler makes an engine run what is declared.
"""

from carobspool_node.upstreams._engine_orders import http_engine_orders
from carobspool_node.upstreams._reconciler import Reconciler, make_reconciler, run_reconciler
from carobspool_node.upstreams._scheduler import Scheduler
from carobspool_node.upstreams._sidecar import Sidecar, SidecarOptions
from carobspool_node.upstreams._upstream_http import CallEnd, UpstreamCall, call_whole

__all__ = [
    "CallEnd",
    "Reconciler",
    "Scheduler",
    "Sidecar",
    "SidecarOptions",
    "UpstreamCall",
    "call_whole",
    "http_engine_orders",
    "make_reconciler",
    "run_reconciler",
]
