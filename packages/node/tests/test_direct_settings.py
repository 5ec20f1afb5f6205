"""Settings of direct entries: validation errors and reloading."""

from __future__ import annotations

import json
import os
import signal
from pathlib import Path

import pytest
from absl import logging
from returns.pipeline import is_successful

from carobspool_core import Json
from carobspool_node.direct import load_direct_settings
from carobspool_node.direct._reload import SettingsReload

GOOD: Json = {
    "role": "direct-entry",
    "node": "e1",
    "failure_domain": "z1",
    "address": "127.0.0.1",
    "callers": "127.0.0.1:1",
    "ready": "127.0.0.1:2",
    "peer_port": 3,
    "object_api": "127.0.0.1:4",
    "value_limit_bytes": 1048576,
    "shutdown_limit_s": 8,
    "job_retention_s": 120,
    "first_start": True,
    "metrics_port": 5,
    "online_queue": "auto",
    "stream_backups": "auto",
    "placement": "auto",
    "hint_relays": "auto",
    "prefer_own_domain": "auto",
    "processor_share": 0.5,
    "processor_cores": 3,
    "log_level": "info",
}
NEW_SETTINGS = {
    "online_queue",
    "stream_backups",
    "placement",
    "hint_relays",
    "prefer_own_domain",
    "processor_share",
    "processor_cores",
}
"""Settings that the previous version does not have."""
ENTRY_SETTINGS = {"callers", "ready"} | NEW_SETTINGS
"""Settings that only entries use."""


def _write(path: Path, **changes: Json) -> Path:
    path.write_text("// a comment\n" + json.dumps(GOOD | changes))
    return path


def test_good_settings(tmp_path: Path) -> None:
    settings = load_direct_settings(_write(tmp_path / "s.json")).unwrap()
    assert settings.callers == ("127.0.0.1", 1)
    assert settings.shutdown_limit == 8_000.0
    assert settings.host_capacity == 1.5


def test_new_decisions_are_off_unless_the_settings_ask_for_them(tmp_path: Path) -> None:
    """A deployment whose settings are of the previous version must be served as before."""
    earlier = {name: value for name, value in GOOD.items() if name not in NEW_SETTINGS}
    (tmp_path / "s.json").write_text(json.dumps(earlier))
    settings = load_direct_settings(tmp_path / "s.json").unwrap()
    found = (settings.online_queue, settings.placement, settings.hint_relays)
    assert found == ("off", "slots", "off")
    assert settings.stream_backups == "off"
    assert settings.prefer_own_domain == "off"
    assert settings.host_capacity == 0.0


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("callers", None),
        ("ready", "nowhere"),
        ("object_api", "http://a:1"),
        ("peer_port", 70_000),
        ("log_level", "loud"),
        ("role", "boss"),
        ("first_start", "yes"),
        ("online_queue", "sometimes"),
        ("placement", "fastest"),
        ("hint_relays", "on"),
        ("stream_backups", "on"),
        ("prefer_own_domain", "on"),
        ("processor_cores", 0),
        ("unheard_of", 1),
    ],
)
def test_a_wrong_setting_is_named(tmp_path: Path, name: str, value: Json) -> None:
    loaded = load_direct_settings(_write(tmp_path / "s.json", **{name: value}))
    assert not is_successful(loaded)
    assert [problem.path for problem in loaded.failure()] == [name]


def test_the_templates_of_the_deployment_hold_every_setting_and_no_other() -> None:
    folder = Path(__file__).parents[3] / "deploy"
    for name, role in (("entry", "direct-entry"), ("keeper", "keeper")):
        text = (folder / f"{name}.settings.json").read_text()
        keys = {line.split('"')[1] for line in text.splitlines() if line.startswith('  "')}
        expected = set(GOOD) - (set() if name == "entry" else ENTRY_SETTINGS)
        assert keys == expected
        assert f'"role": "{role}"' in text


def test_changes_are_applied_with_and_without_a_signal(tmp_path: Path) -> None:
    path = _write(tmp_path / "s.json")
    reload = SettingsReload(path, load_direct_settings(path).unwrap())
    before = logging.get_verbosity()
    try:
        reload.listen()
        _write(path, log_level="error", peer_port=9)
        reload.check()
        assert logging.get_verbosity() == logging.ERROR
        path.write_text("{")
        reload.check()
        assert logging.get_verbosity() == logging.ERROR
        _write(path)
        os.kill(os.getpid(), signal.SIGHUP)
        reload.check()
        assert logging.get_verbosity() == logging.INFO
    finally:
        logging.set_verbosity(before)
        signal.signal(signal.SIGHUP, signal.SIG_DFL)
