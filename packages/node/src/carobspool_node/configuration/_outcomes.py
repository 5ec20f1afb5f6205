"""What becomes of an apply."""

from __future__ import annotations

from dataclasses import dataclass

from carobspool_core.revision import Change, PartError, Revision
from carobspool_core.schema import ConfigError


@dataclass(frozen=True, slots=True, kw_only=True)
class Applied:
    """An accepted apply.

    Attributes:
        revision: Revision in which it is in force.
        changes: What it changed against the revision before.
        over: Revisions by others, newer than the base, onto which it was moved.
        written: Whether a revision was written; not when nothing differed.

    Since 0.1.
    """

    revision: int
    changes: tuple[Change, ...]
    over: tuple[int, ...] = ()
    written: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class ConflictItem:
    """One entry that both the apply and another's newer revision changed.

    Attributes:
        mine: The refused change.
        theirs: What stands there now, against the common base.
        by: The other's revision: author, time and reason; ``None`` when it can't be read.
    """

    mine: Change
    theirs: Change
    by: Revision | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """Another operator changed the same entries since the base; nothing was applied."""

    head: int
    items: tuple[ConflictItem, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class InvalidTogether:
    """The change fits its base, but not what others made of it since; nothing was applied."""

    head: int
    errors: tuple[ConfigError, ...]
    over: tuple[Revision, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class UnknownBase:
    """The base is a revision that does not exist, or no longer; nothing was applied."""

    base: int
    head: int


@dataclass(frozen=True, slots=True, kw_only=True)
class TooLarge:
    """A part is larger than the platform holds; nothing was applied."""

    errors: tuple[PartError, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreDown:
    """The store could not be read or written; nothing was applied."""

    detail: str


@dataclass(frozen=True, slots=True, kw_only=True)
class OutcomeUnknown:
    """The store's last answer was lost and cannot be settled yet.

    Applying the same state on the same base again is harmless: it changes nothing when the first
    took effect.
    """

    revision: int
    detail: str


ApplyError = Conflict | InvalidTogether | UnknownBase | TooLarge | StoreDown | OutcomeUnknown
