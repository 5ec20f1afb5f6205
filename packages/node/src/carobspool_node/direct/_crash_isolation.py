"""Isolates requests that crash the upstreams that run them.

Load pattern: an upstream ends soon after it begins a certain request, with all that runs there. The
caller sends the request again, under a new id and through any entry. Without isolation the copies
end one upstream after the other.

A request whose upstream ends becomes a suspect at all entries. Its next copies meet at the upstream
that rendezvous hashing prefers for it, so that copies sent at the same time crash one upstream and
not several, and other suspects run elsewhere. After `CRASHES_TO_QUARANTINE` crashes copies are
refused at once, and batch items wait, until a pause is over that doubles with each further crash.
A copy that completes, sent before the quarantine or after the pause, lifts it: servers that are
lost together look like crashes of each request that runs on several of them.

Evidence travels by datagrams before the caller receives its failure. Quarantines are also written
to the store and compared between entries, so that lost datagrams, restarts and separations do not
lose them.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

from absl import logging
from xxhash import xxh3_64_intdigest

from carobspool_core import Clock, Json, Millis, SuspectUpdate, VerdictKind, make_suspect_table
from carobspool_core.direct import Upstream
from carobspool_node.direct._peer import QUARANTINES
from carobspool_node.direct._suspect_messages import (
    SuspectState,
    read_suspects,
    suspect_to_record,
)
from carobspool_node.direct._telemetry import Telemetry

CRASHES_TO_QUARANTINE = 3
"""Copies of suspects are not claimed in the store, which may be down. So an innocent request can
meet the culprit again at its second upstream; three crashes in common are unlikely."""
ONLINE_PAUSE: Millis = 120_000.0
"""Time after `CRASHES_TO_QUARANTINE` crashes in which online copies are refused; doubled by each
further crash. A caller sends its request again for a minute or so, and each further crash ends all
streams of a server."""
ITEM_PAUSE: Millis = 10_000.0
"""The same for a batch item, which must be finished and cannot be sent again by its caller."""
MAX_PAUSE: Millis = 86_400_000.0
PULL_INTERVAL: Millis = 1_000.0
"""Minimum time between two reads of other entries' quarantines."""
EXPIRY_INTERVAL: Millis = 60_000.0


