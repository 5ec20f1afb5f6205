"""Bytes without end in an answer of the store, and of an upstream behind a sidecar."""

from __future__ import annotations

import time
from collections.abc import Callable

import pytest
from returns.pipeline import is_successful

from carobspool_core import boottime_clock
from carobspool_node.store import http_object_store
from carobspool_node.upstreams import CallEnd, UpstreamCall, call_whole
from carobspool_platform._store import PlatformStore
from carobspool_standins.endless import (
    ENDLESS_ANSWERS,
    EndlessServer,
    peak_memory_kb,
    reset_peak_memory_kb,
    serve_endless,
)

MAX_MEMORY_KB = 60_000
"""The longest answer that is read as a whole is 16 MiB; it is held twice while it is joined."""
DEADLINE_MS = 3_000.0
SLACK_S = 1.5


def _url(server: EndlessServer) -> str:
    return "{}:{}".format(*server.address)


def _call_platform_store(server: EndlessServer) -> bool:
    return is_successful(PlatformStore(_url(server), boottime_clock()).get("kind/name"))


def _call_object_store(server: EndlessServer) -> bool:
    return is_successful(http_object_store(f"http://{_url(server)}").get("kind/name"))


def _call_from_sidecar(server: EndlessServer) -> bool:
    call = UpstreamCall(
        method="GET", url=f"http://{_url(server)}/", headers={}, timeout=DEADLINE_MS
    )
    result, _ = call_whole(call)
    return result.end is CallEnd.COMPLETE


CALLS = {
    "store": _call_platform_store,
    "object store": _call_object_store,
    "sidecar": _call_from_sidecar,
}


@pytest.mark.parametrize("answer", ENDLESS_ANSWERS.values(), ids=ENDLESS_ANSWERS)
@pytest.mark.parametrize("call", CALLS.values(), ids=CALLS)
def test_a_call_whose_answer_has_no_end_fails_in_time(
    call: Callable[[EndlessServer], bool], answer: tuple[bytes, bytes]
) -> None:
    """Guards against an answer without end that fills the memory or holds its caller."""
    with serve_endless(*answer) as server:
        before = reset_peak_memory_kb()
        begun = time.monotonic()
        assert not call(server)
        assert time.monotonic() - begun < DEADLINE_MS / 1000.0 + SLACK_S
        assert peak_memory_kb() - before < MAX_MEMORY_KB
