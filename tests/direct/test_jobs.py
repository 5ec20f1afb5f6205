"""Batch jobs through direct entries while owners die, freeze, or lose the store."""

from __future__ import annotations

import base64
import json
import signal
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import pytest
from direct_harness import (
    Deployment,
    Entry,
    deployment,
    eventually,
    finished,
    read_results,
    submission,
)

from carobspool_standins.platform_server import (
    ServedRequest,
    ServerConnection,
    stream_events,
)

EVENTS = 4
TEXT = "\n".join(f"piece {number}" for number in range(1, EVENTS + 1))


@pytest.fixture
def system(tmp_path: Path) -> Iterator[Deployment]:
    """Stand-ins without entries."""
    with deployment(tmp_path) as running:
        yield running


def _read_all(entry: Entry, job_id: str) -> list[dict[str, str]]:
    """Return all results of a finished job, page by page; empty when it is not finished."""
    found: list[dict[str, str]] = []
    while True:
        page = read_results(entry, job_id, after=len(found))
        if isinstance(page, int) or not page["results"]:
            return []
        found.extend(page["results"])
        if len(found) == page["total"]:
            return found


def _results_are_whole(results: list[dict[str, str]], ids: list[str]) -> None:
    assert Counter(each["id"] for each in results) == Counter(ids)
    assert {each["text"] for each in results} == {TEXT}


def test_a_job_is_accepted_once_and_read_at_every_entry(system: Deployment) -> None:
    system.server("engine", stream_events(EVENTS))
    first, second = system.entry("e1"), system.entry("e2")
    ids = [f"i{number}" for number in range(12)]
    for entry in (first, second, first):
        assert entry.call("POST", "/batch/j", body=submission(*ids), request_id="j").status == 202
    for entry in (first, second):
        _results_are_whole(eventually(lambda e=entry: finished(e, "j"), 10), ids)
        page = read_results(entry, "j", after=10)
        assert isinstance(page, dict)
        assert (page["total"], page["next_token"], len(page["results"])) == (12, 12, 2)
        assert entry.call("GET", "/api/items/j?id=i3").body == b"i3"
        assert entry.call("GET", "/api/items/j?id=none").status == 404
        assert read_results(entry, "unknown") == 404


@pytest.mark.parametrize("fault", [signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP])
def test_another_entry_finishes_what_its_owner_left(
    system: Deployment, fault: signal.Signals
) -> None:
    """The owner has committed some results when it is killed, told to stop, or frozen. The other
    entry goes on; positions that were read keep their content, nothing is listed twice, and a
    frozen owner that wakes changes nothing."""
    system.server("engine", stream_events(EVENTS, pause_s=0.25))
    owner, other = system.entry("e1"), system.entry("e2")
    time.sleep(2.6)
    ids = [f"i{number}" for number in range(20)]
    assert owner.call("POST", "/batch/j", body=submission(*ids), request_id="j").status == 202

    def some() -> list[dict[str, str]]:
        page = read_results(other, "j")
        return page["results"] if isinstance(page, dict) else []

    before = eventually(some, 8)
    owner.signal(fault)
    results = eventually(lambda: finished(other, "j"), 20)
    _results_are_whole(results, ids)
    assert results[: len(before)] == before
    if fault is signal.SIGSTOP:
        owner.signal(signal.SIGCONT)
        time.sleep(0.5)
        assert eventually(lambda: finished(owner, "j"), 5) == results
        assert finished(other, "j") == results


def test_an_owner_that_dies_while_the_store_is_away_is_replaced_after_its_return(
    system: Deployment,
) -> None:
    """The store refuses everything, and the owner is killed meanwhile. The first try to take its
    job over fails; the job must still go on soon after the store is back."""
    system.server("engine", stream_events(EVENTS, pause_s=0.4))
    owner, other = system.entry("e1"), system.entry("e2")
    time.sleep(2.6)
    ids = [f"i{number}" for number in range(8)]
    assert owner.call("POST", "/batch/j", body=submission(*ids), request_id="j").status == 202
    time.sleep(0.7)
    system.objects.faults.status = 503
    owner.signal(signal.SIGKILL)
    time.sleep(4.0)
    system.objects.faults.status = 0
    _results_are_whole(eventually(lambda: finished(other, "j"), 8), ids)


