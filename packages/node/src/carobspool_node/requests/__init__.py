"""What is known of one request, whoever sent it.

Reading a completion's body, the attempt that puts its answer in order, and the isolation of
requests that crash upstreams belong here: online requests and batch items share them.
"""

from carobspool_node.requests._attempt import Attempt, Progress
from carobspool_node.requests._completions import (
    NO_ID,
    CompletionBody,
    completion_fingerprint,
    estimate_tokens,
    fingerprint,
    parse_completion,
    prefix_key,
)
from carobspool_node.requests._isolation import Isolation, is_clear

__all__ = [
    "Attempt",
    "CompletionBody",
    "Isolation",
    "NO_ID",
    "Progress",
    "completion_fingerprint",
    "estimate_tokens",
    "fingerprint",
    "is_clear",
    "parse_completion",
    "prefix_key",
]
