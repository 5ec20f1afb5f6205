"""Failure tests of reservations."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import pytest
from returns.result import Failure, Result, Success

from carobspool_core import ChunkHolder, ManualClock, Outcome
from carobspool_core import Failure as RequestFailure
from carobspool_node.store._reservation_objects import Reservation, StoredAnswer
from carobspool_node.store._reservations import Reservations, make_reservations
from carobspool_standins.memory_store import FaultKind, FaultRule, MemoryObjects, MemoryStore

ANSWER = StoredAnswer(status=200, headers={"content-type": "text/plain"}, body=b"sent\xff")


class Entries:
    """Entries over one store; ``dead`` names those whose lease has expired."""

    def __init__(self) -> None:
        self.objects = MemoryObjects()
        self.dead: set[str] = set()
        self.stores: dict[str, MemoryStore] = {}
        self.clocks: dict[str, ManualClock] = {}

    def make(self, name: str) -> Reservations:
        self.stores[name] = MemoryStore(self.objects, name)
        self.clocks[name] = ManualClock()
        holder = ChunkHolder(node=name, incarnation=f"{name}-1")
        return make_reservations(
            self.stores[name],
            holder,
            self.clocks[name],
            is_dead=lambda other: other.node in self.dead,
        )


def _code(result: Result[Reservation | StoredAnswer, RequestFailure]) -> str:
    assert isinstance(result, Failure)
    return result.failure().code


def _reservation(result: Result[Reservation | StoredAnswer, RequestFailure]) -> Reservation:
    found = result.unwrap()
    assert isinstance(found, Reservation)
    return found


def test_resends_to_several_entries_at_once() -> None:
    """A request sent to eight entries at once is reserved by one of them."""
    entries = Entries()
    makers = [entries.make(f"e{number}") for number in range(8)]
    with ThreadPoolExecutor(8) as pool:
        results = list(pool.map(lambda each: each.reserve("press", "k", "d"), makers))
    assert sum(isinstance(result, Success) for result in results) == 1
    assert {_code(result) for result in results if isinstance(result, Failure)} == {
        "request_in_progress"
    }


def test_answer_is_replayed_by_any_entry() -> None:
    """A resend after the end gets the stored answer; another body or organisation does not."""
    entries = Entries()
    first, second = entries.make("a"), entries.make("b")
    first.finish(_reservation(first.reserve("press", "k", "d")), ANSWER)
    assert second.reserve("press", "k", "d").unwrap() == ANSWER
    assert _code(second.reserve("press", "k", "other")) == "idempotency_key_reused"
    assert isinstance(second.reserve("tabosa", "k", "d").unwrap(), Reservation)


def test_not_run_frees_the_key() -> None:
    """A request that was never sent may be sent again, to any entry."""
    entries = Entries()
    first, second = entries.make("a"), entries.make("b")
    first.abandon_not_run(_reservation(first.reserve("press", "k", "d")))
    assert isinstance(second.reserve("press", "k", "d").unwrap(), Reservation)


def test_holder_that_died_leaves_the_outcome_unknown() -> None:
    """A letter is not sent twice when the entry that was sending it dies.

    The dead entry may have sent it or not. Once its lease has expired the reservation becomes
    unknown, for ever; until then a resend is told that the request is in progress.
    """
    entries = Entries()
    first, second = entries.make("a"), entries.make("b")
    first.reserve("press", "k", "d")
    assert _code(second.reserve("press", "k", "d")) == "request_in_progress"
    entries.dead.add("a")
    assert _code(second.reserve("press", "k", "d")) == "outcome_unknown"
    entries.dead.clear()
    assert _code(second.reserve("press", "k", "d")) == "outcome_unknown"


def test_paused_holder_still_stores_its_answer() -> None:
    """An answer that arrives after its holder was taken for dead is kept for later resends."""
    entries = Entries()
    first, second = entries.make("a"), entries.make("b")
    reservation = _reservation(first.reserve("press", "k", "d"))
    entries.dead.add("a")
    assert _code(second.reserve("press", "k", "d")) == "outcome_unknown"
    first.finish(reservation, ANSWER)
    assert second.reserve("press", "k", "d").unwrap() == ANSWER


def test_store_down_refuses_at_once() -> None:
    """With the store down a caller gets 503, not run, with a time to come back."""
    entries = Entries()
    first = entries.make("a")
    entries.stores["a"].outage = True
    failure = first.reserve("press", "k", "d").failure()
    assert (failure.status, failure.outcome) == (503, Outcome.NOT_RUN)
    assert failure.retry_after_ms is not None
    entries.stores["a"].outage = False
    assert isinstance(first.reserve("press", "k", "d").unwrap(), Reservation)


@pytest.mark.parametrize("kind", [FaultKind.UNKNOWN_AFTER, FaultKind.UNKNOWN_BEFORE])
def test_lost_answer_of_the_creation(kind: FaultKind) -> None:
    """A reservation whose creation got no answer is used only if it stands.

    With the write applied, reading back shows this reservation's token and the request may run.
    Without it the caller is told "not run", and a resend is reserved anew.
    """
    entries = Entries()
    first = entries.make("a")
    entries.stores["a"].inject(FaultRule(kind=kind, prefix="reservations/"))
    result = first.reserve("press", "k", "d")
    if kind is FaultKind.UNKNOWN_AFTER:
        first.finish(_reservation(result), ANSWER)
        assert first.reserve("press", "k", "d").unwrap() == ANSWER
        return
    assert result.failure().outcome is Outcome.NOT_RUN
    assert isinstance(first.reserve("press", "k", "d").unwrap(), Reservation)


@pytest.mark.parametrize("kind", [FaultKind.UNKNOWN_AFTER, FaultKind.UNKNOWN_BEFORE])
@pytest.mark.parametrize("end", ["finish", "abandon"])
def test_lost_answer_of_the_end(kind: FaultKind, end: str) -> None:
    """The end of a reservation is written although the answer to the first try is lost."""
    entries = Entries()
    first, second = entries.make("a"), entries.make("b")
    reservation = _reservation(first.reserve("press", "k", "d"))
    entries.stores["a"].inject(FaultRule(kind=kind, prefix="reservations/"))
    if end == "finish":
        first.finish(reservation, ANSWER)
        assert second.reserve("press", "k", "d").unwrap() == ANSWER
        return
    first.abandon_not_run(reservation)
    assert isinstance(second.reserve("press", "k", "d").unwrap(), Reservation)


@pytest.mark.parametrize(
    ("end", "expected"),
    [
        (lambda each, found: each.finish(found, ANSWER), "answer"),
        (lambda each, found: each.finish(found, None), "outcome_unknown"),
        (lambda each, found: each.abandon_not_run(found), "reserved"),
    ],
)
def test_outage_at_the_end(end: Callable[[Reservations, Reservation], None], expected: str) -> None:
    """An end that the store could not take is kept and written when the store is back.

    The store goes down while the request runs. The entry itself answers a resend rightly at once;
    others say "in progress" until the end is written, with the entry's next reservation.
    """
    entries = Entries()
    first, second = entries.make("a"), entries.make("b")
    reservation = _reservation(first.reserve("press", "k", "d"))
    entries.stores["a"].outage = True
    end(first, reservation)
    assert first.unsettled == 1
    assert _code(second.reserve("press", "k", "d")) == "request_in_progress"
    entries.stores["a"].outage = False
    entries.clocks["a"].advance(2_000.0)
    first.reserve("press", "other", "d")
    assert first.unsettled == 0
    result = second.reserve("press", "k", "d")
    if expected == "answer":
        assert result.unwrap() == ANSWER
    elif expected == "reserved":
        assert isinstance(result.unwrap(), Reservation)
    else:
        assert _code(result) == expected
