"""Commands of operators besides the configuration: audit, status, drain."""

from __future__ import annotations

import json
from urllib.parse import quote

from cleo.helpers import argument, option
from returns.pipeline import is_successful
from returns.result import Failure

from carobspool_cli._base import REMOTE_OPTIONS, Outcome, RemoteCommand, fetch, usage
from carobspool_cli._client import Client
from carobspool_cli._output import instant, table
from carobspool_core import Json

DEFAULT_LIMIT = 20
NOTHING = "-"


SHOWN_CHARACTERS = 48
"""Characters of a value that a row of the audit trail shows."""


class AuditCommand(RemoteCommand):
    """``carobspool audit``."""

    name = "audit"
    description = "Show who changed what, when and why, newest first."
    options = [
        *REMOTE_OPTIONS,
        option("limit", None, "Most records to show.", flag=False, default=str(DEFAULT_LIMIT)),
    ]

    def run_remote(self, client: Client) -> Outcome:
        """Read the audit trail."""
        limit = self.option("limit")
        if not limit.isdecimal():
            return usage("--limit takes a whole number")
        answer = fetch(client, "GET", f"/operator/audit?limit={limit}")
        if not is_successful(answer):
            return Failure(answer.failure())
        found = answer.unwrap()
        rows = [["at", "who", "kind", "subject", "reason", "before", "after"]]
        for record in found["records"]:
            rows.append(_audit_row(record))
        return self.show(found, table(rows))


class StatusCommand(RemoteCommand):
    """``carobspool status``."""

    name = "status"
    description = "Show declared against actual for each upstream, entries and jobs."
    options = [*REMOTE_OPTIONS]

    def run_remote(self, client: Client) -> Outcome:
        """Read the status."""
        answer = fetch(client, "GET", "/operator/status")
        if not is_successful(answer):
            return Failure(answer.failure())
        found = answer.unwrap()
        lines = [f"{name}: {_words(found[name])}" for name in found if name != "upstreams"]
        return self.show(found, [*lines, "", *_upstream_lines(found.get("upstreams", []))])


class DrainCommand(RemoteCommand):
    """``carobspool drain``."""

    name = "drain"
    description = "Take a host out of service, or return it."
    arguments = [argument("host", "Host of the upstream.")]
    options = [
        *REMOTE_OPTIONS,
        option("return", None, "Return the host to service.", flag=True),
        option("reason", None, "Why; kept in the audit trail.", flag=False),
    ]

    def run_remote(self, client: Client) -> Outcome:
        """Give the order."""
        host, reason = self.argument("host"), self.option("reason")
        if not reason:
            return usage("say why by --reason; it is kept in the audit trail")
        drain = not self.option("return")
        body = {"drain": drain, "reason": reason}
        answer = fetch(client, "POST", f"/operator/drains/{quote(host, safe='')}", body)
        if not is_successful(answer):
            return Failure(answer.failure())
        found = answer.unwrap()
        state = "drained" if drain else "in service"
        already = "" if found.get("changed", True) else " already"
        return self.show(found, [f"{host}: {state}{already}"])


def _audit_row(record: Json) -> list[str]:
    return [
        instant(record["at"]),
        record["who"],
        record["kind"],
        record["subject"],
        record["reason"],
        _short(_words(record["before"])),
        _short(_words(record["after"])),
    ]


def _upstream_lines(upstreams: list[Json]) -> list[str]:
    if not upstreams:
        return ["no upstreams"]
    columns = list(upstreams[0])
    rows = [columns]
    for upstream in upstreams:
        rows.append([_words(upstream.get(column)) for column in columns])
    return table(rows)


def _short(text: str) -> str:
    """Cut what does not fit into a line; ``--json`` shows it whole."""
    return text if len(text) <= SHOWN_CHARACTERS else text[: SHOWN_CHARACTERS - 1] + "…"


def _words(value: Json) -> str:
    if value is None:
        return NOTHING
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.0f}"
    if isinstance(value, list) and all(isinstance(each, str) for each in value):
        return ", ".join(value) or NOTHING
    if isinstance(value, dict | list):
        return json.dumps(value)
    return str(value)
