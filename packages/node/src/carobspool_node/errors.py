"""Errors of the node."""

from __future__ import annotations


class NodeError(Exception):
    """Base of all errors that ``carobspool_node`` raises."""


class CodecError(NodeError):
    """A frame from a peer that is not an array of known messages."""


class HandshakeError(NodeError):
    """A peer that speaks another version or could not prove that it holds a shared key."""


class LinkClosedError(NodeError):
    """The connection to a peer is gone."""


class PeerKeysError(NodeError):
    """The file of shared keys cannot be read or holds no usable key."""


class ContentUnavailableError(NodeError):
    """The rest of a file cannot be read at present.

    Raised from a content iterator after a part may already have gone to the caller, so the HTTP
    layer has to break the connection: a clean end would pass a part off as the whole.
    """
