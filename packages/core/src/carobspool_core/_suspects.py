"""Isolation of requests that crash the upstreams that run them.

Load pattern: one request crashes its upstream, and its caller sends it again, through any entry.
Without isolation it takes the fleet down one upstream at a time, together with everything that ran
beside it. The engine can't say which request did it, so all that were in flight become suspects.

A suspect runs with no fellow suspect beside it and, whatever its caller resends, once at a time in
the whole pool. So a second crash names the culprit: it is common to both and is quarantined. Two
upstreams are lost, a third run never starts. A suspect that runs to its end is cleared.

The state of a fingerprint is two growing sets, crashes and the crashes it is cleared of, so hints
may arrive in any order, twice or late. The claim of the single run is not made safe by hints: the
entry writes it to the fingerprint's object by conditional write before it sends the request.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from http import HTTPStatus

from returns.result import Failure as Failed
from returns.result import Result, Success

from carobspool_core._clock import Clock, Millis
from carobspool_core._outcome import Failure, invalid_request, unavailable

CRASHES_TO_QUARANTINE = 2
SUSPECT_KEPT: Millis = 86_400_000.0
"""Evidence is kept for a day: a caller that resends each hour takes down two upstreams, not two an
hour. An innocent that comes back within the day is cleared by its first run."""
QUARANTINE_KEPT: Millis = 7 * 86_400_000.0
"""A week: engines are updated about as often, and a new one may well run the request."""
MAX_RECORDS = 20_000
"""53 hosts a day with 32 requests each make 1,700 suspects a day; ten times that, at 0.5 KB."""
CLAIM_MARGIN: Millis = 5_000.0
"""A claim outlasts its request's time limit by this, for an answer still under way."""
BUSY_RETRY_AFTER: Millis = 2_000.0
"""When to come back while the single run is under way: most answers take a few seconds."""


