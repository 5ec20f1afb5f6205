"""What a platform adapter supplies to a direct entry or a keeper."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from msgspec import Struct

from carobspool_core import Clock, Json, Millis, ObjectStore
from carobspool_core.direct import Configuration, JobItem, Upstream
from carobspool_node.direct._jobs import ResultsPage
from carobspool_node.direct._messages import CallerRequest, HeaderNames
from carobspool_node.direct._settings import DirectSettings
from carobspool_node.direct._start_check import StartReport
from carobspool_node.stream_backups import RunMoves


class ReadResults(Struct, frozen=True, kw_only=True):
    """A call that reads results of a job."""

    job_id: str
    after: int
    wait: Millis


class ReadBody(Struct, frozen=True, kw_only=True):
    """A call that reads the body of an item."""

    job_id: str
    item_id: str


class EndJob(Struct, frozen=True, kw_only=True):
    """A call that ends a job."""

    job_id: str


JobCall = ReadResults | ReadBody | EndJob


class CallerDialect(Protocol):
    """Parses and answers callers' calls on batch jobs in the platform's format."""

    def job_call(self, request: CallerRequest) -> JobCall | None:
        """Return the call on a job that a request makes, ``None`` if it makes none.

        Raises:
            BadRequestError: The request is a call on a job, but an invalid one.
        """

    def job_items(self, body: bytes) -> Sequence[JobItem]:
        """Return the items of a submission.

        Raises:
            BadRequestError: The submission is invalid.
        """

    def results(self, page: ResultsPage) -> bytes:
        """Return the body that answers a read; it may omit results that would make it too long."""


class Deployment(Struct, frozen=True, kw_only=True):
    """The names, formats and calls of one platform.

    Attributes:
        headers: Header names of callers and upstreams.
        dialect: Format of calls on batch jobs.
        open_store: Opens the object store.
        configuration_key: Key of the operator's configuration in the store.
        read_configuration: Parses the configuration; raises `UnusableRecordError` if it is invalid.
        upstream_prefix: Key prefix of the upstreams' registrations.
        read_upstream: Parses a registration, given its name and value; raises
            `UnusableRecordError` if it is invalid.
        retirement_prefix: Key prefix of requests to empty a host.
        retired: Status object that reports a host as empty.
        ready_path: Path of the load balancer's health check.
        run_moves: Format of the calls that move runs, ``None`` if the platform has no such calls.
        start_report: How upstreams are asked when they started, ``None`` if they cannot be asked.
    """

    headers: HeaderNames
    dialect: CallerDialect
    open_store: Callable[[DirectSettings, Clock], ObjectStore]
    configuration_key: str
    read_configuration: Callable[[Json], Configuration]
    upstream_prefix: str
    read_upstream: Callable[[str, Json], Upstream]
    retirement_prefix: str
    retired: Json
    ready_path: str
    run_moves: RunMoves | None = None
    start_report: StartReport | None = None
