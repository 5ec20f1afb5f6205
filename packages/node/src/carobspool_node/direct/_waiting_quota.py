"""Decides whether jobs fit the waiting quotas of their routes."""

from __future__ import annotations

import threading
from collections.abc import Callable
from enum import StrEnum

from carobspool_core.direct import Route, fits_quota, fits_unheard_share
from carobspool_core.organisations import waiting_tokens_key
from carobspool_node.direct._job_adoption import JobAdoption
from carobspool_node.direct._job_runner import JobRunner
from carobspool_node.direct._peers import Peers


class QuotaDecision(StrEnum):
    """Whether a job may be accepted.

    Attributes:
        FITS: The job may be accepted.
        OVER: The job exceeds the waiting quota of its route.
        UNKNOWN: The jobs that were accepted before this entry started are not known yet.
    """

    FITS = "fits"
    OVER = "over"
    UNKNOWN = "unknown"


class WaitingQuota:
    """Counts waiting tokens: of own jobs, of other entries' jobs, and of jobs without an owner.

    Args:
        runner: Runs the owned jobs.
        adoption: Knows the stored jobs that await an owner.
        peers: The other entries.
        are_peers_known: Returns whether this entry has run for long enough to know which peers
            are alive.
    """

    def __init__(
        self,
        runner: JobRunner,
        adoption: JobAdoption,
        peers: Peers,
        *,
        are_peers_known: Callable[[], bool],
    ) -> None:
        self._runner = runner
        self._adoption = adoption
        self._peers = peers
        self._are_peers_known = are_peers_known
        self._lock = threading.Lock()
        self._accepted: dict[str, int] = {}
        """Tokens accepted since the start, until the peers are known."""
        self._reserved: dict[str, int] = {}
        """Tokens of jobs whose creation the store has not answered yet."""

    def reserve(self, route: Route, organisation: str | None, tokens: int) -> QuotaDecision:
        """Return whether a job may be accepted; one that fits counts until it is released."""
        key = waiting_tokens_key(route.name, organisation)
        with self._lock:
            decision = self._check(route, key, tokens)
            if decision is QuotaDecision.FITS:
                self._reserved[key] = self._reserved.get(key, 0) + tokens
        return decision

    def release(self, route: Route, organisation: str | None, tokens: int) -> None:
        """Count a reserved job no longer, because its owner does or it was not accepted."""
        key = waiting_tokens_key(route.name, organisation)
        with self._lock:
            left = self._reserved.get(key, 0) - tokens
            if left:
                self._reserved[key] = left
            else:
                self._reserved.pop(key, None)

    def _check(self, route: Route, key: str, tokens: int) -> QuotaDecision:
        if route.waiting_limit == 0:
            return QuotaDecision.FITS
        if not self._adoption.are_stored_jobs_known:
            return QuotaDecision.UNKNOWN
        peers = self._peers.live()
        reserved = self._reserved.get(key, 0)
        own_tokens = self._runner.recent_waiting_tokens(key) + reserved
        other_tokens = sum(each.waiting.get(key, 0) for each in peers)
        other_tokens += self._adoption.unowned_tokens(key)
        fits = fits_quota(
            limit=route.waiting_limit,
            own_tokens=own_tokens,
            other_tokens=other_tokens,
            job_tokens=tokens,
            entries=1 + len(peers),
        )
        if fits and not self._are_peers_known() and not self._peers.hears_all_known():
            accepted = self._accepted.get(key, 0) + reserved
            fits = fits_unheard_share(
                limit=route.waiting_limit,
                waiting_tokens=own_tokens + other_tokens,
                accepted_tokens=accepted,
                job_tokens=tokens,
                entries=1 + len(self._peers.known_peers()),
            )
        return QuotaDecision.FITS if fits else QuotaDecision.OVER

    def add_accepted(self, route: Route, organisation: str | None, tokens: int) -> None:
        """Count a job that may have been accepted."""
        if self._are_peers_known():
            return
        key = waiting_tokens_key(route.name, organisation)
        with self._lock:
            self._accepted[key] = self._accepted.get(key, 0) + tokens
