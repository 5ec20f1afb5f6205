"""Choice of the batch stream to preempt for an online request.

Load pattern: an online request arrives while batch streams hold every slot. Without preemption the
online request waits until a batch answer ends, seconds instead of milliseconds. Preempting the
wrong stream costs the prefill of a whole prompt when that stream is resumed, which slows the online
requests that preemption is meant to speed up.
"""

from __future__ import annotations

from collections.abc import Iterable

from carobspool_core._streams import Stream


def choose_victim(streams: Iterable[Stream], *, keep_kv: bool) -> Stream | None:
    """Return the batch stream whose preemption costs least, or ``None`` when there is none.

    Streams in prefill are preempted first, the newest first: an engine computes prompts in order,
    so the newest has the least work to lose. Among decoding streams the least often preempted comes
    first, so that no stream is cancelled repeatedly, and among equally often preempted streams the
    stream that is cheapest to resume. If the KV cache is lost, only the cost of resuming counts.

    Args:
        streams: All streams at the upstream.
        keep_kv: Whether the KV cache of a cancelled stream is kept, so that resuming a decoding
            stream computes nothing.
    """
    best: Stream | None = None
    best_cost: tuple[float, ...] = ()
    for stream in streams:
        if stream.is_online or stream.preempting:
            continue
        cost = _preemption_cost(stream, keep_kv=keep_kv)
        if best is None or cost < best_cost:
            best = stream
            best_cost = cost
    return best


def _preemption_cost(stream: Stream, *, keep_kv: bool) -> tuple[float, ...]:
    if stream.is_prefilling:
        return (0.0, -stream.started_at)
    computed_tokens = stream.work.prompt_tokens + stream.tokens
    if keep_kv:
        return (1.0, stream.preemptions, computed_tokens)
    return (1.0, computed_tokens)
