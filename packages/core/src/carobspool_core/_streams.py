"""The requests that one upstream is running, as tracked by its sidecar."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from carobspool_core._clock import Millis
from carobspool_core._messages import Priority, RequestId
from carobspool_core._work import AdmissionRequest


@dataclass(slots=True, kw_only=True)
class Stream:
    """A request that the upstream is running.

    Attributes:
        work: The request, as submitted to admission.
        submitted_at: When the request was submitted to admission.
        started_at: When the request was sent to the upstream.
        prefill_tokens: Prompt tokens to compute before the first token; 0 once the first token has
            arrived, or when the request was resumed with its KV cache.
        tokens: Number of response tokens generated so far.
        last_token_at: When the latest token arrived; ``None`` before the first token since the
            start.
        preempting: Whether the request is being cancelled and the upstream has not reported the
            end yet.
        preemptions: Number of earlier preemptions.
    """

    work: AdmissionRequest
    submitted_at: Millis
    started_at: Millis
    prefill_tokens: int
    tokens: int
    last_token_at: Millis | None = None
    preempting: bool = False
    preemptions: int = 0

    @property
    def is_online(self) -> bool:
        """Whether this is an online request."""
        return self.work.priority is Priority.ONLINE

    @property
    def is_prefilling(self) -> bool:
        """Whether the prompt is still being computed."""
        return self.prefill_tokens > 0


class Streams:
    """The streams at one upstream, with the counts that admission decisions use.

    A stream that is being cancelled stays in this collection until its end is reported, but is
    counted neither as running nor as prefilling.

    Attributes:
        online_count: Number of running online streams.
        batch_count: Number of running batch streams.
        online_prefill_tokens: Prompt tokens that running online streams still have to compute.
        batch_prefill_tokens: Prompt tokens that running batch streams still have to compute.
        suspect_count: Number of streams of suspect requests, including those being cancelled.
    """

    def __init__(self) -> None:
        self._streams: dict[RequestId, Stream] = {}
        self.online_count = 0
        self.batch_count = 0
        self.online_prefill_tokens = 0
        self.batch_prefill_tokens = 0
        self.suspect_count = 0

    def __len__(self) -> int:
        return self.online_count + self.batch_count

    def __iter__(self) -> Iterator[Stream]:
        return iter(self._streams.values())

    def get(self, id: RequestId) -> Stream | None:
        """Return the stream of a request, or ``None`` if there is none."""
        return self._streams.get(id)

    def add(self, stream: Stream) -> None:
        """Add a stream whose request is sent to the upstream."""
        self._streams[stream.work.id] = stream
        self._count(stream, 1)
        self.suspect_count += int(stream.work.suspect)

    def remove(self, id: RequestId) -> Stream | None:
        """Remove and return the stream of a request; ``None`` if there is none."""
        stream = self._streams.pop(id, None)
        if stream is None:
            return None
        self.suspect_count -= int(stream.work.suspect)
        if not stream.preempting:
            self._count(stream, -1)
        return stream

    def end_prefill(self, stream: Stream) -> None:
        """Record that the prompt of ``stream`` has been computed."""
        if not stream.preempting:
            self._count_prefill(stream, -1)
        stream.prefill_tokens = 0

    def begin_preemption(self, stream: Stream) -> None:
        """Record that the cancellation of ``stream`` was requested."""
        self._count(stream, -1)
        stream.preempting = True

    def _count(self, stream: Stream, by: int) -> None:
        if stream.is_online:
            self.online_count += by
        else:
            self.batch_count += by
        self._count_prefill(stream, by)

    def _count_prefill(self, stream: Stream, by: int) -> None:
        if stream.is_online:
            self.online_prefill_tokens += by * stream.prefill_tokens
        else:
            self.batch_prefill_tokens += by * stream.prefill_tokens
