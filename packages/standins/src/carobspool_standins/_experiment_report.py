"""Report of an experiment: figures as JSON, a plot and a Markdown table."""

from __future__ import annotations

import json
import statistics
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from carobspool_standins._experiment_run import RunResult
from carobspool_standins._experiment_settings import Experiment
from carobspool_standins._load_result import Measure, jain_index

RATIO_MEASURES = (Measure.FIRST_TOKEN, Measure.BETWEEN_TOKENS)
STRAIGHT_MODE = "straight"


def run_figures(result: RunResult) -> dict[str, Any]:
    """Return the figures of one run as they stand in the JSON report."""
    load = result.load
    whole = load.endings.get("chat whole", 0)
    delivered = sum(tokens.delivered for tokens in load.callers.values())
    shares = [
        tokens.delivered / tokens.requested for tokens in load.callers.values() if tokens.requested
    ]
    return {
        "arm": result.arm,
        "seed": result.seed,
        "sent": load.sent,
        "endings": dict(sorted(load.endings.items())),
        "refusals_with_return": load.refusals_with_retry_after,
        "goodput_requests_per_s": whole / result.seconds,
        "goodput_tokens_per_s": delivered / result.seconds,
        "jain_fairness": jain_index(shares),
        "batch_items_per_s": result.batch.finished / result.seconds,
        "batch_tokens_per_s": result.batch.tokens / result.seconds,
        "batch_cancelled": result.batch.cancelled,
        "batch_lost_tokens": result.batch.lost_tokens,
        "processor_share": {
            name: seconds / result.seconds for name, seconds in result.cpu_s.items()
        },
        **{f"{measure}_ms": load.quantiles_ms(measure) for measure in Measure},
    }


def summarise(experiment: Experiment, runs: Sequence[Mapping[str, Any]]) -> dict[str, Any]:
    """Return the figures of each arm over all seeds and their ratios to the first arm.

    Ratios compare runs of the same seed, which have the same requests.
    """
    baseline = {run["seed"]: run for run in runs if run["arm"] == experiment.arms[0].name}
    straight_rates = {
        run["seed"]: run["batch_items_per_s"]
        for run in runs
        if _batch_admission_mode(experiment, run["arm"]) == STRAIGHT_MODE
    }
    return {
        arm.name: _arm_figures(
            [run for run in runs if run["arm"] == arm.name], baseline, straight_rates
        )
        for arm in experiment.arms
    }


def write_report(experiment: Experiment, runs: Sequence[Mapping[str, Any]], folder: Path) -> Path:
    """Write the results as a JSON file and a plot, and return the path of the JSON file."""
    folder.mkdir(parents=True, exist_ok=True)
    summary = summarise(experiment, runs)
    value = {
        "experiment": experiment.model_dump(mode="json"),
        "summary": summary,
        "runs": list(runs),
    }
    path = folder / f"{experiment.name}.json"
    path.write_text(json.dumps(value, indent=1) + "\n", encoding="utf-8")
    _plot(experiment.name, summary, folder / f"{experiment.name}.png")
    return path


def markdown_table(summary: Mapping[str, Any]) -> str:
    """Return the summary as a Markdown table with medians over the seeds."""
    lines = [
        "| arm | batch items/s | share of straight | first token p50 / p95 / p99 ms | p95 ratio "
        "| between tokens p50 / p95 / p99 ms | p95 ratio | goodput /s | Jain | refused or broken |",
        "|---|---|---|---|---|---|---|---|---|---|",
    ]
    for name, arm in summary.items():
        cells = [
            name,
            f"{arm['batch_items_per_s']['median']:.2f}",
            _format_spread(arm["batch_share_of_straight"]),
            _format_quantiles(arm["first_token_ms"]),
            _format_spread(arm["first_token_p95_ratio"]),
            _format_quantiles(arm["between_tokens_ms"]),
            _format_spread(arm["between_tokens_p95_ratio"]),
            f"{arm['goodput_requests_per_s']['median']:.2f}",
            f"{arm['jain_fairness']['median']:.3f}",
            f"{arm['not_whole']}",
        ]
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines)


