"""Isolation of requests that crash upstreams: the decision, its object in the store, and hints.

News travels by hints at once and by objects under ``quarantine/`` for entries that come later. The
single run of a suspect is claimed by a conditional write, since hints alone could let two entries
run it at the same time.
"""

from __future__ import annotations

import itertools
import threading
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor

from absl import logging
from returns.pipeline import is_successful
from returns.result import Failure as Failed
from returns.result import Result, Success

from carobspool_core import (
    Clock,
    Failure,
    Hint,
    HintKind,
    Json,
    Millis,
    ObjectChange,
    ObjectStore,
    Open,
    StoredObject,
    StoreFault,
    SuspectTable,
    SuspectUpdate,
    Verdict,
    VerdictKind,
    unavailable,
    wall_millis,
)
from carobspool_node.store import Followed, follow, list_all

PREFIX = "quarantine/"
WRITE_TRIES = 5
WATCH_TIMEOUT: Millis = 20_000.0
RETRY_DELAY: Millis = 1_000.0
CLAIM_TIME: Millis = 30_000.0
"""A claim is renewed while its run goes on, also for hours as that of an item of a job may;
a suspect whose entry died is held back no longer than this."""


class Isolation:
    """Keeps the suspects of an entry in step with the other entries. Since 0.1.

    Args:
        suspects: The decision; this class serialises its use.
        store: Object store.
        clock: This process's clock.
        holder: Name and incarnation of this entry.
        tell: Tells a hint to the other entries: kind, subject, values.
    """

    def __init__(
        self,
        suspects: SuspectTable,
        store: ObjectStore,
        clock: Clock,
        *,
        holder: str,
        tell: Callable[[HintKind, str, dict[str, str]], None],
    ) -> None:
        self._suspects = suspects
        self._store = store
        self._clock = clock
        self._holder = holder
        self._tell = tell
        self._lock = threading.Lock()
        self._claims = itertools.count(1)
        self._held: dict[str, str] = {}
        self._renewed_at: Millis = 0.0
        self._writer = ThreadPoolExecutor(1, thread_name_prefix="quarantine")
        self._stopped = threading.Event()
        self._follower = threading.Thread(target=self._follow, name="quarantines", daemon=True)

    def start(self) -> None:
        """Read the known quarantines and follow them in a task of its own."""
        self._follower.start()

    def stop(self) -> None:
        """End the tasks."""
        self._stopped.set()
        self._writer.shutdown(wait=False)

    def check(self, fingerprint: str) -> Verdict:
        """Return whether a request may run."""
        with self._lock:
            return self._suspects.check(fingerprint, self._clock.now())

    def claim(self, fingerprint: str, timeout: Millis) -> Result[None, Failure]:
        """Claim the single run of a suspect, in the store before anything is sent.

        Args:
            fingerprint: The suspect.
            timeout: Longest time that the run may take, in milliseconds.
        """
        version = self._merge_stored(fingerprint)
        if not is_successful(version):
            return Failed(version.failure())
        holder = f"{self._holder}.{next(self._claims)}"
        with self._lock:
            claimed = self._suspects.claim(
                fingerprint, holder, "", self._clock.now(), timeout=min(timeout, CLAIM_TIME)
            )
        if not is_successful(claimed):
            return Failed(claimed.failure())
        written = self._write(claimed.unwrap(), version.unwrap())
        if not is_successful(written):
            # Kept here, the claim would make this entry refuse the request until it ends.
            with self._lock:
                self._suspects.release(fingerprint, holder, self._clock.now())
            return Failed(_not_claimed())
        with self._lock:
            self._held[fingerprint] = holder
            self._renewed_at = self._clock.now()
        self._tell_change(claimed.unwrap())
        return Success(None)

    def close_run(self, request: Open, *, whole: bool) -> None:
        """Note the end of a request's run; one that is no suspect changes nothing.

        Args:
            request: The request that ran, or was not sent after all.
            whole: Whether it ran to its end.
        """
        if not request.suspect:
            return
        if whole:
            self.completed(request.fingerprint)
            return
        self.released(request.fingerprint)

    def completed(self, fingerprint: str) -> None:
        """Clear a suspect that ran to its end."""
        with self._lock:
            self._held.pop(fingerprint, None)
            change = self._suspects.record_completion(fingerprint, self._clock.now())
        self._publish(change)

    def released(self, fingerprint: str) -> None:
        """Give a claim back after a run that neither completed nor crashed its upstream."""
        with self._lock:
            holder = self._held.pop(fingerprint, None)
            if holder is None:
                return
            change = self._suspects.release(fingerprint, holder, self._clock.now())
        self._publish(change)

    def crashed(self, hint: Hint) -> None:
        """Take a sidecar's report of what was in flight when its upstream crashed."""
        crash = f"{hint.subject}@{hint.origin}.{hint.sequence}"
        with self._lock:
            changes = self._suspects.record_crash(
                hint.subject, hint.values, self._clock.now(), crash_id=crash
            )
        logging.warning(
            "event=upstream_crashed host=%s in_flight=%d", hint.subject, len(hint.values)
        )
        for change in changes:
            self._publish(change)

    def merge(self, hint: Hint) -> None:
        """Take another entry's news of a fingerprint."""
        with self._lock:
            self._suspects.merge(hint.subject, hint.values, self._clock.now())

    def tick(self) -> None:
        """Renew the claims of runs that go on, and drop what is too old; called each second."""
        now = self._clock.now()
        changes: list[SuspectUpdate | None] = []
        with self._lock:
            self._suspects.remove_expired(now)
            if now - self._renewed_at > CLAIM_TIME / 3:
                self._renewed_at = now
                changes = [
                    self._suspects.renew(fingerprint, holder, now, timeout=CLAIM_TIME)
                    for fingerprint, holder in self._held.items()
                ]
        for change in changes:
            self._publish(change)

    def _publish(self, change: SuspectUpdate | None) -> None:
        if change is None:
            return
        self._tell_change(change)
        if not self._stopped.is_set():
            self._writer.submit(self._keep, change)

    def _tell_change(self, change: SuspectUpdate) -> None:
        kind = HintKind.QUARANTINE if change.quarantined else HintKind.SUSPECT
        if change.quarantined:
            logging.warning("event=quarantined fingerprint=%s", change.fingerprint)
        self._tell(kind, change.fingerprint, change.values)

    def _keep(self, change: SuspectUpdate) -> None:
        for _ in range(WRITE_TRIES):
            version = self._merge_stored(change.fingerprint)
            if is_successful(version):
                # What another entry has written is merged by now; writing only the news of this
                # one would take that evidence out of the object.
                with self._lock:
                    merged = self._suspects.current_state(change.fingerprint, self._clock.now())
                if is_successful(self._write(merged, version.unwrap())):
                    return
            if self._stopped.wait(RETRY_DELAY / 1000.0):
                return

    def _merge_stored(self, fingerprint: str) -> Result[int, Failure]:
        found = self._store.get(PREFIX + fingerprint)
        if not is_successful(found):
            if found.failure().fault is StoreFault.NOT_FOUND:
                return Success(0)
            return Failed(_not_claimed())
        stored = found.unwrap()
        self._merge_value(fingerprint, stored.value)
        return Success(stored.version)

    def _merge_value(self, fingerprint: str, value: Json) -> None:
        with self._lock:
            self._suspects.merge(fingerprint, value["values"], self._clock.now())

    def _write(self, change: SuspectUpdate, version: int) -> Result[object, object]:
        value = self._value(change)
        key = PREFIX + change.fingerprint
        if version == 0:
            return self._store.create(key, value)
        return self._store.update(key, value, version=version)

    def _value(self, change: SuspectUpdate) -> Json:
        value: Json = {"values": change.values, "quarantined": change.quarantined}
        if change.quarantined:
            value["audit"] = [
                {
                    "at": wall_millis(),
                    "who": self._holder,
                    "kind": "quarantine",
                    "subject": change.fingerprint,
                    "reason": f"crashed upstreams: {change.values['crashes']}",
                    "before": "suspect",
                    "after": "quarantined",
                }
            ]
        return value

    def _follow(self) -> None:
        followed = Followed(
            reset=self._merge_objects,
            changed=self._merge_changes,
            answered=lambda: None,
            failed=lambda: None,
        )
        follow(
            self._store,
            PREFIX,
            lambda: list_all(self._store, PREFIX),
            followed,
            self._stopped,
            watch_timeout=WATCH_TIMEOUT,
        )

    def _merge_objects(self, objects: Iterable[StoredObject]) -> None:
        for stored in objects:
            try:
                self._merge_value(stored.key.removeprefix(PREFIX), stored.value)
            except (KeyError, TypeError, AttributeError) as error:
                logging.error("event=suspect_unreadable key=%s detail=%r", stored.key, error)

    def _merge_changes(self, changes: Iterable[ObjectChange]) -> None:
        self._merge_objects(change.object for change in changes if not change.deleted)


def is_clear(verdict: Verdict) -> bool:
    """Whether a verdict allows a request to run like any other."""
    return verdict.kind is VerdictKind.CLEAR


def _not_claimed() -> Failure:
    return unavailable(
        "suspect_not_claimed",
        "this request is suspected of crashing upstreams and its run could not be claimed",
        retry_after_ms=2_000.0,
    )
