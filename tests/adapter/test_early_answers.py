"""Answers that come before a long request has been read, and statuses that HTTP does not define, at
the platform's store and at the command line."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest
from returns.result import Success

from carobspool_cli._client import Call, Client
from carobspool_core import boottime_clock
from carobspool_platform._store import PlatformStore
from carobspool_standins.early_answers import ENDS, Address, serve_early_answers

LONG = b"x" * 8_000_000
"""More than the send and receive buffers of a connection hold together."""


def _write_to_platform_store(address: Address, body: bytes) -> bool:
    store = PlatformStore("{}:{}".format(*address), boottime_clock())
    written = store.create("kind/n", body.decode())
    return isinstance(written, Success)


def _read_platform_store(address: Address, body: bytes) -> bool:
    return isinstance(PlatformStore("{}:{}".format(*address), boottime_clock()).get("k/n"), Success)


def _call_from_command_line(address: Address, body: bytes) -> bool:
    client = Client(entries=("http://{}:{}".format(*address),), key=None)
    reply = client.call(Call(method="POST", path="/", body=body.decode()))
    return isinstance(reply, Success)


LONG_CALLS = {"platform store": _write_to_platform_store, "command line": _call_from_command_line}
CALLS = LONG_CALLS | {"platform store, read": _read_platform_store}


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("call", LONG_CALLS.values(), ids=LONG_CALLS)
def test_an_answer_cut_during_the_upload_is_not_complete(
    call: Callable[[Address, bytes], bool], end: str
) -> None:
    """Guards against a part of an answer without a length that is taken for the whole one."""
    with serve_early_answers(b"200 OK", end) as address:
        assert not call(address, LONG)


@pytest.mark.parametrize("status", ["000", "001", "099", "600", "601", "799", "999"])
@pytest.mark.parametrize("call", CALLS.values(), ids=CALLS)
def test_a_status_that_http_does_not_define_is_no_answer(
    call: Callable[[Address, bytes], bool], status: str
) -> None:
    """Guards against bytes of a store, or of an entry, that are taken as an answer."""
    with serve_early_answers(status.encode() + b" X", "closed", length=True) as address:
        assert not call(address, b"x")


def test_an_upload_of_a_file_that_is_cut_is_not_complete(tmp_path: Path) -> None:
    """Guards against a file that counts as uploaded though its upload was cut off."""
    path = tmp_path / "items.jsonl"
    path.write_bytes(LONG)
    with serve_early_answers(b"200 OK", "shut down, then reset") as address:
        client = Client(entries=("http://{}:{}".format(*address),), key=None)
        reply = client.call(Call(method="POST", path="/v1/files", upload=path))
        assert not isinstance(reply, Success)
