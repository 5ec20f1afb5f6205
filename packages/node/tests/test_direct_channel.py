"""A connection that is reused for a second call."""

from __future__ import annotations

import socket

import h11

from carobspool_core import monotonic_clock
from carobspool_node.direct._channel import Cancellation, Channel


def test_the_cancellation_of_an_earlier_call_does_not_end_the_next_one() -> None:
    """A call ends and releases its connection just before another task cancels that call. The next
    call on the connection must still receive its data."""
    own, other = socket.socketpair()
    channel = Channel(own, h11.Connection(h11.CLIENT), monotonic_clock())
    earlier = Cancellation()
    channel.set_cancellation(earlier)
    channel.set_cancellation(None)
    earlier.cancel("over")
    other.sendall(b"next")
    assert channel.receive(monotonic_clock().now() + 1_000.0) == b"next"
    channel.close()
    other.close()
