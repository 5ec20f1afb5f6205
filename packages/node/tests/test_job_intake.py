"""Tests of files, acceptance of jobs and the batch API over the in-memory store."""

from __future__ import annotations

import json
import random
from concurrent.futures import ThreadPoolExecutor
from functools import partial

import pytest
from hypothesis import given
from hypothesis import strategies as st
from openai.types import Batch, FileObject
from returns.result import Failure, Result, Success

from carobspool_core import BatchShaping, Job, Json, ObjectStore, job_from_json
from carobspool_core import Failure as RequestFailure
from carobspool_node.jobs._files import create_file, file_content, get_file
from carobspool_node.jobs._job_input import cut_chunks, input_lines, parse_line, read_items
from carobspool_node.jobs._job_intake import Submission, submit
from carobspool_node.jobs._jobs_api import JobsApi, make_jobs_api
from carobspool_standins.memory_store import FaultKind, FaultRule, MemoryObjects, MemoryStore

SHAPING = BatchShaping(chunk_items=10, max_items=1_000)
ENDPOINT = "/v1/chat/completions"


def _line(number: int, **changes: Json) -> bytes:
    line = {
        "custom_id": f"poem-{number}",
        "method": "POST",
        "url": ENDPOINT,
        "body": {"model": "reading-desk", "messages": []},
    }
    return json.dumps({**line, **changes}).encode()


def _file(store: ObjectStore, *lines: bytes) -> str:
    return (
        create_file(
            store,
            [b"\n".join(lines)],
            organisation="press",
            caller="editor",
            filename="poems.jsonl",
            purpose="batch",
            now=1.0,
        )
        .unwrap()
        .id
    )


def _submit(
    store: ObjectStore, file: str, *, key: str | None = None, **metadata: str
) -> Result[Job, RequestFailure]:
    submission = Submission(
        organisation="press",
        caller="editor",
        key=key,
        input_file=file,
        endpoint=ENDPOINT,
        metadata=metadata,
    )
    known = {"reading-desk"}
    return submit(store, submission, shaping=SHAPING, known_model=known.__contains__, now=2.0)


@pytest.fixture
def objects() -> MemoryObjects:
    """An empty store."""
    return MemoryObjects()


@pytest.fixture
def store(objects: MemoryObjects) -> MemoryStore:
    """A view of the store."""
    return MemoryStore(objects, "a")


def test_file_comes_back_byte_for_byte(store: MemoryStore) -> None:
    """A file of several parts, also one that does not compress, is read back as it was."""
    content = random.Random(7).randbytes(3_000_000)
    created = create_file(
        store,
        [content[start : start + 70_000] for start in range(0, len(content), 70_000)],
        organisation="press",
        caller="editor",
        filename="noise",
        purpose="batch",
        now=1.0,
    ).unwrap()
    found = get_file(store, "press", created.id).unwrap()
    assert b"".join(file_content(store, found)) == content
    assert get_file(store, "tabosa", created.id).failure().status == 404


@pytest.mark.parametrize(
    ("line", "code", "text"),
    [
        (b"{broken", "invalid_line", "not valid JSON"),
        (b"[1]", "invalid_line", "not a JSON object"),
        (b"[" * 100_000, "invalid_line", "not valid JSON"),
        (b'{"custom_id": NaN}', "invalid_line", "not valid JSON"),
        (b"\xff\xfe", "invalid_line", "not valid JSON"),
        (_line(3, custom_id=""), "invalid_line", "custom_id"),
        (_line(3, custom_id="\ud800"), "invalid_line", "surrogate"),
        (_line(3, method="GET"), "invalid_line", "method"),
        (_line(3, url="/v1/embeddings"), "invalid_line", "url"),
        (_line(3, body=None), "invalid_line", "body"),
        (_line(3, body={"model": 7}), "invalid_line", "model"),
        (_line(3, body={"model": "reading-desk", "stream": True}), "invalid_line", "stream"),
        (_line(3, idempotent="no"), "invalid_line", "idempotent"),
        (_line(3, body={"model": "x"}), "model_not_found", "no model"),
        (_line(1), "duplicate_custom_id", "poem-1"),
        (_line(3, body={"model": "reading-desk", "pad": "x" * 600_000}), "invalid_line", "longer"),
    ],
)
def test_bad_lines(
    objects: MemoryObjects, store: MemoryStore, line: bytes, code: str, text: str
) -> None:
    """A bad line is told with its number, and nothing of the job is accepted."""
    failure = _submit(store, _file(store, _line(1), _line(2), line)).failure()
    assert (failure.status, failure.code) == (400, code)
    assert failure.message.startswith("Line 3:")
    assert text in failure.message
    assert not [key for key in objects.json_by_key if key.startswith(("jobs/", "inputs/", "open/"))]


def test_limits(store: MemoryStore) -> None:
    """An empty file, too many items and an absent file are refused by name."""
    assert _submit(store, _file(store, b"\n")).failure().code == "empty_file"
    many = [_line(number) for number in range(1_001)]
    assert _submit(store, _file(store, *many)).failure().code == "too_many_items"
    assert _submit(store, "file-none").failure().status == 404


def test_resends_at_once_make_one_job(objects: MemoryObjects) -> None:
    """A client that resends its job three times to three entries at once has one job.

    Each entry writes the same inputs under the same names and creates the same job id; one creation
    wins, the others find the job and return it.
    """
    stores = [MemoryStore(objects, name) for name in "abc"]
    files = [_file(store, *map(_line, range(25))) for store in stores]
    for key in ("k", None):
        send = partial(_submit, key=key)
        with ThreadPoolExecutor(3) as pool:
            jobs = list(pool.map(send, stores, files))
        assert len({job.unwrap().id for job in jobs}) == 1
    assert len([key for key in objects.json_by_key if key.startswith("jobs/")]) == 2


