"""Load hints are sent at once while changes are rare, and within a datagram budget otherwise."""

from __future__ import annotations

import pytest

from carobspool_core.direct import LoadSendLimiter
from carobspool_core.direct._load_pace import (
    MAX_BURST,
    MAX_DATAGRAMS_PER_SECOND,
    MAX_SEND_INTERVAL,
    MIN_SEND_INTERVAL,
)


def test_change_after_a_pause_is_sent_at_once() -> None:
    pace = LoadSendLimiter()
    pace.record_send(0.0, peers=57)
    assert pace.delay_before_send(MIN_SEND_INTERVAL, peers=57) == 0.0


def test_changes_of_one_request_are_combined() -> None:
    pace = LoadSendLimiter()
    pace.record_send(100.0, peers=57)
    assert pace.delay_before_send(101.0, peers=57) == pytest.approx(MIN_SEND_INTERVAL - 1.0)


@pytest.mark.parametrize("peers", [4, 57, 379])
def test_many_changes_stay_within_the_datagram_budget(peers: int) -> None:
    """With hundreds of peers an entry that sent each change on its own would flood all of them."""
    pace = LoadSendLimiter()
    now, sent = 0.0, 0
    while now < 10_000.0:
        wait = pace.delay_before_send(now, peers=peers)
        assert wait <= MAX_SEND_INTERVAL
        if wait > 0.0:
            now += wait
            continue
        pace.record_send(now, peers=peers)
        sent += 1
    allowed = max(MAX_DATAGRAMS_PER_SECOND / peers, 1_000.0 / MAX_SEND_INTERVAL)
    assert sent <= MAX_BURST + 10.0 * min(allowed, 1_000.0 / MIN_SEND_INTERVAL) + 1
