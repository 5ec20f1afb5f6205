"""Decide how hints between failure domains are relayed.

Pure code: which entry relays, when relaying is in force, when an entry sends directly instead, and
which hints are passed on when.
"""

from carobspool_core.hint_relays._bundle_buffer import (
    COUNTS_PASS_ON_INTERVAL,
    MAX_BUNDLE_BYTES,
    PASS_ON_INTERVAL,
    RELAYED_HINT_AGE,
    BundleBuffer,
    HintKind,
    WaitingHint,
    split_by_size,
)
from carobspool_core.hint_relays._relay_choice import (
    RELAY_SILENT_AFTER,
    RelayEntry,
    RelayPeers,
    choose_relay,
    cut_off_entries,
    with_bundle,
)
from carobspool_core.hint_relays._relay_plan import (
    NO_RELAYS,
    SEND_DIRECTLY_AFTER,
    RelayPlan,
    make_relay_plan,
    relays_in_force,
    sends_directly,
)

__all__ = [
    "COUNTS_PASS_ON_INTERVAL",
    "MAX_BUNDLE_BYTES",
    "NO_RELAYS",
    "PASS_ON_INTERVAL",
    "RELAYED_HINT_AGE",
    "RELAY_SILENT_AFTER",
    "SEND_DIRECTLY_AFTER",
    "BundleBuffer",
    "HintKind",
    "RelayEntry",
    "RelayPeers",
    "RelayPlan",
    "WaitingHint",
    "choose_relay",
    "cut_off_entries",
    "make_relay_plan",
    "relays_in_force",
    "sends_directly",
    "split_by_size",
    "with_bundle",
]
