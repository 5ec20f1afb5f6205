"""Choice of loopback ports for processes that are started side by side."""

from __future__ import annotations

import random
import socket

from carobspool_standins.errors import ClusterError

LOOPBACK = "127.0.0.1"
# Below the range from which the operating system takes ports for outgoing connections, so that
# none of those can take a port between its choice here and its use.
LOWEST_PORT = 20_000
PORTS_IN_BLOCK = 50
HIGHEST_PORT = 32_000


class PortChooser:
    """Chooses loopback ports that are free; never the same twice, nor another chooser's.

    Ports come in blocks. A block is held by a socket in Linux's abstract namespace, which ends with
    its process: two test runs on one machine would otherwise choose the same free port in the time
    before either has listened on it.
    """

    def __init__(self) -> None:
        self._block: range = range(0)
        self._next = 0
        self._holders: list[socket.socket] = []

    def choose(self) -> int:
        """Return a free port.

        Raises:
            ClusterError: If there is none.
        """
        while True:
            while self._next < self._block.stop:
                port = self._next
                self._next += 1
                if _is_free(port):
                    return port
            self._take_block()

    def close(self) -> None:
        """Give the ports back to other choosers."""
        for holder in self._holders:
            holder.close()
        self._holders.clear()
        self._block = range(0)
        self._next = 0

    def _take_block(self) -> None:
        blocks = list(range(LOWEST_PORT, HIGHEST_PORT - PORTS_IN_BLOCK, PORTS_IN_BLOCK))
        random.shuffle(blocks)
        for start in blocks:
            holder = socket.socket(socket.AF_UNIX)
            try:
                holder.bind(f"\0carobspool-ports-{start}")
            except OSError:
                holder.close()
                continue
            self._holders.append(holder)
            self._block = range(start, start + PORTS_IN_BLOCK)
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
