"""Demonstration of the whole system on loopback: ``python -m carobspool_standins.quickstart``.

Starts the platform's stand-ins, engines, a plain service, sidecars and two entries, uses each
interface once, prints what it observed, and ends every process that it started.
"""

from __future__ import annotations

import argparse
import signal
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from types import FrameType
from typing import Any, NoReturn

from carobspool_standins._client import HttpClient
from carobspool_standins._cluster import Cluster
from carobspool_standins._member import Key
from carobspool_standins._openai_calls import (
    TERMINAL_BATCH_STATES,
    create_batch,
    read_batch,
    read_results,
    require_ok,
    stream_chat,
    upload,
)
from carobspool_standins.errors import StandinError

EXAMPLES = Path(__file__).parents[4] / "examples" / "quickstart"
NOTES_FILE = "reading-notes.jsonl"
CLAUSE_FILE = "clause.txt"
NOTES_MODEL = "reading-notes"
CLAUSES_MODEL = "clause-summaries"
SERVICE = "orders"
ORGANISATION = "hollowbrook"
ENTRIES = ("entry-1", "entry-2")
FAILURE_DOMAINS = ("leicester-hall", "nottingham-hall", "derby-hall")
BATCH_TIMEOUT_S = 45.0
EXIT_TERMINATED = 143


@dataclass(slots=True, kw_only=True)
class Tour:
    """State that the steps of the tour share.

    Attributes:
        cluster: Processes of the system.
        key: Key of the caller.
        examples: Directory of the input files.
        summary: Lines printed by the steps so far, one per step.
    """

    cluster: Cluster
    key: Key
    examples: Path
    summary: list[str]

    def report_step(self, line: str) -> None:
        """Print the result of a step and add it to the summary."""
        print(f"  {line}", flush=True)
        self.summary.append(line)

    def caller_client(self, entry: str) -> HttpClient:
        """Return an HTTP client of an entry that uses the caller's key."""
        return self.cluster.client(entry, self.key)

    def operator_client(self, entry: str) -> HttpClient:
        """Return an HTTP client of an entry that uses the operator key."""
        return self.cluster.client(entry, self.cluster.operator_key)


def start_processes(tour: Tour) -> None:
    """Start the platform, three upstreams with their sidecars, and two entries."""
    cluster = tour.cluster
    with cluster.start_concurrently():
        cluster.start_object_api()
        cluster.start_host_list()
        engines = [
            cluster.start_engine(f"engine-{number}", models=[NOTES_MODEL, CLAUSES_MODEL])
            for number in (1, 2)
        ]
        plain_service = cluster.start_plain_service("shop-1", service=SERVICE)
    with cluster.start_concurrently():
        for number, engine in enumerate(engines):
            cluster.start_sidecar(
                f"sidecar-{number + 1}",
                engine,
                models=[NOTES_MODEL, CLAUSES_MODEL],
                failure_domain=FAILURE_DOMAINS[number],
            )
        cluster.start_sidecar(
            "sidecar-3", plain_service, service=SERVICE, failure_domain=FAILURE_DOMAINS[2]
        )
        for entry, domain in zip(ENTRIES, FAILURE_DOMAINS, strict=False):
            cluster.start_entry(entry, failure_domain=domain)
    tour.report_step(
        "started the object API, the host list, 2 engines, 1 plain service, 3 sidecars and "
        "2 entries"
    )


def desired_state(tour: Tour, *, weight: float) -> dict[str, Any]:
    """Return the desired state of the tour.

    Args:
        tour: Tour whose upstreams and keys the desired state lists.
        weight: Weight of the organisation, which a later step changes.
    """
    return {
        "organisations": [{"name": ORGANISATION, "weight": weight}],
        "callers": [
            {"id": "editor", "organisation": ORGANISATION, "key_hashes": [tour.key.hash]},
            tour.cluster.operator_caller(ORGANISATION),
        ],
        "models": [
            {"name": NOTES_MODEL, "version": "1"},
            {"name": CLAUSES_MODEL, "version": "1"},
        ],
        "upstreams": tour.cluster.upstreams,
        "services": [{"name": SERVICE, "routes": [{"prefix": "/", "methods": ["GET"]}]}],
    }


def apply_configuration(tour: Tour) -> None:
    """Apply the first configuration through one entry and wait until both entries use it."""
    revision = tour.cluster.apply_configuration(
        ENTRIES[0], desired_state(tour, weight=1.0), reason="first configuration"
    )
    for entry in ENTRIES:
        client = tour.caller_client(entry)
        tour.cluster.wait_until(
            f"{entry} serves both models",
            lambda client=client: (  # type: ignore[misc]
                len(client.call("GET", "/v1/models").json.get("data", [])) == 2
                and client.call("GET", "/readyz").status == 200
            ),
        )
    tour.report_step(
        f"applied configuration revision {revision} through {ENTRIES[0]}; both entries serve"
    )


