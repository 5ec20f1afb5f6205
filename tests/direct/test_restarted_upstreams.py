"""Upstreams that start again under the id that they had, while requests run there."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from direct_harness import Answer, Deployment, Entry, deployment, eventually

from carobspool_standins.platform_server import ServedRequest, ServerConnection

SHOWN_S = 1.0
"""A registration is known within 0.25 s of its change, and 0.3 s later all that is silent ends."""


@pytest.fixture
def system(tmp_path: Path) -> Iterator[Deployment]:
    """Stand-ins without entries."""
    with deployment(tmp_path) as running:
        yield running


def _answer(request: ServedRequest, connection: ServerConnection) -> None:
    connection.answer(request)


class _Caller:
    """A call in a task of its own."""

    def __init__(self, entry: Entry, target: str) -> None:
        self._found: list[Answer] = []
        self.took_s = 0.0
        self._task = threading.Thread(target=self._call, args=(entry, target))
        self._task.start()

    def _call(self, entry: Entry, target: str) -> None:
        began = time.monotonic()
        self._found.append(entry.call("POST", target, body=b"b"))
        self.took_s = time.monotonic() - began

    def answer(self) -> Answer:
        """Wait for the answer."""
        self._task.join()
        return self._found[0]


def test_what_the_earlier_start_has_not_answered_ends_as_unknown_at_once(
    system: Deployment,
) -> None:
    """The only server is cut off with a request that may run once, and starts again under its id.
    Its connections stay open and silent, so that the caller would wait until its time limit of
    three seconds. It must be told 502 when the new start shows, and nothing may run twice."""
    server = system.server("plain", lambda request, connection: time.sleep(5.0))
    entry = system.entry("e1")
    caller = _Caller(entry, "/once/x")
    eventually(lambda: server.seen, 1.0)
    server.cut_off()
    server.behave = _answer
    system.restart(server, "plain")
    restarted = time.monotonic()
    answer = caller.answer()
    assert (answer.status, time.monotonic() - restarted < SHOWN_S) == (502, True)
    assert len(server.seen) == 1
    assert entry.call("POST", "/once/y", body=b"b").status == 200
