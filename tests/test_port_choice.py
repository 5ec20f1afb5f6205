"""Deployments and clusters of tests reserve their ports in one place."""

from __future__ import annotations

from pathlib import Path

from direct_harness import deployment

from carobspool_standins.ports import PortChooser


def test_deployments_and_clusters_share_no_port(tmp_path: Path) -> None:
    """Separate reservations over one range would give the same port to two processes."""
    chooser = PortChooser()
    clusters = {chooser.choose() for _ in range(500)}
    with deployment(tmp_path) as site:
        deployments = {site.ports.choose() for _ in range(900)}
    assert clusters & deployments == set()
    chooser.close()
