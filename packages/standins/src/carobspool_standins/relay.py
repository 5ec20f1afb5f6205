"""Network between failure domains: ``python -m carobspool_standins.relay SETTINGS``.

It passes TCP connections on with a one-way delay, and can hold or cut them, as in a partition.
"""

from __future__ import annotations

import socket

from pydantic import Field

from carobspool_standins._faults import FaultBoard
from carobspool_standins._http import WsgiApplication, application, fault_rules
from carobspool_standins._main import run_standin
from carobspool_standins._relay_link import BACKLOG, Relay, RelayFaults
from carobspool_standins._settings import ServerSettings, Settings


class RelayRoute(Settings):
    """One port that is passed on to another."""

    port: int = Field(ge=1, le=65535)
    target: int = Field(ge=1, le=65535)


class RelaySettings(ServerSettings):
    """Settings of the relay.

    Attributes:
        delay_ms: One-way delay.
        routes: Ports that are passed on.
    """

    delay_ms: float = Field(default=1.5, ge=0)
    routes: tuple[RelayRoute, ...] = ()


def make_application(settings: RelaySettings) -> WsgiApplication:
    """Listen on every route and return the application that switches the faults."""
    relays: list[Relay] = []

    def changed() -> None:
        if not board.current.cut:
            return
        for relay in relays:
            relay.cut()

    board = FaultBoard(RelayFaults, on_change=changed)

    def delay_ms() -> float:
        delay = board.current.delay_ms
        return settings.delay_ms if delay is None else delay

    for route in settings.routes:
        listener = socket.create_server((settings.address, route.port), backlog=BACKLOG)
        relays.append(Relay(listener, (settings.address, route.target), delay_ms, board))
    return application(fault_rules(board))


if __name__ == "__main__":
    raise SystemExit(run_standin(RelaySettings, make_application))
