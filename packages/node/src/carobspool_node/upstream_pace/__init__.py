"""Adapter of the choice of upstreams by pace: samples, exchange between entries, logs, metrics."""

from carobspool_node.upstream_pace._upstream_choice import UpstreamChoice
from carobspool_node.upstream_pace._upstream_paces import UpstreamPaces

__all__ = ["UpstreamChoice", "UpstreamPaces"]
