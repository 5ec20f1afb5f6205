"""Construction of an entry's store, its list of entries, and its quarantines."""

from __future__ import annotations

import threading
from collections.abc import Callable, Sequence

from msgspec import Struct

from carobspool_core import Clock, SuspectUpdate
from carobspool_node.direct._crash_isolation import CrashIsolation
from carobspool_node.direct._deployment import Deployment
from carobspool_node.direct._membership import Membership
from carobspool_node.direct._peer_calls import PeerCaller
from carobspool_node.direct._peers import Peers
from carobspool_node.direct._quarantine_store import QuarantineStore
from carobspool_node.direct._settings import DirectSettings
from carobspool_node.direct._store_relay import RelayedStore
from carobspool_node.direct._telemetry import Telemetry


class StoreParts(Struct, frozen=True, kw_only=True):
    """The parts of an entry that use the store on their own.

    Attributes:
        store: The object store, which falls back on peers.
        quarantines: Keeps quarantines in the store; not started yet.
        isolation: Isolates requests that crash upstreams.
        membership: Follows the list of entries; not started yet.
    """

    store: RelayedStore
    quarantines: QuarantineStore
    isolation: CrashIsolation
    membership: Membership


def make_store_parts(
    settings: DirectSettings,
    deployment: Deployment,
    clock: Clock,
    telemetry: Telemetry,
    peers: Peers,
    peer_caller: PeerCaller,
    leaving: threading.Event,
    *,
    on_quarantine: Callable[[], None],
) -> StoreParts:
    """Return the store, the isolation of requests and the list of entries.

    Args:
        settings: The entry's settings.
        deployment: Opens the store.
        clock: The process's clock.
        telemetry: Counts runs that crashed and unusable objects.
        peers: The other entries, which send and receive evidence against requests.
        peer_caller: Calls the other entries.
        leaving: Set when this process is to stop.
        on_quarantine: Called after a request or a part of prompts was quarantined.
    """
    store = RelayedStore(
        deployment.open_store(settings, clock), peer_caller, clock, telemetry, lambda: peers
    )
    quarantines = QuarantineStore(
        clock, store, telemetry, merge=lambda suspects: isolation.merge(suspects)
    )

    def tell(updates: Sequence[SuspectUpdate]) -> None:
        peers.send_suspects(updates)
        if not peers.hears_all_known():
            # Entries that do not hear this one may have seen the request, or others with the same
            # part, crash other upstreams.
            for update in updates:
                quarantines.save(update)
            quarantines.reload()

    isolation = CrashIsolation(
        clock, telemetry, tell=tell, save=quarantines.save, on_quarantine=on_quarantine
    )
    membership = Membership(
        clock,
        store,
        peers,
        telemetry,
        node=settings.node,
        address=(settings.address, settings.peer_port),
        leaving=leaving,
        store_ok=lambda: store.last_call_answered,
    )
    return StoreParts(
        store=store, quarantines=quarantines, isolation=isolation, membership=membership
    )
