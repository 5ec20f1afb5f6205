"""What an adapter tells a direct entry about the deployment it runs on."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from msgspec import Struct

from carobspool_core import Clock, Json, Millis, ObjectStore
from carobspool_core.direct import Configuration, JobItem, Upstream
from carobspool_node.direct._jobs import ResultsPage
from carobspool_node.direct._messages import CallerRequest, HeaderNames
from carobspool_node.direct._settings import DirectSettings


class ReadResults(Struct, frozen=True, kw_only=True):
    """A caller reads results of a job."""

    job_id: str
    after: int
    wait: Millis


class ReadBody(Struct, frozen=True, kw_only=True):
    """A caller reads the body of an item."""

    job_id: str
    item_id: str


class EndJob(Struct, frozen=True, kw_only=True):
    """A caller ends a job."""

    job_id: str


JobCall = ReadResults | ReadBody | EndJob


class CallerDialect(Protocol):
    """How callers spell calls on batch jobs."""

    def job_call(self, request: CallerRequest) -> JobCall | None:
        """Return the call on a job that a request makes, ``None`` when it makes none.

        Raises:
            BadRequestError: It is one, but improper.
        """

    def job_items(self, body: bytes) -> Sequence[JobItem]:
        """Return the items of a submission.

        Raises:
            BadRequestError: It is improper.
        """

    def results(self, page: ResultsPage) -> bytes:
        """Return the body that answers a read; may leave out results that would make it long."""


class Deployment(Struct, frozen=True, kw_only=True):
    """The names, formats and calls of one platform.

    Attributes:
        headers: Header names of callers and upstreams.
        dialect: Calls on batch jobs.
        open_store: Opens the object store.
        configuration_key: Where the operator's configuration lies.
        read_configuration: Reads it; raises `UnusableRecordError` for what is none.
        upstream_prefix: Where the registrations of upstreams lie.
        read_upstream: Reads one; the name comes first. Raises `UnusableRecordError` for what names
            no upstream.
        retirement_prefix: Where requests to empty a host lie.
        retired: Status of a host that holds nothing any more.
        ready_path: What the balancer asks.
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
