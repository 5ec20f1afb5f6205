"""Builds the answers that an entry itself gives to requests that failed."""

from __future__ import annotations

import json

from carobspool_core import Millis
from carobspool_node.direct._messages import Headers


def failure_answer(message: str, outcome: str, retry_after: Millis | None) -> tuple[Headers, bytes]:
    """Return the headers and the body of an error answer.

    Args:
        message: Description of the failure.
        outcome: ``not_run`` or ``unknown``.
        retry_after: Time after which the caller may retry, in milliseconds; ``None`` omits it.
    """
    headers: Headers = [
        (b"Content-Type", b"application/json"),
        (b"carobspool-outcome", outcome.encode()),
    ]
    if retry_after is not None:
        headers.append((b"Retry-After", f"{retry_after / 1000.0:.3f}".encode()))
    body = json.dumps({"error": {"message": message, "outcome": outcome}}).encode()
    return headers, body
