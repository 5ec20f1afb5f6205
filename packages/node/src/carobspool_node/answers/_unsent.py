"""Tells whether the peer of a connection has received all that was written to it."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Return how many written bytes the peer has not acknowledged, 0 if that is not known.

    A peer that has read a whole request acknowledges it with its answer at the latest.
    """
    try:
        # For a TCP socket this is SIOCOUTQ.
        answer = fcntl.ioctl(sock, termios.TIOCOUTQ, struct.pack("i", 0))
    except (OSError, ValueError):
        return 0
    return int(struct.unpack("i", answer)[0])
