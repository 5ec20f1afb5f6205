"""Errors of connections and of the calls over them."""

from __future__ import annotations

from carobspool_node.errors import NodeError


class ConnectionBrokenError(NodeError):
    """The connection failed, or the peer closed or reset it or sent invalid HTTP."""


class BadRequestError(NodeError):
    """A caller's request is invalid.

    Attributes:
        status: HTTP status of the answer.
    """

    def __init__(self, message: str, status: int) -> None:
        super().__init__(message)
        self.status = status


class DeadlinePassedError(NodeError):
    """The deadline of the call has passed."""


class CallerGoneError(NodeError):
    """The caller disconnected, or stopped reading, while its request was served."""


class CallCancelledError(NodeError):
    """Another task of this process cancelled the call."""
