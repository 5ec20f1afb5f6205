"""Choice of upstreams by what each can do now: its pace, its prompt parts and its domain.

The package uses no network, no threads and no wall clock; callers pass in the time.
"""

from carobspool_core.upstream_pace._batch_choice import choose_batch
from carobspool_core.upstream_pace._choice import FirstEventChoice
from carobspool_core.upstream_pace._demand import PromptDemand, read_demand, read_shared_parts
from carobspool_core.upstream_pace._estimates import UpstreamEstimates, Wanted, counts_parts
from carobspool_core.upstream_pace._first_event import FirstEventTimes
from carobspool_core.upstream_pace._memory import EngineMemory, Forecast
from carobspool_core.upstream_pace._own_domain import OwnDomainFirst
from carobspool_core.upstream_pace._paces import PACE_TTL, UNIFORM_RATIO, Paces
from carobspool_core.upstream_pace._prompt_parts import MAX_PARTS, PromptParts

__all__ = [
    "MAX_PARTS",
    "PACE_TTL",
    "UNIFORM_RATIO",
    "EngineMemory",
    "FirstEventChoice",
    "FirstEventTimes",
    "Forecast",
    "OwnDomainFirst",
    "Paces",
    "PromptDemand",
    "PromptParts",
    "UpstreamEstimates",
    "Wanted",
    "choose_batch",
    "counts_parts",
    "read_demand",
    "read_shared_parts",
]
