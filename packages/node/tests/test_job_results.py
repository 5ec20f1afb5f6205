"""Tests of result lines and their packing."""

from __future__ import annotations

import json
import random

import pytest

from carobspool_core import BatchItem, ItemOutcome
from carobspool_node.jobs._job_results import ItemResult, item_result, pack_results
from carobspool_node.store._packing import MAX_PACKED_CHARACTERS

ITEM = BatchItem(
    job="batch_1",
    chunk=0,
    index=3,
    custom_id="poem-3",
    method="POST",
    path="/v1/completions",
    body=b"{}",
    model="m",
    organisation="press",
    caller="editor",
)


@pytest.mark.parametrize(
    ("body", "read"),
    [
        (b'{"text": "Ma\xc3\xb1ana"}', {"text": "Mañana"}),
        (b'{"text": "cut \\ud83d"}', {"text": "cut \ud83d"}),
        (b'{"score": NaN}', '{"score": NaN}'),
        (b"\xff not JSON", "� not JSON"),
        (b"[" * 50_000, "[" * 50_000),
    ],
)
def test_any_answer_makes_a_line(body: bytes, read: object) -> None:
    """Whatever an upstream answers, the result is one line of JSON that can be stored."""
    result = item_result(ITEM, ItemOutcome(status=200, body=body, request_id="r"))
    assert "\n" not in result.line
    assert json.loads(result.line.encode())["response"]["body"] == read
    assert pack_results([result])[0][0].completed == 1


def test_large_results_are_split_and_a_hopeless_one_is_an_error() -> None:
    """Results that fill no single value go to several parts; one too large for any is an error."""
    noise = random.Random(5)
    results = [
        ItemResult(
            index=index,
            failed=False,
            line=json.dumps({"response": noise.randbytes(size).hex(), "error": None}),
        )
        for index, size in enumerate([300_000, 300_000, 2_000_000])
    ]
    packed = pack_results(results)
    assert all(len(payload) <= MAX_PACKED_CHARACTERS for _, payload in packed)
    assert [part.spans for part, _ in packed] == [((0, 1),), ((1, 2),), ((2, 3),)]
    assert [part.failed for part, _ in packed if part.spans == ((2, 3),)] == [1]
