"""Runs one batch item at an upstream, as an event stream that can be cancelled and resumed."""

from __future__ import annotations

from enum import StrEnum
from functools import partial

from msgspec import Struct

from carobspool_core import Clock, Millis
from carobspool_core.direct import (
    EventSplitter,
    EventTooLongError,
    ItemWork,
    JobInput,
    JobItem,
    Upstream,
    item_fingerprint,
    part_fingerprint,
)
from carobspool_core.upstream_pace import read_shared_parts
from carobspool_node.direct._crash_isolation import CrashIsolation
from carobspool_node.direct._errors import CallCancelledError, DeadlinePassedError
from carobspool_node.direct._in_flight import BatchRun
from carobspool_node.direct._item_request import item_request
from carobspool_node.direct._loads import LoadTable
from carobspool_node.direct._messages import HeaderNames, UpstreamHead
from carobspool_node.direct._upstream_calls import Joins, UpstreamCall
from carobspool_node.direct._upstream_connections import CallFailedError, UpstreamConnections

HEAD_TIMEOUT: Millis = 4_000.0
"""Longest time to the first event of an item. The item can wait at an engine behind a burst of
online requests, which lasts about two seconds."""
MAX_EVENT_GAP: Millis = 2_000.0
"""Gap between events after which an item resumes at another upstream. Events usually arrive about
every 30 ms."""
MAX_RUN_DURATION: Millis = 60_000.0


class RunEnd(StrEnum):
    """How a run ended.

    Attributes:
        COMPLETED: The upstream has sent the whole item.
        FAILED: The upstream failed to process the item (500); it may be tried again.
        REJECTED: The upstream can never process the item (422).
        NOT_RUN: The upstream refused the request without running the item.
        INTERRUPTED: This entry cancelled the run.
        BROKEN: The connection, the stream or its deadline failed, or the status was unexpected.
    """

    COMPLETED = "completed"
    FAILED = "failed"
    REJECTED = "rejected"
    NOT_RUN = "turned_away"
    INTERRUPTED = "interrupted"
    BROKEN = "broken"


class RunOutcome(Struct, frozen=True, kw_only=True):
    """How a run ended, with details for the log.

    Attributes:
        end: How the run ended.
        detail: The reason.
        not_before: Earliest time of the next run.
    """

    end: RunEnd
    detail: str = ""
    not_before: Millis = 0.0


