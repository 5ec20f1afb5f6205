"""Files and batches as the OpenAI API shows them: what the entry's HTTP layer calls."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Result, Success

from carobspool_core import (
    BatchShaping,
    Job,
    Json,
    ObjectStore,
    invalid_request,
    job_from_json,
    organisation_digest,
    wall_millis,
)
from carobspool_core import Failure as RequestFailure
from carobspool_node.jobs._files import (
    create_file,
    delete_file,
    file_content,
    file_not_found,
    get_file,
    list_files,
)
from carobspool_node.jobs._job_changes import cancel, get_job
from carobspool_node.jobs._job_intake import Submission, submit
from carobspool_node.jobs._job_results import result_content, result_file_job
from carobspool_node.jobs._openai_objects import (
    COMPLETION_WINDOW,
    DEFAULT_LIMIT,
    MAX_LIMIT,
    batch_object,
    file_object,
    page,
    result_file_object,
)
from carobspool_node.store import iterate_objects, request_failure


class _BatchRequest(BaseModel):
    model_config = ConfigDict(extra="ignore", strict=True)

    input_file_id: str
    endpoint: str
    completion_window: str = COMPLETION_WINDOW
    metadata: dict[str, str] | None = Field(default=None)


@dataclass(frozen=True, slots=True, kw_only=True)
class FileContent:
    """A file's content; ``pieces`` raises `ContentUnavailableError` when it breaks off."""

    size: int
    pieces: Iterator[bytes]


