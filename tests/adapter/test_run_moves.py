"""What the adapter reads and writes of copies of runs and of the calls that move them."""

from __future__ import annotations

import json

import pytest

from carobspool_core import Json
from carobspool_node.stream_backups import MoveAnswer, MoveKind
from carobspool_platform._configuration import read_configuration
from carobspool_platform._deployment import platform_deployment

LIMITS = {
    "max_header_bytes": 1,
    "max_body_bytes": 2,
    "header_timeout_ms": 3,
    "idle_timeout_ms": 4,
}
MOVES = platform_deployment().run_moves
assert MOVES is not None


@pytest.mark.parametrize("value", [False, 1, "true", None, [], {}], ids=lambda each: repr(each))
def test_an_ability_of_another_form_counts_as_not_declared(value: Json) -> None:
    """Guards against copies at engines that ignore the header, and against a configuration that
    can't be read because of a field that earlier versions ignored."""
    services = [
        {"name": "s1", "engine": {"backups": value, "moves": value}},
        {"name": "s2", "engine": {"backups": True, "moves": value}},
        {"name": "s3", "engine": {"backups": value, "moves": True}},
        {"name": 3, "engine": {"backups": True, "moves": True}},
        {"name": "s4", "engine": [True]},
        "s5",
    ]
    found = read_configuration({"version": 1, "routes": [], "limits": LIMITS, "services": services})
    assert (found.engine_backups, found.engine_moves) == ({"s2"}, {"s3"})
    empty = read_configuration({"version": 1, "routes": [], "limits": LIMITS, "services": value})
    assert (empty.engine_backups, empty.engine_moves) == (frozenset(), frozenset())


def test_the_calls_have_the_form_of_the_platform() -> None:
    """A call of another form would be answered with 400, and every move would fail."""
    method, path, body = MOVES.move_request('r"1', "10.0.0.1:80")
    assert (method, path) == (b"POST", b"/api/kv-move")
    assert json.loads(body) == {"id": 'r"1', "target": "10.0.0.1:80", "last": True}
    assert MOVES.free_request("h-1") == (b"DELETE", b"/api/kv-handle/h-1")
    headers = platform_deployment().headers
    assert (headers.run_backup, headers.run_from) == (b"kv-backup", b"kv-from")


@pytest.mark.parametrize(
    ("status", "body", "answer"),
    [
        (200, b'{"handle": "h-1", "created_rev": 4}', MoveAnswer(MoveKind.MOVED, "h-1")),
        (404, b"", MoveAnswer(MoveKind.NO_RUN)),
        (503, b'{"handle": "h-1"}', MoveAnswer(MoveKind.KEPT, "h-1")),
        (503, b"", MoveAnswer(MoveKind.FAILED)),
        (409, b'{"handle": "h-1"}', MoveAnswer(MoveKind.FAILED)),
        (202, b'{"handle": "h-1"}', MoveAnswer(MoveKind.FAILED)),
        (200, b"", MoveAnswer(MoveKind.FAILED)),
        (200, b"\xff{", MoveAnswer(MoveKind.FAILED)),
        (200, b'["h-1"]', MoveAnswer(MoveKind.FAILED)),
        (200, b'{"handle": 7}', MoveAnswer(MoveKind.FAILED)),
        (200, b'{"handle": ""}', MoveAnswer(MoveKind.FAILED)),
        (200, b'{"handle": "a/../b"}', MoveAnswer(MoveKind.FAILED)),
        (200, b'{"handle": "a\\r\\nX: y"}', MoveAnswer(MoveKind.FAILED)),
        (200, b"[" * 100_000, MoveAnswer(MoveKind.FAILED)),
    ],
)
def test_an_answer_of_another_form_is_a_failed_move(
    status: int, body: bytes, answer: MoveAnswer
) -> None:
    """Guards against a continuation while the first run may still be working, and against a handle
    that ends a header or a path."""
    assert MOVES.read_move(status, body) == answer
