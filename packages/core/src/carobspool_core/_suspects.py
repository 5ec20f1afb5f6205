"""Isolation of requests that crash the upstreams that run them.

Load pattern: one request crashes its upstream, and its caller resends it through any entry. Without
isolation it crashes one upstream of the fleet after another, together with all requests that run
there. The engine cannot tell which request caused the crash, so all requests in flight become
suspects.

A suspect never shares an upstream with another suspect and, however often its caller resends it,
runs at most once at a time in the whole pool. So a second crash identifies the culprit: the request
that was in flight at both crashes is quarantined. Two upstreams are lost, and a third run never
starts. A suspect that completes is cleared.

A request is also known by the parts of its prompt, each with a fingerprint of its own (`verdicts`),
since requests that have only one part in common can crash their upstreams as well.

The state of a fingerprint is two grow-only sets, its crashes and the crashes it is cleared of, so
hints may arrive in any order, late or more than once. The claim of the single run does not rely on
hints: the entry writes it to the fingerprint's object by a conditional write before it sends the
request.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping

from returns.result import Failure as Failed
from returns.result import Result, Success

from carobspool_core._clock import Clock, Millis
from carobspool_core._outcome import Failure
from carobspool_core._suspect_records import (
    CRASHES_TO_QUARANTINE,
    ITEM_PREFIX,
    MIN_PART_SPAN,
    PART_PREFIX,
    Evidence,
    SuspectRecord,
    SuspectUpdate,
    Verdict,
    VerdictKind,
    already_running_failure,
    quarantined_failure,
)

MAX_RECORDS = 20_000
"""53 crashed hosts a day with 32 requests each make 1,700 suspects a day; the limit is about ten
times that, at 0.5 KB per record."""
CLAIM_MARGIN: Millis = 5_000.0
"""Time by which a claim outlasts its request's timeout, for an answer still in transit."""


