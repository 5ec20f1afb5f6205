"""Serve the calls of other entries."""

from __future__ import annotations

import cbor2
from absl import logging

from carobspool_core import Clock, Json
from carobspool_core.problems import UnusableRecordError
from carobspool_core.records import read_record
from carobspool_node.direct._bad_records import BadRecords
from carobspool_node.direct._caller_connection import CallerConnection
from carobspool_node.direct._job_reconciliation import JOBS_OPERATION
from carobspool_node.direct._jobs import Jobs, Outcome
from carobspool_node.direct._messages import CallerRequest
from carobspool_node.direct._origin_messages import OriginCall
from carobspool_node.direct._peer_calls import PEER_HEADERS
from carobspool_node.direct._peer_messages import (
    EndCall,
    JobsCall,
    ResultsCall,
    decode_cbor,
    read_store_call,
)
from carobspool_node.direct._store_relay import RelayedStore
from carobspool_node.direct._stream_origins import ORIGIN_OPERATION, StreamOrigins
from carobspool_node.direct._telemetry import Telemetry
from carobspool_node.direct._view_exchange import ViewCall, ViewExchange


class PeerApi:
    """Serves calls of peers; an invalid call gets status 400 and has no effect."""

    def __init__(
        self,
        clock: Clock,
        telemetry: Telemetry,
        jobs: Jobs,
        store: RelayedStore,
        views: ViewExchange,
        origins: StreamOrigins,
    ) -> None:
        self._jobs = jobs
        self._store = store
        self._views = views
        self._origins = origins
        self._bad_calls = BadRecords(clock, telemetry, "peer_call", "path")

    def handle(self, request: CallerRequest, caller: CallerConnection) -> None:
        """Answer one call of a peer."""
        try:
            status, answer = self._serve(request)
        except UnusableRecordError as error:
            self._bad_calls.report(request.path, error)
            status, answer = 400, None
        headers = [
            (PEER_HEADERS.request_id, request.request_id.encode()),
            (PEER_HEADERS.signature, b"entry"),
        ]
        try:
            data = cbor2.dumps(answer)
        except (ValueError, cbor2.CBOREncodeError) as error:
            # A result's text may represent bytes that are not UTF-8, which CBOR cannot encode. The
            # peer then reads the result from the store.
            logging.warning("event=peer_answer_failed path=%s reason=%r", request.path, error)
            status, data = 500, b""
        caller.answer(status, headers, data)

    def _serve(self, request: CallerRequest) -> tuple[int, Json]:
        body = decode_cbor(request.body)
        if request.path == "/results":
            return self._results(read_record(ResultsCall, body))
        if request.path == "/end":
            call = read_record(EndCall, body)
            return (200 if self._jobs.end_if_owned(call.id) is Outcome.DONE else 409), None
        if request.path == f"/{JOBS_OPERATION}":
            return 200, {"running": self._jobs.confirm_jobs(read_record(JobsCall, body).ids)}
        if request.path == "/store":
            return 200, self._store.serve_relay(read_store_call(body))
        if request.path == "/view":
            return 200, self._views.serve(read_record(ViewCall, body))
        if request.path == f"/{ORIGIN_OPERATION}":
            return 200, self._origins.serve(read_record(OriginCall, body))
        return 404, None

    def _results(self, call: ResultsCall) -> tuple[int, Json]:
        page = self._jobs.results_if_owned(call.id, call.after, call.wait)
        if page is None:
            return 409, None
        results = [[each.item_id, each.outcome.value, each.text] for each in page.results]
        return 200, {"total": page.total, "results": results}
