"""Promise: an accepted configuration is in force everywhere within seconds and never reverts."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

import pytest
from harness import MODEL, Site, SitePlan, run_concurrently, running_site

from carobspool_standins._client import Reply

pytestmark = pytest.mark.promise("configuration in force, never back")
IN_FORCE_LIMIT_S = 5.0
ORDER_SETTINGS = {"orders": {"check_ms": 200, "lease_ttl_ms": 2_000, "timeout_ms": 1_000}}


def _revisions(site: Site, entry: str) -> dict[str, Any]:
    """Return the revision of an entry and those that it reports for its sidecars."""
    reply = site.operator(entry).call("GET", "/operator/status")
    assert reply.status == 200, reply.text
    found = {entry: reply.json["revision"]}
    for upstream in reply.json["upstreams"]:
        found[upstream["host"]] = upstream["revision"]
    return found


def _in_force_everywhere(site: Site, revision: int, entries: list[str]) -> bool:
    return all(
        at >= revision for entry in entries for at in _revisions(site, entry).values() if at
    ) and all(None not in _revisions(site, entry).values() for entry in entries)


def _apply(site: Site, entry: str, base: int, **sections: Any) -> Reply:
    body = {"base": base, "state": site.desired_state(**sections), "reason": f"by {entry}"}
    return site.operator(entry).call("POST", "/operator/config", json_body=body)


def _organisations(**weights: float) -> list[dict[str, Any]]:
    names = {"hollowbrook": 1.0, "tabosa": 1.0, **weights}
    return [{"name": name, "weight": weight} for name, weight in names.items()]


def _weights(site: Site, entry: str) -> dict[str, float]:
    state = site.operator(entry).call("GET", "/operator/config").json["state"]
    return {each["name"]: each.get("weight", 1.0) for each in state["organisations"]}


def test_in_force_on_every_process(tmp_path: Path) -> None:
    """An applied revision is in force on every entry and sidecar within five seconds."""
    with running_site(tmp_path, SitePlan(entries=3, engines=3)) as site:
        for number in range(5):
            revision = site.apply_state(
                "entry-1", organisations=_organisations(tabosa=2.0 + number)
            )
            began = time.monotonic()
            site.cluster.wait_until(
                "in force everywhere",
                lambda revision=revision: _in_force_everywhere(site, revision, site.entries),  # type: ignore[misc]
                IN_FORCE_LIMIT_S,
            )
            assert time.monotonic() - began < IN_FORCE_LIMIT_S


def test_operators_race_on_one_base(tmp_path: Path) -> None:
    """Of two conflicting changes one is refused with its author; disjoint changes both apply.

    Three operators apply concurrently through three entries on the same base: two change the weight
    of the same organisation to different values, one adds another organisation.
    """
    with running_site(tmp_path, SitePlan(entries=3, engines=1)) as site:
        base = site.revision
        replies: list[Reply] = run_concurrently(
            [
                lambda: _apply(site, "entry-1", base, organisations=_organisations(tabosa=5.0)),
                lambda: _apply(site, "entry-2", base, organisations=_organisations(tabosa=7.0)),
                lambda: _apply(site, "entry-3", base, organisations=_organisations(third=2.0)),
            ]
        )
        statuses = [reply.status for reply in replies]
        assert sorted(statuses[:2]) == [200, 409], [reply.text for reply in replies]
        assert statuses[2] == 200, replies[2].text
        refused = replies[statuses.index(409)].json["error"]
        assert refused["conflicts"][0]["by"]["author"] == "operator"
        assert "tabosa" in refused["conflicts"][0]["subject"]
        newest = max(reply.json["revision"] for reply in replies if reply.status == 200)
        site.cluster.wait_until(
            "in force", lambda: _in_force_everywhere(site, newest, site.entries), IN_FORCE_LIMIT_S
        )
        for entry in site.entries:
            assert _weights(site, entry)["tabosa"] in (5.0, 7.0)
            assert _weights(site, entry)["third"] == 2.0


def test_the_store_is_down_right_after_the_acceptance(tmp_path: Path) -> None:
    """A change spreads from peer to peer to every process while the store is down.

    An entry that is restarted during the outage has no configuration and gets it from a peer.
    """
    with running_site(tmp_path, SitePlan(entries=3, engines=2)) as site:
        revision = site.apply_state("entry-1", organisations=_organisations(tabosa=3.0))
        site.cluster.set_faults("objects", outage=True)
        site.cluster.wait_until(
            "in force without the store",
            lambda: _in_force_everywhere(site, revision, site.entries),
            IN_FORCE_LIMIT_S,
        )
        site.cluster.kill("entry-3")
        site.cluster.restart("entry-3")
        site.cluster.wait_until(
            "the restarted entry has it from a peer",
            lambda: _weights(site, "entry-3").get("tabosa") == 3.0,
            IN_FORCE_LIMIT_S,
        )
        site.cluster.set_faults("objects")


def test_the_store_loses_its_answers_to_an_apply(tmp_path: Path) -> None:
    """An apply is answered as accepted although answers of the store to its writes are lost."""
    with running_site(tmp_path, SitePlan(entries=2, engines=1)) as site:
        for prefix in ("config/parts/", "config/revisions/", "config/head"):
            site.cluster.set_faults(
                "objects",
                lose_answer={"prefix": prefix, "ops": ["create", "update"], "count": 1},
            )
            weight = float(len(prefix))
            reply = _apply(
                site, "entry-1", site.revision, organisations=_organisations(tabosa=weight)
            )
            assert reply.status == 200, reply.text
            site.revision = reply.json["revision"]
            site.cluster.set_faults("objects")
            assert _weights(site, "entry-1")["tabosa"] == weight


def test_a_frozen_process_wakes_and_does_not_bring_the_past_back(tmp_path: Path) -> None:
    """No entry reverts to an old revision after a process that still has one is thawed."""
    with running_site(tmp_path, SitePlan(entries=3, engines=2)) as site:
        site.cluster.suspend("entry-2")
        site.cluster.suspend("sidecar-2")
        revision = site.apply_state("entry-1", organisations=_organisations(tabosa=9.0))
        time.sleep(2.0)
        site.cluster.resume("entry-2")
        site.cluster.resume("sidecar-2")
        site.cluster.wait_until(
            "in force", lambda: _in_force_everywhere(site, revision, site.entries), IN_FORCE_LIMIT_S
        )
        for _ in range(10):
            for entry in site.entries:
                assert _revisions(site, entry)[entry] >= revision
            time.sleep(0.1)


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_a_paused_sidecar_wakes_with_an_old_order(tmp_path: Path, checks_fencing: bool) -> None:
    """The engine ends with the declared version, even if it ignores fencing numbers.

    A sidecar is frozen before it orders the version declared at that time. Another process takes
    its place and orders a newer version. The first sidecar is then thawed with its order pending.
    """
    plan = SitePlan(
        entries=1,
        engines=1,
        engine={"step_base_ms": 4.0, "check_fence": checks_fencing, "model_load_ms": 300.0},
        sidecar=ORDER_SETTINGS,
    )
    with running_site(tmp_path, plan) as site:
        cluster = site.cluster
        upstream = {**cluster.upstreams[0], "checks_fencing": checks_fencing}
        site.apply_state(upstreams=[upstream], models=[{"name": MODEL, "version": "2"}])
        time.sleep(0.15)
        cluster.suspend("sidecar-1")
        successor = cluster.start_sidecar(
            "sidecar-1b", cluster.member("engine-1"), models=[MODEL], **ORDER_SETTINGS
        )
        declared = {**upstream, "address": successor.address}
        site.apply_state(upstreams=[declared], models=[{"name": MODEL, "version": "3"}])
        cluster.wait_until(
            "version 3 runs", lambda: _model_version_and_state(site) == ("3", "ready"), 20.0
        )
        cluster.resume("sidecar-1")
        time.sleep(3.0)
        cluster.wait_until(
            "version 3 runs", lambda: _model_version_and_state(site) == ("3", "ready"), 10.0
        )
        for _ in range(10):
            assert _model_version_and_state(site)[0] == "3"
            time.sleep(0.1)


def _model_version_and_state(site: Site) -> tuple[str, str]:
    models = site.process_client("engine-1").call("GET", "/state").json["models"]
    found = models.get(MODEL, {"version": "", "state": ""})
    return found["version"], found["state"]


def test_every_accepted_change_is_in_the_audit_trail(tmp_path: Path) -> None:
    """Any entry shows who changed what and why, also while another entry is down."""
    with running_site(tmp_path, SitePlan(entries=2, engines=1)) as site:
        site.apply_state(organisations=_organisations(tabosa=4.0))
        drained = site.operator().call(
            "POST", "/operator/drains/engine-1", json_body={"reason": "new disk", "drain": True}
        )
        assert drained.status == 200, drained.text
        site.cluster.kill("entry-1")
        records = site.operator("entry-2").call("GET", "/operator/audit").json["records"]
        kinds = {record["kind"] for record in records}
        assert {"configuration", "drain"} <= kinds
        drain = next(record for record in records if record["kind"] == "drain")
        assert (drain["who"], drain["reason"], drain["subject"]) == (
            "operator",
            "new disk",
            "engine-1",
        )
        assert json.dumps(records).count(site.cluster.operator_key.value) == 0
