"""Revisions of the desired state: parts, diffs, deltas, rebase and the stored record."""

from carobspool_core.revision._delta import (
    Delta,
    apply_changes,
    delta_between,
    pack_delta,
    root_digest,
    unpack_delta,
)
from carobspool_core.revision._diff import Change, ChangeConflict, diff, rebase, summarise
from carobspool_core.revision._parts import (
    MAX_PART_VALUE_CHARS,
    Part,
    PartError,
    Parts,
    decode_part,
    encode_part,
    join_parts,
    split_state,
)
from carobspool_core.revision._record import (
    RecordedChange,
    Revision,
    RevisionError,
    revision_from_json,
    revision_to_audit_record,
    revision_to_json,
    to_recorded_changes,
)
from carobspool_core.revision._sections import SHARDS, Section, StateEntry, part_name

__all__ = [
    "MAX_PART_VALUE_CHARS",
    "SHARDS",
    "Change",
    "ChangeConflict",
    "Delta",
    "Part",
    "PartError",
    "Parts",
    "RecordedChange",
    "Revision",
    "RevisionError",
    "Section",
    "StateEntry",
    "apply_changes",
    "decode_part",
    "delta_between",
    "diff",
    "encode_part",
    "join_parts",
    "pack_delta",
    "part_name",
    "rebase",
    "revision_from_json",
    "revision_to_audit_record",
    "revision_to_json",
    "root_digest",
    "split_state",
    "summarise",
    "to_recorded_changes",
    "unpack_delta",
]
