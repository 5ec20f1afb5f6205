"""Tests of reading and validating the desired state."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from carobspool_core.schema import ConfigError, dump_state, load_folder, parse_state

KEY_HASH = "a" * 64


def valid_state() -> dict[str, Any]:
    """Return a small valid state as JSON."""
    return {
        "organisations": [{"name": "press", "weight": 2}],
        "callers": [
            {
                "id": "editor",
                "organisation": "press",
                "key_hashes": [KEY_HASH],
                "role": "operator",
            }
        ],
        "models": [{"name": "reader", "version": "1"}],
        "upstreams": [
            {
                "host": "up-1",
                "address": "127.0.0.1:9100",
                "failure_domain": "hall",
                "models": ["reader"],
            }
        ],
        "services": [{"name": "orders", "routes": [{"prefix": "/", "timeout_ms": 5}]}],
        "batch": {"chunk_items": 64},
    }


def parse_errors(value: Any) -> tuple[ConfigError, ...]:
    """Return the errors of a refused state."""
    return parse_state(value).failure()


def test_dumped_state_parses_to_itself() -> None:
    """A state that is dumped as JSON parses to an equal state."""
    state = parse_state(valid_state(), revision=7).unwrap()
    again = parse_state(json.loads(json.dumps(dump_state(state))), revision=7).unwrap()
    assert again == state
    assert (state.revision, state.batch.chunk_items) == (7, 64)
    assert state.services["orders"].routes[0].timeout == 5


def test_files_of_a_folder_form_one_state(tmp_path: Path) -> None:
    """Sections may be in several files with comments, and refer to entries of other files."""
    parts = valid_state()
    for section, value in parts.items():
        text = f"// {section}\n" + json.dumps({section: value})
        (tmp_path / f"{section}.json").write_text(text)
    assert load_folder(tmp_path).unwrap() == parse_state(parts).unwrap()


def test_all_errors_are_returned_together(tmp_path: Path) -> None:
    """Each error names its file and path, the value found and the values allowed."""
    (tmp_path / "a.json").write_text('{"models": [{"name": "m", "version": 3}],\n "extra": 1}')
    (tmp_path / "b.json").write_text('{"batch": {"chunk_items": 0}}')
    (tmp_path / "c.json").write_text('{\n"batch": {,}}')
    lines = [str(error) for error in load_folder(tmp_path).failure()]
    assert len(lines) == 4
    assert lines[0].startswith("a.json: models[0].version: found 3; allowed: a valid string")
    assert "a.json: extra: found the unknown key 'extra'; allowed: batch, callers," in lines[1]
    assert lines[2] == "b.json: batch.chunk_items: found 0; allowed: above 0"
    assert lines[3].startswith("c.json: line 2: found Expected")


@pytest.mark.parametrize(
    ("section", "entry", "path", "found"),
    [
        ("organisations", {"name": "press"}, "organisations[1].name", "'press' again"),
        ("models", {"name": "reader", "version": "2"}, "models[1].name", "'reader' again"),
        (
            "callers",
            {"id": "x", "organisation": "none", "key_hashes": ["b" * 64]},
            "callers[1].organisation",
            "unknown 'none'",
        ),
        (
            "callers",
            {"id": "x", "organisation": "press", "key_hashes": [KEY_HASH]},
            "callers[1].key_hashes[0]",
            "a key hash again",
        ),
        (
            "upstreams",
            {
                "host": "up-2",
                "address": "127.0.0.1:9100",
                "failure_domain": "h",
                "models": ["reader"],
            },
            "upstreams[1].address",
            "again",
        ),
        (
            "upstreams",
            {"host": "u", "address": "127.0.0.1:1", "failure_domain": "h", "models": ["none"]},
            "upstreams[1].models",
            "unknown 'none'",
        ),
        (
            "upstreams",
            {"host": "u", "address": "127.0.0.1:1", "failure_domain": "h", "kind": "service"},
            "upstreams[1].service",
            "nothing",
        ),
        (
            "upstreams",
            {"host": "u", "address": "localhost:1", "failure_domain": "h", "models": ["reader"]},
            "upstreams[1].address",
            "localhost",
        ),
    ],
)
def test_duplicates_and_unknown_references_are_refused(
    section: str, entry: dict[str, Any], path: str, found: str
) -> None:
    """The error of a duplicate name or of an unknown reference has the path of the entry."""
    value = valid_state()
    value[section].append(entry)
    (error,) = parse_errors(value)
    assert error.path == path
    assert found in error.found


def test_a_key_in_place_of_its_hash_is_not_shown() -> None:
    """An error about a key hash does not contain the value, which may be a plain key."""
    value = valid_state()
    value["callers"][0]["key_hashes"] = ["secret-key"]
    (error,) = parse_errors(value)
    assert "secret" not in str(error)


def test_a_state_without_operator_is_refused() -> None:
    """Without an operator, nobody could replace the state."""
    value = valid_state()
    value["callers"][0]["role"] = "caller"
    (error,) = parse_errors(value)
    assert (error.path, error.found) == ("callers", "no caller with the role 'operator'")


def test_an_empty_folder_is_refused(tmp_path: Path) -> None:
    """A folder without files is an error, not an empty state."""
    (error,) = load_folder(tmp_path).failure()
    assert error.found == "no file *.json"


def test_errors_in_a_long_section_have_indices_of_the_whole_section() -> None:
    """Long sections are validated in pieces, but indices count from the start of the section."""
    value = valid_state()
    value["models"] += [{"name": f"m{number}", "version": "1"} for number in range(1300)]
    assert len(parse_state(value).unwrap().models) == 1301
    value["models"][1200]["version"] = 1
    value["models"][700] |= {"adapters": ["a", 7]}
    assert [error.path for error in parse_errors(value)] == [
        "models[700].adapters[1]",
        "models[1200].version",
    ]
    del value["models"][1200], value["models"][700]
    value["models"].append({"name": "m650", "version": "1"})
    (error,) = parse_errors(value)
    assert (error.path, "models[651].name" in error.allowed) == ("models[1299].name", True)
