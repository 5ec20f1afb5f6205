"""Shares of services in the batch items that one entry runs at once.

Load pattern: one service has more slots than an entry runs items, and its items are due first. Each
run that ends would go to it, and other services with free slots would get none.
"""

from __future__ import annotations

from collections.abc import Mapping

RESERVED_FRACTION = 0.5
"""Fraction of all runs that is divided among the services. The rest goes to the items that are due
first, so that a single busy service can use most of the runs."""


def reserved_runs(slots: Mapping[str, int], limit: int) -> dict[str, int]:
    """Return how many runs each service with waiting items can always have.

    Args:
        slots: Slots of each of these services; those without slots get no runs.
        limit: Number of items that the entry runs at once.
    """
    served = {service: count for service, count in slots.items() if count > 0}
    share = max(1, int(limit * RESERVED_FRACTION) // max(1, len(served)))
    return {service: min(share, count) for service, count in served.items()}


def may_begin_run(
    service: str, *, runs: Mapping[str, int], reserved: Mapping[str, int], limit: int
) -> bool:
    """Return whether a service may have one more of an entry's runs.

    Args:
        service: The service.
        runs: Number of runs in progress by service.
        reserved: Runs that each service can always have, see `reserved_runs`.
        limit: Number of items that the entry runs at once.
    """
    kept = 0
    for other, count in reserved.items():
        if other != service:
            kept += max(0, count - runs.get(other, 0))
    total = sum(runs.values())
    return total < limit and (
        runs.get(service, 0) < reserved.get(service, 0) or total + kept < limit
    )