def stream_summary(tour: Tour) -> None:
    """Stream an online chat completion that summarises a clause."""
    clause = (tour.examples / CLAUSE_FILE).read_text(encoding="utf-8")
    body = {
        "model": CLAUSES_MODEL,
        "messages": [
            {"role": "system", "content": "Summarise the clause and flag conflicts."},
            {"role": "user", "content": clause},
        ],
        "max_tokens": 80,
    }
    start = time.monotonic()
    token_times: list[float] = []
    answer = stream_chat(
        tour.caller_client(ENTRIES[0]), body, lambda _text: token_times.append(time.monotonic())
    )
    first_ms = (token_times[0] - start) * 1000.0
    tour.report_step(
        f"streamed a clause summary: {answer.tokens} tokens, the first after {first_ms:.0f} ms"
    )


def call_service(tour: Tour) -> None:
    """Call the plain service through an entry."""
    reply = require_ok(
        tour.caller_client(ENTRIES[1]).call("GET", f"/services/{SERVICE}/status/1001"),
        "plain service",
    )
    value = reply.json
    tour.report_step(
        f"called the plain service {value['service']} at {value['path']}: call number "
        f"{value['count']} of its own count"
    )


def run_batch(tour: Tour) -> None:
    """Submit a batch job through one entry and read its results from the other entry."""
    content = (tour.examples / NOTES_FILE).read_bytes()
    count = len(content.splitlines())
    start = time.monotonic()
    submitter, reader = (tour.caller_client(entry) for entry in ENTRIES)
    job = create_batch(submitter, upload(submitter, NOTES_FILE, content))
    tour.cluster.wait_until(
        "the batch job ends",
        lambda: read_batch(reader, job)["status"] in TERMINAL_BATCH_STATES,
        BATCH_TIMEOUT_S,
    )
    seconds = time.monotonic() - start
    ended = read_batch(reader, job)
    if ended["status"] != "completed":
        raise StandinError(f"the batch job ended with status {ended['status']}: {ended}")
    results = read_results(reader, ended["output_file_id"])
    good = {line["custom_id"] for line in results if line["response"]["status_code"] == 200}
    if len(results) != count or len(good) != count:
        raise StandinError(
            f"{len(good)} successful results in {len(results)} lines for {count} items"
        )
    tour.report_step(
        f"ran a batch job of {count} items in {seconds:.1f} s through {ENTRIES[0]} and read all "
        f"{len(results)} results from {ENTRIES[1]}"
    )


def change_configuration(tour: Tour) -> None:
    """Apply a configuration change through one entry and wait until the other entry has it."""
    start = time.monotonic()
    before = require_ok(
        tour.operator_client(ENTRIES[0]).call("GET", "/operator/config"), "config"
    ).json
    revision = tour.cluster.apply_configuration(
        ENTRIES[0],
        desired_state(tour, weight=2.0),
        base=before["revision"],
        reason="twice the share for the imprint",
    )
    other = tour.operator_client(ENTRIES[1])
    tour.cluster.wait_until(
        "the other entry has the change",
        lambda: other.call("GET", "/operator/config").json["revision"] == revision,
    )
    seconds = time.monotonic() - start
    weights = [
        o["weight"] for o in other.call("GET", "/operator/config").json["state"]["organisations"]
    ]
    if weights != [2.0]:
        raise StandinError(f"the weights on {ENTRIES[1]} are {weights}, not [2.0]")
    tour.report_step(
        f"changed the configuration to revision {revision} through {ENTRIES[0]}; {ENTRIES[1]} "
        f"had it after {seconds:.2f} s"
    )


def run_tour(tour: Tour) -> None:
    """Run all steps in order."""
    start_processes(tour)
    apply_configuration(tour)
    stream_summary(tour)
    call_service(tour)
    run_batch(tour)
    change_configuration(tour)


def main() -> int:
    """Run the tour in a temporary folder and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--examples", type=Path, default=EXAMPLES, help="directory of the input files"
    )
    parser.add_argument("--folder", type=Path, help="directory that keeps settings and logs")
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, _terminated)
    start = time.monotonic()
    print("carobspool quickstart", flush=True)
    with tempfile.TemporaryDirectory(prefix="carobspool-") as temporary:
        folder = options.folder or Path(temporary)
        try:
            with Cluster(folder) as cluster:
                tour = Tour(cluster=cluster, key=Key(), examples=options.examples, summary=[])
                run_tour(tour)
        except (StandinError, KeyboardInterrupt) as error:
            print(f"failed: {str(error) or type(error).__name__}", file=sys.stderr)
            return 1
    print(
        f"All {len(tour.summary)} steps succeeded in {time.monotonic() - start:.1f} s, and every "
        "process has ended."
    )
    return 0


def _terminated(_signal: int, _frame: FrameType | None) -> NoReturn:
    raise SystemExit(EXIT_TERMINATED)


if __name__ == "__main__":
    raise SystemExit(main())
