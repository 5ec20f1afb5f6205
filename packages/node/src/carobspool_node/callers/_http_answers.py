"""HTTP answers of an entry: JSON bodies, and failures in the one shape that callers know."""

from __future__ import annotations

import json
import math
from typing import Any

from werkzeug.wrappers import Response

from carobspool_core import Failure

JSON_TYPE = "application/json"


def json_response(value: Any, *, status: int = 200) -> Response:
    """Return a JSON answer."""
    body = json.dumps(value, ensure_ascii=False, separators=(",", ":"))
    return Response(body, status=status, content_type=JSON_TYPE)


def failure_body(failure: Failure) -> dict[str, Any]:
    """Return the JSON body of a failure."""
    return {
        "error": {
            "type": failure.type,
            "code": failure.code,
            "message": failure.message,
            "outcome": failure.outcome.value,
            "retry_after_ms": failure.retry_after_ms,
        }
    }


def failure_response(failure: Failure) -> Response:
    """Return the answer that tells a failure, with ``Retry-After`` in whole seconds."""
    response = json_response(failure_body(failure), status=failure.status)
    response.headers["carobspool-outcome"] = failure.outcome.value
    if failure.retry_after_ms is not None:
        response.headers["Retry-After"] = str(max(0, math.ceil(failure.retry_after_ms / 1000.0)))
    return response
