"""Passes hints between failure domains through one entry of each domain.

The decisions are in `carobspool_core.hint_relays`. This package encodes and reads bundles, sends
them at the times that the core decides, and counts the bytes of hints.
"""

from carobspool_node.hint_relays._bundle import read_bundle
from carobspool_node.hint_relays._relays import HintRelays
from carobspool_node.hint_relays._traffic import HintTraffic

__all__ = ["HintRelays", "HintTraffic", "read_bundle"]
