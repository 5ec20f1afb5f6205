"""Entries of three failure domains as processes, with hints that go through relays."""

from __future__ import annotations

import signal
import threading
import urllib.request
from collections.abc import Iterator
from pathlib import Path

import pytest
from direct_harness import Deployment, Entry, deployment, eventually

from carobspool_standins.platform_server import event_stream_handler

DOMAINS = ("z1", "z2", "z3")
ENTRIES = 12


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Deployment]:
    """Twelve entries with relays in force, and two engines."""
    with deployment(tmp_path) as system:
        for _ in range(2):
            system.start_server("engine", event_stream_handler(5, pause_s=0.02))
        for number in range(ENTRIES):
            system.start_entry(
                f"e{number}",
                wait=False,
                hint_relays="auto",
                failure_domain=DOMAINS[number % len(DOMAINS)],
            )
        for entry in system.entries:
            eventually(entry.is_ready, 40.0)
        yield system


def _metric(entry: Entry, name: str, *labels: str) -> float:
    """Return a metric, as the sum over all samples with these labels."""
    address = f"http://127.0.0.1:{entry.metrics_port}/metrics"
    with urllib.request.urlopen(address, timeout=5.0) as answer:
        lines = answer.read().decode().splitlines()
    return sum(
        float(line.rpartition(" ")[2])
        for line in lines
        if line.startswith(f"carobspool_{name}") and all(each in line for each in labels)
    )


def _announces_across(entry: Entry) -> bool:
    return _metric(entry, "hint_datagrams_total", '"announcement"', '"other"') > 0.0


def _loads_sent_across(entries: list[Entry]) -> float:
    """Return how many load hints the entries have sent directly to other domains."""
    return sum(_metric(each, "hint_datagrams_total", '"load"', '"other"') for each in entries)


def _relays(entries: list[Entry]) -> list[Entry]:
    return [each for each in entries if _metric(each, "hint_relay") == 1.0]


def _serve(entries: list[Entry], rounds: int) -> list[int]:
    """Send streams to all entries at the same time; return the statuses."""
    found: list[int] = []

    def call(entry: Entry) -> None:
        found.extend(entry.call("POST", "/stream/1", body=b"x").status for _ in range(rounds))

    threads = [threading.Thread(target=call, args=(each,)) for each in entries]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return found


def test_a_killed_relay_is_replaced_while_requests_are_served(fleet: Deployment) -> None:
    """The pure decisions run in threads here, with real sockets and pauses."""
    entries = fleet.entries
    eventually(lambda: len(_relays(entries)) == len(DOMAINS), 15.0)
    # Crossings count as unknown for up to a second, until the domains are read again.
    eventually(lambda: all(map(_announces_across, entries)), 10.0)
    before = _loads_sent_across(entries)
    relay = _relays(entries)[0]
    relayed = _metric(relay, "hint_bytes_total", '"relayed"', '"other"')
    assert set(_serve(entries, 5)) == {200}
    assert _metric(relay, "hint_bytes_total", '"relayed"', '"other"') > relayed
    eventually(lambda: _loads_sent_across(entries) > before, 5.0)
    relay.send_signal(signal.SIGKILL)
    relay.process.wait()
    rest = [each for each in entries if each is not relay]
    assert set(_serve(rest, 5)) == {200}
    # Eleven entries are left: relays end when the killed one is declared dead.
    eventually(lambda: _relays(rest) == [], 10.0)
    domain = DOMAINS[int(relay.name[1:]) % len(DOMAINS)]
    fellows = [each for each in rest if int(each.name[1:]) % len(DOMAINS) == DOMAINS.index(domain)]
    assert any(each.log_lines_containing("event=relay_lost") for each in fellows)
    assert all(
        each.log_lines_containing(f"event=relay_chosen domain={domain} relay={relay.name} ")
        for each in fellows
    )
    assert set(_serve(rest, 2)) == {200}
