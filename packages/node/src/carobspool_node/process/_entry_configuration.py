"""What an entry does with the configuration in force: keys, connections, news to others."""

from __future__ import annotations

import threading
from collections.abc import Callable, Sequence

from carobspool_core import Configuration, DesiredState
from carobspool_node.callers import CallerKeys
from carobspool_node.configuration import ConfigurationFollower, answer_sidecar, news
from carobspool_node.links import Connections, Fleet, HintExchange


class EntryConfiguration:
    """Carries the configuration of one entry to its parts and to other processes.

    Args:
        node: Name of the entry.
        follower: Knows the configuration in force.
        keys: The callers' keys.
        fleet: The sidecars.
        hints: The other entries.
        live_entries: Returns the names of the entries that are alive.
    """

    def __init__(
        self,
        node: str,
        follower: ConfigurationFollower,
        *,
        keys: CallerKeys,
        fleet: Fleet,
        hints: HintExchange,
        live_entries: Callable[[], Sequence[str]],
    ) -> None:
        self._follower = follower
        self._keys = keys
        self._fleet = fleet
        self._hints = hints
        self._live_entries = live_entries
        self._connections = Connections(node)
        self._connecting = threading.Lock()
        self._connected_for: tuple[int, tuple[str, ...]] = (0, ())

    def take_state(self, state: DesiredState) -> None:
        """Put a state in force that was just taken."""
        self._keys.replace(state)
        self._connect(state)
        # Callbacks run inside the follower's lock; telling the peers waits for their queues only.
        self.announce()

    def keep_connected(self, live: Sequence[str]) -> None:
        """Connect again when the state or the live entries have changed since."""
        if self._connected_for != (self._follower.revision, tuple(live)):
            self._connect(self._follower.state)

    def announce(self) -> None:
        """Tell the other entries and the sidecars of the revision just taken."""
        message = news(self._follower)
        self._hints.broadcast(message)
        self._fleet.broadcast(message)

    def answer_sidecar(self, host: str, message: Configuration) -> None:
        """Take or answer a sidecar's message."""

        def send(answer: Configuration) -> None:
            peer = self._fleet.peer(host)
            if peer is not None:
                peer.send(answer)

        answer_sidecar(self._follower, message, send)

    def _connect(self, state: DesiredState) -> None:
        with self._connecting:
            live = tuple(self._live_entries())
            self._connected_for = (state.revision, live)
            self._fleet.set_upstreams(self._connections.choose(state, live))
