"""Relay hints between failure domains, and tell the sender of hints which entries relays serve."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence

from absl import logging

from carobspool_core import Clock, Millis
from carobspool_core.hint_relays import (
    COUNTS_PASS_ON_INTERVAL,
    NO_RELAYS,
    PASS_ON_INTERVAL,
    BundleBuffer,
    HintKind,
    RelayEntry,
    RelayPeers,
    RelayPlan,
    WaitingHint,
    make_relay_plan,
    sends_directly,
    split_by_size,
    with_bundle,
)
from carobspool_node.hint_relays._bundle import encode_bundle
from carobspool_node.hint_relays._relay_log import RelayLog

PLAN_INTERVAL: Millis = 100.0
"""Time for which the relays are cached. Choosing them visits each entry, and an entry that is not a
relay notices a lost one 600 ms after its last message at the earliest."""
RELAY_PLAN_INTERVAL: Millis = 50.0
"""The same at a relay, which passes over other relays 100 ms after their last bundle."""
PRESENCE_INTERVAL: Millis = 50.0
"""Time between two empty bundles of a relay to its domain while hints arrive from there, and
longest time between two bundles to other relays."""
PRESENCE_AFTER_HINT: Millis = 1_000.0
"""Time after a hint in which the relay stays present; each entry sends a heartbeat every 500 ms."""
IDLE_PAUSE: Millis = PRESENCE_INTERVAL - PASS_ON_INTERVAL
"""Longest wait for a hint after the interval between two runs of a relay's thread."""


def _make_buffers(now: Millis) -> Mapping[HintKind, BundleBuffer]:
    return {
        "load": BundleBuffer(now),
        "counts": BundleBuffer(now, COUNTS_PASS_ON_INTERVAL),
    }