class SuspectTable:
    """Suspected and quarantined fingerprints, as known to one entry.

    Args:
        clock: The process's clock.
        crashes_to_quarantine: Number of crashes after which a fingerprint is quarantined.

    Since 0.1.
    """

    __slots__ = ("_claim_count", "_clock", "_crashes_to_quarantine", "_quarantined", "_records")

    def __init__(self, clock: Clock, *, crashes_to_quarantine: int = CRASHES_TO_QUARANTINE) -> None:
        self._clock = clock
        self._crashes_to_quarantine = crashes_to_quarantine
        self._records: OrderedDict[str, SuspectRecord] = OrderedDict()
        self._quarantined: set[str] = set()
        self._claim_count = 0

    @property
    def is_empty(self) -> bool:
        """Whether nothing is known of any fingerprint."""
        return not self._records

    def check(self, fingerprint: str, now: Millis) -> Verdict:
        """Return whether a request may run; call this method before the request is processed."""
        record = self._unexpired_record(fingerprint, now)
        if record is None or not record.evidence:
            return Verdict(kind=VerdictKind.CLEAR)
        if record.is_quarantined:
            return Verdict(kind=VerdictKind.QUARANTINED, failure=quarantined_failure())
        if now < record.held_until:
            return Verdict(kind=VerdictKind.SUSPECT, failure=already_running_failure())
        return Verdict(kind=VerdictKind.SUSPECT)

    def verdicts(self, fingerprints: Collection[str], now: Millis) -> list[Verdict]:
        """Return the verdicts on a request that is known by several fingerprints.

        A crash counts against the fingerprint that was at most crashes: it explains its crashes,
        and what else was in flight there is not quarantined for them. Of fingerprints that were at
        the same crashes each may be the culprit, so that only a request with all of them is.

        Args:
            fingerprints: The fingerprints of the request itself and of the parts of its prompt.
            now: The current time.

        Returns:
            A verdict for each suspected fingerprint, the one with the most crashes first.
        """
        found: list[tuple[int, Verdict]] = []
        for fingerprint in fingerprints:
            record = self._unexpired_record(fingerprint, now)
            if record is None or not record.evidence:
                continue
            unexplained, is_ambiguous = self._unexplained(record, fingerprints, now)
            quarantined = record.is_quarantined and not is_ambiguous
            if quarantined and len(unexplained) >= self._crashes_to_quarantine:
                kind = VerdictKind.QUARANTINED
            elif unexplained or record.is_quarantined:
                kind = VerdictKind.SUSPECT
            else:
                continue
            found.append((record.evidence, Verdict(kind=kind, fingerprint=fingerprint)))
        found.sort(key=lambda each: -each[0])
        return [verdict for _, verdict in found]

    def unexplained_crashes(self, fingerprint: str, now: Millis) -> Evidence:
        """Return the evidence against a fingerprint that no quarantined one explains."""
        record = self._unexpired_record(fingerprint, now)
        if record is None:
            return Evidence(crashes=0, last_crash_at=0.0)
        unexplained, _ = self._unexplained(record, (fingerprint,), now)
        return Evidence(crashes=len(unexplained), last_crash_at=record.last_crash_at)

    def _unexplained(
        self, record: SuspectRecord, fingerprints: Collection[str], now: Millis
    ) -> tuple[set[str], bool]:
        """Return the crashes that no other fingerprint explains, and whether one was at the same.

        Args:
            record: The record of one of the fingerprints.
            fingerprints: Fingerprints of the request, which explain nothing away.
            now: The current time.
        """
        own = record.uncleared
        left = set(own)
        is_ambiguous = False
        for fingerprint in list(self._quarantined):
            if fingerprint in fingerprints or fingerprint.startswith(ITEM_PREFIX):
                continue
            other = self._unexpired_record(fingerprint, now)
            if other is None:
                continue
            crashes = other.uncleared
            if len(crashes) > len(own):
                left -= crashes
            elif crashes == own:
                is_ambiguous = True
        return left, is_ambiguous

    def evidence(self, fingerprint: str, now: Millis) -> Evidence:
        """Return the evidence against a fingerprint."""
        record = self._unexpired_record(fingerprint, now)
        if record is None:
            return Evidence(crashes=0, last_crash_at=0.0)
        return Evidence(crashes=record.evidence, last_crash_at=record.last_crash_at)

    def quarantines(self, now: Millis) -> list[tuple[SuspectUpdate, Millis]]:
        """Return the state of all fingerprints that are or were quarantined.

        A lifted quarantine is included, so that entries that merge the result lift it as well.

        Returns:
            Each state with the time since its last change.
        """
        return [
            (self._make_update(fingerprint, record, now), now - record.changed)
            for fingerprint, record in self._records.items()
            if record.was_quarantined and now - record.changed < record.retention
        ]

    def state(self, fingerprint: str, now: Millis) -> SuspectUpdate | None:
        """Return a fingerprint's state, ``None`` if nothing is known of it."""
        record = self._unexpired_record(fingerprint, now)
        return None if record is None else self._make_update(fingerprint, record, now)

    def claim(
        self, fingerprint: str, holder: str, host: str, now: Millis, *, timeout: Millis
    ) -> Result[SuspectUpdate, Failure]:
        """Claim the single run of a suspect.

        Read the fingerprint's object and merge it first. Before the request is sent, write the
        change on condition that the object still has the version read. If the write conflicts or
        the store is unreachable, release the claim and refuse the request as not run.

        Args:
            fingerprint: The suspect's fingerprint.
            holder: The entry's name and incarnation, without blanks.
            host: Host of the upstream that will run the suspect.
            now: The current time.
            timeout: Maximum duration of the run.

        Returns:
            The change to write to the store and to send to the other entries, or the failure for
            the caller.
        """
        verdict = self.check(fingerprint, now)
        if verdict.failure is not None:
            return Failed(verdict.failure)
        record = self._refresh_or_create(fingerprint, now)
        record.holder = holder
        record.host = host
        return Success(self._set_claim(fingerprint, record, now, timeout))

    def renew(
        self, fingerprint: str, holder: str, now: Millis, *, timeout: Millis
    ) -> SuspectUpdate | None:
        """Extend the claim of a run that continues.

        Claims are short and renewed, so that a suspect is not blocked for long if its entry dies.

        Returns:
            The change to write and to send, or ``None`` if the claim is no longer held; the caller
            must cancel the run then.
        """
        record = self._unexpired_record(fingerprint, now)
        if record is None or record.holder != holder or now >= record.held_until:
            return None
        return self._set_claim(fingerprint, record, now, timeout)

    def release(self, fingerprint: str, holder: str, now: Millis) -> SuspectUpdate | None:
        """End a claim after a run that neither completed nor crashed its upstream.

        Returns:
            The change to write and to send, or ``None`` if ``holder`` has no claim.
        """
        record = self._unexpired_record(fingerprint, now)
        if record is None or record.holder != holder:
            return None
        record.held_until = now
        return self._make_update(fingerprint, record, now)

    def hosts_running_suspects(self, now: Millis) -> frozenset[str]:
        """Return the hosts that run a suspect, which other suspects must avoid."""
        held = (each for each in self._records.values() if now < each.held_until)
        return frozenset(each.host for each in held)

    def record_crash(
        self, host: str, fingerprints: Iterable[str], now: Millis, *, crash_id: str | None = None
    ) -> list[SuspectUpdate]:
        """Record the crash of an upstream.

        Send the changes to the other entries before the callers receive the failure: a caller may
        resend at once, and an entry that does not know of the crash would run the request.

        Args:
            host: The upstream's host.
            fingerprints: Fingerprints of the requests that were in flight there.
            now: The current time.
            crash_id: Identifies this crash, the same for all entries that report it, for example
                host and incarnation; derived from host and time if omitted.

        Returns:
            A change for each fingerprint for which the crash is new.
        """
        name = crash_id or f"{host}@{now:.0f}"
        changes = []
        for fingerprint in fingerprints:
            record = self._refresh_or_create(fingerprint, now)
            if name in record.crashes:
                continue
            record.add_crashes({name}, now)
            record.held_until = now
            self._index(fingerprint, record)
            changes.append(self._make_update(fingerprint, record, now))
        return changes

    def record_completion(
        self, fingerprint: str, now: Millis, *, lift: bool = False
    ) -> SuspectUpdate | None:
        """Clear a suspect that completed.

        Args:
            fingerprint: The suspect's fingerprint.
            now: The current time.
            lift: Whether this ends a quarantine as well.

        Returns:
            The change to send, or ``None`` if nothing has changed.
        """
        record = self._unexpired_record(fingerprint, now)
        if record is None or not record.evidence:
            return None
        if record.is_quarantined and not lift:
            return None
        cleared_now = record.uncleared
        record.cleared |= record.crashes
        record.drop_cleared(cleared_now)
        record.held_until = now
        self._index(fingerprint, record)
        return self._make_update(fingerprint, record, now)

    def merge(
        self, fingerprint: str, values: Mapping[str, str], now: Millis, *, age: Millis = 0.0
    ) -> None:
        """Merge the values of another entry's hint or of the fingerprint's object.

        Args:
            fingerprint: The fingerprint.
            values: The values of a `SuspectUpdate`.
            now: The current time.
            age: Time since the sender's last change. The retention of a new record counts from that
                change; otherwise entries would renew an expired record for each other.
        """
        known = self._unexpired_record(fingerprint, now)
        changed = now - age if known is None else max(known.changed, now - age)
        record = self._refresh_or_create(fingerprint, now)
        record.changed = changed
        evidence_before = record.evidence
        crashes = _split_ids(values.get("crashes", ""))
        record.cleared |= _split_ids(values.get("cleared", ""))
        record.add_crashes(crashes, now - age)
        record.drop_cleared(crashes)
        record.confirmed |= _split_ids(values.get("confirmed", ""))
        if record.evidence != evidence_before:
            record.held_until = now
        self._index(fingerprint, record)
        self._merge_claim(record, values, now)

    def current_state(self, fingerprint: str, now: Millis) -> SuspectUpdate:
        """Return a fingerprint's state in the form that is written and sent.

        Creates the record if there is none, and restarts its retention time.
        """
        return self._make_update(fingerprint, self._refresh_or_create(fingerprint, now), now)

    def remove_expired(self, now: Millis) -> None:
        """Remove expired records; call this method periodically."""
        expired = [
            fingerprint
            for fingerprint, record in self._records.items()
            if now - record.changed >= record.retention
        ]
        for fingerprint in expired:
            self._remove(fingerprint)

    def _index(self, fingerprint: str, record: SuspectRecord) -> None:
        if record.is_quarantined:
            self._quarantined.add(fingerprint)
        else:
            self._quarantined.discard(fingerprint)

    def _remove(self, fingerprint: str) -> None:
        del self._records[fingerprint]
        self._quarantined.discard(fingerprint)

    def _set_claim(
        self, fingerprint: str, record: SuspectRecord, now: Millis, timeout: Millis
    ) -> SuspectUpdate:
        self._claim_count += 1
        record.claim = f"{record.holder}#{self._claim_count}"
        record.held_until = now + timeout + CLAIM_MARGIN
        return self._make_update(fingerprint, record, now)

    def _merge_claim(self, record: SuspectRecord, values: Mapping[str, str], now: Millis) -> None:
        claim = values.get("claim", "")
        remaining = float(values.get("held_ms", "0"))
        if claim == record.claim:
            # The same object is read repeatedly. The remaining time counts from the first read;
            # if it counted from each read, the claim of an entry that died would never end.
            if remaining <= 0.0:
                record.held_until = min(record.held_until, now)
            return
        holder = values.get("holder", "")
        is_renewal = holder == record.holder and _claim_number(claim) > _claim_number(record.claim)
        if remaining > 0.0 and (now >= record.held_until or is_renewal):
            record.claim = claim
            record.holder = holder
            record.host = values.get("host", "")
            record.held_until = now + remaining

    def _unexpired_record(self, fingerprint: str, now: Millis) -> SuspectRecord | None:
        record = self._records.get(fingerprint)
        if record is None:
            return None
        if now - record.changed < record.retention:
            return record
        self._remove(fingerprint)
        return None

    def _refresh_or_create(self, fingerprint: str, now: Millis) -> SuspectRecord:
        record = self._unexpired_record(fingerprint, now)
        if record is None:
            record = self._records[fingerprint] = SuspectRecord(
                changed=now,
                crashes_to_quarantine=self._crashes_to_quarantine,
                min_span=MIN_PART_SPAN if fingerprint.startswith(PART_PREFIX) else 0.0,
            )
        record.changed = now
        self._records.move_to_end(fingerprint)
        if len(self._records) > MAX_RECORDS:
            self._evict_record_except(fingerprint)
        return record

    def _evict_record_except(self, kept: str) -> None:
        # Evicts the oldest suspect first. Evicting a quarantined record would let a known culprit
        # crash two more upstreams; an evicted suspect costs at most one.
        for fingerprint, record in self._records.items():
            if fingerprint != kept and not record.is_quarantined:
                self._remove(fingerprint)
                return
        self._remove(next(iter(self._records)))

    def _make_update(self, fingerprint: str, record: SuspectRecord, now: Millis) -> SuspectUpdate:
        values = {"crashes": " ".join(sorted(record.crashes))}
        if record.cleared:
            values["cleared"] = " ".join(sorted(record.cleared))
        if record.min_span and record.confirmed:
            values["confirmed"] = " ".join(sorted(record.confirmed))
        if record.holder:
            values["claim"] = record.claim
            values["holder"] = record.holder
            values["host"] = record.host
            values["held_ms"] = f"{max(0.0, record.held_until - now):.0f}"
        return SuspectUpdate(
            fingerprint=fingerprint,
            quarantined=record.is_quarantined,
            values=values,
            was_quarantined=record.was_quarantined,
        )


def make_suspect_table(
    clock: Clock, *, crashes_to_quarantine: int = CRASHES_TO_QUARANTINE
) -> SuspectTable:
    """Return an empty table of suspects.

    Since 0.1.
    """
    return SuspectTable(clock, crashes_to_quarantine=crashes_to_quarantine)


def _split_ids(ids: str) -> set[str]:
    return set(ids.split())


def _claim_number(claim: str) -> int:
    return int(claim.rpartition("#")[2] or 0)