def test_everything_is_killed_right_after_an_acceptance(system: Deployment) -> None:
    """The job is acknowledged and every entry dies before an item has run. New entries find it in
    the store and do it."""
    entries = [system.entry("e1"), system.entry("e2")]
    body = submission("a", "b")
    assert entries[0].call("POST", "/batch/j", body=body, request_id="j").status == 202
    for entry in entries:
        entry.signal(signal.SIGKILL)
    system.server("engine", stream_events(EVENTS))
    fresh = [system.entry(name, first_start=False) for name in ("e1", "e2")]
    _results_are_whole(eventually(lambda: finished(fresh[1], "j"), 12), ["a", "b"])


def test_a_job_of_an_owner_that_nobody_has_heard_is_found(system: Deployment) -> None:
    """A job is accepted, and its entry is gone for good before any other has heard of the job: its
    hints are datagrams and may all be lost. Nobody misses the job, and it used to lie in the store
    until some entry started. Now a listing follows each time that an entry does not come back."""
    owner = system.entry("e1")
    assert owner.call("POST", "/batch/j", body=submission("a"), request_id="j").status == 202
    owner.signal(signal.SIGKILL)
    owner.process.wait()
    system.server("engine", stream_events(EVENTS))
    entry, other = system.entry("e2"), system.entry("e3")
    eventually(lambda: entry.logged("event=peer_seen peer=e3"), 5)
    other.signal(signal.SIGKILL)
    _results_are_whole(eventually(lambda: finished(entry, "j"), 15), ["a"])


def test_an_owner_that_was_killed_goes_on_where_it_stood(system: Deployment) -> None:
    """An item of four seconds is three seconds old, and its job has no result yet, when its owner
    is killed. The same host starts again at once. The item goes on after what was committed instead
    of from its beginning, without waiting until the entries know each other."""
    server = system.server("engine", stream_events(40, pause_s=0.1))
    first = system.entry("e1")
    assert first.call("POST", "/batch/j", body=submission("a"), request_id="j").status == 202
    eventually(lambda: first.logged("event=job_commit"), 6)
    first.signal(signal.SIGKILL)
    again = system.entry("e1", first_start=False)
    results = eventually(lambda: finished(again, "j"), 4)
    assert results[0]["text"].split("\n") == [f"piece {number}" for number in range(1, 41)]
    resumed = [int(each.headers.get("last-event-id", "0")) for each in server.seen]
    assert len(resumed) == 2
    assert resumed[1] >= 15


def test_a_leaving_owner_hands_over_what_its_items_received(system: Deployment) -> None:
    """SIGTERM in the middle of an item. Another entry goes on after the last event; the whole item
    used to run again."""
    server = system.server("engine", stream_events(30, pause_s=0.1))
    first, other = system.entry("e1"), system.entry("e2")
    time.sleep(1.0)
    assert first.call("POST", "/batch/j", body=submission("a"), request_id="j").status == 202
    time.sleep(1.6)
    first.signal(signal.SIGTERM)
    results = eventually(lambda: finished(other, "j"), 6)
    assert results[0]["text"].split("\n") == [f"piece {number}" for number in range(1, 31)]
    resumed = [int(each.headers.get("last-event-id", "0")) for each in server.seen]
    assert len(resumed) == 2
    assert resumed[1] >= 10


def test_items_that_fail_are_given_up_and_their_job_ends(system: Deployment) -> None:
    """One item gets 500 each time, one 422. The first is tried as often as its route allows, the
    second once; both end as dead letters and the third completes."""
    runs: Counter[str] = Counter()

    def behave(request: ServedRequest, connection: ServerConnection) -> None:
        runs[request.request_id] += 1
        if request.request_id == "bad":
            connection.answer(request, 500, b"no")
        elif request.request_id == "never":
            connection.answer(request, 422, b"no")
        else:
            stream_events(EVENTS)(request, connection)

    system.server("engine", behave)
    entry = system.entry("e1")
    body = submission("bad", "never", "good")
    assert entry.call("POST", "/batch/j", body=body, request_id="j").status == 202
    results = eventually(lambda: finished(entry, "j"), 10)
    states = {each["id"]: each["state"] for each in results}
    assert states == {"bad": "dead_letter", "never": "dead_letter", "good": "completed"}
    assert runs == {"bad": 3, "never": 1, "good": 1}


def test_an_ended_job_starts_nothing_more(system: Deployment) -> None:
    """The job is ended through the entry that does not own it, while its items run."""
    server = system.server("engine", stream_events(EVENTS, pause_s=0.5))
    owner, other = system.entry("e1"), system.entry("e2")
    ids = [f"i{number}" for number in range(30)]
    assert owner.call("POST", "/batch/j", body=submission(*ids), request_id="j").status == 202
    eventually(lambda: server.seen, 3)
    time.sleep(0.7)
    assert other.call("DELETE", "/api/lots/j").status == 200
    started = len(server.seen)
    time.sleep(1.5)
    assert len(server.seen) == started
    assert other.call("DELETE", "/api/lots/j").status == 200
    assert owner.call("POST", "/batch/j", body=submission(*ids), request_id="j").status == 202


