"""Single calls to engines about runs, each on a connection of its own."""

from __future__ import annotations

import h11

from carobspool_core import Clock, Millis
from carobspool_core.direct import Upstream
from carobspool_node.direct._channel import connect
from carobspool_node.direct._errors import ConnectionBrokenError, DeadlinePassedError
from carobspool_node.direct._messages import HeaderNames, Headers
from carobspool_node.stream_backups import EngineAnswer, Reach


class EngineCalls:
    """Makes calls about runs.

    Pooled connections are not used: an answer to another request could be taken for the outcome of
    a move, and a refused connection shows that the engine's process has ended.

    Args:
        clock: The process's clock.
        names: Header names of the deployment.
    """

    def __init__(self, clock: Clock, names: HeaderNames) -> None:
        self._clock = clock
        self._names = names

    def call(
        self, upstream: Upstream, method: bytes, path: bytes, body: bytes, *, deadline: Millis
    ) -> EngineAnswer:
        """Make one call; never raises."""
        left = deadline - self._clock.now()
        if left <= 0:
            return EngineAnswer(Reach.NO_ANSWER)
        try:
            channel = connect(upstream.address, left, self._clock)
        except ConnectionBrokenError as error:
            refused = isinstance(error.__cause__, ConnectionRefusedError)
            return EngineAnswer(Reach.REFUSED if refused else Reach.UNREACHABLE)
        try:
            headers: Headers = [
                (b"Host", upstream.address[0].encode()),
                (self._names.expect_instance, upstream.instance.encode()),
                (b"Content-Type", b"application/json"),
                (b"Content-Length", str(len(body)).encode()),
                (b"Connection", b"close"),
            ]
            request = h11.Request(method=method, target=path, headers=headers)
            status, answer = channel.exchange(request, body, deadline)
            return EngineAnswer(Reach.ANSWERED, status, answer)
        except ConnectionBrokenError:
            return EngineAnswer(Reach.BROKEN)
        except DeadlinePassedError:
            return EngineAnswer(Reach.NO_ANSWER)
        finally:
            channel.close()
