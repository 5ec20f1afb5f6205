"""Cluster of processes, with stand-ins only."""

from __future__ import annotations

import os

import pytest

from carobspool_standins._client import IncompleteResponseError
from carobspool_standins._cluster import Cluster
from carobspool_standins.errors import ClusterError


def test_processes_are_controlled_and_all_end(tmp_path):
    """Processes start concurrently, accept faults, can be killed, restarted and suspended.

    After close no process is left, not even a suspended one.
    """
    with Cluster(tmp_path) as cluster:
        with cluster.start_concurrently():
            cluster.start_object_api()
            cluster.start_plain_service("up-1", service="orders")
        assert cluster.client("objects").call("GET", "/calls").status == 200
        cluster.set_faults("up-1", status=503)
        assert cluster.client("up-1").call("GET", "/").status == 503
        first = cluster.pid("up-1")
        cluster.kill("up-1")
        with pytest.raises(IncompleteResponseError):
            cluster.client("up-1").call("GET", "/")
        cluster.restart("up-1")
        assert cluster.client("up-1").call("GET", "/").status == 200
        cluster.suspend("up-1")
        with pytest.raises(IncompleteResponseError):
            cluster.client("up-1", timeout_ms=50).call("GET", "/")
        cluster.resume("up-1")
        assert cluster.client("up-1").call("GET", "/").status == 200
        pids = [first, cluster.pid("up-1"), cluster.pid("objects")]
        assert cluster.stop("up-1") == 0
        cluster.suspend("objects")
    for pid in pids:
        with pytest.raises(ProcessLookupError):
            os.kill(pid, 0)


def test_failed_start_quotes_the_log(tmp_path):
    """If a process ends during startup, the error quotes its log."""
    with Cluster(tmp_path) as cluster, pytest.raises(ClusterError, match="not valid"):
        cluster.start_standin("plain", "up-1", portt=1)