def _batch_admission_mode(experiment: Experiment, name: str) -> str | None:
    for arm in experiment.arms:
        if arm.name == name and arm.batch and not arm.direct:
            return str(arm.admission.get("mode"))
    return None


def _arm_figures(
    runs: Sequence[Mapping[str, Any]],
    baseline: Mapping[int, Mapping[str, Any]],
    straight_rates: Mapping[int, float],
) -> dict[str, Any]:
    figures: dict[str, Any] = {"seeds": [run["seed"] for run in runs]}
    for name in (
        "batch_items_per_s",
        "batch_tokens_per_s",
        "batch_lost_tokens",
        "goodput_requests_per_s",
        "goodput_tokens_per_s",
        "jain_fairness",
    ):
        figures[name] = _spread([run[name] for run in runs])
    figures["batch_share_of_straight"] = _spread(
        [
            run["batch_items_per_s"] / straight_rates[run["seed"]]
            for run in runs
            if straight_rates.get(run["seed"])
        ]
    )
    for measure in Measure:
        name = f"{measure}_ms"
        quantiles = sorted({quantile for run in runs for quantile in run[name]})
        figures[name] = {
            quantile: _spread([run[name][quantile] for run in runs if quantile in run[name]])
            for quantile in quantiles
        }
    for measure in RATIO_MEASURES:
        for quantile in ("p50", "p95", "p99"):
            figures[f"{measure}_{quantile}_ratio"] = _spread(
                _ratios(runs, baseline, measure, quantile)
            )
    figures["not_whole"] = _count_incomplete(runs)
    return figures


def _ratios(
    runs: Sequence[Mapping[str, Any]],
    baseline: Mapping[int, Mapping[str, Any]],
    measure: Measure,
    quantile: str,
) -> list[float]:
    ratios: list[float] = []
    for run in runs:
        reference = baseline.get(run["seed"], {}).get(f"{measure}_ms", {}).get(quantile)
        value = run[f"{measure}_ms"].get(quantile)
        if reference and value is not None:
            ratios.append(value / reference)
    return ratios


def _count_incomplete(runs: Sequence[Mapping[str, Any]]) -> dict[str, int]:
    total: dict[str, int] = {}
    for run in runs:
        for ending, count in run["endings"].items():
            if ending.endswith(" whole"):
                continue
            total[ending] = total.get(ending, 0) + count
    return total


def _spread(values: Sequence[float]) -> dict[str, float]:
    if not values:
        return {}
    return {
        "median": statistics.median(values),
        "least": min(values),
        "most": max(values),
    }


def _format_spread(spread: Mapping[str, float]) -> str:
    if not spread:
        return "–"
    return f"{spread['median']:.2f} ({spread['least']:.2f}–{spread['most']:.2f})"


def _format_quantiles(quantiles: Mapping[str, Mapping[str, float]]) -> str:
    if not quantiles:
        return "–"
    return " / ".join(f"{quantiles[name]['median']:.1f}" for name in ("p50", "p95", "p99"))


def _plot(name: str, summary: Mapping[str, Any], path: Path) -> None:
    # Imported on use, because the import takes longer than some tools of this package run.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    panels = (
        ("first token p95, ms", "first_token_ms"),
        ("between tokens p95, ms", "between_tokens_ms"),
        ("batch items/s", "batch_items_per_s"),
    )
    arms = list(summary)
    figure, axes = pyplot.subplots(1, len(panels), figsize=(5 * len(panels), 0.5 * len(arms) + 2))
    for axis, (title, key) in zip(axes, panels, strict=True):
        spreads = [
            summary[arm][key].get("p95", {}) if key.endswith("_ms") else summary[arm][key]
            for arm in arms
        ]
        medians = [spread.get("median", 0.0) for spread in spreads]
        below = [m - s.get("least", m) for m, s in zip(medians, spreads, strict=True)]
        above = [s.get("most", m) - m for m, s in zip(medians, spreads, strict=True)]
        axis.barh(arms, medians, xerr=[below, above], capsize=3)
        axis.invert_yaxis()
        axis.set_title(title)
        if key == "first_token_ms":
            axis.set_xscale("log")
    figure.suptitle(f"{name}: median over the seeds, with least and most")
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
