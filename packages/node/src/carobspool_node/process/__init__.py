"""Entry and sidecar as processes: composition, start and stop.

What joins the other rooms into a running process belongs here, with its metrics and signals. No
other room imports it.
"""

from carobspool_node.process._entry_node import run_entry
from carobspool_node.process._sidecar_node import run_sidecar

__all__ = [
    "run_entry",
    "run_sidecar",
]
