"""Who calls a direct entry, and whether its organisation is below its limits.

The reading of keys belongs here, the judgement of keys that are not known, and the counting of
requests together with the other entries. Nothing here knows upstreams, jobs or sockets.
"""

from carobspool_node.organisations._access import (
    Access,
    CallerAccess,
    CallerKeyRefused,
    KeyProblem,
)
from carobspool_node.organisations._request_counts import pack_counts, unpack_counts
from carobspool_node.organisations._request_quota import TOLD_IN_ANNOUNCEMENTS_FOR, RequestQuota

__all__ = [
    "TOLD_IN_ANNOUNCEMENTS_FOR",
    "Access",
    "CallerAccess",
    "CallerKeyRefused",
    "KeyProblem",
    "RequestQuota",
    "pack_counts",
    "unpack_counts",
]
