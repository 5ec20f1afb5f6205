"""When requests wait at the entries, and how one request ranks and weighs.

Load pattern: organisations with different priorities compete for slots, and some of them send
several times their usual rate for seconds. Deployments without priorities keep the previous way of
placement.
"""

from __future__ import annotations

from collections.abc import Iterable

from carobspool_core._clock import Millis
from carobspool_core.organisations import Organisation

MAX_RANK = 255
"""Highest rank that fits into the byte of a report."""
SLOTS_PER_FURTHER_PLACE = 8
"""One further request for every 8 slots covers the round trip of some 50 ms during which a freed
slot would otherwise stay empty."""
MAX_FURTHER_WAIT: Millis = 100.0
"""Mean time between two slots that become free at an upstream, above which it gets no further
request. Such a request would wait there for longer than the slot would stay empty, and no more
urgent request could go before it."""
OUTPUT_TOKEN_COST = 10.0
"""Cost of an output token in prompt tokens: an engine reads many prompt tokens in the step that
writes one token."""
DEFAULT_COST = 1_000.0
"""Cost of a request that does not state its tokens, about that of a prompt of 450 tokens with 55
tokens of output. Requests of which none states its tokens all have the same cost."""


def queue_in_force(setting: str, organisations: Iterable[Organisation] | None) -> bool:
    """Return whether requests wait at the entries.

    Args:
        setting: Value of ``online_queue``: ``off``, ``auto`` or ``on``.
        organisations: The declared organisations, ``None`` if none are declared.
    """
    if setting != "auto":
        return setting == "on"
    return any(each.priority is not None for each in organisations or ())


def rank_of(route_priority: int, organisation: Organisation | None) -> int:
    """Return the rank of a request; 0 is the most urgent."""
    priority = route_priority
    if organisation is not None and organisation.priority is not None:
        priority = organisation.priority
    return max(0, min(MAX_RANK, priority))


def further_places(slots: int, mean_run: Millis) -> int:
    """Return how many requests an upstream gets beyond its slots.

    Args:
        slots: Slots of the upstream.
        mean_run: Mean time that a request occupies a slot.
    """
    if mean_run / slots > MAX_FURTHER_WAIT:
        return 0
    return max(1, slots // SLOTS_PER_FURTHER_PLACE)


def cost_of(token_count: bytes | None) -> float:
    """Return the cost of a request for fairness.

    Args:
        token_count: Prompt and maximum output tokens in the form ``PROMPT,MAX_OUTPUT``, ``None`` if
            the request does not state them. Invalid values count as absent.
    """
    prompt, _, output = (token_count or b"").partition(b",")
    if not (prompt.strip().isdigit() and output.strip().isdigit()) or len(prompt + output) > 20:
        return DEFAULT_COST
    return max(1.0, float(prompt) + OUTPUT_TOKEN_COST * float(output))
