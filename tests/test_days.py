"""The test scenarios ("days") in `deploy/days/` are valid and can be run on any site.

A runner skips a file with a misspelt field or kind, or one that names a request class, service or
failure domain of one site, so the mistake would go unnoticed and the file would test nothing.
"""

from __future__ import annotations

import hashlib
import re
import tomllib
from pathlib import Path
from typing import Any

import pytest

DAYS = Path(__file__).parents[1] / "deploy" / "days"
GIVEN_DAYS = {"rejoined": "d9fca7bb512b"}
"""Days that were handed over for one site, with the first digits of their files' digests. They name
classes and services of that site and are kept as they are."""
SCENARIO_FILES = sorted(path for path in DAYS.glob("*.toml") if path.stem not in GIVEN_DAYS)
ORGANISATION_FILES = sorted(DAYS.glob("organisations/*.toml"))
"""Days for sites whose operators declare organisations; other sites refuse their kinds."""
ALL_SCENARIO_FILES = SCENARIO_FILES + ORGANISATION_FILES


def _split_words(text: str) -> frozenset[str]:
    return frozenset(text.split())


PLANNED_KINDS = _split_words(
    "release scale_in scale_out roll_term hup add_nodes config_change config_storm big_config"
    " retire"
)
"""Kinds of planned operations."""
FAULT_KINDS = _split_words(
    "burst srv_crash srv_slow srv_grey srv_cut answer_lost garble replace_with_reuse node_kill"
    " node_freeze node_slow node_cut herd_kill replace_core after_ack_kill after_ack_wipe"
    " clock_step core_cut platform_down platform_slow platform_lost platform_compact poison"
    " give_up reset_conns"
)
"""Kinds of faults."""
ORGANISATION_PLANNED_KINDS = PLANNED_KINDS | {"revoke"}
ORGANISATION_FAULT_KINDS = FAULT_KINDS | {"hot_tenant"}
VARIANTS = {
    "answer_lost": "reset",
    "config_change": "route weights timeout tenant quota down topup idle",
    "core_cut": "behind split all near oldest one_way seeds both lure relieve reset refuse",
    "garble": "extra unframed early rot",
    "give_up": "once prompt",
    "herd_kill": "power off taken all",
    "node_cut": "all servers reborn reset refuse",
    "platform_compact": "drain keyed rebalance rewind",
    "platform_down": "nodes silent busy reset lapse revoke leader",
    "platform_lost": "late",
    "poison": "long deadly",
    "release": "across all",
    "replace_with_reuse": "drain dark side across all",
    "retire": "wipe",
    "revoke": "last",
    "roll_term": "remove leader starter",
    "scale_in": "spot reclaim dry across all",
    "srv_crash": "dark gone domain joined rack across all",
    "srv_cut": "fronts some lossy one_way reset reborn across all",
    "srv_grey": "errors shed busy hang reset mute slow one_zone across all",
}
"""Allowed words of `how` by kind."""
HOST_VARIANTS = _split_words(
    "turn leader reader giver renewed follower power seed meet race hard drain busy"
)
"""Words of `how` that every kind in `HOST_KINDS` allows."""
HOST_KINDS = _split_words(
    "node_kill node_freeze node_cut node_slow core_cut roll_term hup reset_conns"
)
NUMBER_FIELDS = {"at", "for_s", "gap_s", "share", "x", "count"}
PLACEHOLDERS = {
    "class": "@c0",
    "service": "@s0",
    "zone": "@z0",
    "to_zone": "@z0",
}
"""Fields that refer to a part of a site, and the placeholder that a portable day has there."""
ON_VALUES = {"core", "front", "side", "store"}
DAY_FIELDS = {"name", "seed", "length_s", "plan", "faults", "closing"}
CLOSING_KINDS = {"power_off_all", "wipe_after_ack", "kill_all"}
REQUESTS_END_S = 34.0
"""Time until which a day sends requests; a later event would not affect any request."""


def _read_day(path: Path) -> dict[str, Any]:
    with path.open("rb") as file:
        return tomllib.load(file)


