"""What is known of one online request while upstreams are tried."""

from __future__ import annotations

from msgspec import Struct, field

from carobspool_core import Millis
from carobspool_core.direct import Route
from carobspool_node.direct._caller_connection import CallerConnection
from carobspool_node.direct._messages import CallerRequest


class Attempt(Struct, kw_only=True):
    """State of one request over its tries.

    Attributes:
        request: As the caller sent it.
        route: Its route.
        caller: The caller's connection.
        deadline: When the caller is to have its answer.
        organisation: The caller's, by name; empty when it has none, ``None`` when the operator
            declares none.
        tried: Identities of the upstreams that it met.
        met: Their ids with what was in flight there, for the log.
        runs: Upstreams that ran it, or may have.
        turned_away: Upstreams that did not run it.
        may_have_run: Whether anything is known to have been sent that was not turned away.
        last_event: Id of the last event that was passed on.
        streaming: Whether the answer's head was sent.
        returned: Whether the caller was refused before.
        last_failure: Why the last try failed.
    """

    request: CallerRequest
    route: Route
    caller: CallerConnection
    deadline: Millis
    organisation: str | None = None
    tried: set[str] = field(default_factory=set)
    met: list[str] = field(default_factory=list)
    runs: int = 0
    turned_away: int = 0
    may_have_run: bool = False
    last_event: int | None = None
    streaming: bool = False
    returned: bool = False
    last_failure: str = ""
