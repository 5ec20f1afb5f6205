"""Data classes of the upstream admission: what it is asked, what it decides, what it shows."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from carobspool_core._clock import Millis
from carobspool_core._config import OnlineSlowdown
from carobspool_core._messages import Priority, RequestId
from carobspool_core._outcome import Failure
from carobspool_core._tickets import QueueBounds


class AdmissionMode(StrEnum):
    """How an upstream's slots are given out; all but ``POLICY`` are baselines for experiments."""

    POLICY = "policy"
    STRAIGHT = "straight"
    CAP = "cap"


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionSettings:
    """Settings of the admission before one upstream.

    Attributes:
        mode: The policy, or a baseline: everything straight through, or a fixed cap on batch.
        cap: Batch streams at once in mode ``cap``.
        slots: Requests that the upstream runs side by side.
        slowdown: How much batch work may slow online requests.
        between_tokens_allowance: Time between tokens, in milliseconds, that is acceptable whatever
            the ratio; 0 to go by the ratio alone.
        online_bounds: Bounds of the queue of online requests.
        batch_backlog: Batch requests held here, beyond those that run, so that the upstream is
            never idle while an entry sends more.
        keep_kv: Whether the upstream keeps the KV cache of a cancelled stream for its resumption.
        prefill_tokens: Batch prompt tokens in prefill at once while no online request is present.
        paced: Whether batch prompt starts are paced while online requests are present. Off only
            for experiments.
    """

    mode: AdmissionMode = AdmissionMode.POLICY
    cap: int = 8
    slots: int = 32
    slowdown: OnlineSlowdown = OnlineSlowdown()
    between_tokens_allowance: Millis = 0.0
    online_bounds: QueueBounds = QueueBounds()
    batch_backlog: int = 16
    keep_kv: bool = True
    prefill_tokens: int = 2048
    paced: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class Work:
    """One request offered to the admission.

    Attributes:
        id: The attempt.
        priority: Online or batch.
        caller: Whose share it uses.
        weight: The caller's share; positive.
        prompt_tokens: Estimated prompt tokens.
        cost_tokens: Estimated tokens, prompt and answer together.
        deadline: Instant by which the whole answer is due.
        resume_tokens: Answer tokens that it already holds from an earlier run.
        fingerprint: Digest that recognises the request when it comes again.
        suspect: Whether it is suspected of crashing upstreams.
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
class Decision:
    """What the sidecar is to do now, in this order: refuse, preempt, start.

    Attributes:
        start: Requests to send to the upstream; they count as running from now on.
        preempt: Batch streams to cancel at the upstream.
        refuse: Waiting requests to end with a refusal.
        wake_at: When to ask again if nothing happens before; ``None``: at the next event.
    """

    start: tuple[RequestId, ...] = ()
    preempt: tuple[RequestId, ...] = ()
    refuse: tuple[tuple[RequestId, Failure], ...] = ()
    wake_at: Millis | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionSnapshot:
    """The state of an admission, for load reports, metrics and operators.

    Attributes:
        running_online: Online requests at the upstream.
        running_batch: Batch requests at the upstream.
        queued_online: Online requests that wait here.
        queued_batch: Batch requests that wait here, preempted ones included.
        parked: Preempted batch requests whose KV cache the upstream keeps.
        tokens: Estimated tokens of all of them.
        first_token_ewma: Smoothed time from offer to first token of online requests, ms.
        between_tokens_ewma: Smoothed time between tokens of online requests, ms.
        width: Batch streams allowed at present.
        prompt_starts: Batch prompts started since the beginning.
        preemptions: Batch streams preempted since the beginning.
    """

    running_online: int
    running_batch: int
    queued_online: int
    queued_batch: int
    parked: int
    tokens: int
    first_token_ewma: Millis
    between_tokens_ewma: Millis
    width: int
    prompt_starts: int
    preemptions: int
