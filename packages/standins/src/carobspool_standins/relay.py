"""Simulated network between failure domains: ``python -m carobspool_standins.relay SETTINGS``.

It forwards TCP connections with a one-way delay, and can hold or cut them, as in a partition.
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
    """A listening port and the port to which its connections are forwarded."""

    port: int = Field(ge=1, le=65535)
    target: int = Field(ge=1, le=65535)


class RelaySettings(ServerSettings):
    """Settings of the relay.

    Attributes:
        delay_ms: One-way delay.
        routes: Ports to forward.
    """

    delay_ms: float = Field(default=1.5, ge=0)
    routes: tuple[RelayRoute, ...] = ()


def make_application(settings: RelaySettings) -> WsgiApplication:
    """Start a relay for each route and return the WSGI application that controls the faults."""
    relays: list[Relay] = []

    def cut_if_faulty() -> None:
        if not board.current.cut:
            return
        for relay in relays:
            relay.cut()

    board = FaultBoard(RelayFaults, on_change=cut_if_faulty)

    def delay_ms() -> float:
        delay = board.current.delay_ms
        return settings.delay_ms if delay is None else delay

    for route in settings.routes:
        listener = socket.create_server((settings.address, route.port), backlog=BACKLOG)
        relays.append(Relay(listener, (settings.address, route.target), delay_ms, board))
    return application(fault_rules(board))


if __name__ == "__main__":
    raise SystemExit(run_standin(RelaySettings, make_application))
