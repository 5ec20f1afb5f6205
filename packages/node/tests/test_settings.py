"""Tests of the settings of carobspoold."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from carobspool_node.roles._settings import (
    AdmissionMode,
    Endpoint,
    EntrySettings,
    SidecarSettings,
    load_settings,
)

ROOT = Path(__file__).resolve().parents[3]
ENTRY = {
    "role": "entry",
    "node": "entry-1",
    "failure_domain": "leicester-hall",
    "http": {"address": "127.0.0.1", "port": 8080},
    "peer": {"address": "127.0.0.1", "port": 9080},
    "object_api": "http://127.0.0.1:7000",
    "peer_keys": "peer-keys.json",
}
SIDECAR = {
    "role": "sidecar",
    "node": "sidecar-1",
    "host": "up-1",
    "failure_domain": "leicester-hall",
    "listen": {"address": "127.0.0.1", "port": 9100},
    "upstream": "http://127.0.0.1:9000",
    "object_api": "http://127.0.0.1:7000",
    "peer_keys": "peer-keys.json",
}


def written(folder: Path, value: Any) -> Path:
    """Write a settings file with a comment and return its path."""
    path = folder / "settings.json"
    path.write_text("// a process\n" + json.dumps(value))
    return path


def test_entry_has_defaults(tmp_path: Path) -> None:
    """An entry's file needs no more than what differs between processes."""
    settings = load_settings(written(tmp_path, ENTRY)).unwrap()
    assert isinstance(settings, EntrySettings)
    assert settings.peer == Endpoint(address="127.0.0.1", port=9080)
    assert (settings.http.workers, settings.http.body_limit_bytes) == (256, 16 * 1024 * 1024)
    assert (settings.lease_ttl, settings.shutdown_limit) == (10_000, 60_000)
    assert settings.peer_keys == tmp_path / "peer-keys.json"


def test_sidecar_has_defaults(tmp_path: Path) -> None:
    """A sidecar admits by policy and reports its load each second."""
    settings = load_settings(written(tmp_path, SIDECAR)).unwrap()
    assert isinstance(settings, SidecarSettings)
    assert (settings.admission.mode, settings.heartbeat) == (AdmissionMode.POLICY, 1000)


@pytest.mark.parametrize(
    ("base", "change", "path", "found"),
    [
        (ENTRY, {"role": "proxy"}, "role", "'proxy'"),
        (ENTRY, {"htpp": {}}, "htpp", "the unknown key 'htpp'"),
        (ENTRY, {"object_api": "ftp://x"}, "object_api", "'ftp://x'"),
        (ENTRY, {"peer": {"address": "127.0.0.1", "port": 0}}, "peer.port", "0"),
        (SIDECAR, {"admission": {"mode": "fast"}}, "admission.mode", "'fast'"),
        (SIDECAR, {"kind": "service"}, "service", "nothing"),
        (SIDECAR, {"service": "orders"}, "service", "'orders'"),
        (SIDECAR, {"order_key": 17}, "order_key", "a value of type int (not shown)"),
    ],
)
def test_refused(
    tmp_path: Path, base: dict[str, Any], change: dict[str, Any], path: str, found: str
) -> None:
    """A wrong value is refused with its place."""
    (error,) = load_settings(written(tmp_path, base | change)).failure()
    assert (error.file, error.path, error.found) == ("settings.json", path, found)


def test_every_error_comes_at_once(tmp_path: Path) -> None:
    """All wrong settings of a file are told in one go."""
    value = ENTRY | {"node": "", "lease_ttl_ms": 1, "log_level": "loud"}
    errors = load_settings(written(tmp_path, value)).failure()
    assert {error.path for error in errors} == {"node", "lease_ttl_ms", "log_level"}


def test_reference_page_is_up_to_date() -> None:
    """docs/SETTINGS.md is what the generator writes."""
    command = [sys.executable, str(ROOT / "tools" / "settings_reference.py"), "--check"]
    assert subprocess.run(command, check=False).returncode == 0
