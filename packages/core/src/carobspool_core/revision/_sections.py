"""The sections of the desired state, and how each is split into parts."""

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
"""Parts into which the organisations are split, and likewise the callers.

With 30,000 organisations one part holds about 940 of them, so that a change of one caller writes
and sends a thirty-second of the callers. More parts would lengthen the list of digests, which every
revision stores. See docs/design/configuration.md for the figures.
"""

SINGLE_ENTRY_NAME = ""
"""Name of the entry in a section that has a single entry."""

StateEntry = Organisation | Caller | Model | Upstream | Service | BatchShaping | OnlineSlowdown
"""An entry of a section of the desired state."""

Entries = Mapping[str, Any]
"""Entries of a part or section by name."""


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
class SectionSpec:
    """How the entries of a section are validated, converted and named.

    Attributes:
        model: Model that validates the JSON of an entry.
        convert: Converts a validated entry to its data class.
        name: Returns the name of a converted entry.
        sharded: Whether the section is split into `SHARDS` parts.
    """

    model: type[BorderModel]
    convert: Callable[[Any], StateEntry]
    name: Callable[[Any], str]
    sharded: bool = False


SECTION_SPECS: Mapping[Section, SectionSpec] = {
    Section.ORGANISATIONS: SectionSpec(
        model=models.OrganisationModel,
        convert=convert.to_organisation,
        name=lambda entry: entry.name,
        sharded=True,
    ),
    Section.CALLERS: SectionSpec(
        model=models.CallerModel,
        convert=convert.to_caller,
        name=lambda entry: entry.id,
        sharded=True,
    ),
    Section.MODELS: SectionSpec(
        model=models.ModelModel, convert=convert.to_model, name=lambda entry: entry.name
    ),
    Section.UPSTREAMS: SectionSpec(
        model=models.UpstreamModel, convert=convert.to_upstream, name=lambda entry: entry.host
    ),
    Section.SERVICES: SectionSpec(
        model=models.ServiceModel, convert=convert.to_service, name=lambda entry: entry.name
    ),
    Section.BATCH: SectionSpec(
        model=models.BatchModel, convert=convert.to_batch, name=lambda entry: SINGLE_ENTRY_NAME
    ),
    Section.ONLINE_SLOWDOWN: SectionSpec(
        model=models.OnlineSlowdownModel,
        convert=convert.to_slowdown,
        name=lambda entry: SINGLE_ENTRY_NAME,
    ),
}


def entries_of(state: DesiredState, section: Section) -> Entries:
    """Return a section's entries by name."""
    if section is Section.BATCH:
        return {SINGLE_ENTRY_NAME: state.batch}
    if section is Section.ONLINE_SLOWDOWN:
        return {SINGLE_ENTRY_NAME: state.online_slowdown}
    entries: Entries = getattr(state, section.value)
    return entries


def state_from_sections(sections: Mapping[Section, Entries], revision: int) -> DesiredState:
    """Return the state with the given entries; a missing section is empty or has its default."""
    batch = sections.get(Section.BATCH, {})
    slowdown = sections.get(Section.ONLINE_SLOWDOWN, {})
    return DesiredState(
        revision=revision,
        organisations=sections.get(Section.ORGANISATIONS, {}),
        callers=sections.get(Section.CALLERS, {}),
        models=sections.get(Section.MODELS, {}),
        upstreams=sections.get(Section.UPSTREAMS, {}),
        services=sections.get(Section.SERVICES, {}),
        batch=batch.get(SINGLE_ENTRY_NAME, BatchShaping()),
        online_slowdown=slowdown.get(SINGLE_ENTRY_NAME, OnlineSlowdown()),
    )


def part_name(section: Section, entry_name: str) -> str:
    """Return the name of the part that holds an entry."""
    if not SECTION_SPECS[section].sharded:
        return section.value
    shard = zlib.crc32(entry_name.encode()) % SHARDS
    return f"{section.value}/{shard:02d}"


def section_of(part: str) -> Section | None:
    """Return the section to which a part belongs, or ``None`` for an unknown part."""
    try:
        return Section(part.partition("/")[0])
    except ValueError:
        return None
