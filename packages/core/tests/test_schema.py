"""Tests of the desired state at the border."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from carobspool_core.schema import ConfigError, dump_state, load_folder, parse_state

HASH = "a" * 64


def whole() -> dict[str, Any]:
    """Return a small valid state as JSON."""
    return {
        "organisations": [{"name": "press", "weight": 2}],
        "callers": [
            {
                "id": "editor",
                "organisation": "press",
                "key_hashes": [HASH],
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


def errors_of(value: Any) -> tuple[ConfigError, ...]:
    """Return the errors of a refused state."""
    return parse_state(value).failure()


def test_dumped_state_parses_to_itself() -> None:
    """Writing a state and reading it again changes nothing."""
    state = parse_state(whole(), revision=7).unwrap()
    again = parse_state(json.loads(json.dumps(dump_state(state))), revision=7).unwrap()
    assert again == state
    assert (state.revision, state.batch.chunk_items) == (7, 64)
    assert state.services["orders"].routes[0].timeout == 5


def test_files_of_a_folder_are_one_unit(tmp_path: Path) -> None:
    """Sections may be spread over files with comments, and refer to each other across them."""
    parts = whole()
    for section, value in parts.items():
        text = f"// {section}\n" + json.dumps({section: value})
        (tmp_path / f"{section}.json").write_text(text)
    assert load_folder(tmp_path).unwrap() == parse_state(parts).unwrap()


def test_every_error_comes_at_once(tmp_path: Path) -> None:
    """Each error names its file, path, what was found and what is allowed."""
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
            {"id": "x", "organisation": "press", "key_hashes": [HASH]},
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
def test_references_and_duplicates(
    section: str, entry: dict[str, Any], path: str, found: str
) -> None:
    """A name used twice and a reference that leads nowhere are refused with their place."""
    value = whole()
    value[section].append(entry)
    (error,) = errors_of(value)
    assert error.path == path
    assert found in error.found


def test_a_key_in_place_of_its_hash_is_not_shown() -> None:
    """An error about a key hash does not repeat what stood there."""
    value = whole()
    value["callers"][0]["key_hashes"] = ["secret-key"]
    (error,) = errors_of(value)
    assert "secret" not in str(error)


def test_a_state_without_operator_is_refused() -> None:
    """A state that would lock every operator out is never accepted."""
    value = whole()
    value["callers"][0]["role"] = "caller"
    (error,) = errors_of(value)
    assert (error.path, error.found) == ("callers", "no caller with the role 'operator'")


def test_an_empty_folder_is_refused(tmp_path: Path) -> None:
    """A folder without files is an error, not an empty state."""
    (error,) = load_folder(tmp_path).failure()
    assert error.found == "no file *.json"


def test_places_in_a_long_section_are_those_of_the_whole() -> None:
    """Long sections are validated piece by piece, and errors count from the section's start."""
    value = whole()
    value["models"] += [{"name": f"m{number}", "version": "1"} for number in range(1300)]
    assert len(parse_state(value).unwrap().models) == 1301
    value["models"][1200]["version"] = 1
    value["models"][700] |= {"adapters": ["a", 7]}
    assert [error.path for error in errors_of(value)] == [
        "models[700].adapters[1]",
        "models[1200].version",
    ]
    del value["models"][1200], value["models"][700]
    value["models"].append({"name": "m650", "version": "1"})
    (error,) = errors_of(value)
    assert (error.path, "models[651].name" in error.allowed) == ("models[1299].name", True)
