"""Whether a stream whose run has failed may continue at another engine."""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct

from carobspool_core._clock import Millis

MAX_CONTINUATIONS = 2
"""Continuations of one request: one for a crash, and one more if the second engine is restarted."""
MIN_RUN_TIME: Millis = 100.0
"""A run that ends its engine sooner after its first event is not continued. Requests that crash
engines do so as they begin to run; their continuation would end a second engine."""


class ContinuationWay(StrEnum):
    """Where the memory of a continued run comes from.

    Attributes:
        COPY: The copy at the second engine; the first run has ended.
        MOVED: The first engine has stopped the run and moved its memory to the second one.
        SOURCE: The first engine has stopped the run and kept its memory.
    """

    COPY = "copy"
    MOVED = "moved"
    SOURCE = "source"


class LossReason(StrEnum):
    """Why a stream with a copy was not continued, or its continuation failed."""

    NO_EVENT = "no_event"
    EARLY = "early"
    TOO_OFTEN = "too_often"
    QUARANTINED = "quarantined"
    NO_TIME = "no_time"
    STILL_RUNNING = "still_running"
    NO_COPY = "no_copy"
    SECOND_FAILED = "second_failed"
    OTHER_VERSION = "other_version"


class RunFacts(Struct, frozen=True, kw_only=True):
    """What is known of a run that has failed.

    Attributes:
        last_event: Id of the last event that the caller has received, ``None`` if there is none.
        first_event_at: When the first event of this run arrived, ``None`` if none has arrived.
        failed_at: When the run failed.
        continuations: How often the request was continued before.
        is_quarantined: Whether the request is quarantined since it crashed several engines.
        time_left: Time until the deadline of the request.
    """

    last_event: int | None
    first_event_at: Millis | None
    failed_at: Millis
    continuations: int
    is_quarantined: bool
    time_left: Millis


def reason_to_end(facts: RunFacts, *, min_time_left: Millis) -> LossReason | None:
    """Return why a stream must not continue, ``None`` if it may once its run has ended.

    The limit of `MIN_RUN_TIME` holds for continued runs as well: a request that ends the second
    engine as it begins there must not reach a third one.

    Args:
        facts: The failed run.
        min_time_left: Shortest time in which a call is worth sending.
    """
    if facts.last_event is None or facts.first_event_at is None:
        return LossReason.NO_EVENT
    if facts.is_quarantined:
        return LossReason.QUARANTINED
    if facts.continuations >= MAX_CONTINUATIONS:
        return LossReason.TOO_OFTEN
    if facts.failed_at - facts.first_event_at < MIN_RUN_TIME:
        return LossReason.EARLY
    if facts.time_left < min_time_left:
        return LossReason.NO_TIME
    return None
