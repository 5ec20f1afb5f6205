"""The model of shared request limits, with hints that go through relays between domains."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import replace

from limits_model import Bundle, Fleet, Hint, Message, ModelEntry

from carobspool_core import Millis
from carobspool_core.direct import DEAD_AFTER
from carobspool_core.hint_relays import (
    RELAYED_HINT_AGE,
    BundleBuffer,
    RelayEntry,
    RelayPlan,
    WaitingHint,
    make_relay_plan,
    sends_directly,
    with_bundle,
)
from carobspool_core.organisations import RateLimit

PLAN_INTERVAL: Millis = 100.0
RELAY_PLAN_INTERVAL: Millis = 50.0
PRESENCE_INTERVAL: Millis = 50.0
DOMAIN_DELAY: Millis = 15.0
"""Upper bound of the random part of a delay inside a domain: the receiver's batch of 8 ms, and less
than that for the network and the waits of threads."""


class _Relaying:
    """What one process keeps in order to relay hints."""

    def __init__(self, now: Millis) -> None:
        self.outward, self.inward = BundleBuffer(now), BundleBuffer(now)
        self.heard: dict[str, Millis] = {}
        self.direct_loads: dict[str, tuple[int, int]] = {}
        self.present_at: dict[str, Millis] = {}
        self.bundle_at: dict[str, Millis] = {}
        self.plan = RelayPlan()
        self.planned_at = self.showed_at = self.outward_at = float("-inf")


class RelayedFleet(Fleet):
    """Entries of several failure domains; hints between domains go through relays.

    Args:
        entries: Number of entries, spread evenly over the domains.
        limits: The limits by organisation.
        domains: Number of failure domains.
        seed: Seed of the delays and losses of hints.
        delay: Upper bound of the random part of a hint's delay.
        loss: Fraction of the messages that are lost, and of those that are duplicated.
    """

    def __init__(
        self,
        entries: int,
        limits: Mapping[str, RateLimit],
        *,
        domains: int,
        seed: int = 1,
        delay: Millis = 20.0,
        loss: float = 0.02,
    ) -> None:
        super().__init__(entries, limits, seed=seed, delay=delay, loss=loss)
        self.domains = {each.name: f"d{at % domains}" for at, each in enumerate(self.entries)}
        self.relayed_count = 0
        self._relaying: dict[tuple[str, int], _Relaying] = defaultdict(lambda: _Relaying(self.now))
        self._hints_by_sequence: dict[int, Hint] = {}

    def relays(self) -> set[str]:
        """Return the entries that act as relays."""
        return {each.name for each in self.entries if self._state(each).plan.is_relay}

    def _max_delay(self, entry: ModelEntry, other: ModelEntry) -> Millis:
        is_fellow = self.domains[entry.name] == self.domains[other.name]
        return min(DOMAIN_DELAY, self._delay) if is_fellow else self._delay

    def _state(self, entry: ModelEntry) -> _Relaying:
        return self._relaying[(entry.name, entry.incarnation)]

    def _direct_hints(
        self, entry: ModelEntry, hint: Hint, *, is_heartbeat: bool
    ) -> Iterable[tuple[ModelEntry, Hint]]:
        state = self._state(entry)
        plan = self._plan(entry, state)
        present_at = state.present_at.get(plan.own_relay or "")
        if is_heartbeat or sends_directly(plan, present_at, self.now):
            load_hint = replace(hint, has_loads=True)
            return [(each, load_hint) for each in self.entries]
        if plan.is_relay and hint.has_loads:
            state.outward.add(self._waiting(hint), self.now)
        found = [(each, hint) for each in self.entries if each.name not in plan.served]
        if entry.limits.needs_direct_hints(self.now):
            counts_hint = replace(hint, has_loads=False)
            found += [(each, counts_hint) for each in self.entries if each.name in plan.served]
        return found

    def _receive(self, entry: ModelEntry, sender: str, message: Message) -> None:
        state = self._state(entry)
        is_fellow = self.domains[sender] == self.domains[entry.name]
        if isinstance(message, Bundle):
            state.bundle_at[sender] = self.now
            if not message.hints:
                state.present_at[sender] = self.now
            for each in message.hints:
                newest = state.direct_loads.get(each.name, (-1, -1))
                if not is_fellow and (each.incarnation, each.sequence) > newest:
                    state.inward.add(self._waiting(each), self.now)
                self._apply(entry, each, age=RELAYED_HINT_AGE)
            return
        state.heard[sender] = self.now
        if message.has_loads:
            number = (message.incarnation, message.sequence)
            state.direct_loads[sender] = max(state.direct_loads.get(sender, number), number)
            if is_fellow and self._plan(entry, state).is_relay:
                state.outward.add(self._waiting(message), self.now)
        self._apply(entry, message)

    def _send_due_hints(self) -> None:
        super()._send_due_hints()
        by_name = {each.name: each for each in self.entries}
        for entry in self.entries:
            if self._is_up(entry):
                self._run_relay(entry, self._state(entry), by_name)

    def _run_relay(
        self, entry: ModelEntry, state: _Relaying, by_name: Mapping[str, ModelEntry]
    ) -> None:
        plan = self._plan(entry, state)
        outward, inward = state.outward.take(self.now), state.inward.take(self.now)
        shows_presence = plan.is_relay and self.now - state.showed_at >= PRESENCE_INTERVAL
        if shows_presence:
            state.showed_at = self.now
        for name in sorted(plan.sharers):
            if inward:
                self._transmit(entry, by_name[name], self._bundle(inward))
            if shows_presence:
                self._transmit(entry, by_name[name], Bundle(()))
        is_silent = shows_presence and self.now - state.outward_at >= PRESENCE_INTERVAL
        if plan.is_relay and (outward or is_silent):
            state.outward_at = self.now
            self.relayed_count += len(outward)
            for name in plan.relays.values():
                self._transmit(entry, by_name[name], self._bundle(outward))

    def _plan(self, entry: ModelEntry, state: _Relaying) -> RelayPlan:
        interval = RELAY_PLAN_INTERVAL if state.plan.is_relay else PLAN_INTERVAL
        if self.now - state.planned_at >= interval:
            state.planned_at = self.now
            domain = self.domains[entry.name]
            peers = [
                with_bundle(
                    RelayEntry(name=name, domain=self.domains[name], heard_at=heard_at),
                    state.bundle_at.get(name),
                    own_domain=domain,
                    now=self.now,
                )
                for name, heard_at in state.heard.items()
                if self.now - heard_at < DEAD_AFTER
            ]
            own = RelayEntry(name=entry.name, domain=domain, heard_at=self.now)
            state.plan = make_relay_plan(own, peers, None, self.now)
        return state.plan

    def _waiting(self, hint: Hint) -> WaitingHint:
        self._hints_by_sequence[hint.sequence] = hint
        return WaitingHint(
            name=hint.name,
            incarnation=str(hint.incarnation),
            sequence=hint.sequence,
            kind="load",
            data=b"",
        )

    def _bundle(self, waiting: Sequence[WaitingHint]) -> Bundle:
        return Bundle([self._hints_by_sequence[each.sequence] for each in waiting])
