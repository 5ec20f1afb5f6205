"""Asks an upstream when it started, on the connection that carries the next request to it.

An upstream can start again under its id and address, at another software version, and its new
registration is known only some time later. A connection ends with the process that serves it, so
one answer holds for all requests on it.
"""

from __future__ import annotations

from collections.abc import Callable

import h11
from msgspec import Struct

from carobspool_core import Millis
from carobspool_core.direct import Upstream
from carobspool_core.problems import UnusableRecordError
from carobspool_node.direct._channel import CallerWatch, Channel
from carobspool_node.direct._messages import HeaderNames, Headers


class StartReport(Struct, frozen=True, kw_only=True):
    """How upstreams are asked when they started.

    Attributes:
        path: Path of an upstream's report on itself.
        read_started: Returns the Unix milliseconds of the start from the report's body, 0 if the
            report does not state them; raises `UnusableRecordError` if it cannot be read.
    """

    path: str
    read_started: Callable[[bytes], int]


class NoReportError(Exception):
    """An upstream has answered, but not with its report."""


def ask_start(
    channel: Channel,
    upstream: Upstream,
    report: StartReport,
    names: HeaderNames,
    deadline: Millis,
    watch: CallerWatch | None,
) -> int:
    """Ask the process at the other end of a new connection when it started.

    Args:
        channel: The connection.
        upstream: The upstream as it is registered.
        report: How it is asked.
        names: Header names of the deployment.
        deadline: Time by which it must have answered.
        watch: Detects that the caller has disconnected.

    Returns:
        Unix milliseconds, 0 if its report does not state them.

    Raises:
        NoReportError: The process refuses, belongs to another upstream, or its report is cut.
        ConnectionBrokenError: The connection broke.
        DeadlinePassedError: It has not answered.
        CallerGoneError: The caller has disconnected.
        CallCancelledError: Another task cancelled the call.
    """
    headers: Headers = [
        (b"Host", upstream.address[0].encode()),
        (names.expect_instance, upstream.instance.encode()),
    ]
    request = h11.Request(method=b"GET", target=report.path.encode(), headers=headers)
    status, body = channel.exchange(request, b"", deadline, watch=watch)
    if status != 200:
        raise NoReportError(f"status {status} instead of the upstream's report")
    try:
        return report.read_started(body)
    except UnusableRecordError as error:
        raise NoReportError(f"unreadable report: {error}") from error
