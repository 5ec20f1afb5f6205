"""Contract: the unmodified ``openai`` client library against an entry."""

from __future__ import annotations

import io
import json
from collections.abc import Iterator
from pathlib import Path

import openai
import pytest
from harness import MODEL, Site, SitePlan, batch_items, running_site

from carobspool_standins._cluster import Key

LIMITED = Key()


@pytest.fixture(scope="module")
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Site]:
    """Run a site with a caller that may send one request per minute."""
    with running_site(tmp_path_factory.mktemp("openai"), SitePlan(engines=1)) as running:
        state = running.desired_state()
        limited = {
            "id": "limited",
            "organisation": "hollowbrook",
            "key_hashes": [LIMITED.hash],
            "limits": {"requests_per_minute": 1.0},
        }
        running.apply_state(callers=[*state["callers"], limited])
        yield running


def _client(site: Site, *, entry: str = "entry-1", key: Key | None = None) -> openai.OpenAI:
    url = site.cluster.member(entry).url
    return openai.OpenAI(
        base_url=f"{url}/v1", api_key=(key or site.key).value, max_retries=0, timeout=30.0
    )


_MESSAGES = [{"role": "user", "content": "Summarise clause 4, please."}]


def test_models_are_listed(site: Site) -> None:
    """The declared models are listed and can be retrieved."""
    client = _client(site)
    assert [model.id for model in client.models.list()] == [MODEL]
    assert client.models.retrieve(MODEL).id == MODEL


def test_a_completion_without_stream(site: Site) -> None:
    """A chat completion without streaming has usage and a finish reason."""
    answer = _client(site).chat.completions.create(
        model=MODEL, messages=_MESSAGES, max_tokens=12, extra_body={"min_tokens": 12}
    )
    assert answer.choices[0].finish_reason in ("stop", "length")
    assert answer.usage is not None
    assert answer.usage.completion_tokens == 12


def test_a_completion_with_stream_has_the_same_text(site: Site) -> None:
    """The streamed chunks join to the text of the answer without streaming."""
    client = _client(site)
    whole = client.chat.completions.create(model=MODEL, messages=_MESSAGES, max_tokens=15)
    stream = client.chat.completions.create(
        model=MODEL, messages=_MESSAGES, max_tokens=15, stream=True
    )
    pieces = [
        choice.delta.content for chunk in stream for choice in chunk.choices if choice.delta.content
    ]
    assert len(pieces) > 1
    assert "".join(pieces) == whole.choices[0].message.content


def test_a_text_completion(site: Site) -> None:
    """The legacy text completion endpoint works as well."""
    answer = _client(site).completions.create(model=MODEL, prompt="Once", max_tokens=5)
    assert answer.choices[0].text


def test_a_batch_from_upload_to_results(site: Site) -> None:
    """Files and batches: upload, create, retrieve, list, wait, read the output on another entry."""
    client = _client(site)
    items = batch_items(12, name="openai")
    content = "".join(json.dumps(item) + "\n" for item in items).encode()
    upload = client.files.create(file=("in.jsonl", io.BytesIO(content)), purpose="batch")
    assert client.files.retrieve(upload.id).bytes == len(content)
    assert client.files.content(upload.id).read() == content
    batch = client.batches.create(
        input_file_id=upload.id, endpoint="/v1/chat/completions", completion_window="24h"
    )
    site.wait_batch_ended(batch.id)
    other = _client(site, entry="entry-2")
    done = other.batches.retrieve(batch.id)
    assert done.status == "completed"
    assert done.request_counts is not None
    assert done.request_counts.completed == len(items)
    assert done.output_file_id is not None
    lines = other.files.content(done.output_file_id).read().splitlines()
    assert {json.loads(line)["custom_id"] for line in lines} == {
        item["custom_id"] for item in items
    }
    assert batch.id in [each.id for each in other.batches.list()]


def test_a_batch_is_cancelled(site: Site) -> None:
    """A cancel is answered with status cancelling or cancelled, and the batch ends cancelled."""
    client = _client(site)
    batch = site.submit_batch(batch_items(200, tokens=200, name="cancel"))
    cancelled = client.batches.cancel(batch["id"])
    assert cancelled.status in ("cancelling", "cancelled")
    assert site.wait_batch_ended(batch["id"])["status"] == "cancelled"


def test_each_error_has_its_exception(site: Site) -> None:
    """The library raises its own exception types for 401, 404, 409, 422 and 429."""
    with pytest.raises(openai.AuthenticationError):
        _client(site, key=Key()).models.list()
    client = _client(site)
    with pytest.raises(openai.NotFoundError) as missing:
        client.chat.completions.create(model="nobody", messages=_MESSAGES)
    assert missing.value.code == "model_not_found"
    limited = _client(site, key=LIMITED)
    limited.chat.completions.create(model=MODEL, messages=_MESSAGES, max_tokens=2)
    with pytest.raises(openai.RateLimitError) as refused:
        limited.chat.completions.create(model=MODEL, messages=_MESSAGES, max_tokens=2)
    assert int(refused.value.response.headers["Retry-After"]) > 0
    headers = {"Idempotency-Key": "same"}
    client.chat.completions.create(
        model=MODEL, messages=_MESSAGES, max_tokens=2, extra_headers=headers
    )
    with pytest.raises(openai.UnprocessableEntityError):
        client.chat.completions.create(
            model=MODEL, messages=_MESSAGES, max_tokens=3, extra_headers=headers
        )


def test_a_second_batch_under_the_same_key_conflicts(site: Site) -> None:
    """The same key with the same content is the same batch; with other content it conflicts."""
    client = _client(site)
    headers = {"Idempotency-Key": "batch-key"}
    first = site.upload_items(batch_items(2, name="one"))
    second = site.upload_items(batch_items(2, name="two"))
    made = [
        client.batches.create(
            input_file_id=first,
            endpoint="/v1/chat/completions",
            completion_window="24h",
            extra_headers=headers,
        ).id
        for _ in range(2)
    ]
    assert made[0] == made[1]
    with pytest.raises(openai.ConflictError):
        client.batches.create(
            input_file_id=second,
            endpoint="/v1/chat/completions",
            completion_window="24h",
            extra_headers=headers,
        )


def test_no_upstream_is_the_library_s_server_error(tmp_path: Path) -> None:
    """Without an upstream the library raises its error for 503, with outcome "not run"."""
    with running_site(tmp_path, SitePlan(entries=1, engines=1)) as site:
        site.cluster.stop("sidecar-1")
        client = _client(site)
        with pytest.raises(openai.InternalServerError) as refused:
            client.chat.completions.create(model=MODEL, messages=_MESSAGES)
        assert refused.value.status_code == 503
        assert refused.value.response.headers["carobspool-outcome"] == "not_run"
        assert "Retry-After" in refused.value.response.headers
