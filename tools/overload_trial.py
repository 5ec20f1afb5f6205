"""Print what callers of one simulated engine receive at overload, with and without the queue.

Half a minute below capacity, then two minutes at a multiple of it; every request is due in 10 s.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "packages" / "core" / "tests"))

import _engine_model as model  # noqa: E402

from carobspool_core import AdmissionMode, AdmissionSettings  # noqa: E402

CAPACITY = 6.8
"""Requests a second that the engine model answers: 45 ms of prompt and 102 ms of answer each."""

WARM_MS = 30_000.0
END_MS = 150_000.0
RULES = {
    "fair queue, predicted wait": AdmissionSettings(),
    "straight through": AdmissionSettings(mode=AdmissionMode.STRAIGHT),
}


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--hot", action="store_true", help="one hot caller among light ones")
    options = parser.parse_args()
    if options.hot:
        print("light callers, fair over callers:", hot_caller(options.seed, fair=True), flush=True)
        print("light callers, one queue for all:", hot_caller(options.seed, fair=False))
        return
    print("rules                        load  offered  in time/s  tokens/s   late  refused  >20 ms")
    for name, settings in RULES.items():
        for factor in (1, 2, 3, 5):
            print(f"{name:28} {factor:4}  {_row(settings, factor, options.seed)}", flush=True)


def hot_caller(seed: int, *, fair: bool) -> str:
    """Return what light callers receive beside one that sends twice the capacity alone.

    Args:
        seed: Of the arrivals.
        fair: Whether the queue knows the callers; otherwise all count as one, first come first
            served.
    """
    top = 3.0 * CAPACITY

    def arrivals() -> model.Arrivals:
        for request in model.varying(seed, _rate(top), top, deadline=10_000.0):
            light = request.id.counter % 12 == 0
            request.caller = f"light-{request.id.counter % 5}" if light else "hot"
            yield request

    def unknown() -> model.Arrivals:
        for request in arrivals():
            request.caller = "all"
            yield request

    source = arrivals() if fair else unknown()
    _, online = model.run(AdmissionSettings(), source, seconds=100.0)
    light = [r for r in online if r.id.counter % 12 == 0 and WARM_MS <= r.arrived < 90_000.0]
    good = [r for r in light if not r.refused and (r.ended or model.NO_DEADLINE) <= r.deadline]
    first = [r.first - r.arrived for r in good if r.first is not None]
    return (
        f"{len(good)} of {len(light)} in time, first token p95 {model.quantile(first, 0.95):.0f} ms"
    )


def _rate(top: float) -> Callable[[float], float]:
    return lambda t: top if t * 1000.0 > WARM_MS else 0.9 * CAPACITY


def _row(settings: AdmissionSettings, factor: int, seed: int) -> str:
    top = CAPACITY * factor
    arrivals = model.varying(seed, _rate(top), top, deadline=10_000.0)
    _, online = model.run(settings, arrivals, seconds=END_MS / 1000.0 + 10.0)
    counted = [request for request in online if WARM_MS <= request.arrived < END_MS]
    refused = [request for request in counted if request.refused]
    served = [request for request in counted if not request.refused]
    good = [
        request for request in served if (request.ended or model.NO_DEADLINE) <= request.deadline
    ]
    tokens = sum(request.prompt + request.answer for request in good)
    slow = [request for request in refused if (request.ended or 0.0) - request.arrived > 20.0]
    seconds = (END_MS - WARM_MS) / 1000.0
    return (
        f"{len(counted):7}  {len(good) / seconds:9.2f}  {tokens / seconds:8.0f}  "
        f"{len(served) - len(good):5}  {len(refused):7}  {len(slow):6}"
    )


if __name__ == "__main__":
    main()
