"""Settings in an experiment file: the fleet, the load and the arms to compare."""

from __future__ import annotations

from typing import Any

from pydantic import Field, model_validator

from carobspool_standins._arrivals import Arrivals
from carobspool_standins._settings import Settings
from carobspool_standins.errors import ExperimentError

MAX_SECONDS = 3600.0
MAX_PROCESSES = 200


class Sizes(Settings):
    """Log-normal distribution of sizes in tokens, limited to ``least`` … ``most``."""

    median: float = Field(gt=0)
    sigma: float = Field(default=0.6, ge=0)
    least: int = Field(default=1, ge=1)
    most: int = Field(default=4000, ge=1)


class Fleet(Settings):
    """Processes of one run.

    Attributes:
        engines: Number of model engines, each with a sidecar.
        services: Number of plain services, each with a sidecar.
        entries: Number of entries.
        failure_domains: Failure domains, assigned to upstreams and to entries in rotation.
        one_way_ms: One-way delay between entries and sidecars; 0 runs no relay between them.
        engine: Further settings of the engines.
    """

    engines: int = Field(ge=1, le=50)
    services: int = Field(default=0, ge=0, le=20)
    entries: int = Field(default=2, ge=1, le=10)
    failure_domains: tuple[str, ...] = ("domain-a", "domain-b", "domain-c")
    one_way_ms: float = Field(default=1.5, ge=0)
    engine: dict[str, Any] = {}

    @model_validator(mode="after")
    def _bounded(self) -> Fleet:
        if 2 * (self.engines + self.services) + self.entries > MAX_PROCESSES:
            raise ValueError(f"the fleet has more than {MAX_PROCESSES} processes")
        return self


class OnlineLoad(Settings):
    """Interactive chat requests.

    Attributes:
        arrivals: Arrival pattern of all callers together.
        callers: Number of callers.
        hot_share: Share of the requests assigned to the first caller; the rest is drawn evenly
            from all callers, the first one included. 0 gives all callers the same share.
        prompt: Prompt sizes.
        answer: Answer sizes.
        shared_prefix_tokens: Length of the prefix that all prompts share.
        timeout_ms: Timeout of a request.
    """

    arrivals: Arrivals
    callers: int = Field(default=8, ge=1, le=1000)
    hot_share: float = Field(default=0.0, ge=0, lt=1)
    prompt: Sizes = Sizes(median=330, sigma=0.8)
    answer: Sizes = Sizes(median=100, sigma=0.6, most=800)
    shared_prefix_tokens: int = Field(default=0, ge=0)
    timeout_ms: int = Field(default=30_000, gt=0)


class ServiceLoad(Settings):
    """Calls of the plain services, each of which takes ``work_ms``."""

    arrivals: Arrivals
    work_ms: float = Field(default=5.0, ge=0)


class BatchLoad(Settings):
    """Batch jobs; the number of items must be large enough that the jobs outlast the run."""

    items: int = Field(ge=1, le=100_000)
    jobs: int = Field(default=1, ge=1, le=50)
    prompt: Sizes = Sizes(median=1200, sigma=0.0)
    answer: Sizes = Sizes(median=300, sigma=0.0)


class Arm(Settings):
    """One variant of the experiment.

    Attributes:
        name: Name in the results.
        admission: The setting ``admission`` of the sidecars.
        batch: Whether batch jobs are submitted.
        direct: Whether callers send to the engines directly, without entries and sidecars.
        load: Factor by which the rate of online requests is multiplied.
        state: Sections of the desired state that replace those of the experiment.
    """

    name: str
    admission: dict[str, Any] = {"mode": "policy"}
    batch: bool = True
    direct: bool = False
    load: float = Field(default=1.0, gt=0)
    state: dict[str, Any] = {}


class Experiment(Settings):
    """An experiment.

    Attributes:
        name: Name in the results and of the result files.
        seeds: Seeds; each arm runs once with each seed.
        warm_up_s: Length of the warm-up in seconds, which is not measured.
        run_s: Length of the measured interval in seconds.
        settle_s: Longest wait afterwards for requests in progress.
        load_processes: Number of load generator processes.
        fleet: Processes of each run.
        state: Sections of the desired state that extend or replace the generated ones.
        online: Interactive chat requests.
        patterns: Alternative arrival patterns of the online requests by name.
        services: Calls of plain services.
        batch: Batch jobs.
        arms: Variants to compare; the first arm is the baseline.
    """

    name: str = Field(pattern=r"^[a-z0-9-]+$")
    seeds: tuple[int, ...] = Field(min_length=1, max_length=20)
    warm_up_s: float = Field(default=5.0, ge=0)
    run_s: float = Field(gt=0, le=MAX_SECONDS)
    settle_s: float = Field(default=10.0, ge=0)
    load_processes: int = Field(default=2, ge=1, le=8)
    fleet: Fleet
    state: dict[str, Any] = {}
    online: OnlineLoad
    patterns: dict[str, Arrivals] = {}
    services: ServiceLoad | None = None
    batch: BatchLoad | None = None
    arms: tuple[Arm, ...] = Field(min_length=1, max_length=12)

    def with_pattern(self, name: str) -> Experiment:
        """Return a copy of the experiment that uses a named arrival pattern for online requests.

        Raises:
            ExperimentError: If the experiment has no pattern of this name.
        """
        if name not in self.patterns:
            raise ExperimentError(
                f"unknown arrival pattern {name!r}; the file has {sorted(self.patterns)}"
            )
        online = self.online.model_copy(update={"arrivals": self.patterns[name]})
        return self.model_copy(update={"online": online, "name": f"{self.name}-{name}"})
