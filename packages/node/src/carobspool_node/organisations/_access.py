"""Finds the organisation of a request by its key.

An unknown key is denied only when the configuration known here is the newest (`UnknownKeys`).
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
    """Why a request is not let in."""

    MISSING = "no single key in the form 'Authorization: Bearer KEY'"
    UNKNOWN = "the key is not known"
    UNSURE = "whether the key is known cannot be told now"


class CallerKeyRefused(Exception):
    """A request is not let in.

    Attributes:
        problem: Why.
    """

    def __init__(self, problem: KeyProblem) -> None:
        super().__init__(problem.value)
        self.problem = problem

    @property
    def is_final(self) -> bool:
        """Whether the same key will not be let in later either."""
        return self.problem is not KeyProblem.UNSURE


class Access(Struct, frozen=True, kw_only=True):
    """Who sends a request.

    Attributes:
        organisation: The organisation, ``None`` when the request needs none.
        is_declared: Whether the operator declares organisations at all. If so, keys and names of
            organisations that callers send are not passed on.
    """

    organisation: Organisation | None = None
    is_declared: bool = False

    @property
    def owner(self) -> str | None:
        """Name of the organisation; empty for a request that needs none, ``None`` when the operator
        declares no organisations."""
        if not self.is_declared:
            return None
        return "" if self.organisation is None else self.organisation.name


ANYBODY = Access()
"""A caller where the operator declares no organisations."""


class CallerAccess:
    """Finds organisations by keys; safe for threads.

    Args:
        clock: The process's clock.
        directory: Returns the organisations in force, ``None`` when the operator declares none.
        confirm: Asks whether the configuration known here is the newest, takes over a newer one,
            and returns whether it could be told.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        directory: Callable[[], OrganisationDirectory | None],
        confirm: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._confirm = confirm
        self._unknown = UnknownKeys()
        self._asking = threading.Lock()

    def identify(self, authorization: Sequence[bytes], *, is_exempt: bool = False) -> Access:
        """Return who sends a request.

        Args:
            authorization: Values of all its ``Authorization`` headers.
            is_exempt: Whether it needs no key.

        Raises:
            CallerKeyRefused: It has no key, or one that is not known.
        """
        directory = self._directory()
        if directory is None:
            return ANYBODY
        if is_exempt:
            return Access(is_declared=True)
        key = read_bearer(authorization[0].decode("latin-1")) if len(authorization) == 1 else None
        if key is None:
            raise CallerKeyRefused(KeyProblem.MISSING)
        digest = key_digest(key)
        found = directory.holder_of(digest) or self._found_later(digest)
        return Access(organisation=found, is_declared=True)

    def _found_later(self, digest: bytes) -> Organisation:
        """Return who holds a key that was not known a moment ago."""
        with self._asking:
            # What others asked meanwhile holds for this key too.
            found = self._holder_of(digest)
            if found is not None:
                return found
            now = self._clock.now()
            if self._unknown.may_deny(now):
                raise CallerKeyRefused(KeyProblem.UNKNOWN)
            if not self._confirm():
                raise CallerKeyRefused(KeyProblem.UNSURE)
            self._unknown.confirm(now)
        found = self._holder_of(digest)
        if found is None:
            raise CallerKeyRefused(KeyProblem.UNKNOWN)
        return found

    def _holder_of(self, digest: bytes) -> Organisation | None:
        directory = self._directory()
        return None if directory is None else directory.holder_of(digest)
