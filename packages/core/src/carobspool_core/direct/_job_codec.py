"""Job records as JSON values for the object store."""

from __future__ import annotations

import base64
import binascii
from typing import Annotated, Any

from carobspool_core._ports import Json
from carobspool_core.direct._job_work import (
    ItemEnd,
    ItemPart,
    ItemResult,
    JobInput,
    JobItem,
    JobProgress,
)
from carobspool_core.problems import Problem, UnusableRecordError
from carobspool_core.records import Bounds, Record, ValidatedBy, field, read_record


def _checked_text(value: Any) -> str:
    if not isinstance(value, str):
        raise ValueError("a text")
    return value


Text = Annotated[str, ValidatedBy(_checked_text)]
"""Any text. A validated ``str`` has no halves of surrogate pairs, but those stand for the bytes of
an upstream's answer that are no UTF-8, and a job with such a result must stay readable."""

_ENDS = tuple(each.value for each in ItemEnd)
_Row = Annotated[list[Text], Bounds(min_length=3, max_length=3)]


def _checked_part(value: Any) -> ItemPart:
    match value:
        case [int() as last_event, str() as text] if last_event >= 0:
            return ItemPart(last_event=last_event, text=text)
    raise ValueError("a list of the last event's number and a text")


_Part = Annotated[ItemPart, ValidatedBy(_checked_part)]


class _Item(Record):
    id: Text
    path: Text
    headers: dict[Text, Text]
    body: Text
    tokens: int


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
    total: int = field(ge=0)
    results: list[_Row]
    failures: dict[Text, int]
    parts: dict[Text, _Part] = {}


def job_to_json(job: JobInput) -> Json:
    """Return the stored form of a job's input."""
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
    """Read the stored form of a job's input.

    Raises:
        UnusableRecordError: It is not one.
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
                body=_body(item, number),
                tokens=item.tokens,
            )
            for number, item in enumerate(model.items)
        ),
        organisation=model.organisation,
    )


def progress_to_json(progress: JobProgress) -> Json:
    """Return the stored form of a job's progress."""
    return {
        "owner": progress.owner,
        "ended": progress.ended,
        "total": progress.total,
        "results": [[each.item_id, each.end.value, each.text] for each in progress.results],
        "failures": dict(progress.failures),
        "parts": {key: [each.last_event, each.text] for key, each in progress.parts.items()},
    }


def progress_from_json(value: Json) -> JobProgress:
    """Read the stored form of a job's progress.

    Raises:
        UnusableRecordError: It is not one.
    """
    model = read_record(_Progress, value)
    return JobProgress(
        owner=model.owner,
        ended=model.ended,
        total=model.total,
        results=_results(model.results),
        failures=model.failures,
        parts=model.parts,
    )


class _Results(Record):
    results: list[_Row]


def results_from_json(value: Json) -> tuple[ItemResult, ...]:
    """Read results as they stand in a progress, or in a peer's answer.

    Raises:
        UnusableRecordError: They are none.
    """
    return _results(read_record(_Results, {"results": value}).results)


def _results(rows: list[list[str]]) -> tuple[ItemResult, ...]:
    found = []
    for number, (item_id, end, text) in enumerate(rows):
        if end not in _ENDS:
            raise _unusable(f"results[{number}][1]", repr(end[:80]), ", ".join(_ENDS))
        found.append(ItemResult(item_id=item_id, end=ItemEnd(end), text=text))
    return tuple(found)


def _body(item: _Item, number: int) -> bytes:
    try:
        return base64.b64decode(item.body, validate=True)
    except (ValueError, binascii.Error) as error:
        raise _unusable(f"items[{number}].body", str(error), "base64") from error


def _unusable(path: str, found: str, allowed: str) -> UnusableRecordError:
    return UnusableRecordError([Problem(file="", path=path, found=found[:80], allowed=allowed)])
