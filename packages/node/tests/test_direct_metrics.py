"""Text format of a direct entry's metrics, and the modules that an entry imports at its start."""

from __future__ import annotations

import subprocess
import sys
import threading

import pytest

from carobspool_node.direct._metrics import Metrics

LATE_IMPORTS = ("prometheus_client.exposition", "http.server", "carobspool_node.roles")


def _samples(metrics: Metrics) -> dict[str, float]:
    lines = metrics.text().decode().splitlines()
    pairs = [line.rsplit(" ", 1) for line in lines if not line.startswith("#")]
    return {name: float(value) for name, value in pairs}


def test_counters_are_exported_with_their_labels() -> None:
    metrics = Metrics()
    metrics.count("requests", route="stream", outcome="streamed")
    metrics.count("requests", route="stream", outcome="streamed")
    metrics.count("requests", outcome="not_run", route="safe")
    samples = _samples(metrics)
    assert samples['carobspool_requests_total{outcome="streamed",route="stream"}'] == 2
    assert samples['carobspool_requests_total{outcome="not_run",route="safe"}'] == 1


def test_a_counter_without_labels_is_exported_before_its_first_count() -> None:
    assert _samples(Metrics())["carobspool_log_lines_dropped_total"] == 0


def test_buckets_of_a_histogram_hold_all_shorter_durations() -> None:
    metrics = Metrics()
    for duration in (5.0, 10.0, 240.0, 60_000.0):
        metrics.observe_duration("first_event", duration)
    samples = _samples(metrics)
    name = "carobspool_first_event_seconds"
    assert samples[f'{name}_bucket{{le="0.01"}}'] == 2
    assert samples[f'{name}_bucket{{le="0.2"}}'] == 2
    assert samples[f'{name}_bucket{{le="0.3"}}'] == 3
    assert samples[f'{name}_bucket{{le="+Inf"}}'] == samples[f"{name}_count"] == 4
    assert samples[f"{name}_sum"] == pytest.approx(60.255)


@pytest.mark.parametrize("labels", [{}, {"route": "safe"}])
def test_a_count_without_its_labels_is_refused(labels: dict[str, str]) -> None:
    with pytest.raises(KeyError):
        Metrics().count("requests", **labels)


def test_counts_of_several_threads_are_all_exported() -> None:
    metrics = Metrics()
    rounds = 2_000

    def count() -> None:
        for _ in range(rounds):
            metrics.count("items", outcome="completed")

    threads = [threading.Thread(target=count) for _ in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert _samples(metrics)['carobspool_items_total{outcome="completed"}'] == 4 * rounds


def test_an_entry_does_not_import_modules_at_its_start_that_it_does_not_need_to_serve() -> None:
    """After all entries are killed, callers are not served until the restarted entries have
    finished their imports. Importing prometheus_client and the models of the other roles took a
    fifth of that time."""
    code = (
        "import sys, carobspool_node.direct;"
        f"print([name for name in {LATE_IMPORTS!r} if name in sys.modules])"
    )
    found = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert found.stdout.strip() == "[]"
