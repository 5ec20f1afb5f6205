"""One attempt of a request as its entry sees it: pieces put in order, without gaps or repeats."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass

from carobspool_core import (
    Attach,
    Clock,
    Data,
    End,
    Failure,
    Head,
    Message,
    Millis,
    Outcome,
    RequestId,
    broken_upstream,
)

MAX_UNREAD_BYTES = 8 * 1024 * 1024
ATTACH_INTERVAL: Millis = 200.0
SILENCE_BEGUN: Millis = 1_000.0
SILENCE_NOT_BEGUN: Millis = 5_000.0
SILENCE_MOST: Millis = 30_000.0
"""An answer that has begun and falls silent has lost its last messages or its upstream is slow.
Asking costs one small message; the pause doubles, so a long wait in a queue costs two a minute."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Progress:
    """What is new of an answer.

    Attributes:
        head: Status and headers, when known.
        data: Bytes that came since the last call, in order.
        ended: Whether the answer has ended.
        failure: With ``ended``: why it failed, or ``None`` after the whole answer.
    """

    head: Head | None
    data: bytes
    ended: bool
    failure: Failure | None


class Attempt:
    """Collects the messages of one attempt for the task that waits for them. Since 0.1.

    The reader task of the connection calls `receive` and never blocks on a slow caller; what a
    caller does not read is bounded, and over the bound the attempt fails.

    Args:
        identity: The attempt's id.
        clock: This process's clock.
        attach: Asks the sidecar to send again from a sequence number on.
        on_end: Called once when the attempt has ended, from the task that noticed it.
    """

    def __init__(
        self,
        identity: RequestId,
        clock: Clock,
        attach: Callable[[Attach], None],
        *,
        on_end: Callable[[], None] | None = None,
    ) -> None:
        self._id = identity
        self._clock = clock
        self._attach = attach
        self._on_end = on_end
        self._changed = threading.Condition()
        self._head: Head | None = None
        self._ready: list[bytes] = []
        self._ready_bytes = 0
        self._early: dict[int, bytes] = {}
        self._next = 0
        self._end: End | None = None
        self._failure: Failure | None = None
        self._asked_at: Millis | None = None
        self._push: Callable[[bytes], bool] | None = None
        self._stalled = False
        self._heard_at: Millis = clock.now()
        self._silence: Millis = SILENCE_NOT_BEGUN

    @property
    def id(self) -> RequestId:
        """The attempt's id."""
        return self._id

    @property
    def next_sequence(self) -> int:
        """Number of the piece that is awaited."""
        return self._next

    @property
    def settled(self) -> bool:
        """Whether the sidecar has told the end, so that nothing of it is left there."""
        return self._end is not None

    @property
    def heard_at(self) -> Millis:
        """When the last message came."""
        return self._heard_at

    @property
    def answered(self) -> bool:
        """Whether anything of the answer has come."""
        return self._head is not None

    @property
    def ended(self) -> bool:
        """Whether the answer is complete or has failed."""
        return self._failure is not None or self._complete()

    @property
    def failure(self) -> Failure | None:
        """Why it failed, once it has ended."""
        return self._final_failure()

    def receive(self, message: Message) -> None:
        """Take a `Head`, `Data` or `End` of this attempt."""
        with self._changed:
            self._heard_at = self._clock.now()
            self._silence = SILENCE_BEGUN
            if isinstance(message, Head):
                self._head = message
            elif isinstance(message, Data):
                self._take(message)
            elif isinstance(message, End):
                self._end = message
            gap = self._gap()
            if not self._pushed():
                self._changed.notify_all()
        if gap:
            self.ask_again()
        self._tell_end()

    def push_to(self, write: Callable[[bytes], bool]) -> None:
        """Have pieces written by the task that receives them.

        Args:
            write: Writes a piece without waiting; after it returned false, pieces are kept for
                `wait` again.
        """
        with self._changed:
            self._push = write
            self._pushed()

    def fail(self, failure: Failure) -> None:
        """End the attempt, unless it is complete."""
        with self._changed:
            if not self.ended:
                self._failure = failure
            self._changed.notify_all()
        self._tell_end()

    def wait(self, timeout: Millis) -> Progress | None:
        """Wait for news and take it; ``None`` when there was none in time."""
        with self._changed:
            if not self._news():
                self._changed.wait(timeout / 1000.0)
            if not self._news():
                return None
            data = b"".join(self._ready)
            self._ready.clear()
            self._ready_bytes = 0
            self._stalled = False
            return Progress(
                head=self._head, data=data, ended=self.ended, failure=self._final_failure()
            )

    def ask_again(self) -> None:
        """Ask for the missing pieces, unless that was done a moment ago."""
        now = self._clock.now()
        if self._asked_at is not None and now - self._asked_at < ATTACH_INTERVAL:
            return
        self._asked_at = now
        self._attach(Attach(id=self._id, sequence=self._next))

    def check_gap(self) -> None:
        """Ask again when a gap has stayed open or nothing has come; called by a timer."""
        now = self._clock.now()
        with self._changed:
            missing = self._gap()
            if not missing and not self.ended and now - self._heard_at > self._silence:
                self._heard_at = now
                self._silence = min(2 * self._silence, SILENCE_MOST)
                missing = True
        if missing:
            self.ask_again()

    def _pushed(self) -> bool:
        """Write what is ready; whether the waiting task has nothing to do."""
        if self._push is None:
            return False
        if self._ready:
            data = b"".join(self._ready)
            self._ready.clear()
            self._ready_bytes = 0
            if not self._push(data):
                self._push = None
                self._stalled = True
                return False
        return not self.ended

    def _tell_end(self) -> None:
        with self._changed:
            tell = self._on_end if self.ended else None
            if tell is not None:
                self._on_end = None
        if tell is not None:
            tell()

    def _take(self, message: Data) -> None:
        if message.sequence < self._next:
            return
        self._early[message.sequence] = message.payload
        while self._next in self._early:
            payload = self._early.pop(self._next)
            self._ready.append(payload)
            self._ready_bytes += len(payload)
            self._next += 1
        if self._ready_bytes > MAX_UNREAD_BYTES and not self.ended:
            self._failure = broken_upstream(
                "slow_reader",
                "the caller does not read its answer",
                outcome=Outcome.UNKNOWN,
            )

    def _gap(self) -> bool:
        if self._early:
            return True
        return self._end is not None and self._end.failure is None and not self._complete()

    def _complete(self) -> bool:
        if self._end is None:
            return False
        if self._end.failure is not None:
            return True
        return self._head is not None and self._next >= self._end.count

    def _final_failure(self) -> Failure | None:
        if self._failure is not None:
            return self._failure
        if self._end is not None and self._complete():
            return self._end.failure
        return None

    def _news(self) -> bool:
        # Without status and headers nothing can be handed out, also if pieces came before them.
        return (bool(self._ready) and self._head is not None) or self.ended or self._stalled
