"""Stand-in for a plain HTTP service: ``python -m carobspool_standins.plain SETTINGS``."""

from __future__ import annotations

import hashlib
import threading
import time
from collections.abc import Iterator
from http import HTTPStatus
from typing import Any

from werkzeug.routing import Rule
from werkzeug.wrappers import Request, Response

from carobspool_core import wall_millis
from carobspool_standins._faults import FaultBoard, Faults
from carobspool_standins._http import (
    JSON_TYPE,
    WsgiApplication,
    abort_connection,
    application,
    error_response,
    fault_rules,
    json_response,
)
from carobspool_standins._main import run_standin
from carobspool_standins._settings import ServerSettings

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")


class PlainSettings(ServerSettings):
    """Settings of a plain service.

    Attributes:
        service: Name of the service.
        work_ms: Duration of a call.
    """

    service: str = "plain"
    work_ms: float = 0.0


class PlainFaults(Faults):
    """Faults of a plain service, as docs/design/interfaces.md lists them."""

    delay_ms: float = 0.0
    status: int | None = None
    hang: bool = False
    reset_before_run: bool = False
    reset_after_run: bool = False
    half_answer: bool = False
    refuse: bool = False


class _CallRecord:
    """Record of the executed calls, in order. Thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._runs: list[dict[str, Any]] = []

    @property
    def all(self) -> list[dict[str, Any]]:
        """A copy of all records."""
        with self._lock:
            return list(self._runs)

    def add(self, request: Request) -> int:
        """Record a call and return the number of calls so far."""
        run = {
            "id": request.headers.get("X-Request-Id"),
            "method": request.method,
            "path": request.path,
            "digest": hashlib.sha256(request.get_data()).hexdigest(),
            "key": request.headers.get("Idempotency-Key"),
            "at": wall_millis(),
        }
        with self._lock:
            self._runs.append(run)
            return len(self._runs)


def make_application(settings: PlainSettings) -> WsgiApplication:
    """Return the WSGI application of a plain service."""
    runs = _CallRecord()
    board = FaultBoard(PlainFaults)

    def run(request: Request, path: str = "") -> Response:
        faults = board.current
        if faults.refuse or faults.reset_before_run:
            raise abort_connection(request)
        if faults.status is not None:
            return error_response(faults.status, "fault", "as the fault says")
        time.sleep((settings.work_ms + faults.delay_ms) / 1000.0)
        count = runs.add(request)
        # A call is recorded as executed before it hangs, and its caller can't tell that it was.
        board.wait_while(lambda current: current.hang)
        if faults.reset_after_run:
            raise abort_connection(request)
        response = _echo_response(settings.service, count, request, path)
        return _truncate_body(request, response) if faults.half_answer else response

    rules = [
        Rule(
            "/record",
            methods=["GET"],
            endpoint=lambda _request: json_response({"runs": runs.all}),
        ),
        Rule("/", methods=METHODS, endpoint=run),
        Rule("/<path:path>", methods=METHODS, endpoint=run),
    ]
    return application([*fault_rules(board, is_down=lambda: board.current.refuse), *rules])


def _echo_response(service: str, count: int, request: Request, path: str) -> Response:
    echo = request.get_data().decode("utf-8", errors="replace")
    value = {
        "service": service,
        "count": count,
        "path": f"/{path}",
        "method": request.method,
        "echo": echo,
    }
    response = json_response(value)
    if request.method == "HEAD":
        response.response = []
    return response


def _truncate_body(request: Request, complete: Response) -> Response:
    body = complete.get_data()

    def chunks() -> Iterator[bytes]:
        yield body[: len(body) // 2]
        raise abort_connection(request)

    headers = {"Content-Length": str(len(body))}
    return Response(chunks(), status=HTTPStatus.OK, headers=headers, content_type=JSON_TYPE)


if __name__ == "__main__":
    raise SystemExit(run_standin(PlainSettings, make_application))
