"""Choice of upstreams by what each can do now: its pace, its prompt parts and its domain.

The package uses no network, no threads and no wall clock; callers pass in the time.
"""

from carobspool_core.upstream_pace._own_domain import OwnDomainFirst

__all__ = ["OwnDomainFirst"]
