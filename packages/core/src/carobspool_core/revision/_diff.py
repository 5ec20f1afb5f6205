"""Differences between two desired states, and moving a change onto a newer revision."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from carobspool_core._config import DesiredState
from carobspool_core._ports import Json
from carobspool_core.revision._sections import (
    Entries,
    Entry,
    Section,
    entries_of,
    with_sections,
)
from carobspool_core.schema import entry_to_json

SUMMARY_LINES = 50
"""Changes that a summary names one by one."""

_UNNAMED_KEYS = frozenset({"key_hashes"})


@dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """One entry that differs between two states.

    Attributes:
        section: The entry's section.
        name: The entry's name; empty in a section that has a single entry.
        before: The entry in the first state, or ``None``.
        after: The entry in the second state, or ``None``.

    Since 0.1.
    """

    section: Section
    name: str
    before: Entry | None
    after: Entry | None

    @property
    def subject(self) -> str:
        """The entry as people name it: ``callers/editor``."""
        return f"{self.section}/{self.name}" if self.name else str(self.section)


@dataclass(frozen=True, slots=True, kw_only=True)
class Clash:
    """Two changes of the same entry, made from the same base, to different ends."""

    mine: Change
    theirs: Change


def diff(before: DesiredState, after: DesiredState) -> tuple[Change, ...]:
    """Return every entry that differs, section by section in the order of names.

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
) -> Result[DesiredState, tuple[Clash, ...]]:
    """Move the changes from ``base`` to ``mine`` onto ``head``.

    Changes of different entries merge, and so do equal changes of one entry. The result may still
    be invalid as a whole: one side may have removed an organisation to which the other added a
    caller. The caller checks it.

    Since 0.1.
    """
    theirs = {(each.section, each.name): each for each in diff(base, head)}
    wanted: list[Change] = []
    clashes: list[Clash] = []
    for change in diff(base, mine):
        other = theirs.get((change.section, change.name))
        if other is None:
            wanted.append(change)
            continue
        if other.after != change.after:
            clashes.append(Clash(mine=change, theirs=other))
    if clashes:
        return Failure(tuple(clashes))
    return Success(_with_changes(head, wanted))


def summarise(changes: Sequence[Change]) -> tuple[str, ...]:
    """Return one line for each change, or for as many as a person reads, and the count of others.

    Since 0.1.
    """
    lines = [_line(change) for change in changes[:SUMMARY_LINES]]
    rest = len(changes) - len(lines)
    if rest:
        lines.append(f"and {rest} more")
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
    return with_sections(sections, state.revision)


def _line(change: Change) -> str:
    if change.before is None:
        return f"{change.subject}: added"
    if change.after is None:
        return f"{change.subject}: removed"
    return f"{change.subject}: {', '.join(_field_changes(change))}"


def _field_changes(change: Change) -> Iterator[str]:
    before: dict[str, Json] = entry_to_json(change.before)
    after: dict[str, Json] = entry_to_json(change.after)
    for field in before:
        if before[field] == after[field]:
            continue
        if field in _UNNAMED_KEYS:
            yield f"{field} changed"
            continue
        yield f"{field} {before[field]!r} -> {after[field]!r}"
