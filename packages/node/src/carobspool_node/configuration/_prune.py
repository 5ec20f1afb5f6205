"""Removes parts that only old revisions use.

Each accepted revision prunes for the one that has just become too old, so that the store holds a
bounded number of parts and nothing has to be listed. A process that dies before it has pruned
leaves those few parts behind, which costs space and nothing else. Revision objects stay: they are
the audit trail.
"""

from __future__ import annotations

from returns.pipeline import is_successful

from carobspool_core import ObjectStore
from carobspool_core.revision import revision_from_json
from carobspool_node.configuration._objects import part_key, revision_key

KEPT_REVISIONS = 1_000
"""Revisions whose parts are kept; an apply can have a base that is this many revisions old."""


def prune_after(store: ObjectStore, number: int, *, kept: int = KEPT_REVISIONS) -> int:
    """Remove the parts that went out of use with the revision that is now too old.

    Args:
        store: The object store.
        number: The revision just accepted.
        kept: Revisions whose parts are kept.

    Returns:
        The number of removed parts. A fault of the store ends the pruning and is harmless.

    Since 0.1.
    """
    old = number - kept
    if old < 1:
        return 0
    before = store.get(revision_key(old))
    after = store.get(revision_key(old + 1))
    if not (is_successful(before) and is_successful(after)):
        return 0
    first = revision_from_json(before.unwrap().value).value_or(None)
    second = revision_from_json(after.unwrap().value).value_or(None)
    if first is None or second is None:
        return 0
    unused = set(first.parts.values()) - set(second.parts.values())
    return sum(_remove(store, digest, after.unwrap().version) for digest in unused)


def _remove(store: ObjectStore, digest: str, replaced_at: int) -> bool:
    """Remove a part unless it was written again after the revision that stopped using it.

    An apply writes every part that its head does not use before it creates its revision, so a part
    that a later revision uses has a later version than ``replaced_at``.
    """
    found = store.get(part_key(digest))
    if not is_successful(found) or found.unwrap().version > replaced_at:
        return False
    return is_successful(store.delete(part_key(digest), version=found.unwrap().version))
