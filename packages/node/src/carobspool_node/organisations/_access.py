"""Finds the organisation of a request by its key.

An unknown key is denied only if the local configuration was just confirmed as the newest
(`UnknownKeys`).
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Sequence
from enum import StrEnum

from msgspec import Struct

from carobspool_core import Clock
from carobspool_core.organisations import (
    Organisation,
    OrganisationDirectory,
    UnknownKeys,
    key_digest,
    read_bearer,
)


class KeyProblem(StrEnum):
    """Why the key of a request is refused."""

    MISSING = "no single key in the form 'Authorization: Bearer KEY'"
    UNKNOWN = "the key is not known"
    UNSURE = "whether the key is known cannot be told now"


class CallerKeyRefused(Exception):
    """Raised when the key of a request is missing, unknown or cannot be checked.

    Attributes:
        problem: The reason.
    """

    def __init__(self, problem: KeyProblem) -> None:
        super().__init__(problem.value)
        self.problem = problem

    @property
    def is_permanent(self) -> bool:
        """Whether a retry with the same key would be refused too."""
        return self.problem is not KeyProblem.UNSURE


class CallerIdentity(Struct, frozen=True, kw_only=True):
    """The identified sender of a request.

    Attributes:
        organisation: The organisation, ``None`` when the request needs none.
        has_organisations: Whether the operator declares any organisations. If so, keys and
            organisation names that callers send are not forwarded to upstreams.
    """

    organisation: Organisation | None = None
    has_organisations: bool = False

    @property
    def owner_name(self) -> str | None:
        """Name of the organisation; empty for a request that needs none, ``None`` when the operator
        declares no organisations."""
        if not self.has_organisations:
            return None
        return "" if self.organisation is None else self.organisation.name


UNRESTRICTED = CallerIdentity()
"""The identity of every caller if the operator declares no organisations."""


class CallerAuthenticator:
    """Finds organisations by their keys; thread-safe.

    Args:
        clock: The process's clock.
        directory: Returns the current organisations, ``None`` when the operator declares none.
        confirm_configuration: Asks a peer whether the local configuration is the newest, applies a
            newer one, and returns whether the local configuration is known to be the newest
            afterwards.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        directory: Callable[[], OrganisationDirectory | None],
        confirm_configuration: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._confirm_configuration = confirm_configuration
        self._unknown_keys = UnknownKeys()
        self._confirm_lock = threading.Lock()

    def identify(
        self, authorization: Sequence[bytes], *, is_exempt: bool = False
    ) -> CallerIdentity:
        """Return the sender of a request.

        Args:
            authorization: The values of all ``Authorization`` headers of the request.
            is_exempt: Whether the request needs no key.

        Raises:
            CallerKeyRefused: The request has no single key, its key is unknown, or the key cannot
                be checked now.
        """
        directory = self._directory()
        if directory is None:
            return UNRESTRICTED
        if is_exempt:
            return CallerIdentity(has_organisations=True)
        key = read_bearer(authorization[0].decode("latin-1")) if len(authorization) == 1 else None
        if key is None:
            raise CallerKeyRefused(KeyProblem.MISSING)
        digest = key_digest(key)
        found = directory.find_by_key_digest(digest) or self._find_after_confirmation(digest)
        return CallerIdentity(organisation=found, has_organisations=True)

    def _find_after_confirmation(self, digest: bytes) -> Organisation:
        """Confirm that the configuration is the newest, and return the holder of an unknown key.

        Raises:
            CallerKeyRefused: The key is unknown, or the configuration cannot be confirmed.
        """
        with self._confirm_lock:
            # A confirmation that another thread obtained meanwhile applies to this key too.
            found = self._find_by_key_digest(digest)
            if found is not None:
                return found
            now = self._clock.now()
            if self._unknown_keys.may_deny(now):
                raise CallerKeyRefused(KeyProblem.UNKNOWN)
            if not self._confirm_configuration():
                raise CallerKeyRefused(KeyProblem.UNSURE)
            self._unknown_keys.confirm(now)
        found = self._find_by_key_digest(digest)
        if found is None:
            raise CallerKeyRefused(KeyProblem.UNKNOWN)
        return found

    def _find_by_key_digest(self, digest: bytes) -> Organisation | None:
        directory = self._directory()
        return None if directory is None else directory.find_by_key_digest(digest)
