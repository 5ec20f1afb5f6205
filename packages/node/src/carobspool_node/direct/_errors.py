"""Errors of the transport and of the calls over it."""

from __future__ import annotations

from carobspool_node.errors import NodeError


class ConnectionBrokenError(NodeError):
    """The peer closed or reset the connection, or sent bytes that are not HTTP."""


class BadRequestError(NodeError):
    """A caller's bytes are not a proper request.

    Attributes:
        status: The status to answer.
    """

    def __init__(self, message: str, status: int) -> None:
        super().__init__(message)
        self.status = status


class DeadlinePassedError(NodeError):
    """The time for the call is over."""


class CallerGoneError(NodeError):
    """The caller closed its connection while its request was served."""


class RunCancelledError(NodeError):
    """Another task of this process cancelled the call."""