class VerdictKind(StrEnum):
    """What may be done with a request."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """The judgement of a fingerprint.

    Attributes:
        kind: ``SUSPECT``: `Suspects.claim` comes before running it.
        failure: What its caller gets at once; ``None`` when it may run.
    """

    kind: VerdictKind
    failure: Failure | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class SuspectChange:
    """News of a fingerprint, for other entries and for its object in the store.

    Attributes:
        fingerprint: Digest of organisation and body.
        quarantined: Whether it is quarantined now.
        values: What `Suspects.merge` takes.
    """

    fingerprint: str
    quarantined: bool
    values: dict[str, str]


@dataclass(slots=True, kw_only=True)
class _Record:
    changed: Millis
    crashes: set[str] = field(default_factory=set)
    cleared: set[str] = field(default_factory=set)
    holder: str = ""
    host: str = ""
    held_until: Millis = 0.0

    @property
    def evidence(self) -> int:
        return len(self.crashes - self.cleared)

    @property
    def kept_for(self) -> Millis:
        quarantined = self.evidence >= CRASHES_TO_QUARANTINE
        return QUARANTINE_KEPT if quarantined else SUSPECT_KEPT


class Suspects:
    """Fingerprints under suspicion or in quarantine, as one entry knows them.

    Args:
        clock: The process's clock.

    Since 0.1.
    """

    __slots__ = ("_clock", "_records")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: OrderedDict[str, _Record] = OrderedDict()

    def check(self, fingerprint: str, now: Millis) -> Verdict:
        """Return whether a request may run, before anything else is done with it."""
        record = self._current(fingerprint, now)
        if record is None or not record.evidence:
            return Verdict(kind=VerdictKind.CLEAR)
        if record.evidence >= CRASHES_TO_QUARANTINE:
            return Verdict(kind=VerdictKind.QUARANTINED, failure=_quarantined())
        if now < record.held_until:
            return Verdict(kind=VerdictKind.SUSPECT, failure=_busy())
        return Verdict(kind=VerdictKind.SUSPECT)

    def claim(
        self, fingerprint: str, holder: str, host: str, now: Millis, *, timeout: Millis
    ) -> Result[SuspectChange, Failure]:
        """Claim the single run of a suspect.

        Read the fingerprint's object and merge it before, and write the change on the version
        read before the request is sent. When the write conflicts or the store can't be reached,
        release the claim and refuse the request as not run.

        Args:
            fingerprint: The suspect.
            holder: The entry's name and incarnation.
            host: The upstream that will run it.
            now: The instant.
            timeout: Longest time that the run may take.

        Returns:
            The change to write and to tell, or why the caller is refused.
        """
        verdict = self.check(fingerprint, now)
        if verdict.failure is not None:
            return Failed(verdict.failure)
        record = self._touch(fingerprint, now)
        record.holder = holder
        record.host = host
        record.held_until = now + timeout + CLAIM_MARGIN
        return Success(self._change(fingerprint, record, now))

    def release(self, fingerprint: str, holder: str, now: Millis) -> SuspectChange | None:
        """Give a claim back after a run that neither completed nor crashed its upstream."""
        record = self._current(fingerprint, now)
        if record is None or record.holder != holder:
            return None
        record.held_until = now
        return self._change(fingerprint, record, now)

    def occupied(self, now: Millis) -> frozenset[str]:
        """Return the upstreams that run a suspect, to be left out for other suspects."""
        held = (each for each in self._records.values() if now < each.held_until)
        return frozenset(each.host for each in held)

    def crashed(
        self, host: str, fingerprints: Iterable[str], now: Millis, *, crash_id: str | None = None
    ) -> list[SuspectChange]:
        """Note that an upstream crashed.

        Tell the changes to the other entries before the callers hear of the failure: a caller
        resends at once, and an entry that knows nothing yet would run the request.

        Args:
            host: The upstream.
            fingerprints: Requests that were in flight there.
            now: The instant.
            crash_id: Names this crash, the same for all who report it, for example host and
                incarnation; made from host and instant when left out.
        """
        name = crash_id or f"{host}@{now:.0f}"
        changes = []
        for fingerprint in fingerprints:
            record = self._touch(fingerprint, now)
            if name in record.crashes:
                continue
            record.crashes.add(name)
            record.held_until = now
            changes.append(self._change(fingerprint, record, now))
        return changes

    def completed(self, fingerprint: str, now: Millis) -> SuspectChange | None:
        """Clear a suspect that ran to its end; a quarantined one stays.

        Returns:
            The change to tell, ``None`` when there was no suspicion.
        """
        record = self._current(fingerprint, now)
        if record is None or not 0 < record.evidence < CRASHES_TO_QUARANTINE:
            return None
        record.cleared |= record.crashes
        record.held_until = now
        return self._change(fingerprint, record, now)

    def merge(self, fingerprint: str, values: Mapping[str, str], now: Millis) -> None:
        """Take over what another entry told or what the fingerprint's object holds."""
        record = self._touch(fingerprint, now)
        known = record.evidence
        record.crashes |= _split(values.get("crashes", ""))
        record.cleared |= _split(values.get("cleared", ""))
        if record.evidence != known:
            record.held_until = now
        self._merge_claim(record, values, now)

    def change(self, fingerprint: str, now: Millis) -> SuspectChange:
        """Return what is known of a fingerprint, as it is written and told."""
        return self._change(fingerprint, self._touch(fingerprint, now), now)

    def expire(self, now: Millis) -> None:
        """Drop what is too old; call it now and then."""
        old = [key for key, each in self._records.items() if now - each.changed >= each.kept_for]
        for fingerprint in old:
            del self._records[fingerprint]

    def _merge_claim(self, record: _Record, values: Mapping[str, str], now: Millis) -> None:
        holder = values.get("holder", "")
        left = float(values.get("held_ms", "0"))
        if left > 0.0 and (now >= record.held_until or holder == record.holder):
            record.holder = holder
            record.host = values.get("host", "")
            record.held_until = now + left
            return
        if left <= 0.0 and holder == record.holder:
            record.held_until = min(record.held_until, now)

    def _current(self, fingerprint: str, now: Millis) -> _Record | None:
        record = self._records.get(fingerprint)
        if record is None:
            return None
        if now - record.changed < record.kept_for:
            return record
        del self._records[fingerprint]
        return None

    def _touch(self, fingerprint: str, now: Millis) -> _Record:
        record = self._current(fingerprint, now)
        if record is None:
            record = self._records[fingerprint] = _Record(changed=now)
        record.changed = now
        self._records.move_to_end(fingerprint)
        if len(self._records) > MAX_RECORDS:
            self._drop_one(fingerprint)
        return record

    def _drop_one(self, kept: str) -> None:
        # The oldest suspicion goes first. Dropping a quarantine would let a known culprit take
        # down two more upstreams; a dropped suspect costs at most one.
        for fingerprint, record in self._records.items():
            if fingerprint != kept and record.evidence < CRASHES_TO_QUARANTINE:
                del self._records[fingerprint]
                return
        self._records.popitem(last=False)

    def _change(self, fingerprint: str, record: _Record, now: Millis) -> SuspectChange:
        values = {"crashes": " ".join(sorted(record.crashes))}
        if record.cleared:
            values["cleared"] = " ".join(sorted(record.cleared))
        if record.holder:
            values["holder"] = record.holder
            values["host"] = record.host
            values["held_ms"] = f"{max(0.0, record.held_until - now):.0f}"
        quarantined = record.evidence >= CRASHES_TO_QUARANTINE
        return SuspectChange(fingerprint=fingerprint, quarantined=quarantined, values=values)


def make_suspects(clock: Clock) -> Suspects:
    """Return the state of an entry that suspects nobody.

    Since 0.1.
    """
    return Suspects(clock)


def _split(names: str) -> set[str]:
    return set(names.split())


def _quarantined() -> Failure:
    message = "this request crashed two upstreams and is not run again"
    return invalid_request(
        "request_quarantined", message, status=HTTPStatus.UNPROCESSABLE_ENTITY.value
    )


def _busy() -> Failure:
    message = "the request is suspected of crashing upstreams and runs elsewhere now"
    return unavailable("suspect_running", message, retry_after_ms=BUSY_RETRY_AFTER)
