"""When requests wait at the entries, and how one request ranks and weighs.

Load pattern: organisations with different priorities compete for slots, and some of them send
several times their usual rate for seconds. Deployments without priorities keep the previous way of
placement.
"""

from __future__ import annotations

from collections.abc import Iterable

from carobspool_core.organisations import Organisation

MAX_RANK = 255
"""Highest rank that fits into the byte of a report."""
SLOTS_PER_FURTHER_PLACE = 8
"""An engine of 8 slots frees one every 250 ms or so; one further request covers the round trip of
some 50 ms until the freed slot is filled again."""
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


def further_places(slots: int) -> int:
    """Return how many requests an upstream gets beyond its slots."""
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
