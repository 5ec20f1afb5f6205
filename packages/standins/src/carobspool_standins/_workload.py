"""Requests of an experiment, all generated from a seed before the run starts."""

from __future__ import annotations

import json
import math
import random
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from carobspool_standins._answers import random_words
from carobspool_standins._arrivals import arrival_times
from carobspool_standins._experiment_settings import Arm, BatchLoad, Experiment, Sizes
from carobspool_standins._openai_calls import CHAT_PATH
from carobspool_standins._prefix_cache import CHARS_PER_TOKEN

ONLINE_MODEL = "online"
BATCH_MODEL = "batch"
SERVICE = "pages"


class Kind(StrEnum):
    """Kind of a planned request."""

    CHAT = "chat"
    SERVICE = "service"


@dataclass(frozen=True, slots=True, kw_only=True)
class PlannedRequest:
    """One request that the load generator sends.

    Attributes:
        at: Send time in seconds after the start of the load.
        kind: Streamed chat completion or call of a plain service.
        caller: Index of the caller.
        path: Request path.
        body: Request body; empty for a plain service.
        answer_tokens: Number of answer tokens that the request asks for.
    """

    at: float
    kind: Kind
    caller: int
    path: str
    body: bytes = b""
    answer_tokens: int = 0


def draw_size(sizes: Sizes, rng: random.Random) -> int:
    """Draw a bounded log-normal size in tokens."""
    value = rng.lognormvariate(math.log(sizes.median), sizes.sigma)
    return max(sizes.least, min(sizes.most, round(value)))


def draw_text(tokens: int, rng: random.Random) -> str:
    """Draw a random text of about ``tokens`` tokens."""
    return random_words(rng, tokens * CHARS_PER_TOKEN)


def plan_requests(experiment: Experiment, arm: Arm, seed: int) -> list[PlannedRequest]:
    """Return the online requests and service calls of a run, in order of arrival.

    Arms of the same load factor get the same chat requests for the same seed.
    """
    rng = random.Random(seed)
    seconds = experiment.warm_up_s + experiment.run_s
    planned = _plan_chats(experiment, seconds, rng, arm.load)
    if experiment.services is not None and experiment.fleet.services and not arm.direct:
        planned += _plan_service_calls(experiment, seconds, rng)
    return sorted(planned, key=lambda request: request.at)


def batch_lines(load: BatchLoad, job: int, seed: int) -> bytes:
    """Return the JSONL input of one batch job."""
    rng = random.Random(f"{seed} batch {job}")
    items_per_job = load.items // load.jobs
    lines: list[str] = []
    for number in range(items_per_job):
        prompt = draw_text(draw_size(load.prompt, rng), rng)
        body = chat_body(BATCH_MODEL, prompt, draw_size(load.answer, rng))
        item = {
            "custom_id": f"item-{job}-{number}",
            "method": "POST",
            "url": CHAT_PATH,
            "body": body,
        }
        lines.append(json.dumps(item))
    return ("\n".join(lines) + "\n").encode()


def chat_body(model: str, prompt: str, answer_tokens: int) -> dict[str, Any]:
    """Return the body of a chat request whose answer has exactly ``answer_tokens`` tokens."""
    return {
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": answer_tokens,
        "min_tokens": answer_tokens,
    }


def _plan_chats(
    experiment: Experiment, seconds: float, rng: random.Random, factor: float
) -> list[PlannedRequest]:
    load = experiment.online
    prefix = draw_text(load.shared_prefix_tokens, random.Random(0))
    planned: list[PlannedRequest] = []
    for at in arrival_times(load.arrivals, seconds, rng, factor=factor):
        tokens = draw_size(load.answer, rng)
        prompt = prefix + draw_text(draw_size(load.prompt, rng), rng)
        body = {**chat_body(ONLINE_MODEL, prompt, tokens), "stream": True}
        planned.append(
            PlannedRequest(
                at=at,
                kind=Kind.CHAT,
                caller=_draw_caller(load.callers, load.hot_share, rng),
                path=CHAT_PATH,
                body=json.dumps(body).encode(),
                answer_tokens=tokens,
            )
        )
    return planned


def _plan_service_calls(
    experiment: Experiment, seconds: float, rng: random.Random
) -> list[PlannedRequest]:
    assert experiment.services is not None
    planned: list[PlannedRequest] = []
    for at in arrival_times(experiment.services.arrivals, seconds, rng):
        caller = rng.randrange(experiment.online.callers)
        path = f"/services/{SERVICE}/page/{rng.randrange(1000)}"
        planned.append(PlannedRequest(at=at, kind=Kind.SERVICE, caller=caller, path=path))
    return planned


def _draw_caller(callers: int, hot_share: float, rng: random.Random) -> int:
    if hot_share > 0 and rng.random() < hot_share:
        return 0
    return rng.randrange(callers)