class CrashIsolation:
    """What this entry knows of requests that crash upstreams. Thread-safe.

    Args:
        clock: The process's clock.
        telemetry: Counts runs that crashed.
        tell: Sends changed evidence to the other entries.
        save: Writes a quarantine, or that it is lifted, to the store, without blocking.
    """

    def __init__(
        self,
        clock: Clock,
        telemetry: Telemetry,
        *,
        tell: Callable[[Sequence[SuspectUpdate]], None],
        save: Callable[[SuspectUpdate], None],
    ) -> None:
        self._clock = clock
        self._telemetry = telemetry
        self._tell = tell
        self._save = save
        self._lock = threading.Lock()
        self._table = make_suspect_table(clock, crashes_to_quarantine=CRASHES_TO_QUARANTINE)
        self._reported: set[str] = set()
        self._digest: int | None = 0
        self._pull_at: Millis = 0.0
        self._expire_at: Millis = 0.0

    def check(self, fingerprint: Callable[[], str]) -> VerdictKind:
        """Return whether a request may run.

        Args:
            fingerprint: Returns the request's fingerprint; not called while there are no suspects.
        """
        if self._table.is_empty:
            return VerdictKind.CLEAR
        key = fingerprint()
        now = self._clock.now()
        with self._lock:
            kind = self._table.check(key, now).kind
            if kind is VerdictKind.QUARANTINED and now >= self._pause_end(key, ONLINE_PAUSE, now):
                return VerdictKind.SUSPECT
        return kind

    def item_not_before(self, fingerprint: Callable[[], str]) -> Millis:
        """Return the earliest time at which a batch item may run, 0 if it may run at any time."""
        if self._table.is_empty:
            return 0.0
        key = fingerprint()
        with self._lock:
            return self._pause_end(key, ITEM_PAUSE, self._clock.now())

    def _pause_end(self, fingerprint: str, pause: Millis, now: Millis) -> Millis:
        evidence = self._table.evidence(fingerprint, now)
        excess = evidence.crashes - CRASHES_TO_QUARANTINE
        if excess < 0:
            return 0.0
        return evidence.last_crash_at + min(pause * 2.0**excess, MAX_PAUSE)

    def record_crash(self, fingerprint: str, upstream: Upstream) -> None:
        """Record that an upstream ended while it ran a request, and tell the other entries.

        Call this before the caller receives the failure: the caller may send the request again at
        once, to an entry that must know of the crash by then.
        """
        now = self._clock.now()
        with self._lock:
            updates = self._table.record_crash(
                upstream.instance, (fingerprint,), now, crash_id=upstream.identity
            )
            self._reported.add(fingerprint)
            crashes = self._table.evidence(fingerprint, now).crashes
            if crashes >= CRASHES_TO_QUARANTINE:
                self._digest = None
        self._telemetry.count("crashed_runs", service=upstream.service)
        logging.info(
            "event=run_crashed fingerprint=%s upstream=%s crashes=%d",
            fingerprint,
            upstream.identity,
            crashes,
        )
        if not updates:
            return
        self._tell(updates)
        for update in updates:
            if update.quarantined:
                self._report_quarantine(update)

    def record_completion(self, fingerprint: Callable[[], str]) -> None:
        """Clear a request that ran to its end, and tell the other entries.

        Args:
            fingerprint: Returns the request's fingerprint; not called while there are no suspects.
        """
        if self._table.is_empty:
            return
        key = fingerprint()
        now = self._clock.now()
        with self._lock:
            was_quarantined = self._table.check(key, now).kind is VerdictKind.QUARANTINED
            update = self._table.record_completion(key, now, lift=True)
            if was_quarantined:
                self._digest = None
        if update is None:
            return
        logging.info("event=suspect_cleared fingerprint=%s lifted=%s", key, was_quarantined)
        self._tell((update,))
        if was_quarantined:
            self._save(update)

    def merge(self, suspects: Iterable[SuspectState]) -> None:
        """Merge evidence from other entries or from the store."""
        now = self._clock.now()
        quarantined = []
        with self._lock:
            for each in suspects:
                before = self._table.check(each.fingerprint, now).kind
                self._table.merge(each.fingerprint, each.values, now, age=each.age)
                after = self._table.check(each.fingerprint, now).kind
                update = self._table.state(each.fingerprint, now)
                if update is None:
                    continue
                if len(update.values["crashes"].split()) >= CRASHES_TO_QUARANTINE:
                    self._digest = None
                if after is VerdictKind.QUARANTINED and before is not after:
                    quarantined.append(update)
        for update in quarantined:
            self._report_quarantine(update)

    def versions(self) -> Mapping[str, int]:
        """Return the digest of the quarantines and of those that were lifted, for announcements."""
        with self._lock:
            if self._digest is None:
                found = self._table.quarantines(self._clock.now())
                lines = sorted(f"{each.fingerprint} {each.quarantined}" for each, _ in found)
                self._digest = xxh3_64_intdigest("\n".join(lines).encode()) if lines else 0
            return {QUARANTINES: self._digest}

    def should_pull(self, versions: Mapping[str, int]) -> bool:
        """Return whether to read the quarantines of a peer with these ``versions`` now.

        Several announcements with different digests cause one read in `PULL_INTERVAL`.
        """
        theirs = versions.get(QUARANTINES, 0)
        if not theirs or theirs == self.versions()[QUARANTINES]:
            return False
        now = self._clock.now()
        with self._lock:
            if now < self._pull_at:
                return False
            self._pull_at = now + PULL_INTERVAL
        return True

    def quarantines_to_send(self) -> dict[str, Any]:
        """Return all quarantines, lifted ones included, as another entry reads them."""
        with self._lock:
            found = self._table.quarantines(self._clock.now())
        return {"suspects": [suspect_to_record(update, age) for update, age in found]}

    def adopt(self, message: Json) -> None:
        """Merge the quarantines that another entry has sent.

        Raises:
            UnusableRecordError: The message is invalid.
        """
        self.merge(read_suspects(message))

    def remove_expired(self) -> None:
        """Remove expired evidence; call this method periodically."""
        now = self._clock.now()
        if now < self._expire_at:
            return
        self._expire_at = now + EXPIRY_INTERVAL
        with self._lock:
            self._table.remove_expired(now)
            self._reported = {
                each for each in self._reported if self._table.evidence(each, now).crashes
            }
            self._digest = None

    def _report_quarantine(self, update: SuspectUpdate) -> None:
        self._telemetry.count("quarantines")
        logging.warning(
            "event=quarantined fingerprint=%s crashes=%s",
            update.fingerprint,
            update.values["crashes"].replace(" ", ","),
        )
        # Each of two entries may learn of the other's crash last. Every entry that has seen one of
        # the crashes therefore writes the same object, and the first write counts.
        if update.fingerprint in self._reported:
            self._save(update)
