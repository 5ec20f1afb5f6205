"""Counters and latency histograms of one process, in the Prometheus text format.

The values are kept here and passed to prometheus_client only when the text is requested. That
library imports an HTTP server and client, and a process that restarts after a crash cannot serve
requests while it imports them.
"""

from __future__ import annotations

import threading
from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator
from typing import Any

import lazy_loader

from carobspool_core import Millis

prometheus: Any = lazy_loader.load("prometheus_client")

_PREFIX = "carobspool_"
_LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0)
_COUNTER_LABELS = {
    "requests": ("route", "outcome"),
    "upstream_failures": ("service",),
    "upstream_restarts": ("service",),
    "crashed_runs": ("service",),
    "quarantines": (),
    "job_calls": ("call", "outcome"),
    "items": ("outcome",),
    "job_proofs": ("outcome",),
    "job_owners": ("change",),
    "store_calls": ("call", "kind", "outcome"),
    "bad_records": ("kind",),
    "refused_keys": ("reason",),
    "over_limit": (),
    "log_lines_dropped": (),
    "hint_bytes": ("kind", "crossing"),
    "hint_datagrams": ("kind", "crossing"),
    "queued": ("rank",),
    "dequeued": ("rank",),
    "queue_refused": ("rank", "status"),
    "streams_backed_up": (),
    "streams_continued": ("way",),
    "streams_lost": ("reason",),
    "streams_taken_up": ("known_by", "goes_on"),
    "slots_handed": ("outcome",),
}
_GAUGE_NAMES = ("hint_relay", "paced_upstreams")
_HISTOGRAM_NAMES = (
    "request",
    "first_event",
    "job_commit",
    "item_run",
    "job_orphan",
    "first_event_error",
    "queue_wait",
    "continuation_pause",
)


class _Histogram:
    """The number of durations in each bucket, and the sum of all durations in seconds."""

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        self.counts = [0] * (len(_LATENCY_BUCKETS_S) + 1)
        self.total = 0.0


class Metrics:
    """The metrics of one process. Thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        # The first export imports the library; a second thread would find it partly imported.
        self._export_lock = threading.Lock()
        self._counters: dict[str, Counter[tuple[str, ...]]] = {
            name: Counter() for name in _COUNTER_LABELS
        }
        self._histograms = {name: _Histogram() for name in _HISTOGRAM_NAMES}
        self._gauges = dict.fromkeys(_GAUGE_NAMES, 0.0)

    def count(self, name: str, value: int = 1, **labels: str) -> None:
        """Add to a counter."""
        key = tuple(labels[label] for label in _COUNTER_LABELS[name])
        with self._lock:
            self._counters[name][key] += value

    def set_gauge(self, name: str, value: float) -> None:
        """Set the current value of a gauge."""
        with self._lock:
            self._gauges[name] = value

    def observe_duration(self, name: str, duration: Millis) -> None:
        """Record a duration in milliseconds."""
        seconds = duration / 1000.0
        histogram = self._histograms[name]
        with self._lock:
            histogram.counts[bisect_left(_LATENCY_BUCKETS_S, seconds)] += 1
            histogram.total += seconds

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        with self._export_lock:
            registry = prometheus.CollectorRegistry(auto_describe=False)
            registry.register(self)
            return bytes(prometheus.generate_latest(registry))

    def collect(self) -> Iterator[Any]:
        """Yield each metric; called by the library's registry."""
        with self._lock:
            counts = {name: dict(found) for name, found in self._counters.items()}
            gauges = dict(self._gauges)
            durations_by_name = {
                name: (list(each.counts), each.total) for name, each in self._histograms.items()
            }
        for name, by_labels in counts.items():
            counter = prometheus.metrics_core.CounterMetricFamily(
                _PREFIX + name, name, labels=_COUNTER_LABELS[name]
            )
            if not _COUNTER_LABELS[name]:
                by_labels.setdefault((), 0)
            for labels, value in by_labels.items():
                counter.add_metric(labels, value)
            yield counter
        for name, gauge in gauges.items():
            yield prometheus.metrics_core.GaugeMetricFamily(_PREFIX + name, name, value=gauge)
        for name, (buckets, total) in durations_by_name.items():
            histogram = prometheus.metrics_core.HistogramMetricFamily(
                f"{_PREFIX}{name}_seconds", name
            )
            histogram.add_metric([], buckets=_cumulative(buckets), sum_value=total)
            yield histogram


def _cumulative(counts: list[int]) -> list[tuple[str, float]]:
    """Return each bucket's upper bound with the number of durations up to that bound."""
    found: list[tuple[str, float]] = []
    seen = 0
    for bound, count in zip((*map(str, _LATENCY_BUCKETS_S), "+Inf"), counts, strict=True):
        seen += count
        found.append((bound, float(seen)))
    return found
