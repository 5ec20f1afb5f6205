"""Test processes draw their ports from one set of reservations."""

from __future__ import annotations

from pathlib import Path

from direct_harness import deployment

from carobspool_standins.ports import PortChooser


def test_deployments_and_clusters_share_no_port(tmp_path: Path) -> None:
    """Two reservation schemes over one range give the same port to two processes at a time."""
    chooser = PortChooser()
    clusters = {chooser.choose() for _ in range(500)}
    with deployment(tmp_path) as site:
        deployments = {site.ports.choose() for _ in range(900)}
    assert clusters & deployments == set()
    chooser.close()
