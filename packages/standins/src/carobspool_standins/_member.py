"""Addresses of a cluster's processes and the API keys of its callers."""

from __future__ import annotations

import hashlib
import secrets
from dataclasses import dataclass, field

from carobspool_standins.ports import LOOPBACK


@dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """One process of a cluster.

    Attributes:
        name: Name of the process, also its node name.
        port: Port of the HTTP interface; for a sidecar, the port to which entries connect.
    """

    name: str
    port: int

    @property
    def address(self) -> str:
        """Address as ``ip:port``."""
        return f"{LOOPBACK}:{self.port}"

    @property
    def url(self) -> str:
        """Base URL, without a path."""
        return f"http://{self.address}"


@dataclass(frozen=True, slots=True, kw_only=True)
class Key:
    """A bearer key, of which a configuration stores only the hash."""

    value: str = field(default_factory=lambda: secrets.token_urlsafe(24))

    @property
    def hash(self) -> str:
        """SHA-256 of the key in hexadecimal."""
        return hashlib.sha256(self.value.encode()).hexdigest()
