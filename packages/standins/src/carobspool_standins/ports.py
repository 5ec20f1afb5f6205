"""Reservation of free loopback ports for processes that run side by side."""

from __future__ import annotations

import random
import socket

from carobspool_standins.errors import ClusterError

LOOPBACK = "127.0.0.1"
# The range lies below the operating system's ephemeral ports, so that an outgoing connection can't
# take a port between its choice here and its use.
LOWEST_PORT = 20_000
PORTS_PER_BLOCK = 50
HIGHEST_PORT = 32_000


class PortChooser:
    """Chooses free loopback ports, never the same twice nor one reserved by another chooser.

    Ports are reserved in blocks. The lock of a block is a bound socket in Linux's abstract
    namespace, which disappears with its process. Without it, two test runs on one machine could
    choose the same free port before either listens on it.
    """

    def __init__(self) -> None:
        self._block: range = range(0)
        self._next = 0
        self._block_locks: list[socket.socket] = []

    def choose(self) -> int:
        """Return a free port.

        Raises:
            ClusterError: If no block of ports is left.
        """
        while True:
            while self._next < self._block.stop:
                port = self._next
                self._next += 1
                if _is_free(port):
                    return port
            self._reserve_block()

    def close(self) -> None:
        """Release all reserved ports, so that other choosers can use them."""
        for block_lock in self._block_locks:
            block_lock.close()
        self._block_locks.clear()
        self._block = range(0)
        self._next = 0

    def _reserve_block(self) -> None:
        blocks = list(range(LOWEST_PORT, HIGHEST_PORT - PORTS_PER_BLOCK, PORTS_PER_BLOCK))
        random.shuffle(blocks)
        for start in blocks:
            block_lock = socket.socket(socket.AF_UNIX)
            try:
                block_lock.bind(f"\0carobspool-ports-{start}")
            except OSError:
                block_lock.close()
                continue
            self._block_locks.append(block_lock)
            self._block = range(start, start + PORTS_PER_BLOCK)
            self._next = start
            return
        raise ClusterError("no free port")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
