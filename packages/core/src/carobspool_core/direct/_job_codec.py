"""Job records as JSON values for the object store."""

from __future__ import annotations

import base64

from carobspool_core._ports import Json
from carobspool_core.direct._job_work import (
    ItemEnd,
    ItemPart,
    ItemResult,
    JobInput,
    JobItem,
    JobProgress,
)


def job_to_json(job: JobInput) -> Json:
    """Return the stored form of a job's input."""
    return {
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


def job_from_json(job_id: str, value: Json) -> JobInput:
    """Read the stored form of a job's input.

    Raises:
        KeyError, TypeError, ValueError: It is not one.
    """
    return JobInput(
        job_id=job_id,
        host=value["host"],
        path=value["path"],
        owner=value["owner"],
        submitted=value["submitted"],
        items=tuple(
            JobItem(
                item_id=item["id"],
                path=item["path"],
                headers=item["headers"],
                body=base64.b64decode(item["body"]),
                tokens=item["tokens"],
            )
            for item in value["items"]
        ),
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
        KeyError, TypeError, ValueError: It is not one.
    """
    return JobProgress(
        owner=value["owner"],
        ended=value["ended"],
        total=value["total"],
        results=tuple(
            ItemResult(item_id=item_id, end=ItemEnd(end), text=text)
            for item_id, end, text in value["results"]
        ),
        failures=value["failures"],
        parts={
            key: ItemPart(last_event=last_event, text=text)
            for key, (last_event, text) in value.get("parts", {}).items()
        },
    )