class JobsApi:
    """The calls on files and batches. Made by `make_jobs_api`; keeps nothing between calls."""

    def __init__(
        self,
        store: ObjectStore,
        shaping: Callable[[], BatchShaping],
        known_model: Callable[[str], bool],
        hint: Callable[[Job], None],
    ) -> None:
        self._store = store
        self._shaping = shaping
        self._known_model = known_model
        self._hint = hint

    def create_file(
        self,
        organisation: str,
        caller: str,
        *,
        filename: str,
        purpose: str,
        content: Iterable[bytes],
    ) -> Result[Json, RequestFailure]:
        """Store an uploaded file."""
        created = create_file(
            self._store,
            content,
            organisation=organisation,
            caller=caller,
            filename=filename,
            purpose=purpose,
            now=wall_millis(),
        )
        return created.map(file_object)

    def retrieve_file(self, organisation: str, file_id: str) -> Result[Json, RequestFailure]:
        """Return a file's description."""
        result = result_file_job(file_id)
        if result is None:
            return get_file(self._store, organisation, file_id).map(file_object)
        job = self._result_job(organisation, file_id, result[0])
        return job.map(lambda found: result_file_object(found, failed=result[1]))

    def list_files(
        self,
        organisation: str,
        *,
        purpose: str | None = None,
        after: str | None = None,
        limit: int = MAX_LIMIT,
    ) -> Result[Json, RequestFailure]:
        """Return uploaded files, the newest first. Result files are named by their batches."""
        found = list_files(self._store, organisation)
        if isinstance(found, Failure):
            return Failure(found.failure())
        records = [each for each in found.unwrap() if purpose in (None, each.purpose)]
        return Success(page([file_object(each) for each in records], after, limit))

    def delete_file(self, organisation: str, file_id: str) -> Result[Json, RequestFailure]:
        """Delete an uploaded file; results of batches stay."""
        if result_file_job(file_id) is not None:
            text = "Result files belong to their batch and cannot be deleted."
            return Failure(invalid_request("file_not_deletable", text))
        deleted = delete_file(self._store, organisation, file_id)
        return deleted.map(lambda _: {"id": file_id, "object": "file", "deleted": True})

    def file_content(self, organisation: str, file_id: str) -> Result[FileContent, RequestFailure]:
        """Return a file's content, whichever entry took it or ran its batch."""
        result = result_file_job(file_id)
        if result is None:
            return get_file(self._store, organisation, file_id).map(
                lambda record: FileContent(
                    size=record.bytes, pieces=file_content(self._store, record)
                )
            )
        failed = result[1]
        return self._result_job(organisation, file_id, result[0]).map(
            lambda job: FileContent(
                size=job.counts.error_bytes if failed else job.counts.output_bytes,
                pieces=result_content(self._store, job, failed=failed),
            )
        )

    def create_batch(
        self, organisation: str, caller: str, body: Json, *, idempotency_key: str | None
    ) -> Result[Json, RequestFailure]:
        """Accept a batch; a resend returns the one accepted before."""
        try:
            request = _BatchRequest.model_validate(body)
        except ValidationError as error:
            first = error.errors()[0]
            where = ".".join(str(part) for part in first["loc"]) or "body"
            return Failure(invalid_request("invalid_batch", f"{where}: {first['msg']}"))
        if request.completion_window != COMPLETION_WINDOW:
            text = f"completion_window must be {COMPLETION_WINDOW}."
            return Failure(invalid_request("invalid_batch", text))
        submission = Submission(
            organisation=organisation,
            caller=caller,
            key=idempotency_key,
            input_file=request.input_file_id,
            endpoint=request.endpoint,
            metadata=request.metadata or {},
        )
        accepted = submit(
            self._store,
            submission,
            shaping=self._shaping(),
            known_model=self._known_model,
            now=wall_millis(),
        )
        if isinstance(accepted, Failure):
            return Failure(accepted.failure())
        self._hint(accepted.unwrap())
        return Success(batch_object(accepted.unwrap()))

    def retrieve_batch(self, organisation: str, batch_id: str) -> Result[Json, RequestFailure]:
        """Return a batch."""
        return get_job(self._store, organisation, batch_id).map(batch_object)

    def list_batches(
        self, organisation: str, *, after: str | None = None, limit: int = DEFAULT_LIMIT
    ) -> Result[Json, RequestFailure]:
        """Return the organisation's batches, the newest first."""
        jobs: list[Job] = []
        prefix = f"jobs/batch_{organisation_digest(organisation)}"
        for found in iterate_objects(self._store, prefix):
            if isinstance(found, Failure):
                return Failure(request_failure(found.failure()))
            job = job_from_json(found.unwrap().value)
            if job.organisation == organisation:
                jobs.append(job)
        jobs.sort(key=lambda job: (job.created_at, job.id), reverse=True)
        return Success(page([batch_object(job) for job in jobs], after, limit))

    def cancel_batch(
        self, organisation: str, caller: str, batch_id: str, *, reason: str = ""
    ) -> Result[Json, RequestFailure]:
        """Cancel a batch and return it."""
        found = get_job(self._store, organisation, batch_id)
        if isinstance(found, Failure):
            return Failure(found.failure())
        cancelled = cancel(
            self._store,
            found.unwrap(),
            who=caller,
            reason=reason,
            now=wall_millis(),
            hint=self._hint,
        )
        return cancelled.map(batch_object)

    def _result_job(
        self, organisation: str, file_id: str, job_id: str
    ) -> Result[Job, RequestFailure]:
        """Return the ended job of a result file; before its end there is no such file."""
        found = get_job(self._store, organisation, job_id)
        if isinstance(found, Success) and found.unwrap().ended:
            return found
        if isinstance(found, Failure) and found.failure().code == "store_unavailable":
            return found
        return Failure(file_not_found(file_id))


def make_jobs_api(
    store: ObjectStore,
    *,
    shaping: Callable[[], BatchShaping],
    known_model: Callable[[str], bool],
    hint: Callable[[Job], None],
) -> JobsApi:
    """Return the calls on files and batches.

    Args:
        store: The object store.
        shaping: Returns the batch shaping in force.
        known_model: Whether there is a model of this name.
        hint: Told of each job that was accepted or cancelled, to pass it on to all entries.

    Since 0.1.
    """
    return JobsApi(store, shaping, known_model, hint)
