"""Declared against actual for each upstream, as operators see it."""

from __future__ import annotations

from collections.abc import Collection

from carobspool_core import DesiredState, Json, Load, Upstream
from carobspool_node.links import Fleet


def upstream_status(state: DesiredState, fleet: Fleet, drained: Collection[str]) -> list[Json]:
    """Return one row for each declared upstream, in the order of hosts.

    Args:
        state: The configuration in force.
        fleet: This entry's view of the sidecars.
        drained: Hosts that get nothing new.
    """
    loads = fleet.loads
    connected = fleet.connected
    return [
        {
            "host": host,
            "failure_domain": declared.failure_domain,
            "declared": _declared(declared),
            "connected": connected.get(host, False),
            "drained": host in drained,
            **_reported(loads.get(host)),
        }
        for host, declared in sorted(state.upstreams.items())
    ]


def _declared(upstream: Upstream) -> list[str]:
    if upstream.service is not None:
        return [upstream.service]
    return list(upstream.models)


def _reported(load: Load | None) -> dict[str, Json]:
    """Return what the sidecar last told; nothing is known of one that was never heard."""
    return {
        "state": None if load is None else load.state.value,
        "actual": None if load is None else list(load.targets),
        "running": None if load is None else load.running,
        "queued": None if load is None else load.queued,
        "revision": None if load is None else load.revision,
        "first_token_ms": None if load is None else load.first_token,
        "fencing_epoch": None if load is None else load.fencing_epoch,
    }
