"""Listings relayed by a peer, with objects that cannot be encoded or are invalid."""

from __future__ import annotations

import json

import cbor2
import pytest
from returns.result import Success

from carobspool_core import ObjectPage, StoredObject
from carobspool_core.problems import UnusableRecordError
from carobspool_node.direct._store_relay import decode_store_result, encode_store_result


def test_an_object_that_cannot_be_encoded_does_not_spoil_a_relayed_listing() -> None:
    objects = [
        StoredObject(key="servers/a", version=1, value={"n": 1}),
        StoredObject(key="servers/b", version=2, value={"n": "\ud800"}),
        StoredObject(key="servers/c", version=3, value={"n": 3}),
    ]
    page = ObjectPage(revision=9, objects=objects, more=False, unreadable=2)
    sent = cbor2.loads(cbor2.dumps(encode_store_result(Success(page))))
    found = decode_store_result("servers/", sent).unwrap()
    assert [each.value for each in found.objects] == [{"n": 1}, None, {"n": 3}]
    assert (found.revision, found.unreadable) == (9, 2)


@pytest.mark.parametrize("number", ["NaN", "-Infinity", "1e999"])
def test_an_object_with_a_number_that_is_not_finite_is_relayed_without_its_value(
    number: str,
) -> None:
    """Guards against an answer that the asking entry refuses: it would take the store for
    unreachable, and not the one object for unreadable."""
    value = json.loads(f'{{"n": [1, {number}]}}')
    stored = StoredObject(key="jobs/a", version=4, value=value)
    sent = cbor2.loads(cbor2.dumps(encode_store_result(Success(stored))))
    found = decode_store_result("jobs/a", sent).unwrap()
    assert found == StoredObject(key="jobs/a", version=4, value=None)


def test_an_invalid_relayed_object_is_counted_and_the_others_are_kept() -> None:
    good = ["servers/a", 1, {"n": 1}]
    bad = [None, [], ["servers/b"], ["servers/b", "1", {}], [7, 1, {}], ["jobs/j", 1, {}]]
    answer = {"revision": 9, "more": False, "objects": [*bad, good]}
    found = decode_store_result("servers/", answer).unwrap()
    assert [each.key for each in found.objects] == ["servers/a"]
    assert found.unreadable == len(bad)


@pytest.mark.parametrize("answer", [None, [], {}, {"objects": []}, {"fault": "new"}, {"value": 1}])
def test_an_invalid_answer_of_a_peer_is_rejected(answer: object) -> None:
    with pytest.raises(UnusableRecordError):
        decode_store_result("servers/", answer)
