"""Every decoder at the border against drawn cases: it reads, or refuses in its own way."""

from __future__ import annotations

import pytest
from adapter.border_cases import DECODERS, play

CASES = 200
SEED = 20


@pytest.mark.parametrize("name", DECODERS)
def test_what_others_send_is_read_or_refused(name: str) -> None:
    """Another writer or a peer sends what is nearly right, or bytes of any kind. A decoder that
    fails in a way of its own would end a task or a connection, or spoil what came with it."""
    assert play(name, CASES, SEED) >= CASES // 2
