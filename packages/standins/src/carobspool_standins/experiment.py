"""Load experiments on real processes: ``python -m carobspool_standins.experiment FILE``.

The file (JSON with comments) describes a fleet, a load and the arms to compare. Each arm runs once
per seed, on newly started processes on loopback.
"""

from __future__ import annotations

import argparse
import signal
import sys
import time
from pathlib import Path
from types import FrameType
from typing import Any, NoReturn

from carobspool_standins._experiment_report import (
    markdown_table,
    run_figures,
    summarise,
    write_report,
)
from carobspool_standins._experiment_run import run_once
from carobspool_standins._experiment_settings import Experiment
from carobspool_standins._settings import load_settings
from carobspool_standins.errors import ExperimentError, SettingsError, StandinError

EXIT_USAGE = 2
EXIT_TERMINATED = 143


def run_experiment(experiment: Experiment, runs: list[dict[str, Any]]) -> None:
    """Run every arm with every seed.

    Args:
        experiment: Experiment to run.
        runs: List to which the figures of each run are appended as soon as the run has ended.

    Raises:
        StandinError: If a run fails.
    """
    for seed in experiment.seeds:
        for arm in experiment.arms:
            start = time.monotonic()
            figures = run_figures(run_once(experiment, arm, seed))
            runs.append(figures)
            print(
                f"  {arm.name}, seed {seed}: {figures['sent']} sent, "
                f"batch {figures['batch_items_per_s']:.2f} items/s, first token "
                f"{figures['first_token_ms']} ms ({time.monotonic() - start:.0f} s)",
                flush=True,
            )


def main() -> int:
    """Run the experiment named on the command line and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("file", type=Path, help="experiment file (JSON with comments)")
    parser.add_argument("--results", type=Path, default=Path("var/experiments"))
    parser.add_argument(
        "--seeds", type=int, nargs="+", help="seeds to use instead of those in the file"
    )
    parser.add_argument("--pattern", help="name of an arrival pattern in the file")
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, _terminated)
    try:
        experiment = load_settings(options.file, Experiment)
        if options.pattern:
            experiment = experiment.with_pattern(options.pattern)
    except (SettingsError, ExperimentError) as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    if options.seeds:
        experiment = experiment.model_copy(update={"seeds": tuple(options.seeds)})
    print(f"{experiment.name}: {len(experiment.arms)} arms, seeds {list(experiment.seeds)}")
    runs: list[dict[str, Any]] = []
    code = 0
    try:
        run_experiment(experiment, runs)
    except (StandinError, KeyboardInterrupt) as error:
        print(f"failed: {str(error) or type(error).__name__}", file=sys.stderr)
        code = 1
    if runs:
        path = write_report(experiment, runs, options.results)
        print(markdown_table(summarise(experiment, runs)))
        print(f"results: {path}")
    return code


def _terminated(_signal: int, _frame: FrameType | None) -> NoReturn:
    raise SystemExit(EXIT_TERMINATED)


if __name__ == "__main__":
    raise SystemExit(main())
