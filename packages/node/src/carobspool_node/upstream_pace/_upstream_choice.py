"""The choice of upstreams that is in force: by slots or by estimates, own failure domain first."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from functools import partial

from carobspool_core import Millis
from carobspool_core.direct import (
    BatchUrgency,
    Load,
    Upstream,
    choose_batch_upstream,
    choose_upstream,
)
from carobspool_core.upstream_pace import Forecast, OwnDomainFirst, PromptDemand, counts_parts
from carobspool_node.upstream_pace._event_pauses import EventPauses
from carobspool_node.upstream_pace._upstream_paces import UpstreamPaces


class UpstreamChoice:
    """Chooses upstreams for the load table, which calls it under its lock.

    Args:
        failure_domain: Failure domain of the entry.
        prefers_own_domain: Returns whether upstreams of the own failure domain are preferred.
        paces: Estimates of what upstreams can do now, ``None`` if slots alone decide.
    """

    def __init__(
        self,
        failure_domain: str,
        prefers_own_domain: Callable[[], bool],
        paces: UpstreamPaces | None,
    ) -> None:
        self._failure_domain = failure_domain
        self._prefers_own_domain = prefers_own_domain
        self._own_domain = OwnDomainFirst(failure_domain)
        self._paces = paces

    def demand_of(self, header: Callable[[bytes], bytes | None]) -> PromptDemand | None:
        """Return the demand that a request's headers state, ``None`` if slots alone decide.

        Args:
            header: Returns the value of a header, whose name is in lower case.
        """
        return None if self._paces is None else self._paces.demand_of(header)

    def demand_of_item(self, headers: Mapping[str, str]) -> PromptDemand | None:
        """Return the demand that a batch item's headers state, ``None`` if slots alone decide."""
        if self._paces is None:
            return None
        # Headers of stored items may contain lone surrogates, which UTF-8 can't represent.
        found = {
            name.lower().encode(errors="replace"): value.encode(errors="replace")
            for name, value in headers.items()
        }
        return self._paces.demand_of(found.get)

    def pace_of(self, upstream: Upstream) -> float:
        """Return the pace by the service's mean, above 1 if slow; 1 if slots alone decide."""
        return 1.0 if self._paces is None else self._paces.pace_of(upstream)

    def online(
        self,
        upstreams: Sequence[Upstream],
        *,
        loads: Mapping[str, Load],
        suspects: frozenset[str],
        queue_limit_of: Callable[[Upstream], int],
        demand: PromptDemand | None,
        mean_duration_of: Callable[[str], Millis],
    ) -> Upstream | None:
        """Return the upstream for an online request, ``None`` if all queues are full."""
        choose = partial(
            choose_upstream,
            loads=loads,
            failure_domain=self._failure_domain,
            queue_limit_of=queue_limit_of,
            suspects=suspects,
        )
        if self._paces is not None and upstreams:
            choose = partial(
                self._paces.choose_online,
                loads=loads,
                demand=demand,
                mean_duration=mean_duration_of(upstreams[0].service),
                queue_limit_of=queue_limit_of,
                suspects=suspects,
            )
        # Long shared parts save more time than a round trip between domains costs.
        by_parts = self._paces is not None and counts_parts(demand)
        if by_parts or not self._prefers_own_domain():
            return choose(upstreams)
        if self._paces is None or not upstreams:
            return self._own_domain.choose_online(
                upstreams, loads, suspects=suspects, choose=choose
            )
        with_room = partial(choose, needs_room=True)
        chosen = self._own_domain.choose_online(
            upstreams, loads, suspects=suspects, choose=with_room
        )
        return chosen or choose(upstreams)

    def batch(
        self,
        upstreams: Sequence[Upstream],
        *,
        loads: Mapping[str, Load],
        suspects: frozenset[str],
        urgency: BatchUrgency,
        demand: PromptDemand | None,
        mean_duration_of: Callable[[str], Millis],
    ) -> Upstream | None:
        """Return the upstream for a batch item, ``None`` if none has room for it."""
        choose = partial(choose_batch_upstream, loads=loads, urgency=urgency, suspects=suspects)
        if self._paces is not None and upstreams:
            choose = partial(
                self._paces.choose_batch,
                loads=loads,
                demand=demand,
                mean_duration=mean_duration_of(upstreams[0].service),
                urgency=urgency,
                suspects=suspects,
            )
        if not self._prefers_own_domain():
            return choose(upstreams)
        if self._paces is None or not upstreams:
            return self._own_domain.choose_batch(upstreams, loads, choose=choose)
        with_room = partial(choose, needs_room=True)
        chosen = self._own_domain.choose_batch(upstreams, loads, choose=with_room)
        return chosen or choose(upstreams)

    def forecast(
        self,
        chosen: Upstream,
        upstreams: Sequence[Upstream],
        load: Load,
        *,
        demand: PromptDemand | None,
        mean_duration_of: Callable[[str], Millis],
        entries: int,
    ) -> Forecast | None:
        """Record a placed request; return what is expected of it, ``None`` if slots decide."""
        if self._paces is None:
            return None
        return self._paces.place(
            chosen,
            upstreams,
            load,
            demand=demand,
            mean_duration=mean_duration_of(chosen.service),
            entries=entries,
        )

    def end(self, forecast: Forecast | None, *, has_read: bool) -> None:
        """Count the end of a request whose prompt the upstream has probably read or not."""
        if self._paces is not None and forecast is not None:
            self._paces.end(forecast, has_read=has_read)

    def is_too_large(self, service: str, demand: PromptDemand | None) -> bool:
        """Whether a request exceeds the memory of any engine of a service."""
        return self._paces is not None and self._paces.exceeds_memory(service, demand)

    def follow_events(
        self, upstream: Upstream, forecast: Forecast | None, *, is_resumed: bool
    ) -> EventPauses | None:
        """Return the recorder for the events of one call, ``None`` if slots alone decide."""
        if self._paces is None:
            return None
        return self._paces.follow_events(upstream, forecast, is_resumed=is_resumed)
