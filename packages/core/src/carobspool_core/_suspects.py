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

from returns.result import Failure as Failed
from returns.result import Result, Success

from carobspool_core._clock import Clock, Millis
from carobspool_core._outcome import Failure
from carobspool_core._suspect_records import (
    CRASHES_TO_QUARANTINE,
    SuspectChange,
    SuspectRecord,
    Verdict,
    VerdictKind,
    busy_failure,
    quarantined_failure,
)

MAX_RECORDS = 20_000
"""53 hosts a day with 32 requests each make 1,700 suspects a day; ten times that, at 0.5 KB."""
CLAIM_MARGIN: Millis = 5_000.0
"""A claim outlasts its request's time limit by this, for an answer still under way."""


class Suspects:
    """Fingerprints under suspicion or in quarantine, as one entry knows them.

    Args:
        clock: The process's clock.

    Since 0.1.
    """

    __slots__ = ("_claims", "_clock", "_records")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: OrderedDict[str, SuspectRecord] = OrderedDict()
        self._claims = 0

    def check(self, fingerprint: str, now: Millis) -> Verdict:
        """Return whether a request may run, before anything else is done with it."""
        record = self._current(fingerprint, now)
        if record is None or not record.evidence:
            return Verdict(kind=VerdictKind.CLEAR)
        if record.evidence >= CRASHES_TO_QUARANTINE:
            return Verdict(kind=VerdictKind.QUARANTINED, failure=quarantined_failure())
        if now < record.held_until:
            return Verdict(kind=VerdictKind.SUSPECT, failure=busy_failure())
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
            holder: The entry's name and incarnation; without blanks.
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
        return Success(self._held(fingerprint, record, now, timeout))

    def renew(
        self, fingerprint: str, holder: str, now: Millis, *, timeout: Millis
    ) -> SuspectChange | None:
        """Hold a claim longer, for a run that goes on; write and tell the change.

        With short claims that are renewed a suspect is not held back for long when its entry dies.

        Returns:
            The change, ``None`` when the claim is not held any more; the run is to be cancelled.
        """
        record = self._current(fingerprint, now)
        if record is None or record.holder != holder or now >= record.held_until:
            return None
        return self._held(fingerprint, record, now, timeout)

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

    def _held(
        self, fingerprint: str, record: SuspectRecord, now: Millis, timeout: Millis
    ) -> SuspectChange:
        self._claims += 1
        record.claim = f"{record.holder}#{self._claims}"
        record.held_until = now + timeout + CLAIM_MARGIN
        return self._change(fingerprint, record, now)

    def _merge_claim(self, record: SuspectRecord, values: Mapping[str, str], now: Millis) -> None:
        claim = values.get("claim", "")
        left = float(values.get("held_ms", "0"))
        if claim == record.claim:
            # What the object holds is read again and again. Counting the time from each reading,
            # the claim of an entry that died would never end; it counts from the first.
            if left <= 0.0:
                record.held_until = min(record.held_until, now)
            return
        holder = values.get("holder", "")
        is_renewal = holder == record.holder and _number(claim) > _number(record.claim)
        if left > 0.0 and (now >= record.held_until or is_renewal):
            record.claim = claim
            record.holder = holder
            record.host = values.get("host", "")
            record.held_until = now + left

    def _current(self, fingerprint: str, now: Millis) -> SuspectRecord | None:
        record = self._records.get(fingerprint)
        if record is None:
            return None
        if now - record.changed < record.kept_for:
            return record
        del self._records[fingerprint]
        return None

    def _touch(self, fingerprint: str, now: Millis) -> SuspectRecord:
        record = self._current(fingerprint, now)
        if record is None:
            record = self._records[fingerprint] = SuspectRecord(changed=now)
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

    def _change(self, fingerprint: str, record: SuspectRecord, now: Millis) -> SuspectChange:
        values = {"crashes": " ".join(sorted(record.crashes))}
        if record.cleared:
            values["cleared"] = " ".join(sorted(record.cleared))
        if record.holder:
            values["claim"] = record.claim
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


def _number(claim: str) -> int:
    return int(claim.rpartition("#")[2] or 0)
