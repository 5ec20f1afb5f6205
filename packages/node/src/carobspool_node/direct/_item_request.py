"""The requests with which batch items are sent to upstreams."""

from __future__ import annotations

import h11

from carobspool_core.direct import JobInput, JobItem
from carobspool_node.direct._errors import BadRequestError
from carobspool_node.direct._messages import (
    HeaderNames,
    Headers,
    end_to_end_headers,
    replace_credentials,
)
from carobspool_node.direct._upstream_calls import UpstreamRequest


def item_request(
    job: JobInput, item: JobItem, names: HeaderNames, *, instance: str, last_event: int
) -> UpstreamRequest:
    """Return the request of one run of an item.

    Args:
        job: The item's job.
        item: The item.
        names: Header names of the deployment.
        instance: Id of the upstream that runs the item.
        last_event: Id of the event after which the run resumes, 0 to begin.

    Raises:
        UnicodeEncodeError: The item holds a text that has no UTF-8 form.
    """
    replaced_names = (
        *(names.request_id, names.expect_instance, names.run_backup, names.run_from),
        *(b"host", b"content-length"),
    )
    given: Headers = [(key.encode(), value.encode()) for key, value in item.headers.items()]
    kept = replace_credentials(
        end_to_end_headers(given, without=replaced_names), names, job.organisation
    )
    headers = [(b"Host", job.host.encode()), *kept]
    headers.append((names.request_id, item.item_id.encode()))
    headers.append((names.expect_instance, instance.encode()))
    headers.append((b"Content-Length", str(len(item.body)).encode()))
    if last_event:
        headers.append((names.last_event, str(last_event).encode()))
    return UpstreamRequest(
        method=b"POST",
        target=item.path.encode(),
        headers=headers,
        body=item.body,
        request_id=item.item_id,
    )


def check_items(job: JobInput, names: HeaderNames) -> None:
    """Check that each item of a submitted job can be sent as an HTTP request.

    Raises:
        BadRequestError: An item cannot be sent. It would wait until its retention is over.
    """
    for item in job.items:
        try:
            request = item_request(job, item, names, instance="-", last_event=0)
            h11.Request(method=request.method, target=request.target, headers=request.headers)
        except (UnicodeEncodeError, h11.LocalProtocolError) as error:
            raise BadRequestError(
                f"item {ascii(item.item_id)} cannot be sent as a request: {error}", 400
            ) from error
