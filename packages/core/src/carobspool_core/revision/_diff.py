"""Diffs between two desired states, and rebasing of changes onto a newer revision."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from carobspool_core._config import DesiredState
from carobspool_core._ports import Json
from carobspool_core.revision._sections import (
    Entries,
    Section,
    StateEntry,
    entries_of,
    state_from_sections,
)
from carobspool_core.schema import entry_to_json

MAX_SUMMARY_LINES = 50
"""Changes that a summary lists one by one."""

_HIDDEN_FIELDS = frozenset({"key_hashes"})
"""Fields whose values a summary does not show."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """One entry that differs between two states.

    Attributes:
        section: The entry's section.
        name: The entry's name; empty in a section that has a single entry.
        before: The entry in the first state; ``None`` if it was added.
        after: The entry in the second state; ``None`` if it was removed.

    Since 0.1.
    """

    section: Section
    name: str
    before: StateEntry | None
    after: StateEntry | None

    @property
    def subject(self) -> str:
        """Section and name of the entry, for example ``callers/editor``."""
        return f"{self.section}/{self.name}" if self.name else str(self.section)


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeConflict:
    """Two conflicting changes of one entry, made from the same base with different results.

    Attributes:
        mine: The change that is rebased.
        theirs: The change that the newer revision already contains.
    """

    mine: Change
    theirs: Change


def diff(before: DesiredState, after: DesiredState) -> tuple[Change, ...]:
    """Return every entry that differs, ordered by section and then by name.

    Since 0.1.
    """
    changes: list[Change] = []
    for section in Section:
        old = entries_of(before, section)
        new = entries_of(after, section)
        changes.extend(_section_changes(section, old, new))
    return tuple(changes)


def rebase(
    base: DesiredState, mine: DesiredState, head: DesiredState
) -> Result[DesiredState, tuple[ChangeConflict, ...]]:
    """Apply the changes from ``base`` to ``mine`` to ``head``.

    Changes of different entries merge, and so do equal changes of one entry. The result may still
    be invalid as a whole: one side may have removed an organisation to which the other side added
    a caller. Whoever calls this function validates the result.

    Returns:
        The merged state, or the conflicts.

    Since 0.1.
    """
    theirs = {(each.section, each.name): each for each in diff(base, head)}
    to_apply: list[Change] = []
    conflicts: list[ChangeConflict] = []
    for change in diff(base, mine):
        other = theirs.get((change.section, change.name))
        if other is None:
            to_apply.append(change)
            continue
        if other.after != change.after:
            conflicts.append(ChangeConflict(mine=change, theirs=other))
    if conflicts:
        return Failure(tuple(conflicts))
    return Success(_with_changes(head, to_apply))


def summarise(changes: Sequence[Change]) -> tuple[str, ...]:
    """Return one line for each change, up to `MAX_SUMMARY_LINES`, and the number omitted.

    Since 0.1.
    """
    lines = [_summary_line(change) for change in changes[:MAX_SUMMARY_LINES]]
    omitted = len(changes) - len(lines)
    if omitted:
        lines.append(f"and {omitted} more")
    return tuple(lines)


def _section_changes(section: Section, old: Entries, new: Entries) -> Iterator[Change]:
    for name in sorted(old.keys() | new.keys()):
        before = old.get(name)
        after = new.get(name)
        if before is after or before == after:
            continue
        yield Change(section=section, name=name, before=before, after=after)


def _with_changes(state: DesiredState, changes: Sequence[Change]) -> DesiredState:
    sections = {section: dict(entries_of(state, section)) for section in Section}
    for change in changes:
        entries = sections[change.section]
        if change.after is None:
            entries.pop(change.name, None)
            continue
        entries[change.name] = change.after
    return state_from_sections(sections, state.revision)


def _summary_line(change: Change) -> str:
    if change.before is None:
        return f"{change.subject}: added"
    if change.after is None:
        return f"{change.subject}: removed"
    return f"{change.subject}: {', '.join(_describe_field_changes(change))}"


def _describe_field_changes(change: Change) -> Iterator[str]:
    before: dict[str, Json] = entry_to_json(change.before)
    after: dict[str, Json] = entry_to_json(change.after)
    for field in before:
        if before[field] == after[field]:
            continue
        if field in _HIDDEN_FIELDS:
            yield f"{field} changed"
            continue
        yield f"{field} {before[field]!r} -> {after[field]!r}"