def test_a_job_whose_store_answer_is_lost_is_accepted_once(system: Deployment) -> None:
    system.server("engine", stream_events(EVENTS))
    entry = system.entry("e1")
    system.objects.faults.lose_answers = 1
    assert entry.call("POST", "/batch/j", body=submission("a"), request_id="j").status == 202
    _results_are_whole(eventually(lambda: finished(entry, "j"), 10), ["a"])


def test_without_the_store_a_new_job_is_refused_at_once_and_an_accepted_one_goes_on(
    system: Deployment,
) -> None:
    """The store refuses everything for some seconds. A refused job never runs; the accepted one
    runs on, and its results are there once the store is back."""
    server = system.server("engine", stream_events(EVENTS, pause_s=0.1))
    entry = system.entry("e1")
    assert entry.call("POST", "/batch/j", body=submission("a", "b"), request_id="j").status == 202
    system.objects.faults.status = 503
    began = time.monotonic()
    refused = entry.call("POST", "/batch/k", body=submission("c"), request_id="k")
    assert refused.status == 503
    assert float(refused.headers["retry-after"]) > 0
    assert time.monotonic() - began < 1.0
    assert read_results(entry, "k") == 503
    time.sleep(1.5)
    system.objects.faults.status = 0
    _results_are_whole(eventually(lambda: finished(entry, "j"), 5), ["a", "b"])
    assert "c" not in {each.request_id for each in server.seen}


def test_a_job_longer_than_one_object_is_kept_in_pieces(system: Deployment) -> None:
    """Input and results are longer than the store's objects may be. The job is accepted, survives
    its owner, and its results and bodies are whole."""
    words = "y" * 60_000

    def behave(request: ServedRequest, connection: ServerConnection) -> None:
        connection.start_events(request)
        for number in range(int(request.headers.get("last-event-id", "0")) + 1, 4):
            connection.event(number, words)
        connection.end_events()

    system.server("engine", behave)
    owner, other = system.entry("e1"), system.entry("e2")
    time.sleep(2.6)
    ids = [f"i{number}" for number in range(12)]
    items = json.loads(submission(*ids))["items"]
    for item in items:
        item["body"] = base64.b64encode(item["id"].encode() * 40_000).decode()
    body = json.dumps({"items": items}).encode()
    assert len(body) > 1_048_576
    assert owner.call("POST", "/batch/j", body=body, request_id="j").status == 202
    eventually(lambda: _read_all(other, "j"), 10)
    owner.signal(signal.SIGKILL)
    time.sleep(3.0)
    results = _read_all(other, "j")
    assert Counter(each["id"] for each in results) == Counter(ids)
    assert {each["text"] for each in results} == {"\n".join([words] * 3)}
    assert other.call("GET", "/api/items/j?id=i7").body == b"i7" * 40_000
    stored = list(system.objects.objects.values())
    assert max(len(json.dumps(value)) for value in stored) < 1_048_576


def test_the_waiting_quota_refuses_what_does_not_fit(system: Deployment) -> None:
    system.server("engine", stream_events(EVENTS, pause_s=2.0))
    entry = system.entry("e1")
    big = submission("a", "b", tokens=40_000)
    assert entry.call("POST", "/batch/j", body=big, request_id="j").status == 202
    over = entry.call("POST", "/batch/k", body=submission("c", tokens=30_000), request_id="k")
    assert over.status == 429
    assert float(over.headers["retry-after"]) > 0
    assert entry.call("POST", "/batch/j", body=big, request_id="j").status == 202


def test_online_takes_the_place_of_batch_which_resumes(system: Deployment) -> None:
    """Batch fills the only engine but for its reserve. Callers arrive and are served without
    waiting for an item to end; the items that gave way go on at their next event."""
    server = system.server("engine", stream_events(20, pause_s=0.1))
    entry = system.entry("e1")
    ids = [f"i{number}" for number in range(7)]
    assert entry.call("POST", "/batch/j", body=submission(*ids), request_id="j").status == 202
    eventually(lambda: len(server.seen) >= 7, 3)
    time.sleep(0.5)
    began = time.monotonic()
    assert entry.call("POST", "/stream/a", body=b"x", timeout=5).complete
    assert time.monotonic() - began < 2.6
    results = eventually(lambda: finished(entry, "j"), 20)
    assert {len(each["text"].split("\n")) for each in results} == {20}
