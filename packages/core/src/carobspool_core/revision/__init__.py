"""Revisions of the whole desired state: parts, differences, rebase and the stored record."""

from carobspool_core.revision._diff import Change, Clash, diff, rebase, summarise
from carobspool_core.revision._parts import (
    VALUE_LIMIT,
    Part,
    PartError,
    Parts,
    decode_part,
    encode_part,
    join,
    split,
)
from carobspool_core.revision._record import (
    RecordedChange,
    Revision,
    RevisionError,
    record_changes,
    revision_audit,
    revision_from_json,
    revision_to_json,
)
from carobspool_core.revision._sections import SHARDS, Entry, Section, part_name

__all__ = [
    "SHARDS",
    "VALUE_LIMIT",
    "Change",
    "Clash",
    "Entry",
    "Part",
    "PartError",
    "Parts",
    "RecordedChange",
    "Revision",
    "RevisionError",
    "Section",
    "decode_part",
    "diff",
    "encode_part",
    "join",
    "part_name",
    "rebase",
    "record_changes",
    "revision_audit",
    "revision_from_json",
    "revision_to_json",
    "split",
    "summarise",
]
