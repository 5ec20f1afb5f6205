"""Tests that the examples of both sites are whole and valid."""

from __future__ import annotations

from collections import Counter
from pathlib import Path

import pytest

from carobspool_core import UpstreamKind
from carobspool_core.schema import load_folder
from carobspool_node.roles._settings import SidecarSettings, load_settings

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"
SITES = {
    "hollowbrook": (
        {"reading-desk": 9, "shopfront": 3},
        {"leicester-hall", "nottingham-hall", "derby-hall"},
    ),
    "tabosa": (
        {"redator-lm": 5, "portal-manuais": 3},
        {"boa-viagem", "santo-amaro", "jaboatao"},
    ),
}


@pytest.mark.parametrize("site", SITES)
def test_example_has_the_hosts_and_failure_domains_of_the_site(site: str) -> None:
    """The desired state is valid, and each pool stands in every failure domain."""
    state = load_folder(EXAMPLES / site).unwrap()
    pools, domains = SITES[site]
    hosts = Counter(host.rpartition("-")[0] for host in state.upstreams)
    assert hosts == pools
    for pool in pools:
        found = {
            upstream.failure_domain
            for host, upstream in state.upstreams.items()
            if host.startswith(pool)
        }
        assert found == domains


@pytest.mark.parametrize("site", SITES)
def test_example_settings_fit_the_desired_state(site: str) -> None:
    """Settings are valid, and a sidecar listens where the desired state says."""
    state = load_folder(EXAMPLES / site).unwrap()
    kinds = set()
    for path in sorted((EXAMPLES / site / "settings").glob("*.json")):
        settings = load_settings(path).unwrap()
        kinds.add(type(settings).__name__)
        if not isinstance(settings, SidecarSettings):
            continue
        upstream = state.upstreams[settings.host]
        assert upstream.address == f"{settings.listen.address}:{settings.listen.port}"
        assert (upstream.kind, upstream.failure_domain) == (
            UpstreamKind.ENGINE,
            settings.failure_domain,
        )
    assert kinds == {"EntrySettings", "SidecarSettings"}