class ItemRunner:
    """Runs items at upstreams."""

    def __init__(
        self,
        clock: Clock,
        names: HeaderNames,
        loads: LoadTable,
        connections: UpstreamConnections,
        isolation: CrashIsolation,
    ) -> None:
        self._isolation = isolation
        self._clock = clock
        self._names = names
        self._loads = loads
        self._connections = connections

    def run(self, job: JobInput, work: ItemWork, upstream: Upstream, run: BatchRun) -> RunOutcome:
        """Run an item of a job.

        Events that were received before a failure or a cancellation stay in ``work``, so that the
        next run resumes after them.
        """
        fingerprint = partial(_item_fingerprint, job, work.item)
        now = self._clock.now()
        not_before = self._isolation.item_not_before(fingerprint)
        if not_before > now:
            return RunOutcome(
                end=RunEnd.INTERRUPTED,
                detail="upstreams ended while they ran the item",
                not_before=not_before,
            )
        call = UpstreamCall(self._connections, upstream, self._names, cancellation=run.cancellation)
        try:
            head = call.start(
                item_request(
                    job,
                    work.item,
                    self._names,
                    instance=upstream.instance,
                    last_event=work.last_event,
                ),
                now + HEAD_TIMEOUT,
                joins=Joins.BEFORE if work.last_event else Joins.AFTER,
            )
            self._loads.record_activity(upstream)
            outcome = self._read_response(call, head, work, upstream, run)
            if outcome.end is not RunEnd.NOT_RUN:
                self._isolation.record_completion(lambda: (fingerprint(),))
            return outcome
        except CallFailedError as error:
            self._loads.record_failure(upstream)
            if error.sent and call.upstream_has_ended():
                self._isolation.record_crash((fingerprint(),), upstream)
            return RunOutcome(
                end=RunEnd.BROKEN,
                detail=str(error),
                not_before=self._isolation.item_not_before(fingerprint),
            )
        except EventTooLongError as error:
            self._loads.record_failure(upstream)
            return RunOutcome(end=RunEnd.BROKEN, detail=str(error))
        except DeadlinePassedError:
            self._loads.record_failure(upstream)
            return RunOutcome(end=RunEnd.BROKEN, detail="deadline exceeded")
        except CallCancelledError:
            return RunOutcome(end=RunEnd.INTERRUPTED, detail=run.cancellation.reason)
        finally:
            call.close()

    def _read_response(
        self,
        call: UpstreamCall,
        head: UpstreamHead,
        work: ItemWork,
        upstream: Upstream,
        run: BatchRun,
    ) -> RunOutcome:
        deadline = self._clock.now() + MAX_RUN_DURATION
        if head.header(self._names.not_run) is not None or head.status == 421:
            call.discard_body()
            return RunOutcome(end=RunEnd.NOT_RUN, detail=f"status {head.status}")
        if head.header(self._names.signature) is None:
            raise CallFailedError("the response has no server signature header", sent=True)
        if not head.succeeded:
            call.read_body(self._clock.now() + MAX_EVENT_GAP)
            return _refusal_outcome(head.status)
        splitter = EventSplitter()
        pauses = self._loads.choice.follow_events(
            upstream, run.forecast, is_resumed=work.last_event > 0
        )
        has_written = False
        last_event_at = self._clock.now()
        for data in call.body(deadline, idle_timeout=MAX_EVENT_GAP):
            self._loads.record_activity(upstream)
            events = splitter.feed(data)
            if pauses is not None:
                pauses.record(len(events))
            now = self._clock.now()
            if events:
                last_event_at = now
            elif now - last_event_at > MAX_EVENT_GAP:
                raise CallFailedError("bytes arrive, but no event", sent=True)
            if events and not has_written:
                has_written = True
                self._isolation.record_written(partial(self._part_fingerprints, work.item))
            for event in events:
                if event.event_id is None:
                    continue
                if event.event_id <= work.last_event:
                    continue
                if event.event_id != work.last_event + 1:
                    raise CallFailedError("an event id is missing from the sequence", sent=True)
                if not work.last_event:
                    work.version = call.version
                work.waits_since = None
                work.received_texts.append(event.data)
        if splitter.incomplete:
            raise CallFailedError("the stream ends in the middle of an event", sent=True)
        if call.ends_with_connection and not has_written:
            raise CallFailedError("the connection ended before the first event", sent=True)
        return RunOutcome(end=RunEnd.COMPLETED)

    def _part_fingerprints(self, item: JobItem) -> list[str]:
        headers = {key.lower(): value.encode() for key, value in item.headers.items()}
        model = headers.get(self._names.model.decode(), b"")
        parts = read_shared_parts(headers.get(self._names.prompt_parts.decode()))
        return [part_fingerprint(model, each) for each in parts]


def _item_fingerprint(job: JobInput, item: JobItem) -> str:
    """Return the fingerprint by which an item is recognised in each of its runs."""
    return item_fingerprint(
        organisation=job.organisation,
        host=job.host,
        target=item.path.encode(),
        body=item.body,
    )


def _refusal_outcome(status: int) -> RunOutcome:
    if status == 422:
        return RunOutcome(end=RunEnd.REJECTED, detail="status 422")
    if status == 500:
        return RunOutcome(end=RunEnd.FAILED, detail="status 500")
    return RunOutcome(end=RunEnd.BROKEN, detail=f"status {status}")
