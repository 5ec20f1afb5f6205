"""Constructs the continuation of streams that may run only once."""

from __future__ import annotations

from collections.abc import Callable

from carobspool_core import Clock
from carobspool_node.direct._continued_streams import ContinuedStreams
from carobspool_node.direct._crash_isolation import CrashIsolation
from carobspool_node.direct._declared import DeclaredState
from carobspool_node.direct._deployment import Deployment
from carobspool_node.direct._engine_calls import EngineCalls
from carobspool_node.direct._group_assignment import UpstreamSplit
from carobspool_node.direct._loads import LoadTable
from carobspool_node.direct._settings import DirectSettings
from carobspool_node.direct._telemetry import Telemetry
from carobspool_node.stream_backups import StreamBackups


def make_continued_streams(
    settings: DirectSettings,
    deployment: Deployment,
    clock: Clock,
    telemetry: Telemetry,
    *,
    loads: LoadTable,
    declared: DeclaredState,
    isolation: CrashIsolation,
    split_upstreams: Callable[[str], UpstreamSplit],
) -> ContinuedStreams:
    """Return what continues streams; it does nothing while the setting is off."""
    backups = StreamBackups(
        clock,
        telemetry,
        setting=settings.stream_backups,
        moves=deployment.run_moves,
        configuration=lambda: declared.configuration,
        listed=declared.listed,
        call=EngineCalls(clock, deployment.headers).call,
    )
    return ContinuedStreams(
        clock,
        deployment.headers,
        loads,
        isolation,
        backups,
        split_upstreams,
        declared.has_other_version,
    )
