"""Start of an entry's listeners."""

from __future__ import annotations

from collections.abc import Callable

from carobspool_core import Clock
from carobspool_core.direct import CallerLimits
from carobspool_node.direct._caller_connection import CallerConnection
from carobspool_node.direct._listener import Handler, Listener
from carobspool_node.direct._messages import CallerRequest, HeaderNames
from carobspool_node.direct._peer_calls import PEER_HEADERS
from carobspool_node.direct._settings import DirectSettings

CALLER_WORKERS = 400
PEER_WORKERS = 100


def start_listeners(
    settings: DirectSettings,
    clock: Clock,
    names: HeaderNames,
    *,
    limits: Callable[[], CallerLimits],
    callers: Handler,
    peers: Handler,
    ready_path: str,
    is_ready: Callable[[], bool],
    others_serve: Callable[[], bool],
) -> Listener:
    """Start the listeners of an entry and return that of the callers.

    Args:
        settings: The entry's settings.
        clock: The process's clock.
        names: Header names of the deployment.
        limits: Returns the current limits on callers' requests.
        callers: Serves a caller's request.
        peers: Serves a call of another entry.
        ready_path: Path of the load balancer's health check.
        is_ready: Returns the answer to the health check.
        others_serve: Returns whether callers can go to another entry.
    """

    def answer_ready(request: CallerRequest, caller: CallerConnection) -> None:
        if request.path != ready_path:
            caller.answer(404, [], b"")
            return
        caller.answer(200 if is_ready() else 503, [], b"")

    assert settings.callers is not None and settings.ready is not None
    caller_listener = Listener(
        settings.callers,
        workers=CALLER_WORKERS,
        clock=clock,
        names=names,
        limits=limits,
        handle=callers,
        others_serve=others_serve,
    )
    ready_listener = Listener(
        settings.ready,
        workers=4,
        clock=clock,
        names=PEER_HEADERS,
        limits=CallerLimits,
        handle=answer_ready,
    )
    peer_listener = Listener(
        (settings.address, settings.peer_port),
        workers=PEER_WORKERS,
        clock=clock,
        names=PEER_HEADERS,
        limits=CallerLimits,
        handle=peers,
    )
    for listener in (caller_listener, ready_listener, peer_listener):
        listener.start()
    return caller_listener
