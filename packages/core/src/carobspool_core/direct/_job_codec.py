"""Conversion of batch job records to and from the JSON values in the object store."""

from __future__ import annotations

import base64
import binascii
from collections import Counter
from typing import Annotated, Any

from msgspec.structs import replace

from carobspool_core._ports import Json
from carobspool_core.direct._item_work import JobItem, PartialItem
from carobspool_core.direct._job_work import ItemOutcome, ItemResult, JobInput, JobProgress
from carobspool_core.direct._upstreams import UNKNOWN_VERSION
from carobspool_core.problems import Problem, UnusableRecordError
from carobspool_core.records import Bounds, Record, ValidatedBy, field, read_record

MAX_COUNT = 2**53
"""Largest whole number that every JSON reader keeps exact, and that can become a float."""


def _checked_text(value: Any) -> str:
    if not isinstance(value, str):
        raise ValueError("a string")
    return value


Text = Annotated[str, ValidatedBy(_checked_text)]
"""A string that may contain lone surrogates, which a validated ``str`` rejects. They represent
bytes of an upstream's answer that are not UTF-8, and a job with such a result must stay
readable."""

_OUTCOME_VALUES = tuple(each.value for each in ItemOutcome)
_Row = Annotated[list[Text], Bounds(min_length=3, max_length=3)]


def _checked_partial_item(value: Any) -> PartialItem:
    match value:
        case [int() as last_event, str() as text] if last_event >= 0:
            return PartialItem(last_event=last_event, text=text)
    raise ValueError("a list of the last event id and a string")


_PartialItem = Annotated[PartialItem, ValidatedBy(_checked_partial_item)]


class _Item(Record):
    id: Text
    path: Text
    headers: dict[Text, Text]
    body: Text
    tokens: int = field(ge=-MAX_COUNT, le=MAX_COUNT)


class _Job(Record):
    host: Text
    path: Text
    owner: Text
    submitted: float
    items: list[_Item]
    organisation: Text | None = None


class _Progress(Record):
    owner: Text
    ended: bool
    total: int = field(ge=0, le=MAX_COUNT)
    results: list[_Row]
    failures: dict[Text, Annotated[int, Bounds(ge=-MAX_COUNT, le=MAX_COUNT)]]
    parts: dict[Text, _PartialItem] = {}
    parts_version: Text = UNKNOWN_VERSION
    part_versions: dict[Text, Text] = {}


def job_to_json(job: JobInput) -> Json:
    """Convert the input of a job to its stored form."""
    record = {
        "host": job.host,
        "path": job.path,
        "owner": job.owner,
        "submitted": job.submitted,
        "items": [
            {
                "id": item.item_id,
                "path": item.path,
                "headers": dict(item.headers),
                "body": base64.b64encode(item.body).decode(),
                "tokens": item.tokens,
            }
            for item in job.items
        ],
    }
    if job.organisation is not None:
        record["organisation"] = job.organisation
    return record


def job_from_json(job_id: str, value: Json) -> JobInput:
    """Read the input of a job from its stored form.

    Raises:
        UnusableRecordError: The value is not a valid job input.
    """
    model = read_record(_Job, value)
    return JobInput(
        job_id=job_id,
        host=model.host,
        path=model.path,
        owner=model.owner,
        submitted=model.submitted,
        items=tuple(
            JobItem(
                item_id=item.id,
                path=item.path,
                headers=item.headers,
                body=_decoded_body(item, number),
                tokens=item.tokens,
            )
            for number, item in enumerate(model.items)
        ),
        organisation=model.organisation,
    )


def progress_to_json(progress: JobProgress) -> Json:
    """Convert the progress of a job to its stored form.

    The software versions of the parts stand beside them, since entries of the previous version read
    a part of two elements only: one version for all, and those of the parts that differ from it.
    """
    versions = {key: each.version for key, each in progress.parts.items()}
    usual = Counter(versions.values()).most_common(1)[0][0] if versions else UNKNOWN_VERSION
    return {
        "owner": progress.owner,
        "ended": progress.ended,
        "total": progress.total,
        "results": [[each.item_id, each.outcome.value, each.text] for each in progress.results],
        "failures": dict(progress.failures),
        "parts": {key: [each.last_event, each.text] for key, each in progress.parts.items()},
        "parts_version": usual,
        "part_versions": {key: each for key, each in versions.items() if each != usual},
    }


def progress_from_json(value: Json) -> JobProgress:
    """Read the progress of a job from its stored form.

    Raises:
        UnusableRecordError: The value is not a valid job progress.
    """
    model = read_record(_Progress, value)
    return JobProgress(
        owner=model.owner,
        ended=model.ended,
        total=model.total,
        results=_results(model.results),
        failures=model.failures,
        parts={
            key: replace(each, version=model.part_versions.get(key, model.parts_version))
            for key, each in model.parts.items()
        },
    )


class _Results(Record):
    results: list[_Row]


def results_from_json(value: Json) -> tuple[ItemResult, ...]:
    """Read results in the form that stored progress and answers of peers contain.

    Raises:
        UnusableRecordError: The value is not a valid list of results.
    """
    return _results(read_record(_Results, {"results": value}).results)


def _results(rows: list[list[str]]) -> tuple[ItemResult, ...]:
    results = []
    for number, (item_id, outcome, text) in enumerate(rows):
        if outcome not in _OUTCOME_VALUES:
            raise _unusable_record(
                f"results[{number}][1]", repr(outcome[:80]), ", ".join(_OUTCOME_VALUES)
            )
        results.append(ItemResult(item_id=item_id, outcome=ItemOutcome(outcome), text=text))
    return tuple(results)


def _decoded_body(item: _Item, number: int) -> bytes:
    try:
        return base64.b64decode(item.body, validate=True)
    except (ValueError, binascii.Error) as error:
        raise _unusable_record(f"items[{number}].body", str(error), "base64") from error


def _unusable_record(path: str, found: str, allowed: str) -> UnusableRecordError:
    return UnusableRecordError([Problem(file="", path=path, found=found[:80], allowed=allowed)])
