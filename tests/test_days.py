"""The days in `deploy/days/` are written so that they can be played on any site.

A file with a misspelt field or kind, or one that names a site's own kind of request, service or
failure domain, is left out by those who play it, and nobody notices that it proves nothing.
"""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Any

import pytest

DAYS = Path(__file__).parents[1] / "deploy" / "days"
FILES = sorted(DAYS.glob("*.toml"))
OF_ORGANISATIONS = sorted(DAYS.glob("organisations/*.toml"))
"""Days for sites whose operators declare organisations; the others refuse their kinds."""
ALL_FILES = FILES + OF_ORGANISATIONS


def _words(text: str) -> frozenset[str]:
    return frozenset(text.split())


PLANNED = _words(
    "release scale_in scale_out roll_term hup add_nodes config_change config_storm big_config"
    " retire"
)
"""Kinds of planned work."""
FAULTS = _words(
    "burst srv_crash srv_slow srv_grey srv_cut answer_lost garble replace_with_reuse node_kill"
    " node_freeze node_slow node_cut herd_kill replace_core after_ack_kill after_ack_wipe"
    " clock_step core_cut platform_down platform_slow platform_lost platform_compact poison"
    " give_up reset_conns"
)
"""Kinds of faults."""
ORGANISATIONS_PLANNED = PLANNED | {"revoke"}
ORGANISATIONS_FAULTS = FAULTS | {"hot_tenant"}
VARIANTS = {
    "config_change": "route weights timeout tenant quota down topup idle",
    "core_cut": "behind split all near oldest one_way seeds both lure relieve reset refuse",
    "garble": "extra unframed early rot",
    "give_up": "once prompt",
    "herd_kill": "power off taken all",
    "node_cut": "all servers reborn reset refuse",
    "platform_compact": "drain keyed rebalance rewind",
    "platform_down": "nodes silent busy reset lapse revoke leader",
    "platform_lost": "late",
    "poison": "long",
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
"""Words of `how` by kind."""
HOST_VARIANTS = _words(
    "turn leader reader giver renewed follower power seed meet race hard drain busy"
)
"""Words of `how` that any kind which strikes hosts may hold."""
HOST_KINDS = _words("node_kill node_freeze node_cut node_slow core_cut roll_term hup reset_conns")
NUMBERS = {"at", "for_s", "gap_s", "share", "x", "count"}
PLACEHOLDERS = {
    "class": "@c0",
    "service": "@s0",
    "zone": "@z0",
    "to_zone": "@z0",
}
"""Fields that name something of a site, and what stands there in a day for any site."""
ON = {"core", "front", "side", "store"}
DAY_FIELDS = {"name", "seed", "plan", "faults", "closing"}
CLOSING_KINDS = {"power_off_all", "wipe_after_ack", "kill_all"}
LENGTH_S = 34.0
"""How long requests come on the days; what strikes later meets nothing."""


def _read(path: Path) -> dict[str, Any]:
    with path.open("rb") as file:
        return tomllib.load(file)


def _faults_of(entry: dict[str, Any], kinds: frozenset[str]) -> list[str]:
    """Return what is wrong with one entry of a day."""
    kind = entry.get("kind")
    if kind not in kinds:
        return [f"kind {kind!r}"]
    found = [
        f"field {key!r}"
        for key in entry
        if key not in NUMBERS | {*PLACEHOLDERS, "kind", "how", "on"}
    ]
    found += [
        f"{key} is no number"
        for key in NUMBERS & set(entry)
        if type(entry[key]) not in (int, float)
    ]
    found += [
        f"{key} = {entry[key]!r}"
        for key, given in PLACEHOLDERS.items()
        if entry.get(key, given) != given
    ]
    allowed = set(VARIANTS.get(kind, "").split())
    if kind in HOST_KINDS:
        allowed |= HOST_VARIANTS
    found += [f"how {word!r}" for word in entry.get("how", "").split() if word not in allowed]
    at = entry.get("at")
    if type(at) not in (int, float) or not 0.0 <= at <= LENGTH_S:
        found.append("at is missing or outside the day")
    if not 0.0 < entry.get("share", 1.0) <= 1.0:
        found.append("share")
    if entry.get("on", "core") not in ON:
        found.append("on")
    return found


def test_there_are_days() -> None:
    assert len(FILES) >= 26
    assert len(OF_ORGANISATIONS) >= 2


@pytest.mark.parametrize("path", ALL_FILES, ids=lambda path: path.stem)
def test_a_day_holds_known_fields_and_fits_any_site(path: Path) -> None:
    day = _read(path)
    assert set(day) <= DAY_FIELDS
    assert day["name"] == path.stem
    assert isinstance(day["seed"], int)
    planned = ORGANISATIONS_PLANNED if path in OF_ORGANISATIONS else PLANNED
    faults = ORGANISATIONS_FAULTS if path in OF_ORGANISATIONS else FAULTS
    wrong = [each for entry in day.get("plan", []) for each in _faults_of(entry, planned)]
    wrong += [each for entry in day.get("faults", []) for each in _faults_of(entry, faults)]
    assert not wrong
    assert day.get("plan") or day.get("faults")
    if "closing" in day:
        assert day["closing"]["kind"] in CLOSING_KINDS


@pytest.mark.parametrize("path", ALL_FILES, ids=lambda path: path.stem)
def test_a_day_says_in_its_first_line_what_it_is_for(path: Path) -> None:
    assert re.match(r"# [A-Z].{20,}\.\n", path.read_text())


def test_seeds_differ() -> None:
    seeds = [_read(path)["seed"] for path in ALL_FILES]
    assert len(set(seeds)) == len(seeds)


@pytest.mark.parametrize(
    ("entry", "wrong"),
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
def test_a_mistake_in_a_day_is_found(entry: dict[str, Any], wrong: str) -> None:
    assert any(wrong in each for each in _faults_of(entry, FAULTS))
