"""The batch stream that gives its slot to an online request.

Load pattern: an online request arrives and batch streams hold every slot. Without preemption it
waits for a batch answer to end, seconds instead of milliseconds. Preempting the wrong stream costs
a prompt of prefill each time, which slows the very requests that preemption is for.
"""

from __future__ import annotations

from collections.abc import Iterable

from carobspool_core._streams import Stream


def choose_victim(streams: Iterable[Stream], *, keep_kv: bool) -> Stream | None:
    """Return the batch stream whose preemption costs least, or ``None`` when there is none.

    Prompts not computed yet go first, the newest before the others: an engine takes prompts in
    order, so the newest has had the least done for it. Of the decoding streams the one that was
    preempted least often goes, so that none is cancelled again and again, and among those the one
    that is cheapest to resume.

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
        return (0.0, -stream.started)
    held = stream.work.prompt_tokens + stream.tokens
    if keep_kv:
        return (1.0, stream.preemptions, held)
    return (1.0, held)
