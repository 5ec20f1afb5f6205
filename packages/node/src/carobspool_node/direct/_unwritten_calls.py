"""Ends calls for a part that was quarantined before their upstreams have written on them.

A request can wait at an upstream behind others. If a part of its prompt is quarantined in the
meantime, it must not begin there: upstreams drop a request whose connection is closed. Calls for a
quarantined request go on, since the completion of a copy is what lifts its quarantine.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from absl import logging

from carobspool_node.direct._request_state import RequestState
from carobspool_node.direct._upstream_calls import UpstreamCall


class UnwrittenCalls:
    """The calls of this entry that may still have to be ended. Thread-safe.

    Args:
        has_quarantined_part: Returns whether a request is refused for a part of its prompt.
    """

    def __init__(self, has_quarantined_part: Callable[[RequestState], bool]) -> None:
        self._has_quarantined_part = has_quarantined_part
        self._lock = threading.Lock()
        self._calls: dict[int, tuple[RequestState, UpstreamCall]] = {}

    @contextmanager
    def watch(self, state: RequestState, call: UpstreamCall) -> Iterator[None]:
        """End a call, while the context is open, once a part of its prompt is quarantined."""
        with self._lock:
            self._calls[id(call)] = (state, call)
        try:
            yield
        finally:
            with self._lock:
                del self._calls[id(call)]

    def end_quarantined(self) -> None:
        """End the calls for parts that are quarantined now."""
        with self._lock:
            calls = list(self._calls.values())
        for state, call in calls:
            if state.has_written or not self._has_quarantined_part(state):
                continue
            logging.info("event=quarantined_call_ended request=%s", state.request.request_id)
            call.cancel("a part of the prompt is quarantined")
