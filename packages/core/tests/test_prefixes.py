"""Tests of the memory of prompt prefixes."""

from __future__ import annotations

from carobspool_core import make_prefixes
from carobspool_core._prefixes import MAX_PREFIXES


def test_only_what_comes_again_is_repeated() -> None:
    """A prefix counts from its second prompt on."""
    prefixes = make_prefixes()
    assert [prefixes.repeated(key) for key in ("a", "b", "a", "b", "c")] == [
        False,
        False,
        True,
        True,
        False,
    ]


def test_memory_is_bounded_and_keeps_what_is_used() -> None:
    """Old prefixes are forgotten first; one that keeps coming stays."""
    prefixes = make_prefixes()
    prefixes.repeated("hot")
    prefixes.repeated("cold")
    for number in range(MAX_PREFIXES - 1):
        prefixes.repeated("hot")
        prefixes.repeated(f"once {number}")
    assert prefixes.repeated("hot")
    assert not prefixes.repeated("cold")
