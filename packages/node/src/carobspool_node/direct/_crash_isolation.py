"""Isolates requests that crash the upstreams that run them.

Load pattern: an upstream ends soon after it begins a certain request, with all that runs there. The
caller sends the request again, under a new id and through any entry. Without isolation the copies
end one upstream after the other.

A request is known by fingerprints: one of the whole request, and one of each part of its prompt
that other requests share, since one part can crash the upstream of each request that has it. A
request whose upstream ends becomes a suspect at all entries; so do the parts of its prompt if the
upstream had written nothing on it. The next requests with that fingerprint meet at the upstream
that rendezvous hashing prefers for it, so that those sent at the same time crash one upstream and
not several, and other suspects run elsewhere. After `CRASHES_TO_QUARANTINE` crashes they are
refused at once, until a pause is over that doubles with each further crash. A copy that completes,
sent before the quarantine or after the pause, lifts it: servers that are lost together look like
crashes of each request that runs on several of them. A part is cleared once an upstream has written
on it.

Batch items crash nothing by themselves. One under which servers ended pauses, never for long.

Evidence travels by datagrams before the caller receives its failure. Quarantines are also written
to the store and compared between entries, so that lost datagrams, restarts and separations do not
lose them.
"""

from __future__ import annotations

import threading
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from typing import Any

from absl import logging
from xxhash import xxh3_64_intdigest

from carobspool_core import (
    Clock,
    Evidence,
    Json,
    Millis,
    SuspectUpdate,
    Verdict,
    VerdictKind,
    make_suspect_table,
)
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
ITEM_PAUSE: Millis = 2_000.0
"""The same for a batch item, which must be finished and cannot be sent again by its caller."""
MAX_ITEM_PAUSE: Millis = 10_000.0
"""Servers that crash for another reason can end under a sound item again and again. Jobs are due
after 20 s or so, and the item must be done by then if the crashes stop."""
MAX_PAUSE: Millis = 86_400_000.0
RECENT_WRITE: Millis = 2_000.0
"""Time for which a part counts as in use after an upstream has written on it."""
MAX_WRITTEN = 4_096
MAX_LOGGED = 8
"""Fingerprints in one log line."""
PULL_INTERVAL: Millis = 1_000.0
"""Minimum time between two reads of other entries' quarantines."""
EXPIRY_INTERVAL: Millis = 60_000.0
_CLEAR = Verdict(kind=VerdictKind.CLEAR)


