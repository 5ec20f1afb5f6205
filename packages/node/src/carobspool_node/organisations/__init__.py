"""Identifies the organisation that calls a direct entry, and enforces its request limit.

This package reads keys, decides about unknown keys, and counts requests jointly with the other
entries. It does not depend on upstreams, jobs or sockets.
"""

from carobspool_node.organisations._access import (
    CallerAuthenticator,
    CallerIdentity,
    CallerKeyRefused,
    KeyProblem,
)
from carobspool_node.organisations._request_counts import pack_counts, unpack_counts
from carobspool_node.organisations._request_quota import ANNOUNCEMENT_RESEND_TIME, RequestQuota

__all__ = [
    "ANNOUNCEMENT_RESEND_TIME",
    "CallerAuthenticator",
    "CallerIdentity",
    "CallerKeyRefused",
    "KeyProblem",
    "RequestQuota",
    "pack_counts",
    "unpack_counts",
]