def _errors_in(entry: dict[str, Any], kinds: frozenset[str]) -> list[str]:
    """Return the errors in one entry of a day."""
    kind = entry.get("kind")
    if kind not in kinds:
        return [f"kind {kind!r}"]
    errors = [
        f"field {key!r}"
        for key in entry
        if key not in NUMBER_FIELDS | {*PLACEHOLDERS, "kind", "how", "on"}
    ]
    errors += [
        f"{key} is no number"
        for key in NUMBER_FIELDS & set(entry)
        if type(entry[key]) not in (int, float)
    ]
    errors += [
        f"{key} = {entry[key]!r}"
        for key, given in PLACEHOLDERS.items()
        if entry.get(key, given) != given
    ]
    allowed = set(VARIANTS.get(kind, "").split())
    if kind in HOST_KINDS:
        allowed |= HOST_VARIANTS
    errors += [f"how {word!r}" for word in entry.get("how", "").split() if word not in allowed]
    at = entry.get("at")
    if type(at) not in (int, float) or not 0.0 <= at <= REQUESTS_END_S:
        errors.append("at is missing or outside the day")
    if not 0.0 < entry.get("share", 1.0) <= 1.0:
        errors.append("share")
    if entry.get("on", "core") not in ON_VALUES:
        errors.append("on")
    return errors


@pytest.mark.parametrize(("name", "digest"), GIVEN_DAYS.items())
def test_a_day_that_was_handed_over_is_unchanged(name: str, digest: str) -> None:
    content = (DAYS / f"{name}.toml").read_bytes()
    assert hashlib.sha256(content).hexdigest().startswith(digest)
    assert tomllib.loads(content.decode())["name"] == name


def test_there_are_days() -> None:
    assert len(SCENARIO_FILES) >= 26
    assert len(ORGANISATION_FILES) >= 2


@pytest.mark.parametrize("path", ALL_SCENARIO_FILES, ids=lambda path: path.stem)
def test_a_day_holds_known_fields_and_fits_any_site(path: Path) -> None:
    day = _read_day(path)
    assert set(day) <= DAY_FIELDS
    assert day["name"] == path.stem
    assert isinstance(day["seed"], int)
    assert type(day.get("length_s", REQUESTS_END_S)) in (int, float)
    planned = ORGANISATION_PLANNED_KINDS if path in ORGANISATION_FILES else PLANNED_KINDS
    faults = ORGANISATION_FAULT_KINDS if path in ORGANISATION_FILES else FAULT_KINDS
    errors = [each for entry in day.get("plan", []) for each in _errors_in(entry, planned)]
    errors += [each for entry in day.get("faults", []) for each in _errors_in(entry, faults)]
    assert not errors
    assert day.get("plan") or day.get("faults")
    if "closing" in day:
        assert day["closing"]["kind"] in CLOSING_KINDS


@pytest.mark.parametrize("path", ALL_SCENARIO_FILES, ids=lambda path: path.stem)
def test_a_day_says_in_its_first_line_what_it_is_for(path: Path) -> None:
    assert re.match(r"# [A-Z].{20,}\.\n", path.read_text())


def test_seeds_differ() -> None:
    seeds = [_read_day(path)["seed"] for path in ALL_SCENARIO_FILES]
    assert len(set(seeds)) == len(seeds)


@pytest.mark.parametrize(
    ("entry", "expected"),
    [
        ({"kind": "srv_krash", "at": 1.0}, "kind"),
        ({"kind": "srv_crash", "at": 1.0, "for": 2.0}, "field"),
        ({"kind": "srv_crash", "at": 1.0, "service": "shop"}, "service"),
        ({"kind": "burst", "at": 1.0, "zone": "@c0"}, "zone"),
        ({"kind": "srv_crash", "at": 1.0, "how": "prompt"}, "how"),
        ({"kind": "srv_crash", "for_s": 3.0}, "at"),
        ({"kind": "srv_crash", "at": 60.0}, "at"),
        ({"kind": "srv_crash", "at": 1.0, "share": 20}, "share"),
        ({"kind": "srv_crash", "at": "1"}, "at"),
    ],
)
def test_a_mistake_in_a_day_is_found(entry: dict[str, Any], expected: str) -> None:
    assert any(expected in each for each in _errors_in(entry, FAULT_KINDS))
