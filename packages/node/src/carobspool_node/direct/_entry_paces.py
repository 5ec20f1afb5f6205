"""Construction of an entry's estimates of its upstreams."""

from __future__ import annotations

from collections.abc import Callable

from carobspool_core import Clock
from carobspool_node.direct._declared import DeclaredState
from carobspool_node.direct._messages import HeaderNames
from carobspool_node.direct._settings import DirectSettings
from carobspool_node.direct._telemetry import Telemetry
from carobspool_node.upstream_pace import UpstreamPaces


def make_paces(
    settings: DirectSettings,
    clock: Clock,
    names: HeaderNames,
    telemetry: Telemetry,
    declared: Callable[[], DeclaredState],
) -> UpstreamPaces | None:
    """Return the estimates of upstreams, ``None`` while slots alone decide.

    Args:
        settings: The entry's settings.
        clock: The process's clock.
        names: Header names of the deployment.
        telemetry: Measures the errors of the estimates.
        declared: Returns the declared state; first called after the start.
    """
    if settings.placement != "auto":
        return None

    def engine_memory(service: str) -> int | None:
        configuration = declared().configuration
        return None if configuration is None else configuration.engine_memory.get(service)

    return UpstreamPaces(
        clock,
        settings.failure_domain,
        names,
        listed=lambda: declared().listed(),
        capacity_of=engine_memory,
        on_error=lambda error: telemetry.observe_duration("first_event_error", error),
    )
