"""Processes of a cluster and the keys of its callers, by which tools and tests refer to them."""

from __future__ import annotations

import hashlib
import secrets
from dataclasses import dataclass, field

from carobspool_standins.ports import LOOPBACK


@dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """One process of a cluster.

    Attributes:
        name: Its name, also that of its node.
        port: Port of its HTTP interface; of a sidecar, the port on which it takes entries.
    """

    name: str
    port: int

    @property
    def address(self) -> str:
        """``ip:port``."""
        return f"{LOOPBACK}:{self.port}"

    @property
    def url(self) -> str:
        """URL without a path."""
        return f"http://{self.address}"


@dataclass(frozen=True, slots=True, kw_only=True)
class Key:
    """A bearer key and the hash of it that a configuration holds."""

    value: str = field(default_factory=lambda: secrets.token_urlsafe(24))

    @property
    def hash(self) -> str:
        """SHA-256 in hex."""
        return hashlib.sha256(self.value.encode()).hexdigest()
