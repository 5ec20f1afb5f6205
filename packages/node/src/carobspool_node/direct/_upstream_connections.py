"""Pool of idle connections to upstreams."""

from __future__ import annotations

import threading

from carobspool_core import Clock, Millis
from carobspool_core.direct import Upstream
from carobspool_node.answers import AnswerMemory
from carobspool_node.direct._channel import Channel, connect
from carobspool_node.direct._errors import ConnectionBrokenError
from carobspool_node.direct._open_calls import OpenCalls
from carobspool_node.direct._start_check import StartReport

CONNECT_TIMEOUT: Millis = 300.0
"""Connecting takes 1 ms plus a round trip of at most 3 ms; a host without power does not respond.
A lost SYN is retransmitted after a second, so calling another upstream is faster than waiting."""
PROBE_TIMEOUT: Millis = 100.0
"""A host whose process has ended refuses a connection within a round trip."""
DEFAULT_IDLE_LIMIT: Millis = 1_000.0
"""How long a connection stays in the pool if its upstream sends no keep-alive timeout."""
MAX_IDLE_PER_UPSTREAM = 24
"""Three times the slots of an engine; more connections to one upstream are never in use at once."""


class CallFailedError(Exception):
    """A call returned no valid answer.

    Attributes:
        sent: Whether the upstream may have run the request.
    """

    def __init__(self, reason: str, *, sent: bool) -> None:
        super().__init__(reason)
        self.sent = sent


class UpstreamConnections:
    """Pool of idle connections to upstreams, and the calls in progress.

    Connections are keyed by the upstream's identity, which changes at each start: a late answer
    from an earlier start never matches a request to the new one.

    Args:
        clock: The process's clock.
        start_report: How upstreams are asked when they started, ``None`` if they cannot be asked.
    """

    def __init__(self, clock: Clock, start_report: StartReport | None = None) -> None:
        self._clock = clock
        self._start_report = start_report
        self._lock = threading.Lock()
        self._idle: dict[str, list[Channel]] = {}
        self._calls = OpenCalls(clock)
        self._memory = AnswerMemory()

    @property
    def clock(self) -> Clock:
        """The process's clock."""
        return self._clock

    @property
    def calls(self) -> OpenCalls:
        """The calls in progress."""
        return self._calls

    @property
    def memory(self) -> AnswerMemory:
        """The memory of the answers that are being read."""
        return self._memory

    @property
    def start_report(self) -> StartReport | None:
        """How upstreams are asked when they started, ``None`` if they cannot be asked."""
        return self._start_report

    def acquire(self, upstream: Upstream, request_id: str, *, asked: bool = False) -> Channel:
        """Return an idle connection from the pool, or a new one.

        Args:
            upstream: The upstream.
            request_id: Id of the request; the connection has carried none with this id.
            asked: Whether only those idle connections will do on which the upstream has been asked
                for its start.

        Raises:
            CallFailedError: No connection can be opened; nothing was sent.
        """
        return self._take_idle(upstream, request_id, asked=asked) or self.open(upstream)

    def open(self, upstream: Upstream) -> Channel:
        """Return a new connection.

        Raises:
            CallFailedError: No connection can be opened; nothing was sent.
        """
        try:
            return connect(upstream.address, CONNECT_TIMEOUT, self._clock)
        except ConnectionBrokenError as error:
            raise CallFailedError(str(error), sent=False) from error

    def release(self, upstream: Upstream, channel: Channel) -> None:
        """Return a connection to the pool if it can be reused, else close it."""
        channel.set_cancellation(None)
        if channel.has_input() or not channel.start_next_request():
            channel.close()
            return
        self._add_idle(upstream, channel)

    def has_ended(self, upstream: Upstream) -> bool:
        """Return whether an upstream refuses connections: no process runs there any more.

        An upstream that does not respond may be cut off and still run. A connection that opens is
        added to the pool.
        """
        try:
            channel = connect(upstream.address, PROBE_TIMEOUT, self._clock)
        except ConnectionBrokenError as error:
            return isinstance(error.__cause__, ConnectionRefusedError)
        channel.idle_limit = DEFAULT_IDLE_LIMIT
        self._add_idle(upstream, channel)
        return False

    def retain_only(self, identities: set[str]) -> None:
        """Close idle connections to upstreams not in ``identities``, and expired ones."""
        dropped: list[Channel] = []
        with self._lock:
            for identity in list(self._idle):
                if identity not in identities:
                    dropped.extend(self._idle.pop(identity))
                    continue
                idle = self._idle[identity]
                expired = [each for each in idle if not self._is_recent(each)]
                self._idle[identity] = [each for each in idle if each not in expired]
                dropped.extend(expired)
        for channel in dropped:
            channel.close()

    def _add_idle(self, upstream: Upstream, channel: Channel) -> None:
        channel.last_used = self._clock.now()
        with self._lock:
            idle = self._idle.setdefault(upstream.identity, [])
            if len(idle) < MAX_IDLE_PER_UPSTREAM:
                idle.append(channel)
                return
        channel.close()

    def _take_idle(self, upstream: Upstream, request_id: str, *, asked: bool) -> Channel | None:
        """Return an idle connection, ``None`` if there is none that can be used."""
        while True:
            with self._lock:
                idle = self._idle.get(upstream.identity, [])
                fitting = (
                    each
                    for each in reversed(idle)
                    if (not asked or each.start_confirmed is not None)
                    and not each.has_carried(request_id)
                )
                channel = next(fitting, None)
                if channel is not None:
                    idle.remove(channel)
            if channel is None or self._is_usable(channel):
                return channel
            channel.close()

    def _is_recent(self, channel: Channel) -> bool:
        return self._clock.now() - channel.last_used < channel.idle_limit

    def _is_usable(self, channel: Channel) -> bool:
        # Input on an idle connection is either data that belongs to no request or a close.
        return self._is_recent(channel) and not channel.has_input()
