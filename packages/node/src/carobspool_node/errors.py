"""Errors of the node's adapters."""

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
