"""Promise: an accepted item completes exactly once, and its result stays readable."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from harness import Plan, Site, batch_items, chat_body, in_threads, running_site
from history import items_without_one_result

pytestmark = pytest.mark.promise("accepted items complete exactly once")
ITEMS = 120
TTL_MS = 2_000
PLAN = Plan(
    entries=3,
    engine={"step_base_ms": 10.0, "step_stream_ms": 0.1, "slots": 8},
    entry={"lease_ttl_ms": TTL_MS},
    state={"batch": {"chunk_items": 16}},
)


def _check(site: Site, items: list[dict[str, Any]], batch_id: str, *, entry: str) -> None:
    batch = site.wait_ended(batch_id, entry=entry, seconds=90.0)
    assert batch["status"] == "completed", batch
    assert batch["request_counts"]["total"] == len(items)
    assert items_without_one_result(items, site.results(batch, entry=entry)) == []


def test_the_accepting_entry_dies_right_after_its_answer(tmp_path: Path) -> None:
    """The caller sees its job done although the entry that accepted it was killed at once.

    The 200 comes back and the entry is killed before it can start anything. The others find the
    job in the store and run it.
    """
    with running_site(tmp_path, PLAN) as site:
        items = batch_items(ITEMS)
        batch = site.submit(items, entry="entry-1")
        site.cluster.kill("entry-1")
        _check(site, items, batch["id"], entry="entry-2")


@pytest.mark.parametrize("twice", [False, True])
def test_the_owner_of_a_chunk_dies_half_way(tmp_path: Path, twice: bool) -> None:
    """The caller sees each item once, although entries that held chunks were killed.

    Items run on three entries when one is killed, and in the second case another two seconds
    later. The survivors wait for the leases to expire and take the chunks over.
    """
    with running_site(tmp_path, PLAN) as site:
        items = batch_items(ITEMS, tokens=40)
        batch = site.submit(items, entry="entry-1")
        time.sleep(1.0)
        site.cluster.kill("entry-2")
        if twice:
            time.sleep(2.0)
            site.cluster.kill("entry-3")
        _check(site, items, batch["id"], entry="entry-1")


def test_a_frozen_owner_thaws_after_its_lease(tmp_path: Path) -> None:
    """The caller sees each item once, although an entry slept past its lease and woke.

    Its chunks are taken over while it sleeps. On waking it holds results and claims of the past;
    its commits fail on the version of the chunk states.
    """
    with running_site(tmp_path, PLAN) as site:
        items = batch_items(ITEMS, tokens=40)
        batch = site.submit(items, entry="entry-1")
        time.sleep(1.0)
        site.cluster.freeze("entry-3")
        time.sleep(3 * TTL_MS / 1000.0)
        site.cluster.thaw("entry-3")
        _check(site, items, batch["id"], entry="entry-1")
        assert_same_everywhere(site, batch["id"])


def test_the_store_is_down_in_the_middle(tmp_path: Path) -> None:
    """The caller sees its job done after an outage of the store, each item once.

    The store answers nothing for thirty seconds while items run. Claimed items go on, nothing new
    is claimed, results are committed when the store is back.
    """
    with running_site(tmp_path, PLAN) as site:
        items = batch_items(ITEMS, tokens=40)
        batch = site.submit(items, entry="entry-1")
        time.sleep(1.0)
        site.cluster.faults("objects", outage=True)
        time.sleep(30.0)
        site.cluster.faults("objects")
        _check(site, items, batch["id"], entry="entry-2")


@pytest.mark.parametrize(
    ("prefix", "operations"),
    [
        ("chunks/", ["create", "update"]),
        ("jobs/", ["create"]),
        ("jobs/", ["update"]),
        ("inputs/", ["create"]),
        ("files/", ["create"]),
        ("nodes/", ["update"]),
    ],
)
def test_an_answer_of_the_store_is_lost(tmp_path: Path, prefix: str, operations: list[str]) -> None:
    """The caller sees its job done, each item once, when answers to writes are lost.

    Six writes take effect and their answers are cut off. Each writer finds by reading back that
    the write was its own.
    """
    with running_site(tmp_path, PLAN) as site:
        site.cluster.faults(
            "objects", lose_answer={"prefix": prefix, "ops": operations, "count": 6}
        )
        items = batch_items(ITEMS // 2)
        batch = site.submit(items, entry="entry-1")
        _check(site, items, batch["id"], entry="entry-2")


def test_a_client_resends_to_three_entries_at_once(tmp_path: Path) -> None:
    """The caller sees one job, whichever entry answers; other content under its key is refused."""
    with running_site(tmp_path, PLAN) as site:
        items = batch_items(ITEMS // 2)
        file_id = site.upload(items)
        headers = {"Idempotency-Key": "proofs of the evening"}
        replies = in_threads(
            [
                lambda entry=entry: site.create_batch(  # type: ignore[misc]
                    file_id, entry=entry, headers=headers
                )
                for entry in site.entries
            ]
        )
        ids = {reply.json["id"] for reply in replies if reply.status == 200}
        assert len(ids) == 1, [reply.text for reply in replies]
        other = site.upload(batch_items(3, name="other"))
        refused = site.create_batch(other, headers=headers)
        assert refused.status == 409, refused.text
        _check(site, items, ids.pop(), entry="entry-3")


def test_an_item_that_can_never_complete(tmp_path: Path) -> None:
    """The caller sees the job end: the impossible item as an error, all others completed."""
    with running_site(tmp_path, PLAN) as site:
        items = batch_items(30)
        items[7]["body"] = {**chat_body("never"), "messages": "not a list"}
        batch = site.create_batch(site.upload(items))
        if batch.status != 200:
            # Refused whole at the border is the better answer; nothing was accepted.
            assert batch.json["error"]["outcome"] == "not_run"
            return
        done = site.wait_ended(batch.json["id"])
        results = site.results(done)
        assert items_without_one_result(items, results) == []
        bad = [each for each in results if each["custom_id"] == "item-7"]
        assert bad[0]["error"] is not None or bad[0]["response"]["status_code"] >= 400


def test_results_outlive_every_process(tmp_path: Path) -> None:
    """The caller reads the same bytes after all entries and sidecars were replaced."""
    with running_site(tmp_path, PLAN) as site:
        items = batch_items(ITEMS // 2)
        batch = site.submit(items)
        done = site.wait_ended(batch["id"])
        before = site.content(done["output_file_id"])
        for name in [*site.entries, "sidecar-1", "sidecar-2"]:
            site.cluster.kill(name)
        for name in ["sidecar-1", "sidecar-2", *site.entries]:
            site.cluster.restart(name)
        site.wait_ready()
        for entry in site.entries:
            assert site.content(done["output_file_id"], entry=entry) == before


def assert_same_everywhere(site: Site, batch_id: str) -> None:
    """Check that every entry shows the same results, byte for byte."""
    contents = set()
    for entry in site.entries:
        batch = site.batch(batch_id, entry=entry)
        contents.add(site.content(batch["output_file_id"], entry=entry))
    assert len(contents) == 1


def test_two_faults_together(tmp_path: Path) -> None:
    """The caller sees each item once through an outage and the death of an owner during it."""
    with running_site(tmp_path, PLAN) as site:
        items = batch_items(ITEMS, tokens=30)
        batch = site.submit(items, entry="entry-1")
        time.sleep(0.8)

        def outage() -> None:
            site.cluster.faults("objects", outage=True)
            time.sleep(5.0)
            site.cluster.faults("objects")

        def death() -> None:
            time.sleep(1.0)
            site.cluster.kill("entry-2")
            time.sleep(1.0)
            site.cluster.kill("engine-2")

        threads: list[Callable[[], None]] = [outage, death]
        running = [threading.Thread(target=each) for each in threads]
        for thread in running:
            thread.start()
        for thread in running:
            thread.join()
        _check(site, items, batch["id"], entry="entry-1")
