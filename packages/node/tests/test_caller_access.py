"""Who is let in, who is denied, and when an entry cannot tell."""

from __future__ import annotations

import threading
from collections.abc import Callable

import pytest

from carobspool_core import Millis
from carobspool_core.organisations import Organisation, OrganisationDirectory, key_digest
from carobspool_node.organisations import CallerAuthenticator, CallerKeyRefused, KeyProblem

ACME = Organisation(name="acme", key_digests=(key_digest("good"),))


class _Clock:
    def __init__(self) -> None:
        self.time: Millis = 1_000.0

    def now(self) -> Millis:
        return self.time


class _Known:
    """What an entry knows, and what its peers know."""

    def __init__(self) -> None:
        self.clock = _Clock()
        self.directory: OrganisationDirectory | None = OrganisationDirectory([ACME])
        self.newer: OrganisationDirectory | None = None
        self.reachable = True
        self.asked = 0
        self.access = CallerAuthenticator(
            self.clock,
            directory=lambda: self.directory,
            confirm_configuration=self._confirm_configuration,
        )

    def _confirm_configuration(self) -> bool:
        self.asked += 1
        if self.reachable and self.newer is not None:
            self.directory = self.newer
        return self.reachable

    def problem(self, *values: bytes) -> KeyProblem:
        """Return why a request is refused."""
        with pytest.raises(CallerKeyRefused) as caught:
            self.access.identify(values)
        return caught.value.problem


def test_a_known_key_costs_no_question() -> None:
    known = _Known()
    access = known.access.identify([b"Bearer good"])
    assert access.organisation is ACME
    assert access.owner_name == "acme"
    assert known.asked == 0


def test_without_organisations_anybody_may_call() -> None:
    known = _Known()
    known.directory = None
    assert known.access.identify([]).owner_name is None


def test_an_exempt_request_belongs_to_nobody() -> None:
    known = _Known()
    assert known.access.identify([b"Bearer good"], is_exempt=True).owner_name == ""


@pytest.mark.parametrize("values", [[], [b""], [b"Bearer good", b"Bearer good"], [b"good"]])
def test_a_request_without_a_single_key_is_denied(values: list[bytes]) -> None:
    assert _Known().problem(*values) is KeyProblem.MISSING


def test_a_key_that_a_peer_knows_is_let_in() -> None:
    """A denial would be final, though the key is only newer than what is known here."""
    known = _Known()
    known.newer = OrganisationDirectory(
        [Organisation(name="new", key_digests=(key_digest("newer"),))]
    )
    assert known.access.identify([b"Bearer newer"]).owner_name == "new"


def test_a_flood_of_false_keys_asks_four_times_a_second() -> None:
    """Anybody can send false keys, each different from the last."""
    known = _Known()
    for number in range(1_000):
        assert known.problem(b"Bearer false-%d" % number) is KeyProblem.UNKNOWN
        known.clock.time += 1.0
    assert known.asked <= 5


def test_an_entry_that_can_ask_nobody_does_not_deny() -> None:
    """The caller comes back, at another entry as a rule; a denial would end its work."""
    known = _Known()
    known.reachable = False
    assert known.problem(b"Bearer other") is KeyProblem.UNSURE
    assert not CallerKeyRefused(KeyProblem.UNSURE).is_permanent
    assert known.access.identify([b"Bearer good"]).owner_name == "acme"


def test_requests_that_come_together_cause_one_question() -> None:
    known = _Known()
    asked = threading.Event()
    release = threading.Event()
    confirm = known._confirm_configuration

    def wait(answer: Callable[[], bool] = confirm) -> bool:
        asked.set()
        release.wait(5.0)
        return answer()

    known.access._confirm_configuration = wait
    threads = [
        threading.Thread(target=known.problem, args=(b"Bearer f%d" % number,))
        for number in range(5)
    ]
    for thread in threads:
        thread.start()
    assert asked.wait(5.0)
    release.set()
    for thread in threads:
        thread.join(5.0)
    assert known.asked == 1
