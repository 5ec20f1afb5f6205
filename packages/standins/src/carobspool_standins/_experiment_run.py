"""One run of one arm with one seed: start the fleet, load it, count what was done."""

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
from carobspool_standins._load_result import LoadSummary, add_up
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
START_MARGIN_S = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Work:
    """What the engines did for one model in the counted time."""

    finished: int
    tokens: int
    cancelled: int
    lost_tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RunResult:
    """All measurements of one run."""

    arm: str
    seed: int
    seconds: float
    load: LoadSummary
    batch: Work
    online: Work
    processor_s: Mapping[str, float]


@dataclass(frozen=True, slots=True, kw_only=True)
class _Running:
    """The processes of a run and the keys of its callers."""

    cluster: Cluster
    engines: Sequence[Member]
    entries: Sequence[Member]
    callers: Sequence[Key]
    batch_key: Key


def run_once(experiment: Experiment, arm: Arm, seed: int) -> RunResult:
    """Run one arm with one seed on a fleet of its own.

    Raises:
        ClusterError: If the fleet does not come up.
    """
    with (
        tempfile.TemporaryDirectory(prefix="carobspool-") as folder,
        Cluster(Path(folder)) as cluster,
    ):
        running = _start(cluster, experiment, arm)
        return _measure(running, experiment, arm, seed)


def _start(cluster: Cluster, experiment: Experiment, arm: Arm) -> _Running:
    fleet = experiment.fleet
    models = [ONLINE_MODEL, BATCH_MODEL]
    work_ms = experiment.services.work_ms if experiment.services is not None else 0.0
    with cluster.together():
        cluster.start_objects()
        engines = [
            cluster.start_engine(f"engine-{number}", models=models, **fleet.engine)
            for number in range(fleet.engines)
        ]
        plains = [
            cluster.start_plain(f"service-{number}", service=SERVICE, work_ms=work_ms)
            for number in range(fleet.services)
        ]
    entries: list[Member] = []
    if not arm.direct:
        _start_sidecars(cluster, engines, plains, fleet, arm)
        entries = _start_entries(cluster, fleet)
    running = _Running(
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
    plains: Sequence[Member],
    fleet: Fleet,
    arm: Arm,
) -> None:
    slots = int(fleet.engine.get("slots", 32))
    with cluster.together():
        for number, upstream in enumerate([*engines, *plains]):
            is_engine = number < len(engines)
            cluster.start_sidecar(
                f"sidecar-{number}",
                upstream,
                models=[ONLINE_MODEL, BATCH_MODEL] if is_engine else None,
                service=None if is_engine else SERVICE,
                failure_domain=_domain(fleet, number),
                declared={"slots": slots} if is_engine else None,
                admission=arm.admission,
                log_level="warning",
            )
    if fleet.one_way_ms > 0:
        cluster.start_relay("relay", delay_ms=fleet.one_way_ms)


def _start_entries(cluster: Cluster, fleet: Fleet) -> list[Member]:
    with cluster.together():
        return [
            cluster.start_entry(
                f"entry-{number}", failure_domain=_domain(fleet, number), log_level="warning"
            )
            for number in range(fleet.entries)
        ]


def _domain(fleet: Fleet, number: int) -> str:
    return fleet.failure_domains[number % len(fleet.failure_domains)]


def _configure(running: _Running, experiment: Experiment, arm: Arm) -> None:
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
    cluster.apply(running.entries[0].name, state, reason="experiment")
    for entry in running.entries:
        client = cluster.client(entry.name, running.callers[0])
        cluster.wait_until(
            f"{entry.name} serves both models",
            lambda client=client: (  # type: ignore[misc]
                len(client.call("GET", "/v1/models").json.get("data", [])) == 2
                and client.call("GET", "/readyz").status == 200
            ),
        )


def _measure(running: _Running, experiment: Experiment, arm: Arm, seed: int) -> RunResult:
    requests = plan_requests(experiment, arm, seed)
    if not requests:
        raise ExperimentError("no request arrives in the whole run")
    _submit_batches(running, experiment, arm, seed)
    targets = [member.url for member in (running.entries or running.engines)]
    start_at = time.monotonic() + START_MARGIN_S + 0.5 * experiment.load_processes
    plans = [
        LoadPlan(
            requests=requests[number :: experiment.load_processes],
            targets=targets,
            keys=[key.value for key in running.callers],
            start_at=start_at,
            count_from=experiment.warm_up_s,
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
        before = running.cluster.processor_seconds()
        _sleep_until(start_at + experiment.warm_up_s + experiment.run_s)
        until = time.time() * 1000.0
        after = running.cluster.processor_seconds()
        load = add_up(future.result() for future in pending)
    runs = _engine_runs(running)
    return RunResult(
        arm=arm.name,
        seed=seed,
        seconds=experiment.run_s,
        load=load,
        batch=_work(runs, BATCH_MODEL, since, until),
        online=_work(runs, ONLINE_MODEL, since, until),
        processor_s={name: after[name] - before[name] for name in after},
    )


def _sleep_until(instant: float) -> None:
    time.sleep(max(0.0, instant - time.monotonic()))


def _submit_batches(running: _Running, experiment: Experiment, arm: Arm, seed: int) -> None:
    load = experiment.batch
    if not arm.batch or arm.direct or load is None:
        return
    for job in range(load.jobs):
        entry = running.entries[job % len(running.entries)]
        client = running.cluster.client(entry.name, running.batch_key)
        create_batch(client, upload(client, f"job-{job}.jsonl", batch_lines(load, job, seed)))


def _engine_runs(running: _Running) -> list[dict[str, Any]]:
    found: list[dict[str, Any]] = []
    for engine in running.engines:
        found += running.cluster.client(engine.name).call("GET", "/record").json["runs"]
    return found


def _work(runs: Sequence[Mapping[str, Any]], model: str, since: float, until: float) -> Work:
    """Add up the runs of a model that ended in the counted time.

    Tokens of a cancelled run are lost unless a later run of the same stream resumed it.
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
    return Work(finished=finished, tokens=tokens, cancelled=cancelled, lost_tokens=lost)
