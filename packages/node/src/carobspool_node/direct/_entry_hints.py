"""Construction of an entry's peers, and the content of the hints that it sends them."""

from __future__ import annotations

import threading
from collections.abc import Callable, Hashable, Mapping

from msgspec import Struct

from carobspool_core import Clock
from carobspool_core.direct import Load
from carobspool_node.direct._crash_isolation import CrashIsolation
from carobspool_node.direct._declared import DeclaredState
from carobspool_node.direct._group_assignment import GroupAssignment
from carobspool_node.direct._hint_receiver import LoadsCallback
from carobspool_node.direct._in_flight import Placement
from carobspool_node.direct._job_runner import JobRunner
from carobspool_node.direct._loads import LoadTable
from carobspool_node.direct._membership import Membership
from carobspool_node.direct._peer import AnnouncementContent
from carobspool_node.direct._peers import HintSources, Peers
from carobspool_node.direct._settings import DirectSettings
from carobspool_node.direct._store_relay import RelayedStore
from carobspool_node.direct._stream_origins import StreamOrigins
from carobspool_node.direct._telemetry import Telemetry
from carobspool_node.online_queue import OnlineQueue
from carobspool_node.organisations import ANNOUNCEMENT_RESEND_TIME, RequestQuota
from carobspool_node.upstream_pace import UpstreamPaces


class HintParts(Struct, frozen=True, kw_only=True):
    """The parts of an entry whose state its hints contain."""

    loads: LoadTable
    paces: UpstreamPaces | None
    quota: RequestQuota
    leaving: threading.Event
    store: RelayedStore
    isolation: CrashIsolation
    declared: DeclaredState
    membership: Membership
    origins: StreamOrigins
    group_assignment: GroupAssignment
    queue: OnlineQueue[Placement]
    runner: JobRunner


def make_peers(
    settings: DirectSettings,
    clock: Clock,
    telemetry: Telemetry,
    incarnation: str,
    parts: Callable[[], HintParts],
) -> Peers:
    """Return the peers of an entry, not started yet.

    Args:
        settings: The entry's settings.
        clock: The process's clock.
        telemetry: Counts invalid hints.
        incarnation: Incarnation of this process.
        parts: Returns the parts that hints are made from; first called after the start.
    """
    return Peers(
        clock,
        telemetry,
        name=settings.node,
        incarnation=incarnation,
        address=(settings.address, settings.peer_port),
        own=HintSources(
            loads=lambda: parts().loads.own_loads(),
            backlog=lambda: parts().runner.backlog(),
            urgent=lambda: _urgent_state(parts()),
            describe=lambda: _announcement(parts()),
            upstream_sharers=lambda: parts().group_assignment.group_members(),
            identities_by_key=lambda: parts().declared.identities_by_key(),
            has_unsent_counts=lambda: parts().quota.has_unsent_counts,
            claim_unsent_counts=lambda is_heartbeat: parts().quota.claim_unsent_counts(
                is_heartbeat=is_heartbeat
            ),
            recent_counts=lambda age: parts().quota.recent_counts(age),
            needs_direct_hints=lambda: parts().quota.needs_direct_hints,
            is_leaving=lambda: parts().leaving.is_set(),
            queue=lambda: parts().queue.reports.report(),
        ),
        failure_domain=settings.failure_domain,
        host_capacity=None if settings.hint_relays == "off" else settings.host_capacity,
    )


def _urgent_state(parts: HintParts) -> Hashable:
    """Return a value whose change requires an immediate hint to the other entries.

    Changes of the requests in flight are announced separately.
    """
    return (
        tuple(parts.declared.digests().values()),
        sum(parts.loads.own_failures().values()),
        parts.leaving.is_set(),
        parts.runner.released,
        parts.store.last_call_answered,
    )


def _announcement(parts: HintParts) -> AnnouncementContent:
    return AnnouncementContent(
        loads=parts.loads.own_loads(),
        failures=parts.loads.own_failures(),
        open_jobs=parts.runner.job_ids(finished=False),
        done_jobs=parts.runner.job_ids(finished=True),
        waiting=parts.runner.waiting_tokens(),
        versions={
            **parts.declared.versions(),
            **parts.membership.versions(),
            **parts.isolation.versions(),
            **parts.origins.versions(),
        },
        leaving=parts.leaving.is_set(),
        released=parts.runner.released,
        store_ok=parts.store.last_call_answered,
        answer_age=parts.store.answer_age,
        counts=parts.quota.recent_counts(ANNOUNCEMENT_RESEND_TIME),
        backlog=parts.runner.backlog(),
        paces=b"" if parts.paces is None else parts.paces.packed(),
        queue=parts.queue.reports.report(),
    )


def loads_receiver(loads: LoadTable, declared: DeclaredState) -> LoadsCallback:
    """Return the function that takes over the loads that a peer reports."""

    def receive(
        peer: str,
        reported: Mapping[str, Load],
        failures: Mapping[str, int] | None,
        knows_starts: bool,
    ) -> None:
        upstreams = () if knows_starts else declared.listed()
        loads.apply_hint(peer, reported, upstreams, failures, knows_starts=knows_starts)

    return receive
