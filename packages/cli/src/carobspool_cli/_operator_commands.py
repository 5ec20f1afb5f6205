"""Commands for operators other than those on the configuration: audit, status, drain."""

from __future__ import annotations

import json
from urllib.parse import quote

from cleo.helpers import argument, option
from returns.pipeline import is_successful
from returns.result import Failure

from carobspool_cli._base import REMOTE_OPTIONS, Outcome, RemoteCommand, call_entry, usage_error
from carobspool_cli._client import Client
from carobspool_cli._output import format_table, format_timestamp
from carobspool_core import Json

DEFAULT_LIMIT = 20
EMPTY_VALUE = "-"


MAX_VALUE_CHARACTERS = 48
"""Length at which a row of the audit trail truncates a value."""


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
            return usage_error("--limit takes a whole number")
        answer = call_entry(client, "GET", f"/operator/audit?limit={limit}")
        if not is_successful(answer):
            return Failure(answer.failure())
        reply = answer.unwrap()
        rows = [["at", "who", "kind", "subject", "reason", "before", "after"]]
        for record in reply["records"]:
            rows.append(_audit_row(record))
        return self.write_result(reply, format_table(rows))


class StatusCommand(RemoteCommand):
    """``carobspool status``."""

    name = "status"
    description = "Show declared against actual for each upstream, entries and jobs."
    options = [*REMOTE_OPTIONS]

    def run_remote(self, client: Client) -> Outcome:
        """Read the status."""
        answer = call_entry(client, "GET", "/operator/status")
        if not is_successful(answer):
            return Failure(answer.failure())
        reply = answer.unwrap()
        lines = [f"{name}: {_format_value(reply[name])}" for name in reply if name != "upstreams"]
        return self.write_result(reply, [*lines, "", *_upstream_lines(reply.get("upstreams", []))])


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
        """Drain the host or return it to service."""
        host, reason = self.argument("host"), self.option("reason")
        if not reason:
            return usage_error("--reason is required; the audit trail records it")
        drain = not self.option("return")
        body = {"drain": drain, "reason": reason}
        answer = call_entry(client, "POST", f"/operator/drains/{quote(host, safe='')}", body)
        if not is_successful(answer):
            return Failure(answer.failure())
        reply = answer.unwrap()
        state = "drained" if drain else "in service"
        already = "" if reply.get("changed", True) else " already"
        return self.write_result(reply, [f"{host}: {state}{already}"])


def _audit_row(record: Json) -> list[str]:
    return [
        format_timestamp(record["at"]),
        record["who"],
        record["kind"],
        record["subject"],
        record["reason"],
        _truncate(_format_value(record["before"])),
        _truncate(_format_value(record["after"])),
    ]


def _upstream_lines(upstreams: list[Json]) -> list[str]:
    if not upstreams:
        return ["no upstreams"]
    columns = list(upstreams[0])
    rows = [columns]
    for upstream in upstreams:
        rows.append([_format_value(upstream.get(column)) for column in columns])
    return format_table(rows)


def _truncate(text: str) -> str:
    """Truncate a value that is too long for a row; ``--json`` shows it in full."""
    return text if len(text) <= MAX_VALUE_CHARACTERS else text[: MAX_VALUE_CHARACTERS - 1] + "…"


def _format_value(value: Json) -> str:
    if value is None:
        return EMPTY_VALUE
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.0f}"
    if isinstance(value, list) and all(isinstance(each, str) for each in value):
        return ", ".join(value) or EMPTY_VALUE
    if isinstance(value, dict | list):
        return json.dumps(value)
    return str(value)
