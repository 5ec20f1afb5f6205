"""One run of an experiment: start the fleet, generate the load and collect the measurements."""

from __future__ import annotations

import multiprocessing
import tempfile
import time
from collections.abc import Mapping, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from carobspool_standins._cluster import Cluster
from carobspool_standins._experiment_settings import Arm, Experiment, Fleet
from carobspool_standins._load_result import LoadSummary, merge_results
from carobspool_standins._load_worker import LoadPlan, run_load
from carobspool_standins._member import Key, Member
from carobspool_standins._openai_calls import create_batch, upload
from carobspool_standins._workload import (
    BATCH_MODEL,
    ONLINE_MODEL,
    SERVICE,
    batch_lines,
    plan_requests,
)
from carobspool_standins.errors import ExperimentError

ORGANISATION = "site"
BATCH_ORGANISATION = "site-batch"
START_DELAY_S = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ModelWork:
    """Runs of one model on all engines that ended in the measured interval.

    Attributes:
        finished: Number of runs that finished.
        tokens: Tokens of the finished runs.
        cancelled: Number of runs that ended otherwise.
        lost_tokens: Tokens of those runs that no later run resumed.
    """

    finished: int
    tokens: int
    cancelled: int
    lost_tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RunResult:
    """All measurements of one run.

    Attributes:
        arm: Name of the arm.
        seed: Seed of the run.
        seconds: Length of the measured interval.
        load: Measurements of the load generator.
        batch: Work of the engines for the batch model.
        online: Work of the engines for the online model.
        cpu_s: CPU seconds of each process in the measured interval, by process name.
    """

    arm: str
    seed: int
    seconds: float
    load: LoadSummary
    batch: ModelWork
    online: ModelWork
    cpu_s: Mapping[str, float]


@dataclass(frozen=True, slots=True, kw_only=True)
class _RunningFleet:
    """Processes of a run and the keys of its callers."""

    cluster: Cluster
    engines: Sequence[Member]
    entries: Sequence[Member]
    callers: Sequence[Key]
    batch_key: Key


def run_once(experiment: Experiment, arm: Arm, seed: int) -> RunResult:
    """Run one arm with one seed on a newly started fleet.

    Raises:
        ClusterError: If the fleet does not become ready.
        ExperimentError: If the run has no online requests.
    """
    with (
        tempfile.TemporaryDirectory(prefix="carobspool-") as folder,
        Cluster(Path(folder)) as cluster,
    ):
        running = _start_fleet(cluster, experiment, arm)
        return _measure(running, experiment, arm, seed)


def _start_fleet(cluster: Cluster, experiment: Experiment, arm: Arm) -> _RunningFleet:
    fleet = experiment.fleet
    models = [ONLINE_MODEL, BATCH_MODEL]
    work_ms = experiment.services.work_ms if experiment.services is not None else 0.0
    with cluster.start_concurrently():
        cluster.start_object_api()
        engines = [
            cluster.start_engine(f"engine-{number}", models=models, **fleet.engine)
            for number in range(fleet.engines)
        ]
        plain_services = [
            cluster.start_plain_service(f"service-{number}", service=SERVICE, work_ms=work_ms)
            for number in range(fleet.services)
        ]
    entries: list[Member] = []
    if not arm.direct:
        _start_sidecars(cluster, engines, plain_services, fleet, arm)
        entries = _start_entries(cluster, fleet)
    running = _RunningFleet(
        cluster=cluster,
        engines=engines,
        entries=entries,
        callers=[Key() for _ in range(experiment.online.callers)],
        batch_key=Key(),
    )
    if entries:
        _configure(running, experiment, arm)
    return running


def _start_sidecars(
    cluster: Cluster,
    engines: Sequence[Member],
    plain_services: Sequence[Member],
    fleet: Fleet,
    arm: Arm,
) -> None:
    slots = int(fleet.engine.get("slots", 32))
    with cluster.start_concurrently():
        for number, upstream in enumerate([*engines, *plain_services]):
            is_engine = number < len(engines)
            cluster.start_sidecar(
                f"sidecar-{number}",
                upstream,
                models=[ONLINE_MODEL, BATCH_MODEL] if is_engine else None,
                service=None if is_engine else SERVICE,
                failure_domain=_failure_domain(fleet, number),
                declared={"slots": slots} if is_engine else None,
                admission=arm.admission,
                log_level="warning",
            )
    if fleet.one_way_ms > 0:
        cluster.start_relay("relay", delay_ms=fleet.one_way_ms)


def _start_entries(cluster: Cluster, fleet: Fleet) -> list[Member]:
    with cluster.start_concurrently():
        return [
            cluster.start_entry(
                f"entry-{number}",
                failure_domain=_failure_domain(fleet, number),
                log_level="warning",
            )
            for number in range(fleet.entries)
        ]