def test_key_with_other_content(objects: MemoryObjects, store: MemoryStore) -> None:
    """The same key with another file or other metadata is a conflict."""
    job = _submit(store, _file(store, _line(1)), key="k").unwrap()
    assert _submit(store, _file(store, _line(2)), key="k").failure().status == 409
    assert _submit(store, _file(store, _line(1)), key="k", a="b").failure().status == 409
    assert _submit(store, _file(store, _line(1)), key="k").unwrap() == job


def test_other_content_cannot_leave_its_inputs_in_a_job(
    objects: MemoryObjects, store: MemoryStore
) -> None:
    """A submission that died half way leaves nothing in the next one's job.

    The first writes its inputs and is refused the job object; the second, with the same key and
    other content, is accepted. Its items are its own.
    """
    store.inject(FaultRule(kind=FaultKind.REFUSED, prefix="jobs/"))
    assert _submit(store, _file(store, _line(1)), key="k").failure().status == 503
    job = _submit(store, _file(store, _line(2)), key="k").unwrap()
    packed = objects.value(f"inputs/{job.input_id}/000000")["packed"]
    items = read_items(
        packed,
        job=job.id,
        chunk=0,
        endpoint=ENDPOINT,
        organisation="press",
        caller="editor",
        metadata={},
    )
    assert [item.custom_id for item in items] == ["poem-2"]


@pytest.mark.parametrize("prefix", ["inputs/", "open/", "jobs/"])
@pytest.mark.parametrize("kind", list(FaultKind))
def test_faults_at_each_write(
    objects: MemoryObjects, store: MemoryStore, prefix: str, kind: FaultKind
) -> None:
    """A caller told of success has a job; one told of a failure resends and finds the same one."""
    store.inject(FaultRule(kind=kind, prefix=prefix))
    file = _file(store, *map(_line, range(25)))
    first = _submit(store, file, key="k")
    if isinstance(first, Success):
        assert job_from_json(objects.value(f"jobs/{first.unwrap().id}")) == first.unwrap()
    else:
        assert first.failure().status == 503
    again = _submit(store, file, key="k").unwrap()
    assert job_from_json(objects.value(f"jobs/{again.id}")) == again
    assert sum(again.chunk_sizes) == 25


@given(
    sizes=st.lists(st.integers(min_value=0, max_value=4_000), min_size=1, max_size=60),
    chunk_bytes=st.integers(min_value=500, max_value=20_000),
)
def test_chunks_hold_all_lines_in_order(sizes: list[int], chunk_bytes: int) -> None:
    """However the lines are cut, each item stands in one chunk and in its order."""
    lines = [_line(number, pad="x" * size) for number, size in enumerate(sizes)]
    text = b"\n".join(lines)
    pieces = [text[start : start + 333] for start in range(0, len(text), 333)]
    shaping = BatchShaping(chunk_items=7, chunk_bytes=chunk_bytes)
    chunks = list(cut_chunks(input_lines(pieces), len(lines), shaping))
    found = [
        item.custom_id
        for number, chunk in enumerate(chunks)
        for item in read_items(
            chunk.packed,
            job="j",
            chunk=number,
            endpoint=ENDPOINT,
            organisation="press",
            caller="editor",
            metadata={},
        )
    ]
    assert found == [parse_line(line, ENDPOINT).unwrap().custom_id for line in lines]
    assert max(chunk.items for chunk in chunks) <= 7


@pytest.fixture
def api(store: MemoryStore) -> JobsApi:
    """The batch API over the store."""
    return make_jobs_api(
        store, shaping=lambda: SHAPING, known_model=lambda name: True, hint=lambda job: None
    )


def test_batch_api_shapes(api: JobsApi) -> None:
    """Files and batches have the fields that the openai client reads, newest first in lists."""
    content = [b"\n".join(map(_line, range(12)))]
    file = api.create_file(
        "press", "editor", filename="p.jsonl", purpose="batch", content=content
    ).unwrap()
    FileObject.model_validate(file)
    assert b"".join(api.file_content("press", file["id"]).unwrap().pieces) == content[0]
    body = {"input_file_id": file["id"], "endpoint": ENDPOINT, "completion_window": "24h"}
    batch = api.create_batch("press", "editor", body, idempotency_key="k").unwrap()
    Batch.model_validate(batch)
    assert batch["request_counts"] == {"total": 12, "completed": 0, "failed": 0}
    assert api.retrieve_batch("press", batch["id"]).unwrap() == batch
    assert api.list_batches("press").unwrap()["data"] == [batch]
    assert api.retrieve_batch("tabosa", batch["id"]).failure().status == 404
    cancelled = api.cancel_batch("press", "editor", batch["id"], reason="typo").unwrap()
    assert Batch.model_validate(cancelled).status == "cancelling"
    assert api.list_files("press").unwrap()["data"] == [file]
    assert api.delete_file("press", file["id"]).unwrap()["deleted"] is True
    assert api.retrieve_file("press", file["id"]).failure().status == 404
    assert api.list_files("tabosa").unwrap()["data"] == []


@pytest.mark.parametrize("body", [None, [], {}, {"input_file_id": 3, "endpoint": ENDPOINT}])
def test_bad_batch_bodies(api: JobsApi, body: Json) -> None:
    """A body that is no batch request is a 400."""
    result = api.create_batch("press", "editor", body, idempotency_key=None)
    assert isinstance(result, Failure)
    assert result.failure().status == 400
