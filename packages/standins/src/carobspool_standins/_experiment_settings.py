"""The experiment file: fleet, load, and the arms that are compared."""

from __future__ import annotations

from typing import Any

from pydantic import Field, model_validator

from carobspool_standins._arrivals import Arrivals
from carobspool_standins._settings import Settings
from carobspool_standins.errors import ExperimentError

MAX_SECONDS = 3600.0
MAX_PROCESSES = 200


class Sizes(Settings):
    """Log-normal sizes in tokens, bounded."""

    median: float = Field(gt=0)
    sigma: float = Field(default=0.6, ge=0)
    least: int = Field(default=1, ge=1)
    most: int = Field(default=4000, ge=1)


class Fleet(Settings):
    """The processes of one run.

    Attributes:
        engines: Model engines, each with a sidecar.
        services: Plain services, each with a sidecar.
        entries: Entries.
        failure_domains: Names; upstreams and entries are spread over them in turn.
        one_way_ms: Delay between an entry and each sidecar; 0: no relay between them.
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
            raise ValueError(f"more than {MAX_PROCESSES} processes")
        return self


class OnlineLoad(Settings):
    """Requests of people who wait.

    Attributes:
        arrivals: When they come, over all callers.
        callers: Number of callers.
        hot_share: Share of the requests that the first caller sends; 0: all send the same.
        prompt: Prompt sizes.
        answer: Answer sizes.
        shared_prefix_tokens: Tokens at the start of every prompt that are the same for all.
        timeout_ms: Deadline of a request.
    """

    arrivals: Arrivals
    callers: int = Field(default=8, ge=1, le=1000)
    hot_share: float = Field(default=0.0, ge=0, lt=1)
    prompt: Sizes = Sizes(median=330, sigma=0.8)
    answer: Sizes = Sizes(median=100, sigma=0.6, most=800)
    shared_prefix_tokens: int = Field(default=0, ge=0)
    timeout_ms: int = Field(default=30_000, gt=0)


class ServiceLoad(Settings):
    """Calls of the plain services."""

    arrivals: Arrivals
    work_ms: float = Field(default=5.0, ge=0)


class BatchLoad(Settings):
    """Batch work, enough of it that it does not end before the run does."""

    items: int = Field(ge=1, le=100_000)
    jobs: int = Field(default=1, ge=1, le=50)
    prompt: Sizes = Sizes(median=1200, sigma=0.0)
    answer: Sizes = Sizes(median=300, sigma=0.0)


class Arm(Settings):
    """One way of running the same load.

    Attributes:
        name: Shown in the results.
        admission: The sidecars' setting of the same name.
        batch: Whether batch work is there.
        direct: Whether callers go straight to the engines, without the system.
        load: Factor on the rate of online requests.
        state: Sections of the desired state in place of the common ones.
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
        name: Shown in the results; also names the result files.
        seeds: Each arm is run once with each.
        warm_up_s: Seconds at the start of the load that are not counted.
        run_s: Seconds that are counted.
        settle_s: Longest wait afterwards for requests in progress.
        load_processes: Processes of the load generator.
        fleet: The processes.
        state: Sections of the desired state beside those the tool makes.
        online: Requests of people who wait.
        patterns: Further patterns of online arrivals by name, of which a run may choose one.
        services: Calls of plain services.
        batch: Batch work.
        arms: What is compared; the first one is what the others are related to.
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
        """Return this experiment with another pattern of online arrivals.

        Raises:
            ExperimentError: If the file has no pattern of this name.
        """
        if name not in self.patterns:
            raise ExperimentError(f"no pattern {name!r}, only {sorted(self.patterns)}")
        online = self.online.model_copy(update={"arrivals": self.patterns[name]})
        return self.model_copy(update={"online": online, "name": f"{self.name}-{name}"})