def _failure_domain(fleet: Fleet, number: int) -> str:
    return fleet.failure_domains[number % len(fleet.failure_domains)]


def _configure(running: _RunningFleet, experiment: Experiment, arm: Arm) -> None:
    cluster = running.cluster
    callers = [
        {"id": f"caller-{number}", "organisation": ORGANISATION, "key_hashes": [key.hash]}
        for number, key in enumerate(running.callers)
    ]
    callers.append(cluster.operator_caller(ORGANISATION))
    callers.append(
        {
            "id": "batch",
            "organisation": BATCH_ORGANISATION,
            "key_hashes": [running.batch_key.hash],
        }
    )
    state = {
        "organisations": [{"name": ORGANISATION}, {"name": BATCH_ORGANISATION}],
        "callers": callers,
        "models": [{"name": name, "version": "1"} for name in (ONLINE_MODEL, BATCH_MODEL)],
        "upstreams": cluster.upstreams,
        "services": [{"name": SERVICE, "routes": [{"prefix": "/"}]}],
        **experiment.state,
        **arm.state,
    }
    cluster.apply_configuration(running.entries[0].name, state, reason="experiment")
    for entry in running.entries:
        client = cluster.client(entry.name, running.callers[0])
        cluster.wait_until(
            f"{entry.name} serves both models",
            lambda client=client: (  # type: ignore[misc]
                len(client.call("GET", "/v1/models").json.get("data", [])) == 2
                and client.call("GET", "/readyz").status == 200
            ),
        )


def _measure(running: _RunningFleet, experiment: Experiment, arm: Arm, seed: int) -> RunResult:
    requests = plan_requests(experiment, arm, seed)
    if not requests:
        raise ExperimentError("the arrival pattern yields no request within the run")
    _submit_batches(running, experiment, arm, seed)
    targets = [member.url for member in (running.entries or running.engines)]
    start_at = time.monotonic() + START_DELAY_S + 0.5 * experiment.load_processes
    plans = [
        LoadPlan(
            requests=requests[number :: experiment.load_processes],
            targets=targets,
            keys=[key.value for key in running.callers],
            start_at=start_at,
            count_from_s=experiment.warm_up_s,
            settle_s=experiment.settle_s,
            timeout_ms=experiment.online.timeout_ms,
        )
        for number in range(experiment.load_processes)
    ]
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(experiment.load_processes, mp_context=context) as pool:
        pending = [pool.submit(run_load, plan) for plan in plans]
        _sleep_until(start_at + experiment.warm_up_s)
        since = time.time() * 1000.0
        before = running.cluster.cpu_seconds()
        _sleep_until(start_at + experiment.warm_up_s + experiment.run_s)
        until = time.time() * 1000.0
        after = running.cluster.cpu_seconds()
        load = merge_results(future.result() for future in pending)
    runs = _engine_runs(running)
    return RunResult(
        arm=arm.name,
        seed=seed,
        seconds=experiment.run_s,
        load=load,
        batch=_sum_engine_work(runs, BATCH_MODEL, since, until),
        online=_sum_engine_work(runs, ONLINE_MODEL, since, until),
        cpu_s={name: after[name] - before[name] for name in after},
    )


def _sleep_until(instant: float) -> None:
    time.sleep(max(0.0, instant - time.monotonic()))


def _submit_batches(running: _RunningFleet, experiment: Experiment, arm: Arm, seed: int) -> None:
    load = experiment.batch
    if not arm.batch or arm.direct or load is None:
        return
    for job in range(load.jobs):
        entry = running.entries[job % len(running.entries)]
        client = running.cluster.client(entry.name, running.batch_key)
        create_batch(client, upload(client, f"job-{job}.jsonl", batch_lines(load, job, seed)))


def _engine_runs(running: _RunningFleet) -> list[dict[str, Any]]:
    runs: list[dict[str, Any]] = []
    for engine in running.engines:
        runs += running.cluster.client(engine.name).call("GET", "/record").json["runs"]
    return runs


def _sum_engine_work(
    runs: Sequence[Mapping[str, Any]], model: str, since: float, until: float
) -> ModelWork:
    """Sum the runs of a model that ended in the measured interval.

    The tokens of a cancelled run are lost unless a later run of the same stream resumed it.
    """
    resumed = {run["id"] for run in runs if run["resumed"]}
    finished = tokens = cancelled = lost = 0
    for run in runs:
        if run["model"] != model or run["ended"] is None or not since <= run["ended"] < until:
            continue
        if run["outcome"] == "done":
            finished += 1
            tokens += run["tokens"]
            continue
        cancelled += 1
        if run["id"] not in resumed:
            lost += run["tokens"]
    return ModelWork(finished=finished, tokens=tokens, cancelled=cancelled, lost_tokens=lost)
