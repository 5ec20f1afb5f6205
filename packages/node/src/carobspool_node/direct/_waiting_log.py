"""Log lines that say why batch items wait."""

from __future__ import annotations

from enum import StrEnum

from absl import logging
from msgspec import Struct

from carobspool_core import Clock, Millis

REPEAT_INTERVAL: Millis = 5_000.0
"""Time after which the same reason is logged again for a service."""
MIN_INTERVAL: Millis = 1_000.0
"""Shortest time between two lines on one service: reasons can change with each hint of a peer."""


class WaitReason(StrEnum):
    """Why the items of a service wait.

    Attributes:
        NO_UPSTREAM: No upstream of the service is known.
        NO_SLOT: No upstream of the service has a slot that the next item may use.
        PEERS_FIRST: The free slots are left to more urgent items of peers.
        RUN_LIMIT: This entry runs as many items as it can, or leaves the other runs to services
            with less than their share.
    """

    NO_UPSTREAM = "no_upstream"
    NO_SLOT = "no_slot"
    PEERS_FIRST = "peers_first"
    RUN_LIMIT = "run_limit"


class _Entry(Struct):
    reason: WaitReason
    at: Millis


class WaitingLog:
    """Logs the reason for which items of a service wait.

    Logs when the reason changes and every five seconds.

    Args:
        clock: The process's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._logged: dict[str, _Entry] = {}

    def record(self, service: str, reason: WaitReason, item_id: str, upstreams: int) -> None:
        """Record why the next item of a service waits.

        Args:
            service: The service.
            reason: Why the item waits.
            item_id: The item that would start next.
            upstreams: Number of upstreams that this entry may use.
        """
        now = self._clock.now()
        logged = self._logged.get(service)
        if logged is not None:
            interval = REPEAT_INTERVAL if logged.reason is reason else MIN_INTERVAL
            if now - logged.at < interval:
                return
        self._logged[service] = _Entry(reason, now)
        logging.info(
            "event=items_wait service=%s reason=%s next_item=%s upstreams=%d",
            service,
            reason.value,
            item_id,
            upstreams,
        )

    def retain_only(self, services: set[str]) -> None:
        """Forget the services of which no item waits."""
        for service in self._logged.keys() - services:
            del self._logged[service]
