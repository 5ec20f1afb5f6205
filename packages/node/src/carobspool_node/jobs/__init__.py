"""Batch jobs: files, acceptance, running, results.

Everything between the bytes of an uploaded file and those of its results belongs here; the HTTP
routes over it are in `callers`.
"""

from carobspool_node.jobs._batch_forward import BatchForwarder
from carobspool_node.jobs._entry_jobs import EntryJobs
from carobspool_node.jobs._files import create_file
from carobspool_node.jobs._job_intake import Submission, submit
from carobspool_node.jobs._job_runner import RunnerPorts, make_job_runner
from carobspool_node.jobs._job_work import JobWork
from carobspool_node.jobs._jobs_api import JobsApi
from carobspool_node.jobs._openai_objects import DEFAULT_LIMIT, MAX_LIMIT

__all__ = [
    "BatchForwarder",
    "DEFAULT_LIMIT",
    "EntryJobs",
    "JobWork",
    "JobsApi",
    "MAX_LIMIT",
    "RunnerPorts",
    "Submission",
    "create_file",
    "make_job_runner",
    "submit",
]
