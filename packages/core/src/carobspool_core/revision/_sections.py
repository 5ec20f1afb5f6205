"""The sections of the desired state, and how each is cut into parts."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from carobspool_core._config import (
    BatchShaping,
    Caller,
    DesiredState,
    Model,
    OnlineSlowdown,
    Organisation,
    Service,
    Upstream,
)
from carobspool_core.border import BorderModel
from carobspool_core.schema import _convert as convert
from carobspool_core.schema import _models as models

SHARDS = 32
"""Parts into which organisations, and callers, are cut.

With 30,000 organisations one part then holds about 940 of them, so that a change of one caller
writes and ships a thirty-second of the callers; more parts would make each revision's list of
digests, which every change writes too, longer. See docs/design/configuration.md for the figures.
"""

SINGLE = ""
"""Name of the only entry of a section that has one."""

Entry = Organisation | Caller | Model | Upstream | Service | BatchShaping | OnlineSlowdown
Entries = Mapping[str, Any]
"""Entries of one part or section by name."""


class Section(StrEnum):
    """A section of the desired state."""

    ORGANISATIONS = "organisations"
    CALLERS = "callers"
    MODELS = "models"
    UPSTREAMS = "upstreams"
    SERVICES = "services"
    BATCH = "batch"
    ONLINE_SLOWDOWN = "online_slowdown"


@dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """How the entries of a section are validated, converted and named."""

    model: type[BorderModel]
    convert: Callable[[Any], Entry]
    name: Callable[[Any], str]
    sharded: bool = False


KINDS: Mapping[Section, Kind] = {
    Section.ORGANISATIONS: Kind(
        model=models.OrganisationModel,
        convert=convert.to_organisation,
        name=lambda entry: entry.name,
        sharded=True,
    ),
    Section.CALLERS: Kind(
        model=models.CallerModel,
        convert=convert.to_caller,
        name=lambda entry: entry.id,
        sharded=True,
    ),
    Section.MODELS: Kind(
        model=models.ModelModel, convert=convert.to_model, name=lambda entry: entry.name
    ),
    Section.UPSTREAMS: Kind(
        model=models.UpstreamModel, convert=convert.to_upstream, name=lambda entry: entry.host
    ),
    Section.SERVICES: Kind(
        model=models.ServiceModel, convert=convert.to_service, name=lambda entry: entry.name
    ),
    Section.BATCH: Kind(
        model=models.BatchModel, convert=convert.to_batch, name=lambda entry: SINGLE
    ),
    Section.ONLINE_SLOWDOWN: Kind(
        model=models.OnlineSlowdownModel, convert=convert.to_slowdown, name=lambda entry: SINGLE
    ),
}


def entries_of(state: DesiredState, section: Section) -> Entries:
    """Return a section's entries by name."""
    if section is Section.BATCH:
        return {SINGLE: state.batch}
    if section is Section.ONLINE_SLOWDOWN:
        return {SINGLE: state.online_slowdown}
    entries: Entries = getattr(state, section.value)
    return entries


def with_sections(sections: Mapping[Section, Entries], revision: int) -> DesiredState:
    """Return the state that has the given entries; a missing section is empty or at its default."""
    batch = sections.get(Section.BATCH, {})
    slowdown = sections.get(Section.ONLINE_SLOWDOWN, {})
    return DesiredState(
        revision=revision,
        organisations=sections.get(Section.ORGANISATIONS, {}),
        callers=sections.get(Section.CALLERS, {}),
        models=sections.get(Section.MODELS, {}),
        upstreams=sections.get(Section.UPSTREAMS, {}),
        services=sections.get(Section.SERVICES, {}),
        batch=batch.get(SINGLE, BatchShaping()),
        online_slowdown=slowdown.get(SINGLE, OnlineSlowdown()),
    )


def part_name(section: Section, entry_name: str) -> str:
    """Return the name of the part that holds an entry."""
    if not KINDS[section].sharded:
        return section.value
    shard = zlib.crc32(entry_name.encode()) % SHARDS
    return f"{section.value}/{shard:02d}"


def section_of(part: str) -> Section | None:
    """Return the section to which a part belongs, or ``None`` for an unknown part."""
    try:
        return Section(part.partition("/")[0])
    except ValueError:
        return None
