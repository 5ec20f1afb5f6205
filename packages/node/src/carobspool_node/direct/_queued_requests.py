"""Places online requests through the queue at the entry while it is in force."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from msgspec import Struct

from carobspool_core import Clock, Millis
from carobspool_core.direct import LEAVING_RETRY_AFTER, Configuration
from carobspool_core.online_queue import cost_of, further_places, queue_in_force, rank_of
from carobspool_core.organisations import Organisation, RateLimit, key_digest, read_bearer
from carobspool_node.direct._group_assignment import UpstreamSplit
from carobspool_node.direct._in_flight import Placement
from carobspool_node.direct._loads import LoadTable
from carobspool_node.direct._messages import AUTHORIZATION, HeaderNames
from carobspool_node.direct._request_endings import NO_UPSTREAM_RETRY_AFTER, QUARANTINED_REASON
from carobspool_node.direct._request_state import RequestState
from carobspool_node.online_queue import OnlineQueue, QueueRefusedError, WaitingRequest
from carobspool_node.organisations import RequestQuota

PlaceAt = Callable[[UpstreamSplit, int], Placement | None]
"""Places a request at one of some upstreams, with a number of further places at each."""


class _Admission(Struct, eq=False):
    """The admission of a waiting request by the limit of its organisation.

    Attributes:
        state: The request.
        organisation: Name of the organisation.
        limit: The limit by which the request was admitted.
        is_due: Whether the request has its token back and must be admitted anew.
    """

    state: RequestState
    organisation: str
    limit: RateLimit | None
    is_due: bool = False


class QueuedRequests:
    """Lets online requests wait for a slot, by the current configuration.

    Args:
        clock: The process's clock.
        names: Header names of the deployment.
        loads: Requests in flight at each upstream.
        queue: The requests that wait.
        split_upstreams: Returns the upstreams of a service.
        candidates: Returns those of some upstreams at which a request may run with regard to their
            software versions.
        quota: Request limits of the organisations.
        setting: The setting ``online_queue``.
    """

    def __init__(
        self,
        clock: Clock,
        names: HeaderNames,
        loads: LoadTable,
        queue: OnlineQueue[Placement],
        split_upstreams: Callable[[str], UpstreamSplit],
        candidates: Callable[[RequestState, UpstreamSplit], UpstreamSplit],
        quota: RequestQuota,
        *,
        setting: str,
    ) -> None:
        self._clock = clock
        self._names = names
        self._loads = loads
        self._queue = queue
        self._split_upstreams = split_upstreams
        self._select = candidates
        self._quota = quota
        self._setting = setting
        self._configuration: Configuration | None = None
        self._in_force = queue_in_force(setting, None)
        self._admissions: set[_Admission] = set()

    @property
    def in_force(self) -> bool:
        """Whether online requests wait at the entries now."""
        return self._in_force

    def configure(self, configuration: Configuration | None) -> None:
        """Apply a new configuration, to the requests that wait as well."""
        self._configuration = configuration
        directory = None if configuration is None else configuration.organisations
        self._in_force = queue_in_force(self._setting, directory)
        self._return_tokens()
        self._queue.reconsider()

    def place(
        self,
        state: RequestState,
        service: str,
        place_at: PlaceAt,
        *,
        is_suspect: bool,
        is_quarantined: Callable[[], bool],
        has_time_before_exit: Callable[[], bool],
    ) -> Placement | None:
        """Wait until a request has a place.

        Args:
            state: The request.
            service: Its service.
            place_at: Places the request if there is room.
            is_suspect: Whether the request may run at certain upstreams only.
            is_quarantined: Returns whether the request is refused since it crashes upstreams.
            has_time_before_exit: Returns whether the request can end before this process exits.

        Returns:
            The placement, ``None`` if no upstream is left or the time of a request is over that may
            have run.

        Raises:
            QueueRefusedError: The request is refused and has not run.
            CallerGoneError: The caller has disconnected.
        """

        def place(usable: frozenset[str] | None) -> Placement | None:
            split = self._candidates(state, service)
            places = self._places(service, split)
            if usable is not None:
                split = UpstreamSplit(
                    near=[each for each in split.near if each.identity in usable],
                    far=[each for each in split.far if each.identity in usable],
                )
            return place_at(split, places)

        def refusal() -> QueueRefusedError | None:
            if is_quarantined():
                return QueueRefusedError(QUARANTINED_REASON, status=422, retry_after=None)
            if not has_time_before_exit():
                return QueueRefusedError(state.last_failure, retry_after=LEAVING_RETRY_AFTER)
            split = self._candidates(state, service)
            if not split.near and not split.far:
                return QueueRefusedError(
                    "no upstream is registered", retry_after=NO_UPSTREAM_RETRY_AFTER
                )
            return None

        if not self._has_untried(state, service):
            return None
        organisation = state.organisation or ""
        admission = _Admission(state, organisation, self._limit(organisation))
        self._admissions.add(admission)
        request = WaitingRequest(
            request_id=state.request.request_id,
            service=service,
            organisation=organisation,
            cost=cost_of(state.request.header(self._names.token_count)),
            body_bytes=len(state.request.body),
            arrived=state.request.arrived,
            target_latency=state.route.target_latency,
            deadline=state.deadline,
            is_retry=state.is_retry,
            is_continued=is_suspect or bool(state.tried),
            may_have_run=state.may_have_run,
            watch=state.caller.watch,
            place=place,
            release=lambda unused: self._loads.end_online(unused, completed=False),
            rank=lambda: self._rank(state, organisation),
            refusal=refusal,
            refusal_by_configuration=lambda: self._refusal(state, organisation, admission),
        )
        try:
            placement = self._queue.place(request)
        finally:
            self._admissions.discard(admission)
            if admission.is_due and not state.is_refunded:
                # Its wait has ended between the return of its token and the new admission.
                self._quota.admit(organisation)
        state.placed_at = self._clock.now()
        return placement

    def room(self, service: str) -> tuple[Mapping[str, int], int]:
        """Return how many more online requests each upstream of a service takes, and all slots."""
        split = self._split_upstreams(service)
        places = self._places(service, split)
        free, slots = self._loads.online_room(split.near, places)
        if not free and split.far:
            free, _ = self._loads.online_room(split.far, places)
        return free, slots

    def record_first_event(self, state: RequestState, service: str) -> None:
        """Record that the first event of a stream, or an answer, has arrived."""
        if state.placed_at > 0.0:
            self._queue.record_first_event(service, self._clock.now() - state.placed_at)

    def request_ends(self, placement: Placement) -> None:
        """Record that a request is about to leave its slot."""
        if self._in_force:
            upstream = placement.upstream
            self._queue.request_ends(upstream.service, upstream.identity)

    def record_run(self, placement: Placement) -> None:
        """Record that a request has completed."""
        if self._in_force:
            duration = self._clock.now() - placement.started
            self._queue.record_run(placement.upstream.service, duration)

    def refusal_answered(self, refusal: QueueRefusedError) -> None:
        """Record that the caller of a refused request has its answer."""
        self._queue.refusal_answered(refusal)

    def delay_over_limit(self, organisation: str, wait: Millis) -> Millis | None:
        """Return the Retry-After of a caller whose organisation is over its limit.

        Args:
            organisation: Name of the organisation.
            wait: Time until its next free token.

        Returns:
            The delay, or ``None`` while requests do not wait at the entries.
        """
        limit = self._limit(organisation)
        if not self._in_force or limit is None:
            return None
        return self._queue.delay_over_limit(organisation, wait=wait, per_second=limit.per_second)

    def _places(self, service: str, split: UpstreamSplit) -> int:
        """Return the further places at each upstream, by the smallest one."""
        slots = min((each.slots for each in split.near or split.far), default=1)
        return further_places(slots, self._queue.mean_run(service))

    def _candidates(self, state: RequestState, service: str) -> UpstreamSplit:
        """Return the upstreams of a service at which a request may run."""
        return self._select(state, self._split_upstreams(service))

    def _has_untried(self, state: RequestState, service: str) -> bool:
        split = self._candidates(state, service)
        return any(each.identity not in state.tried for each in (*split.near, *split.far))

    def _return_tokens(self) -> None:
        """Return the tokens of waiting requests whose limit has changed; they need new ones.

        All are returned before the first request is admitted anew. If each request got its own
        token back and consumed it again, a lower limit would never refuse any of them.
        """
        for each in list(self._admissions):
            limit = self._limit(each.organisation)
            if each.is_due or each.state.may_have_run or limit == each.limit:
                continue
            each.limit, each.is_due = limit, True
            self._quota.refund(each.organisation)

    def _organisation(self, name: str) -> Organisation | None:
        configuration = self._configuration
        if configuration is None or configuration.organisations is None:
            return None
        return configuration.organisations.find_by_name(name)

    def _limit(self, organisation: str) -> RateLimit | None:
        found = self._organisation(organisation)
        return None if found is None else found.limit

    def _rank(self, state: RequestState, organisation: str) -> int:
        return rank_of(state.route.priority, self._organisation(organisation))

    def _refusal(
        self, state: RequestState, organisation: str, admitted: _Admission
    ) -> QueueRefusedError | None:
        """Return why the current configuration refuses a waiting request."""
        configuration = self._configuration
        if configuration is None:
            return None
        route = configuration.route_for(state.request.host, state.request.path)
        if route is None or route.kind is not state.route.kind:
            return QueueRefusedError("no route matches", status=404, retry_after=None)
        state.route = route
        if not organisation:
            return None
        directory = configuration.organisations
        values = state.request.header_values(AUTHORIZATION)
        key = read_bearer(values[0].decode("latin-1")) if values else None
        if directory is not None:
            found = None if key is None else directory.find_by_key_digest(key_digest(key))
            if found is None or found.name != organisation:
                return QueueRefusedError("the key is not known", status=401, retry_after=None)
        if not admitted.is_due:
            return None
        admitted.is_due = False
        admission = self._quota.admit(organisation)
        if admission.granted:
            return None
        state.is_refunded = True
        message = f"organisation {organisation!r} is over its limit of requests a second"
        return QueueRefusedError(message, status=429, retry_after=admission.retry_after)
