"""Settings and faults of the stand-in engine."""

from __future__ import annotations

from typing import Literal

from pydantic import Field

from carobspool_standins._faults import Faults
from carobspool_standins._settings import ServerSettings, Settings


class LoadedModel(Settings):
    """A model that is ready when the engine starts."""

    name: str
    version: str = "1"
    adapters: tuple[str, ...] = ()


class EngineSettings(ServerSettings):
    """Settings of the engine; simulated work is given in milliseconds.

    Attributes:
        models: Models that are ready when the engine starts.
        role: Initial role.
        slots: Maximum number of streams in a batch.
        step_base_ms: Duration of an empty step.
        step_stream_ms: Duration that each decoding stream adds to a step.
        step_prefill_ms: Duration that each prefilled token adds to a step.
        prefill_chunk: Maximum number of prompt tokens prefilled in a step.
        kv_tokens: Tokens that fit into the memory for kept KV and the prefix cache.
        block_tokens: Tokens in a block of the prefix cache.
        load_lag_ms: Age of the load report.
        cache_event_delay_ms: Age at which a cache event is published.
        cache_event_gap_rate: Share of cache events that are never published.
        answer_tokens_min: Minimum length of an answer to a request without bounds.
        answer_tokens_max: Maximum length of an answer to a request without bounds.
        check_fence: Whether an order with a stale or missing fencing number is rejected.
        order_key: Bearer token that orders must carry; ``None`` accepts every order.
        weight_store: URL of the weight store; with ``None`` a load takes ``model_load_ms``.
        weight_bytes: Size of a model's weights in the weight store.
        model_load_ms: Duration of a load without a weight store.
        restart_ms: Time for which the engine refuses connections after a crash in mode
            ``restart``.
        time_scale: Factor on the duration of all simulated work; below 1 is faster.
        seed: Seed of the random generators for cache event gaps and request errors.
    """

    models: tuple[LoadedModel, ...] = ()
    role: str = "serve"
    slots: int = Field(default=32, ge=1)
    step_base_ms: float = Field(default=16.0, ge=0)
    step_stream_ms: float = Field(default=0.4, ge=0)
    step_prefill_ms: float = Field(default=0.1, ge=0)
    prefill_chunk: int = Field(default=2048, ge=1)
    kv_tokens: int = Field(default=40_000, ge=0)
    block_tokens: int = Field(default=64, ge=1)
    load_lag_ms: float = Field(default=500.0, ge=0)
    cache_event_delay_ms: float = Field(default=1000.0, ge=0)
    cache_event_gap_rate: float = Field(default=0.05, ge=0, le=1)
    answer_tokens_min: int = Field(default=20, ge=1)
    answer_tokens_max: int = Field(default=200, ge=1)
    check_fence: bool = False
    order_key: str | None = None
    weight_store: str | None = None
    weight_bytes: int = Field(default=1_000_000, ge=0)
    model_load_ms: float = Field(default=200.0, ge=0)
    restart_ms: float = Field(default=1000.0, ge=0)
    time_scale: float = Field(default=1.0, gt=0)
    seed: int = 0


class EngineFaults(Faults):
    """Faults of the engine, as docs/design/interfaces.md lists them."""

    slow_factor: float = Field(default=1.0, gt=0)
    hang: bool = False
    reset_after_bytes: int | None = None
    refuse: bool = False
    half_answer: bool = False
    crash_marker: str | None = None
    crash_mode: Literal["exit", "restart"] = "exit"
    restart_ms: float | None = None
    error_rate: float = Field(default=0.0, ge=0, le=1)