class CrashIsolation:
    """What this entry knows of requests that crash upstreams. Thread-safe.

    Args:
        clock: The process's clock.
        telemetry: Counts runs that crashed.
        tell: Sends changed evidence to the other entries.
        save: Writes a quarantine, or that it is lifted, to the store, without blocking.
        on_quarantine: Called after a fingerprint was quarantined.
    """

    def __init__(
        self,
        clock: Clock,
        telemetry: Telemetry,
        *,
        tell: Callable[[Sequence[SuspectUpdate]], None],
        save: Callable[[SuspectUpdate], None],
        on_quarantine: Callable[[], None] = lambda: None,
    ) -> None:
        self._clock = clock
        self._telemetry = telemetry
        self._tell = tell
        self._save = save
        self._on_quarantine = on_quarantine
        self._lock = threading.Lock()
        self._table = make_suspect_table(clock, crashes_to_quarantine=CRASHES_TO_QUARANTINE)
        self._written_at: OrderedDict[str, Millis] = OrderedDict()
        self._reported: set[str] = set()
        self._digest: int | None = 0
        self._pull_at: Millis = 0.0
        self._expire_at: Millis = 0.0

    def check(self, fingerprints: Callable[[], Collection[str]]) -> Verdict:
        """Return whether a request may run.

        Args:
            fingerprints: Returns the fingerprints of the request and of the parts of its prompt;
                not called while there are no suspects.
        """
        if self._table.is_empty:
            return _CLEAR
        keys = fingerprints()
        now = self._clock.now()
        suspect = _CLEAR
        with self._lock:
            for verdict in self._table.verdicts(keys, now):
                if verdict.kind is VerdictKind.QUARANTINED and now < self._pause_end(
                    verdict.fingerprint, now
                ):
                    return verdict
                if suspect is _CLEAR and not self._is_in_use(verdict.fingerprint, now):
                    suspect = Verdict(kind=VerdictKind.SUSPECT, fingerprint=verdict.fingerprint)
        return suspect

    def _is_in_use(self, fingerprint: str, now: Millis) -> bool:
        """Return whether a suspect is a part on which an upstream has written just now.

        Requests with a popular part would otherwise all go to one upstream after each crash.
        """
        if now - self._written_at.get(fingerprint, -RECENT_WRITE) >= RECENT_WRITE:
            return False
        return self._table.evidence(fingerprint, now).crashes < CRASHES_TO_QUARANTINE

    def item_not_before(self, fingerprint: Callable[[], str]) -> Millis:
        """Return the earliest time at which a batch item may run, 0 if it may run at any time."""
        if self._table.is_empty:
            return 0.0
        key = fingerprint()
        with self._lock:
            evidence = self._table.unexplained_crashes(key, self._clock.now())
        return _pause_end(evidence, ITEM_PAUSE, MAX_ITEM_PAUSE)

    def _pause_end(self, fingerprint: str, now: Millis) -> Millis:
        return _pause_end(self._table.evidence(fingerprint, now), ONLINE_PAUSE, MAX_PAUSE)

    def record_crash(self, fingerprints: Sequence[str], upstream: Upstream) -> None:
        """Record that an upstream ended while it ran a request, and tell the other entries.

        Call this before the caller receives the failure: the caller may send the request again at
        once, to an entry that must know of the crash by then.

        Args:
            fingerprints: Fingerprint of the request, then those of the parts of its prompt if the
                upstream had written nothing on it.
            upstream: The upstream that ended.
        """
        now = self._clock.now()
        with self._lock:
            updates = self._table.record_crash(
                upstream.instance, fingerprints, now, crash_id=upstream.identity
            )
            self._reported.update(fingerprints)
            counts = [self._table.evidence(each, now).crashes for each in fingerprints]
            if any(update.quarantined for update in updates):
                self._digest = None
        self._telemetry.count("crashed_runs", service=upstream.service)
        parts = sorted(zip(counts[1:], fingerprints[1:], strict=True), reverse=True)[:MAX_LOGGED]
        logging.info(
            "event=run_crashed fingerprint=%s upstream=%s crashes=%d parts=%s",
            fingerprints[0],
            upstream.identity,
            counts[0],
            ",".join(f"{key}:{count}" for count, key in parts),
        )
        if not updates:
            return
        self._tell(updates)
        for update in updates:
            if update.quarantined:
                self._report_quarantine(update)

    def record_completion(self, fingerprints: Callable[[], Iterable[str]]) -> None:
        """Clear what ran to its end, and tell the other entries.

        Args:
            fingerprints: Returns the fingerprints; not called while there are no suspects.
        """
        if self._table.is_empty:
            return
        keys = fingerprints()
        now = self._clock.now()
        cleared: list[tuple[SuspectUpdate, bool]] = []
        with self._lock:
            for key in keys:
                was_quarantined = self._table.check(key, now).kind is VerdictKind.QUARANTINED
                update = self._table.record_completion(key, now, lift=True)
                if update is None:
                    continue
                cleared.append((update, was_quarantined))
                if was_quarantined:
                    self._digest = None
        if not cleared:
            return
        self._tell([update for update, _ in cleared])
        for update, lifted in cleared:
            logging.info(
                "event=suspect_cleared fingerprint=%s lifted=%s", update.fingerprint, lifted
            )
            if lifted:
                self._save(update)

    def record_written(self, parts: Callable[[], Iterable[str]]) -> None:
        """Clear parts on which an upstream has written.

        Args:
            parts: Returns the fingerprints of the parts; not called while there are no suspects.
        """
        if self._table.is_empty:
            return
        keys = list(parts())
        now = self._clock.now()
        with self._lock:
            for key in keys:
                self._written_at[key] = now
                self._written_at.move_to_end(key)
            while len(self._written_at) > MAX_WRITTEN:
                self._written_at.popitem(last=False)
        self.record_completion(lambda: keys)

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
                if update.was_quarantined:
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
        self._on_quarantine()


def _pause_end(evidence: Evidence, pause: Millis, longest: Millis) -> Millis:
    excess = evidence.crashes - CRASHES_TO_QUARANTINE
    if excess < 0:
        return 0.0
    return evidence.last_crash_at + min(pause * 2.0**excess, longest)
