"""Construction of an entry's API for callers."""

from __future__ import annotations

from collections.abc import Callable

from carobspool_core import Clock
from carobspool_core.organisations import OrganisationDirectory
from carobspool_node.direct._callers import CallerApi
from carobspool_node.direct._declared import DeclaredState
from carobspool_node.direct._deployment import Deployment
from carobspool_node.direct._exit import EntryExit
from carobspool_node.direct._forward import Forwarder
from carobspool_node.direct._jobs import Jobs
from carobspool_node.direct._queued_requests import QueuedRequests
from carobspool_node.direct._telemetry import Telemetry
from carobspool_node.direct._view_exchange import ViewExchange
from carobspool_node.organisations import CallerAuthenticator, RequestQuota


def make_caller_api(
    deployment: Deployment,
    clock: Clock,
    telemetry: Telemetry,
    *,
    forwarder: Forwarder,
    jobs: Jobs,
    quota: RequestQuota,
    queued: QueuedRequests,
    declared: DeclaredState,
    directory: Callable[[], OrganisationDirectory | None],
    views: ViewExchange,
    entry_exit: EntryExit,
) -> CallerApi:
    """Return the API for callers.

    Args:
        deployment: Header names, and the format of calls on jobs.
        clock: The process's clock.
        telemetry: Logs and metrics.
        forwarder: Serves online requests.
        jobs: Serves calls on batch jobs.
        quota: Limits of the organisations' requests.
        queued: Delays the callers of organisations over their limits.
        declared: The current configuration.
        directory: Returns the organisations, ``None`` if any caller may send requests.
        views: Confirms that the configuration is the newest one.
        entry_exit: Returns the time until this process exits.
    """
    access = CallerAuthenticator(
        clock, directory=directory, confirm_configuration=views.confirm_configuration
    )
    return CallerApi(
        clock,
        deployment.dialect,
        deployment.headers,
        forwarder,
        jobs,
        telemetry,
        access,
        quota,
        delay_over_limit=queued.delay_over_limit,
        configuration=lambda: declared.configuration,
        time_left=lambda: entry_exit.time_left,
    )
