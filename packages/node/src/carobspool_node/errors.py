"""Errors of the node."""

from __future__ import annotations


class NodeError(Exception):
    """Base of all errors that ``carobspool_node`` raises."""


class ContentUnavailableError(NodeError):
    """The rest of a file cannot be read at present.

    Raised from a content iterator after a part may already have gone to the caller, so the HTTP
    layer has to break the connection: a clean end would pass a part off as the whole.
    """
