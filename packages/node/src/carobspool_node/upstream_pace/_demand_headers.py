"""The demand that the headers of a request or of a batch item state."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from carobspool_core.upstream_pace import PromptDemand, read_demand


class DemandHeaderNames(Protocol):
    """Names of the headers that state a demand, in lower case."""

    @property
    def model(self) -> bytes:
        """Name of the model."""

    @property
    def token_count(self) -> bytes:
        """Prompt tokens and most output tokens."""

    @property
    def prompt_parts(self) -> bytes:
        """Ids and tokens of the prompt's parts."""


def demand_of(
    header: Callable[[bytes], bytes | None], names: DemandHeaderNames
) -> PromptDemand | None:
    """Return the demand that headers state, ``None`` if they state no valid one.

    Args:
        header: Returns the value of a header, ``None`` if it is absent.
        names: Header names of the deployment.
    """
    return read_demand(header(names.model), header(names.token_count), header(names.prompt_parts))
