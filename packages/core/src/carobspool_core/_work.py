"""Data classes of the admission control: settings, requests, decisions and state."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from carobspool_core._clock import Millis
from carobspool_core._config import OnlineSlowdown
from carobspool_core._messages import Priority, RequestId
from carobspool_core._outcome import Failure
from carobspool_core._tickets import QueueBounds


class AdmissionMode(StrEnum):
    """How an upstream's slots are assigned; all but ``POLICY`` are baselines for experiments."""

    POLICY = "policy"
    STRAIGHT = "straight"
    CAP = "cap"


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionSettings:
    """Settings of the admission control of one upstream.

    Attributes:
        mode: The policy, or a baseline: no admission control, or a fixed cap on batch streams.
        batch_cap: Maximum number of concurrent batch streams in mode ``cap``.
        slots: Number of requests that the upstream runs concurrently.
        slowdown: How much batch requests may slow online requests.
        between_tokens_allowance: Time between tokens, in milliseconds, that is acceptable
            regardless of the slowdown ratio; 0 applies the ratio alone.
        online_bounds: Bounds of the queue of online requests.
        batch_backlog: Number of batch requests queued at the sidecar, beyond the running ones, so
            that the upstream is never idle while an entry sends more.
        keep_kv: Whether the upstream keeps the KV cache of a cancelled stream for its resumption.
        max_batch_prefill_tokens: Batch prompt tokens that may be in prefill concurrently while no
            online request is present.
        pace_batch_prompts: Whether batch prompt starts are paced while online requests are
            present. Disabled only in experiments.
    """

    mode: AdmissionMode = AdmissionMode.POLICY
    batch_cap: int = 8
    slots: int = 32
    slowdown: OnlineSlowdown = OnlineSlowdown()
    between_tokens_allowance: Millis = 0.0
    online_bounds: QueueBounds = QueueBounds()
    batch_backlog: int = 16
    keep_kv: bool = True
    max_batch_prefill_tokens: int = 2048
    pace_batch_prompts: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionRequest:
    """One request offered to the admission control.

    Attributes:
        id: Identity of this attempt.
        priority: Online or batch.
        caller: Caller whose share the request uses.
        weight: Weight of the caller in fair queueing; positive.
        prompt_tokens: Estimated prompt tokens.
        cost_tokens: Estimated tokens, prompt and answer together.
        deadline: Time by which the whole answer is due.
        resume_tokens: Number of answer tokens already received in an earlier run.
        fingerprint: Digest that identifies repeated sendings of the same request.
        suspect: Whether the request is suspected of crashing upstreams.
    """

    id: RequestId
    priority: Priority
    caller: str
    weight: float
    prompt_tokens: int
    cost_tokens: int
    deadline: Millis
    resume_tokens: int = 0
    fingerprint: str = ""
    suspect: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionDecision:
    """Actions for the sidecar to perform now, in this order: refuse, preempt, start.

    Attributes:
        start: Requests to send to the upstream; they already count as running.
        preempt: Batch streams to cancel at the upstream.
        refuse: Queued requests to end with a refusal.
        wake_at: Time of the next decision if no event occurs earlier; ``None`` waits for an event.
    """

    start: tuple[RequestId, ...] = ()
    preempt: tuple[RequestId, ...] = ()
    refuse: tuple[tuple[RequestId, Failure], ...] = ()
    wake_at: Millis | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionSnapshot:
    """State of the admission control, for load reports, metrics and operators.

    Attributes:
        running_online: Online requests at the upstream.
        running_batch: Batch requests at the upstream.
        queued_online: Online requests queued at the sidecar, and all suspects queued there.
        queued_batch: Batch requests queued at the sidecar, including preempted ones.
        parked: Preempted batch requests whose KV cache the upstream keeps.
        tokens: Estimated tokens of all running and queued requests.
        first_token_ewma: Moving average of the time from offer to first token of online requests.
        between_tokens_ewma: Moving average of the time between tokens of online requests.
        batch_limit: Number of batch streams allowed to run now.
        prompt_starts: Number of batch prompts started since creation.
        preemptions: Number of batch streams preempted since creation.
    """

    running_online: int
    running_batch: int
    queued_online: int
    queued_batch: int
    parked: int
    tokens: int
    first_token_ewma: Millis
    between_tokens_ewma: Millis
    batch_limit: int
    prompt_starts: int
    preemptions: int
