"""The requests that one upstream runs at present, as its sidecar knows them."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from carobspool_core._clock import Millis
from carobspool_core._messages import Priority, RequestId
from carobspool_core._work import Work


@dataclass(slots=True, kw_only=True)
class Stream:
    """A request at the upstream.

    Attributes:
        work: What was offered.
        offered: When it was offered.
        started: When it was sent to the upstream.
        prefill_tokens: Prompt tokens to compute before its first token; 0 once that has come, or
            when it was resumed with its KV cache kept.
        tokens: Answer tokens that it holds.
        last_token: When its latest token came; ``None`` before the first since it was started.
        preempting: Whether its cancellation was ordered and has not been reported yet.
        preemptions: How often it was preempted before.
    """

    work: Work
    offered: Millis
    started: Millis
    prefill_tokens: int
    tokens: int
    last_token: Millis | None = None
    preempting: bool = False
    preemptions: int = 0

    @property
    def is_online(self) -> bool:
        """Whether it is an online request."""
        return self.work.priority is Priority.ONLINE

    @property
    def is_prefilling(self) -> bool:
        """Whether its prompt is still being computed."""
        return self.prefill_tokens > 0


class Streams:
    """The streams at one upstream, with the counts that decisions need.

    A stream whose cancellation was ordered keeps its place here until that is reported, but counts
    neither as running nor as prefilling.
    """

    def __init__(self) -> None:
        self._streams: dict[RequestId, Stream] = {}
        self.online = 0
        self.batch = 0
        self.online_prefill = 0
        self.batch_prefill = 0
        self.suspects = 0

    def __len__(self) -> int:
        return self.online + self.batch

    def __iter__(self) -> Iterator[Stream]:
        return iter(self._streams.values())

    def get(self, id: RequestId) -> Stream | None:
        """Return the stream of a request, or ``None``."""
        return self._streams.get(id)

    def add(self, stream: Stream) -> None:
        """Count a stream that is sent to the upstream."""
        self._streams[stream.work.id] = stream
        self._count(stream, 1)
        self.suspects += int(stream.work.suspect)

    def remove(self, id: RequestId) -> Stream | None:
        """Forget a stream that ended; ``None`` if it is not here."""
        stream = self._streams.pop(id, None)
        if stream is None:
            return None
        self.suspects -= int(stream.work.suspect)
        if not stream.preempting:
            self._count(stream, -1)
        return stream

    def end_prefill(self, stream: Stream) -> None:
        """Note that the prompt of ``stream`` is computed."""
        if not stream.preempting:
            self._count_prefill(stream, -1)
        stream.prefill_tokens = 0

    def begin_preemption(self, stream: Stream) -> None:
        """Note that the cancellation of ``stream`` was ordered."""
        self._count(stream, -1)
        stream.preempting = True

    def _count(self, stream: Stream, by: int) -> None:
        if stream.is_online:
            self.online += by
        else:
            self.batch += by
        self._count_prefill(stream, by)

    def _count_prefill(self, stream: Stream, by: int) -> None:
        if stream.is_online:
            self.online_prefill += by * stream.prefill_tokens
        else:
            self.batch_prefill += by * stream.prefill_tokens
