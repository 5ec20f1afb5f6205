"""A connection that is kept between two calls."""

from __future__ import annotations

import socket

import h11

from carobspool_core import monotonic_clock
from carobspool_node.direct._channel import Cancellation, Channel


def test_the_cancellation_of_an_earlier_call_does_not_end_the_next_one() -> None:
    """A call ends and gives its connection back while another task is about to cancel it. The next
    call on that connection must get its bytes."""
    own, other = socket.socketpair()
    channel = Channel(own, h11.Connection(h11.CLIENT), monotonic_clock())
    earlier = Cancellation()
    channel.cancel_with(earlier)
    channel.cancel_with(None)
    earlier.cancel("over")
    other.sendall(b"next")
    assert channel.receive(monotonic_clock().now() + 1_000.0) == b"next"
    channel.close()
    other.close()