class HintRelays:
    """Decides which entries relays serve, and passes hints on while this entry is a relay.

    Safe for threads.

    Args:
        clock: The process's clock.
        own: This entry; ``relays`` states whether the setting allows relays.
        incarnation: Incarnation of this process.
        peers: Returns the other live entries that read bundles.
        group: Returns the entries that use the same upstreams, ``None`` for all entries.
        is_leaving: Returns whether this entry is shutting down.
        send: Sends a datagram to the entries of these names.
        set_relay_gauge: Sets the metric that states whether this entry is a relay.
    """

    def __init__(
        self,
        clock: Clock,
        own: RelayEntry,
        incarnation: str,
        *,
        peers: Callable[[], RelayPeers],
        group: Callable[[], frozenset[str] | None],
        is_leaving: Callable[[], bool],
        send: Callable[[bytes, Iterable[str]], None],
        set_relay_gauge: Callable[[float], None],
    ) -> None:
        self._clock = clock
        self._own = own
        self._incarnation = incarnation
        self._peers = peers
        self._group = group
        self._is_leaving = is_leaving
        self._send = send
        self._log = RelayLog(own.domain, set_relay_gauge)
        self._lock = threading.Lock()
        self._plan = NO_RELAYS
        self._planning = threading.Lock()
        self._planned_at: Millis = float("-inf")
        self._bundle_at: dict[str, Millis] = {}
        self._relay_seen_at: dict[str, Millis] = {}
        self._outward = _make_buffers(clock.now())
        self._inward = _make_buffers(clock.now())
        self._collected_at: Millis = float("-inf")
        self._present_at: Millis = float("-inf")
        self._outward_at: Millis = float("-inf")
        self._hint_waits = threading.Event()
        self._stopped = threading.Event()

    @property
    def domain(self) -> str:
        """Failure domain of this entry."""
        return self._own.domain

    @property
    def in_force(self) -> bool:
        """Whether relays are in force."""
        return self._own.relays and self._current_plan().in_force

    @property
    def is_relay(self) -> bool:
        """Whether this entry passes the hints of its domain on to the other domains."""
        return self._own.relays and self._current_plan().is_relay

    def start(self) -> None:
        """Start the thread that passes hints on, if the setting allows relays."""
        if self._own.relays:
            threading.Thread(target=self._run, name="hint-relay", daemon=True).start()

    def stop(self) -> None:
        """Make the thread exit."""
        self._stopped.set()
        self._hint_waits.set()

    def unrelated(self) -> frozenset[str]:
        """Return the entries whose heartbeats carry no loads; none while relays are not in force.

        They are in other domains and share no upstream with this entry.
        """
        return self._current_plan().unrelated if self._own.relays else frozenset()

    def plan_for_sending(self) -> RelayPlan:
        """Return the relays to be used for the next hint, `NO_RELAYS` to send it directly."""
        if not self._own.relays:
            return NO_RELAYS
        plan = self._current_plan()
        now = self._clock.now()
        heard_at = self._relay_seen_at.get(plan.own_relay or "")
        direct = sends_directly(plan, heard_at, now)
        self._log.record_sending(plan, direct=direct, heard_at=heard_at, now=now)
        return NO_RELAYS if direct else plan

    def collect(self, hint: WaitingHint) -> None:
        """Keep a hint of this entry, or of an entry of its domain, for the other domains.

        Hints of entries that use other upstreams have a relay of their own and are ignored.
        Hints that arrived in a bundle must not be passed to this method: they would be passed on a
        second time.
        """
        if not self.is_relay:
            return
        plan = self._plan
        if hint.name != self._own.name and hint.name not in plan.sharers:
            return
        if hint.kind == "counts" and not (plan.unrelated or plan.others):
            # Counts hints are passed on for entries that share no upstream, and there are none.
            return
        now = self._clock.now()
        with self._lock:
            self._collected_at = now
            kept = self._outward[hint.kind].add(hint, now)
        if kept and not self._hint_waits.is_set():
            self._hint_waits.set()

    def distribute(self, hint: WaitingHint) -> None:
        """Keep a hint that a relay of another domain has sent, for the entries of this domain."""
        if not self._own.relays:
            return
        with self._lock:
            kept = self._inward[hint.kind].add(hint, self._clock.now())
        if kept and not self._hint_waits.is_set():
            self._hint_waits.set()

    def record_bundle(self, relay: str, *, is_empty: bool) -> None:
        """Record the arrival of a bundle; an empty one states that its sender acts as the relay.

        An entry also distributes bundles of other domains while it is not the relay, since the
        entries there may still choose it. With the setting off nothing is recorded, since it makes
        no plans, which drop the times of entries that are gone.
        """
        if not self._own.relays:
            return
        now = self._clock.now()
        self._bundle_at[relay] = now
        if is_empty:
            self._relay_seen_at[relay] = now

    def run_once(self) -> None:
        """Send the bundles that are due."""
        now = self._clock.now()
        plan = self._current_plan()
        with self._lock:
            buffers = (*self._outward.values(), *self._inward.values())
            paused = [each.record_tick(now) for each in buffers]
            outward = [hint for each in self._outward.values() for hint in each.take(now)]
            loads, counts = self._inward["load"].take(now), self._inward["counts"].take(now)
        if plan.is_relay and any(paused):
            self._log.record_pause(self._own.name, now)
        if plan.is_relay and outward:
            self._outward_at = now
            self._send_bundles(outward, plan.relays.values())
        self._send_bundles(counts, plan.others)
        self._send_bundles(loads, plan.sharers)
        self._show_presence(plan, now)

    def _run(self) -> None:
        while not self._stopped.is_set():
            pause = IDLE_PAUSE if self._plan.is_relay else PLAN_INTERVAL - PASS_ON_INTERVAL
            self._hint_waits.wait(pause / 1000.0)
            self._hint_waits.clear()
            try:
                self.run_once()
            except Exception:  # noqa: BLE001
                logging.exception("event=relay_failed")
            # All hints of this time are passed on in one run; each wake-up costs more than a hint.
            time.sleep(self._pause_after_run() / 1000.0)

    def _pause_after_run(self) -> Millis:
        """Return the time until the next bundle may be sent, or an empty one must be sent."""
        until_presence = self._present_at + PRESENCE_INTERVAL - self._clock.now()
        if self._plan.is_relay and until_presence > 0.0:
            return min(PASS_ON_INTERVAL, until_presence)
        return PASS_ON_INTERVAL

    def _show_presence(self, plan: RelayPlan, now: Millis) -> None:
        """Send an empty bundle to the own domain, and to relays that have had no bundle."""
        if not plan.is_relay or now - self._present_at < PRESENCE_INTERVAL - 1.0:
            return
        if now - self._collected_at > PRESENCE_AFTER_HINT:
            return
        self._present_at = now
        names = set(plan.sharers)
        if now - self._outward_at >= PRESENCE_INTERVAL - 1.0:
            names.update(plan.relays.values())
        self._send(encode_bundle(self._own.name, self._incarnation, ()), names)

    def _send_bundles(self, hints: Sequence[WaitingHint], names: Iterable[str]) -> None:
        recipients = list(names)
        if not recipients:
            return
        for part in split_by_size(hints):
            self._send(encode_bundle(self._own.name, self._incarnation, part), recipients)

    def _current_plan(self) -> RelayPlan:
        """Return the cached plan, or a new one after its interval.

        While one thread makes a plan the others use the cached one.
        """
        now = self._clock.now()
        interval = RELAY_PLAN_INTERVAL if self._plan.is_relay else PLAN_INTERVAL
        if now - self._planned_at < interval or not self._planning.acquire(blocking=False):
            return self._plan
        try:
            self._planned_at = now
            self._plan = self._make_plan(now)
            return self._plan
        finally:
            self._planning.release()

    def _make_plan(self, now: Millis) -> RelayPlan:
        known = self._peers()
        own = RelayEntry(
            name=self._own.name,
            domain=self._own.domain,
            heard_at=now,
            capacity=self._own.capacity,
            leaving=self._is_leaving(),
            is_cut_off=known.is_cut_off,
        )
        peers = [
            with_bundle(each, self._bundle_at.get(each.name), own_domain=self._own.domain, now=now)
            for each in known.entries
        ]
        plan = make_relay_plan(own, peers, self._group(), now)
        names = {each.name for each in peers}
        self._bundle_at = _only(names, self._bundle_at)
        self._relay_seen_at = _only(names, self._relay_seen_at)
        self._log.record_plan(plan, now)
        return plan


def _only(names: Collection[str], times: Mapping[str, Millis]) -> dict[str, Millis]:
    return {name: at for name, at in list(times.items()) if name in names}
