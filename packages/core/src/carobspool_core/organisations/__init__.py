"""Organisations of direct entries: their keys, their request limits and the names of their jobs.

This package decides only: it uses no network, no threads and no clock. The formats of headers and
datagrams are defined in the node and in the platform's adapter.
"""

from carobspool_core.organisations._directory import Organisation, OrganisationDirectory, RateLimit
from carobspool_core.organisations._job_identity import qualified_job_id, waiting_tokens_key
from carobspool_core.organisations._keys import key_digest, read_bearer
from carobspool_core.organisations._request_limits import (
    Admission,
    KnownPeer,
    RequestLimits,
)
from carobspool_core.organisations._unknown_keys import UnknownKeys

__all__ = [
    "Admission",
    "KnownPeer",
    "Organisation",
    "OrganisationDirectory",
    "RateLimit",
    "RequestLimits",
    "UnknownKeys",
    "key_digest",
    "qualified_job_id",
    "read_bearer",
    "waiting_tokens_key",
]
