"""Stand-in for a rate-limited weight store: ``python -m carobspool_standins.weights SETTINGS``."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator
from http import HTTPStatus

from pydantic import Field
from werkzeug.routing import Rule
from werkzeug.wrappers import Request, Response

from carobspool_standins._faults import FaultBoard, Faults
from carobspool_standins._http import (
    WsgiApplication,
    application,
    error_response,
    fault_rules,
    json_response,
)
from carobspool_standins._main import run_standin
from carobspool_standins._settings import ServerSettings

CHUNK_BYTES = 65_536
MAX_BYTES = 1 << 30


class WeightsSettings(ServerSettings):
    """Settings of the weight store.

    Attributes:
        bytes_per_second: Rate shared by all downloads.
        concurrent: Maximum number of concurrent downloads; more are rejected.
        default_bytes: Size of a model's weights if the call gives no size.
        retry_after_s: Value of the ``Retry-After`` header of a rejection.
    """

    bytes_per_second: float = Field(default=50_000_000.0, gt=0)
    concurrent: int = Field(default=4, ge=1)
    default_bytes: int = Field(default=1_000_000, ge=0, le=MAX_BYTES)
    retry_after_s: int = 1


class WeightsFaults(Faults):
    """Faults of the weight store."""

    outage: bool = False
    slow_factor: float = Field(default=1.0, gt=0)


class _Transfers:
    """Rate limiter and slots that all downloads share, with counters. Thread-safe."""

    def __init__(self, settings: WeightsSettings) -> None:
        self._lock = threading.Lock()
        self._seconds_per_byte = 1.0 / settings.bytes_per_second
        self._free_slots = settings.concurrent
        self._available_at = 0.0
        self._calls = 0
        self._refused = 0
        self._bytes = 0

    @property
    def counts(self) -> dict[str, int]:
        """Number of calls, rejections and bytes since the start."""
        with self._lock:
            return {"calls": self._calls, "refused": self._refused, "bytes": self._bytes}

    def acquire(self) -> bool:
        """Acquire a download slot and return whether one was free."""
        with self._lock:
            self._calls += 1
            if self._free_slots == 0:
                self._refused += 1
                return False
            self._free_slots -= 1
            return True

    def release(self) -> None:
        """Release a download slot."""
        with self._lock:
            self._free_slots += 1

    def reserve(self, count: int, slow_factor: float) -> float:
        """Reserve bandwidth for ``count`` bytes and return the monotonic time of their arrival."""
        with self._lock:
            start = max(self._available_at, time.monotonic())
            self._available_at = start + count * self._seconds_per_byte * slow_factor
            self._bytes += count
            return self._available_at


class _Download:
    """Iterable body of one download; ``close`` releases its slot exactly once."""

    def __init__(self, total: int, transfers: _Transfers, board: FaultBoard[WeightsFaults]) -> None:
        self._remaining_bytes = total
        self._transfers = transfers
        self._board = board
        self._holds_slot = True

    def __iter__(self) -> Iterator[bytes]:
        while self._remaining_bytes > 0:
            count = min(CHUNK_BYTES, self._remaining_bytes)
            done_at = self._transfers.reserve(count, self._board.current.slow_factor)
            time.sleep(max(0.0, done_at - time.monotonic()))
            self._remaining_bytes -= count
            yield bytes(count)

    def close(self) -> None:
        """Release the slot; the server also calls this after the client has disconnected."""
        if self._holds_slot:
            self._holds_slot = False
            self._transfers.release()


def make_application(settings: WeightsSettings) -> WsgiApplication:
    """Return the WSGI application of the weight store."""
    transfers = _Transfers(settings)
    board = FaultBoard(WeightsFaults)

    def fetch(request: Request, model: str, version: str) -> Response:
        if board.current.outage:
            return error_response(HTTPStatus.SERVICE_UNAVAILABLE, "outage", "no service")
        total = request.args.get("bytes", settings.default_bytes, type=int)
        if not 0 <= total <= MAX_BYTES:
            return error_response(HTTPStatus.BAD_REQUEST, "invalid_size", "too many bytes")
        if not transfers.acquire():
            headers = {"Retry-After": str(settings.retry_after_s)}
            return error_response(
                HTTPStatus.TOO_MANY_REQUESTS, "busy", f"{model}/{version}: busy", headers
            )
        headers = {"Content-Length": str(total)}
        body = _Download(total, transfers, board)
        return Response(body, headers=headers, content_type="application/octet-stream")

    rules = [
        Rule("/weights/<model>/<version>", methods=["GET"], endpoint=fetch),
        Rule("/calls", methods=["GET"], endpoint=lambda _request: json_response(transfers.counts)),
    ]
    return application([*fault_rules(board), *rules])


if __name__ == "__main__":
    raise SystemExit(run_standin(WeightsSettings, make_application))
