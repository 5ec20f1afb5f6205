"""Reservations of online requests under their idempotency keys.

A reservation is created before the first byte of the request leaves this process. However often
the caller sends it again, and to whichever entry, one creation succeeds and only its maker runs it.
"""

from __future__ import annotations

import threading
import uuid
from collections.abc import Callable

from absl import logging
from returns.result import Failure, Result, Success

from carobspool_core import (
    ChunkHolder,
    Clock,
    Json,
    Millis,
    ObjectStore,
    StoreFault,
    wall_millis,
)
from carobspool_core import Failure as RequestFailure
from carobspool_node.store._reservation_objects import (
    Reservation,
    ReservationState,
    StoredAnswer,
    answer_value,
    in_progress,
    key_reused,
    object_key,
    outcome_unknown,
    read_answer,
    store_down,
)

UNSETTLED_PAUSE: Millis = 1_000.0
MAX_UNSETTLED = 10_000


class Reservations:
    """Makes and ends this process's reservations. Made by `make_reservations`."""

    def __init__(
        self,
        store: ObjectStore,
        holder: ChunkHolder,
        clock: Clock,
        is_dead: Callable[[ChunkHolder], bool],
    ) -> None:
        self._store = store
        self._holder = holder
        self._clock = clock
        self._is_dead = is_dead
        self._lock = threading.Lock()
        self._active: set[str] = set()
        self._unsettled: dict[str, tuple[Reservation, Json | None]] = {}
        self._settled_at: Millis = clock.now()

    @property
    def unsettled(self) -> int:
        """Number of ended reservations whose end is not yet in the store."""
        return len(self._unsettled)

    def reserve(
        self, organisation: str, key: str, digest: str
    ) -> Result[Reservation | StoredAnswer, RequestFailure]:
        """Reserve a request, or return the answer that it got before.

        Args:
            organisation: The caller's organisation.
            key: The caller's idempotency key.
            digest: Digest of the request.
        """
        self._settle_some()
        place = object_key(organisation, key)
        token = uuid.uuid4().hex
        value = self._value(token, digest, ReservationState.RESERVED, None)
        with self._lock:
            self._active.add(token)
        created = self._store.create(place, value)
        if isinstance(created, Success):
            return Success(_reservation(place, token, digest, created.unwrap().version))
        fault = created.failure().fault
        if fault is StoreFault.UNAVAILABLE:
            self._forget(token)
            return Failure(store_down())
        found = self._store.get(place)
        if isinstance(found, Success):
            stored = found.unwrap()
            if stored.value["token"] == token:
                return Success(_reservation(place, token, digest, stored.version))
            self._forget(token)
            return self._taken(place, stored.value, stored.version, token, digest)
        # The creation may still stand or even land later. Nothing was sent, so "not run" is true,
        # and the reservation is taken back as soon as the store can be read.
        self._end(_reservation(place, token, digest, 0), None)
        return Failure(store_down())

    def finish(self, reservation: Reservation, answer: StoredAnswer | None) -> None:
        """End a reservation whose request was sent.

        Args:
            reservation: The reservation.
            answer: The whole answer, ``None`` if there is none to keep: whether the request ran
                is unknown, or its answer is too large.
        """
        state = ReservationState.UNKNOWN if answer is None else ReservationState.DONE
        value = self._value(reservation.token, reservation.digest, state, answer)
        self._end(reservation, value)

    def abandon_not_run(self, reservation: Reservation) -> None:
        """Take a reservation back whose request was never sent, so that a resend may run."""
        self._end(reservation, None)

    def _taken(
        self, key: str, value: Json, version: int, token: str, digest: str
    ) -> Result[Reservation | StoredAnswer, RequestFailure]:
        """Answer a request whose key is reserved already."""
        if value["digest"] != digest:
            return Failure(key_reused())
        state = ReservationState(value["state"])
        if state is ReservationState.DONE:
            return Success(read_answer(value["answer"]))
        if state is ReservationState.UNKNOWN:
            return Failure(outcome_unknown())
        holder = ChunkHolder(**value["holder"])
        if holder == self._holder:
            return self._own(key, value, version, token, digest)
        if not self._is_dead(holder):
            return Failure(in_progress())
        # Its process died between the first byte and the answer; nobody can know if it ran.
        unknown = {**value, "state": ReservationState.UNKNOWN.value}
        self._store.update(key, unknown, version=version)
        return Failure(outcome_unknown())

    def _own(
        self, key: str, value: Json, version: int, token: str, digest: str
    ) -> Result[Reservation | StoredAnswer, RequestFailure]:
        """Answer a request whose key this process itself reserved before."""
        with self._lock:
            ended = self._unsettled.get(key)
        if value["token"] in self._active:
            return Failure(in_progress())
        if ended is None or ended[0].token != value["token"]:
            return Failure(outcome_unknown())
        wanted = ended[1]
        if wanted is not None and wanted["answer"] is not None:
            return Success(read_answer(wanted["answer"]))
        if wanted is not None:
            return Failure(outcome_unknown())
        # Not run, and not yet taken back: this resend takes it over instead.
        fresh = self._value(token, digest, ReservationState.RESERVED, None)
        with self._lock:
            self._active.add(token)
        written = self._store.update(key, fresh, version=version)
        if isinstance(written, Failure):
            self._forget(token)
            return Failure(in_progress())
        with self._lock:
            self._unsettled.pop(key, None)
        return Success(_reservation(key, token, digest, written.unwrap().version))

    def _end(self, reservation: Reservation, value: Json | None) -> None:
        """Write the end of a reservation, now or when the store is back."""
        with self._lock:
            self._active.discard(reservation.token)
            if len(self._unsettled) < MAX_UNSETTLED:
                self._unsettled[reservation.key] = (reservation, value)
        if self._settle(reservation, value):
            with self._lock:
                self._unsettled.pop(reservation.key, None)
            return
        logging.warning("event=reservation_unsettled run=%s", value is not None)

    def _settle(self, reservation: Reservation, value: Json | None) -> bool:
        """Write or delete; ``False`` if that has to be tried again."""
        version = reservation.version
        if version == 0:
            found = self._store.get(reservation.key)
            if isinstance(found, Failure):
                return found.failure().fault is StoreFault.NOT_FOUND
            if found.unwrap().value["token"] != reservation.token:
                return True
            version = found.unwrap().version
        if value is None:
            fault = _fault(self._store.delete(reservation.key, version=version))
        else:
            fault = _fault(self._store.update(reservation.key, value, version=version))
        if fault in (None, StoreFault.NOT_FOUND):
            return True
        if fault is StoreFault.UNAVAILABLE:
            return False
        # Another entry took this process for dead and wrote "unknown", or an answer was lost.
        found = self._store.get(reservation.key)
        if isinstance(found, Failure):
            return found.failure().fault is StoreFault.NOT_FOUND
        stored = found.unwrap()
        if stored.value["token"] != reservation.token or stored.value == value:
            return True
        if value is None:
            return _fault(self._store.delete(reservation.key, version=stored.version)) is None
        return _fault(self._store.update(reservation.key, value, version=stored.version)) is None

    def _settle_some(self) -> None:
        """Try again what could not be written, at most once a second and on one thread."""
        with self._lock:
            now = self._clock.now()
            if not self._unsettled or now - self._settled_at < UNSETTLED_PAUSE:
                return
            self._settled_at = now
            pending = list(self._unsettled.items())
        for key, (reservation, value) in pending:
            if not self._settle(reservation, value):
                return
            with self._lock:
                if self._unsettled.get(key) == (reservation, value):
                    del self._unsettled[key]

    def _forget(self, token: str) -> None:
        with self._lock:
            self._active.discard(token)

    def _value(
        self, token: str, digest: str, state: ReservationState, answer: StoredAnswer | None
    ) -> Json:
        return {
            "token": token,
            "digest": digest,
            "state": state.value,
            "holder": {"node": self._holder.node, "incarnation": self._holder.incarnation},
            "at": wall_millis(),
            "answer": None if answer is None else answer_value(answer),
        }


def make_reservations(
    store: ObjectStore, holder: ChunkHolder, clock: Clock, *, is_dead: Callable[[ChunkHolder], bool]
) -> Reservations:
    """Return the reservations of one process.

    Args:
        store: The object store.
        holder: This process.
        clock: The process's clock.
        is_dead: Whether a holder's lease has expired; `Members.confirm_dead` reads it again.

    Since 0.1.
    """
    return Reservations(store, holder, clock, is_dead)


def _fault(result: Result[object, object]) -> StoreFault | None:
    if isinstance(result, Success):
        return None
    fault: StoreFault = result.failure().fault  # type: ignore[attr-defined]
    return fault


def _reservation(key: str, token: str, digest: str, version: int) -> Reservation:
    return Reservation(key=key, token=token, digest=digest, version=version)
