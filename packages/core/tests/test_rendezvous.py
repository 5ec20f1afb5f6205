"""Rendezvous hashing."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from carobspool_core import preferred_node, preferred_nodes, rank_nodes

NODES = [f"node-{n}" for n in range(50)]


@given(key=st.text(), nodes=st.lists(st.text(min_size=1), unique=True), data=st.data())
def test_order_depends_only_on_the_set_of_nodes(
    key: str, nodes: list[str], data: st.DataObject
) -> None:
    """For any order of the nodes the ranking is the same and begins with the preferred node."""
    shuffled = data.draw(st.permutations(nodes))
    order = rank_nodes(key, nodes)
    assert rank_nodes(key, shuffled) == order
    assert preferred_node(key, shuffled) == (order[0] if order else None)
    assert preferred_nodes(key, nodes, 3) == order[:3]


@given(key=st.text(), gone=st.sampled_from(NODES))
def test_a_node_that_leaves_moves_only_its_own_keys(key: str, gone: str) -> None:
    """The ranking of the remaining nodes does not change when one leaves."""
    rest = [node for node in NODES if node != gone]
    assert rank_nodes(key, rest) == [node for node in rank_nodes(key, NODES) if node != gone]


def test_keys_spread_evenly() -> None:
    """Each of 50 nodes owns its share of 400 of 20,000 keys within a fifth.

    A fifth is four standard deviations.
    """
    counts = dict.fromkeys(NODES, 0)
    for n in range(20_000):
        counts[preferred_node(f"key-{n}", NODES) or ""] += 1
    assert 320 <= min(counts.values()) <= max(counts.values()) <= 480
