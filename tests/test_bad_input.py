"""Bad input at an entry: a typed refusal, nothing partially accepted, and no crash."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

import pytest
from harness import Site, SitePlan, batch_items, chat_body, running_site, upload_file

from carobspool_standins._cluster import Key


@pytest.fixture(scope="module")
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Site]:
    """Run a site with one entry."""
    plan = SitePlan(entries=1, engines=1, plain_services=1)
    with running_site(tmp_path_factory.mktemp("bad"), plan) as running:
        yield running


def _assert_refused(reply: Any, status: int, code: str) -> dict[str, Any]:
    assert reply.status == status, reply.text
    error: dict[str, Any] = reply.json["error"]
    assert error["code"] == code
    assert error["outcome"] == "not_run"
    assert error["message"]
    assert error["type"]
    assert reply.headers["carobspool-outcome"] == "not_run"
    return error


@pytest.mark.parametrize(
    ("path", "body", "status", "code"),
    [
        ("/v1/chat/completions", b"{", 400, "invalid_json"),
        ("/v1/chat/completions", b"[]", 400, "invalid_body"),
        ("/v1/chat/completions", b'{"model":"x","messages":[{}]}', 404, "model_not_found"),
        ("/v1/batches", b"{", 400, "invalid_json"),
        ("/v1/batches", b"{}", 400, "invalid_batch"),
        ("/v1/nothing", b"{}", 404, "route_not_found"),
        ("/services/nobody/x", b"", 404, "service_not_found"),
        ("/services/orders/x", b"", 404, "route_not_found"),
    ],
)
def test_malformed_requests(site: Site, path: str, body: bytes, status: int, code: str) -> None:
    """Each kind of mistake has its own status and code, and the next request is served."""
    _assert_refused(site.caller().call("POST", path, body=body), status, code)
    assert site.chat("still there?", tokens=2).status == 200


def test_a_bad_key(site: Site) -> None:
    """An unknown key is refused with 401."""
    _assert_refused(site.chat("x", key=Key()), 401, "invalid_api_key")


def test_a_callers_key_cannot_operate(site: Site) -> None:
    """A caller cannot change the configuration."""
    _assert_refused(site.caller().call("GET", "/operator/config"), 403, "operator_only")


def test_a_body_over_the_limit(site: Site) -> None:
    """A body over the limit is refused before it is read."""
    text = "x" * (17 * 1024 * 1024)
    _assert_refused(site.chat(text), 413, "body_too_large")


def test_a_line_that_does_not_parse_is_named(site: Site) -> None:
    """A JSONL line that is not JSON is refused with its number; no job is created."""
    before = len(site.caller().call("GET", "/v1/batches").json["data"])
    good = json.dumps(batch_items(1)[0])
    file_id = upload_file(site.caller(), f"{good}\n{{broken\n".encode()).json["id"]
    reply = site.create_batch(file_id)
    assert reply.status == 400
    assert "line 2" in reply.json["error"]["message"].lower()
    assert len(site.caller().call("GET", "/v1/batches").json["data"]) == before


def test_a_custom_id_that_comes_twice(site: Site) -> None:
    """Two items with one custom_id are refused, and the error names the id."""
    item = batch_items(1, name="twice")[0]
    file_id = site.upload_items([item, item])
    reply = site.create_batch(file_id)
    assert reply.status == 400
    assert "twice-0" in reply.json["error"]["message"]


def test_an_item_with_an_unknown_model(site: Site) -> None:
    """An item that names no declared model is refused before anything runs."""
    item = batch_items(1, name="unknown")[0]
    item["body"] = {**chat_body("x"), "model": "nobody"}
    reply = site.create_batch(site.upload_items([item]))
    assert reply.status in (400, 404)
    assert "nobody" in reply.json["error"]["message"]


def test_files_of_another_organisation_are_not_found(site: Site) -> None:
    """An organisation sees neither another's files nor its batches."""
    batch = site.submit_batch(batch_items(1, name="private"))
    stranger = site.cluster.client("entry-1", site.other_key)
    _assert_refused(stranger.call("GET", f"/v1/batches/{batch['id']}"), 404, "batch_not_found")
    _assert_refused(
        stranger.call("GET", f"/v1/files/{batch['input_file_id']}"), 404, "file_not_found"
    )
