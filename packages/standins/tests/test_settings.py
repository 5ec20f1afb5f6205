"""Loading of settings files, and the command line of the stand-ins."""

from __future__ import annotations

import subprocess
import sys

import pytest

from carobspool_standins._settings import load_settings
from carobspool_standins.errors import SettingsError
from carobspool_standins.plain import PlainSettings


@pytest.mark.parametrize(
    "text", ["{", "{}", '{"port": 0, "prot": 1}', '{"port": 70000}', '{"port": "x"}']
)
def test_invalid_settings_are_rejected(tmp_path, text):
    """An invalid settings file raises ``SettingsError``."""
    path = tmp_path / "settings.json"
    path.write_text(text)
    with pytest.raises(SettingsError):
        load_settings(path, PlainSettings)


@pytest.mark.parametrize("name", ["engine", "plain", "objects", "hosts", "weights"])
def test_process_starts_and_ends(tmp_path, name):
    """A process prints its port once it listens, and exits with code 0 on SIGTERM."""
    path = tmp_path / "settings.json"
    path.write_text('{"port": 0} // any port')
    command = [sys.executable, "-m", f"carobspool_standins.{name}", str(path)]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        line = process.stdout.readline()
        assert line.startswith("ready port=")
        assert int(line.partition("=")[2]) > 0
        process.terminate()
        assert process.wait(10) == 0
    finally:
        process.kill()
        process.stdout.close()
        process.wait()
