"""The answer of a failure of our own: what happened, whether it ran, when to come back."""

from __future__ import annotations

import json

from carobspool_core import Millis
from carobspool_node.direct._messages import Headers


def failure_answer(message: str, outcome: str, retry_after: Millis | None) -> tuple[Headers, bytes]:
    """Return headers and body of a failure of our own.

    Args:
        message: What happened.
        outcome: ``not_run`` or ``unknown``.
        retry_after: When to come back, in milliseconds.
    """
    headers: Headers = [
        (b"Content-Type", b"application/json"),
        (b"carobspool-outcome", outcome.encode()),
    ]
    if retry_after is not None:
        headers.append((b"Retry-After", f"{retry_after / 1000.0:.3f}".encode()))
    body = json.dumps({"error": {"message": message, "outcome": outcome}}).encode()
    return headers, body
