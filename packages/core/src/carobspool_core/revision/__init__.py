"""Revisions of the desired state: parts, diffs, deltas, rebase and the stored record."""

from carobspool_core.revision._delta import (
    Delta,
    delta_between,
    pack_delta,
    patch,
    root_digest,
    unpack_delta,
)
from carobspool_core.revision._diff import Change, Clash, diff, rebase, summarise
from carobspool_core.revision._parts import (
    MAX_PART_VALUE_CHARS,
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
from carobspool_core.revision._sections import SHARDS, Section, StateEntry, part_name

__all__ = [
    "MAX_PART_VALUE_CHARS",
    "SHARDS",
    "Change",
    "Clash",
    "Delta",
    "Part",
    "PartError",
    "Parts",
    "RecordedChange",
    "Revision",
    "RevisionError",
    "Section",
    "StateEntry",
    "decode_part",
    "delta_between",
    "diff",
    "encode_part",
    "join",
    "pack_delta",
    "part_name",
    "patch",
    "rebase",
    "record_changes",
    "revision_audit",
    "revision_from_json",
    "revision_to_json",
    "root_digest",
    "split",
    "summarise",
    "unpack_delta",
]
