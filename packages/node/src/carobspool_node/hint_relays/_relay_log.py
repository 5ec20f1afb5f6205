"""Log which relays this entry uses, and set the metric of being a relay."""

from __future__ import annotations

from collections.abc import Callable

from absl import logging

from carobspool_core import Millis
from carobspool_core.hint_relays import RelayPlan
from carobspool_core.problems import printable_text

LOG_INTERVAL: Millis = 1_000.0
"""Shortest time between two lines about the same domain, so that a relay whose messages arrive
irregularly does not fill the log."""
MAX_NAME_CHARS = 80
"""Longest name in a line. Names and domains come from announcements, which any process can send."""


class RelayLog:
    """Logs changes of the relays.

    Each method is called by one thread at a time; the two may run at the same time.

    Args:
        domain: Failure domain of this entry.
        set_gauge: Sets the metric that states whether this entry is a relay.
    """

    def __init__(self, domain: str, set_gauge: Callable[[float], None]) -> None:
        self._domain = domain
        self._set_gauge = set_gauge
        self._relays: dict[str, str] = {}
        self._logged_at: dict[tuple[str, str], Millis] = {}
        self._was_direct = False
        self._was_relay = False

    def record_plan(self, plan: RelayPlan, now: Millis) -> None:
        """Log the relays that have changed."""
        relays = dict(plan.relays)
        if plan.own_relay is not None:
            relays[self._domain] = plan.own_relay
        for domain in relays.keys() | self._relays.keys():
            before, after = self._relays.get(domain), relays.get(domain)
            if before == after or not self._may_log("chosen", domain, now):
                continue
            if after is None:
                self._relays.pop(domain, None)
                reason = "no_entry_able" if plan.in_force else "relays_not_in_force"
            else:
                self._relays[domain] = after
                reason = "first" if before is None else f"replaces_{_shown(before)}"
            logging.info(
                "event=relay_chosen domain=%s relay=%s reason=%s",
                _shown(domain),
                _shown(after),
                reason,
            )
        if plan.is_relay != self._was_relay:
            self._was_relay = plan.is_relay
            self._set_gauge(float(plan.is_relay))

    def record_sending(
        self, plan: RelayPlan, *, direct: bool, heard_at: Millis | None, now: Millis
    ) -> None:
        """Log that this entry begins to send directly because its domain's relay is silent."""
        lost = direct and plan.in_force
        if lost and not self._was_direct and self._may_log("lost", self._domain, now):
            logging.warning(
                "event=relay_lost domain=%s relay=%s silent_ms=%.0f",
                self._domain,
                _shown(plan.own_relay),
                -1.0 if heard_at is None else now - heard_at,
            )
        self._was_direct = lost

    def record_pause(self, relay: str, now: Millis) -> None:
        """Log that this entry, a relay, has paused and dropped what it held."""
        if self._may_log("paused", self._domain, now):
            logging.warning("event=relay_paused domain=%s relay=%s", self._domain, relay)

    def _may_log(self, kind: str, domain: str, now: Millis) -> bool:
        if now - self._logged_at.get((kind, domain), float("-inf")) < LOG_INTERVAL:
            return False
        # Domain names come from announcements, so the times of names not in use must not pile up.
        for key, at in list(self._logged_at.items()):
            if now - at >= LOG_INTERVAL:
                self._logged_at.pop(key, None)
        self._logged_at[(kind, domain)] = now
        return True


def _shown(name: str | None) -> str:
    return "none" if name is None else printable_text(name, MAX_NAME_CHARS)
