"""Arrival times and request sizes of an experiment's load."""

from __future__ import annotations

import json
import random
from pathlib import Path

import pytest

from carobspool_standins._answers import parse_prompt
from carobspool_standins._arrivals import OnOff, Ramp, Steady, arrival_times
from carobspool_standins._experiment_settings import Arm, BatchLoad, Experiment, Fleet, OnlineLoad
from carobspool_standins._settings import load_settings
from carobspool_standins._workload import batch_lines, plan_requests
from carobspool_standins.errors import ExperimentError

SECONDS = 1200.0


def experiment(**changes) -> Experiment:
    """Return an experiment with one engine."""
    values = {
        "name": "trial",
        "seeds": (1,),
        "run_s": 20.0,
        "fleet": Fleet(engines=1),
        "online": OnlineLoad(arrivals=Steady(kind="steady", rate=5)),
        "arms": (Arm(name="direct", direct=True, batch=False),),
    }
    return Experiment(**(values | changes))


@pytest.mark.parametrize(
    ("arrivals", "early", "late"),
    [
        (Steady(kind="steady", rate=5), 5.0, 5.0),
        (Ramp(kind="ramp", rate=10, start_rate=2), 4.0, 8.0),
        (OnOff(kind="on_off", rate=20, on_s=3, off_s=9), 5.0, 5.0),
    ],
)
def test_mean_rate_follows_the_pattern(arrivals, early, late):
    """The mean rate in each half of a long run is within 10 % of the pattern's rate."""
    times = arrival_times(arrivals, SECONDS, random.Random(3))
    half = SECONDS / 2
    assert sum(at < half for at in times) / half == pytest.approx(early, rel=0.1)
    assert sum(at >= half for at in times) / half == pytest.approx(late, rel=0.1)
    assert times == sorted(times)


def test_no_arrivals_between_bursts():
    """No request arrives between bursts, and the factor scales the rate."""
    arrivals = OnOff(kind="on_off", rate=20, on_s=3, off_s=9)
    times = arrival_times(arrivals, SECONDS, random.Random(3), factor=2.0)
    assert all(at % 12 < 3 for at in times)
    assert len(times) / SECONDS == pytest.approx(10, rel=0.1)


def test_same_seed_gives_same_requests():
    """The same seed gives the same requests, and another seed gives different requests."""
    one, again, other = (plan_requests(experiment(), Arm(name="a"), seed) for seed in (1, 1, 2))
    assert one == again != other


def test_hot_caller_sends_its_share():
    """The first caller sends its hot share and its part of the remaining requests."""
    load = OnlineLoad(arrivals=Steady(kind="steady", rate=50), callers=10, hot_share=0.5)
    planned = plan_requests(experiment(online=load), Arm(name="a"), 1)
    share = sum(request.caller == 0 for request in planned) / len(planned)
    assert share == pytest.approx(0.55, abs=0.06)


def test_batch_lines_are_valid_items_of_the_requested_sizes():
    """The input of a batch job has valid items of the configured sizes."""
    lines = batch_lines(BatchLoad(items=6, jobs=2), 1, 1).decode().splitlines()
    items = [json.loads(line) for line in lines]
    assert len({item["custom_id"] for item in items}) == 3
    prompt = parse_prompt(json.dumps(items[0]["body"]).encode(), chat=True)
    assert prompt.tokens == pytest.approx(1200, rel=0.02)
    assert (prompt.max_tokens, prompt.min_tokens) == (300, 300)


FILES = sorted((Path(__file__).parents[1] / "experiments").glob("*.json"))


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_checked_in_experiments_are_valid(path):
    """Each experiment file is valid and yields requests, also with each of its patterns."""
    whole = load_settings(path, Experiment)
    assert whole.name == path.stem
    variants = [whole, *(whole.with_pattern(name) for name in whole.patterns)]
    assert all(plan_requests(variant, whole.arms[0], 1) for variant in variants)
    with pytest.raises(ExperimentError):
        whole.with_pattern("none")
