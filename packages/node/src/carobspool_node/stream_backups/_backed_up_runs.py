"""Runs with a copy, the next run of a broken stream, and the calls on runs at engines."""

from __future__ import annotations

from enum import Enum, auto
from typing import Protocol

from msgspec import Struct

from carobspool_core import Millis
from carobspool_core.direct import Upstream
from carobspool_core.stream_backups import ContinuationWay


class BackedUpRun(Struct, frozen=True, kw_only=True):
    """A run whose memory is copied to a second engine.

    Attributes:
        request_id: Id of the request.
        source: The engine that runs the request.
        target: The engine that receives the copy.
        tokens: Tokens that the copy occupies at its end.
    """

    request_id: str
    source: Upstream
    target: Upstream
    tokens: float = 0.0

    @property
    def target_address(self) -> bytes:
        """``IP:PORT`` of the engine that receives the copy."""
        return address_of(self.target).encode()


class NextRun(Struct, frozen=True, kw_only=True):
    """Where and from what a stream continues.

    Attributes:
        upstream: The engine at which it continues.
        way: Where the run's memory comes from.
        run_from: Value of the header that names the run to continue.
        handle: Handle of the stopped run at its engine, empty if the stream continues from a copy.
        source_crashed: Whether the process of the first engine is known to have ended only since
            the move was refused.
    """

    upstream: Upstream
    way: ContinuationWay
    run_from: bytes
    handle: str = ""
    source_crashed: bool = False


class Reach(Enum):
    """How far a call to an engine came.

    Attributes:
        ANSWERED: A complete answer arrived.
        NO_ANSWER: The engine accepted the connection and sent no answer in time.
        BROKEN: The engine accepted the connection, which then broke.
        REFUSED: No process listens at the engine's address.
        UNREACHABLE: The engine's host did not respond.
    """

    ANSWERED = auto()
    NO_ANSWER = auto()
    BROKEN = auto()
    REFUSED = auto()
    UNREACHABLE = auto()


class EngineAnswer(Struct, frozen=True):
    """Result of a call to an engine."""

    reach: Reach
    status: int = 0
    body: bytes = b""


class EngineCall(Protocol):
    """Makes one call to an engine on a connection of its own; never raises."""

    def __call__(
        self, upstream: Upstream, method: bytes, path: bytes, body: bytes, *, deadline: Millis
    ) -> EngineAnswer:
        """Return the engine's answer, or how far the call came by the deadline."""


def address_of(upstream: Upstream) -> str:
    """Return ``IP:PORT`` of an engine."""
    return f"{upstream.address[0]}:{upstream.address[1]}"
