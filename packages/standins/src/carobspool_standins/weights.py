"""Stand-in of the rate-limited weight store: ``python -m carobspool_standins.weights SETTINGS``."""

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

PIECE_BYTES = 65_536
MAX_BYTES = 1 << 30


class WeightsSettings(ServerSettings):
    """Settings of the weight store.

    Attributes:
        bytes_per_second: Rate shared by all downloads.
        concurrent: Downloads at a time; more are refused.
        default_bytes: Size of a model's weights when the call names none.
        retry_after_s: What a refusal tells.
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
    """The shared rate and the downloads in progress."""

    def __init__(self, settings: WeightsSettings) -> None:
        self._lock = threading.Lock()
        self._seconds_per_byte = 1.0 / settings.bytes_per_second
        self._free = settings.concurrent
        self._next = 0.0
        self._calls = 0
        self._refused = 0
        self._bytes = 0

    @property
    def counts(self) -> dict[str, int]:
        """Calls, refusals and bytes since the start."""
        with self._lock:
            return {"calls": self._calls, "refused": self._refused, "bytes": self._bytes}

    def begin(self) -> bool:
        """Take a place; returns whether one was free."""
        with self._lock:
            self._calls += 1
            if self._free == 0:
                self._refused += 1
                return False
            self._free -= 1
            return True

    def end(self) -> None:
        """Give the place back."""
        with self._lock:
            self._free += 1

    def reserve(self, count: int, slow_factor: float) -> float:
        """Reserve the line for ``count`` bytes and return the instant at which they are through."""
        with self._lock:
            start = max(self._next, time.monotonic())
            self._next = start + count * self._seconds_per_byte * slow_factor
            self._bytes += count
            return self._next


class _Download:
    """The pieces of one answer; its place is given back exactly once, when it is closed."""

    def __init__(self, total: int, transfers: _Transfers, board: FaultBoard[WeightsFaults]) -> None:
        self._left = total
        self._transfers = transfers
        self._board = board
        self._open = True

    def __iter__(self) -> Iterator[bytes]:
        while self._left > 0:
            count = min(PIECE_BYTES, self._left)
            through_at = self._transfers.reserve(count, self._board.current.slow_factor)
            time.sleep(max(0.0, through_at - time.monotonic()))
            self._left -= count
            yield bytes(count)

    def close(self) -> None:
        """Give the place back, also when the client has gone."""
        if self._open:
            self._open = False
            self._transfers.end()


def make_application(settings: WeightsSettings) -> WsgiApplication:
    """Return the weight store."""
    transfers = _Transfers(settings)
    board = FaultBoard(WeightsFaults)

    def fetch(request: Request, model: str, version: str) -> Response:
        if board.current.outage:
            return error_response(HTTPStatus.SERVICE_UNAVAILABLE, "outage", "no service")
        total = request.args.get("bytes", settings.default_bytes, type=int)
        if not 0 <= total <= MAX_BYTES:
            return error_response(HTTPStatus.BAD_REQUEST, "invalid_size", "too many bytes")
        if not transfers.begin():
            headers = {"Retry-After": str(settings.retry_after_s)}
            return error_response(
                HTTPStatus.TOO_MANY_REQUESTS, "busy", f"{model}/{version}: busy", headers
            )
        headers = {"Content-Length": str(total)}
        pieces = _Download(total, transfers, board)
        return Response(pieces, headers=headers, content_type="application/octet-stream")

    rules = [
        Rule("/weights/<model>/<version>", methods=["GET"], endpoint=fetch),
        Rule("/calls", methods=["GET"], endpoint=lambda _request: json_response(transfers.counts)),
    ]
    return application([*fault_rules(board), *rules])


if __name__ == "__main__":
    raise SystemExit(run_standin(WeightsSettings, make_application))
