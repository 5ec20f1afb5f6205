"""Tests of a sidecar's connections to entries."""

from __future__ import annotations

from typing import Any, cast

from carobspool_core import Heartbeat, Hello, ManualClock, Message
from carobspool_node.links._entry_links import REATTACH_GRACE, SILENCE_LIMIT, EntryLinks
from carobspool_node.links._link import Link


class _FakeLink:
    """A link that keeps what is sent."""

    def __init__(self, incarnation: str) -> None:
        self.peer = Hello(
            version=1,
            node="entry",
            incarnation=incarnation,
            role="entry",
            failure_domain="d",
            nonce="",
            sent=0.0,
        )
        self.sent: list[Message] = []
        self.closed = False

    def send(self, message: Message) -> None:
        self.sent.append(message)

    def close(self) -> None:
        self.closed = True


def _link(incarnation: str) -> Any:
    return cast(Link, _FakeLink(incarnation))


def test_a_second_connection_takes_the_place_of_the_first() -> None:
    """What an earlier connection still holds is not taken once the entry has connected again."""
    links = EntryLinks(ManualClock())
    first, second = _link("a"), _link("a")
    links.adopt(first)
    links.adopt(second)
    added: list[int] = []
    assert not links.while_current(first, lambda: added.append(1) is None)
    assert links.while_current(second, lambda: added.append(2) is None)
    assert added == [2]
    assert first.closed
    links.lose(first)
    assert links.connected == [second]


def test_answers_follow_the_entry_to_its_new_connection() -> None:
    """A sender made before a connection broke sends on the one that came after."""
    links = EntryLinks(ManualClock())
    first, second = _link("a"), _link("a")
    links.adopt(first)
    send = links.sender("a")
    links.lose(first)
    links.adopt(second)
    send(Heartbeat(sent=1.0))
    assert second.sent == [Heartbeat(sent=1.0)]
    assert first.sent == []


def test_an_entry_that_does_not_come_back_is_forgotten() -> None:
    """After the grace the requests of a lost process are nobody's; one that is back is kept."""
    clock = ManualClock()
    links = EntryLinks(clock)
    gone, back = _link("gone"), _link("back")
    for link in (gone, back):
        links.adopt(link)
        links.lose(link)
    links.adopt(_link("back"))
    clock.advance(REATTACH_GRACE)
    assert links.forget_lost() == []
    clock.advance(1.0)
    assert links.forget_lost() == ["gone"]
    assert links.forget_lost() == []


def test_a_silent_entry_is_told_from_one_that_is_heard() -> None:
    """An entry that was frozen counts as silent although its connection stands."""
    clock = ManualClock()
    links = EntryLinks(clock)
    link = _link("a")
    links.adopt(link)
    clock.advance(SILENCE_LIMIT - 1.0)
    assert links.is_heard("a")
    clock.advance(1.0)
    assert not links.is_heard("a")
    links.hear(link)
    assert links.is_heard("a")
    assert not links.is_heard("nobody")
