"""Command line shared by the stand-ins."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable
from pathlib import Path

from carobspool_standins._http import WsgiApplication, serve_until_terminated
from carobspool_standins._settings import ServerSettings, SettingsT, load_settings
from carobspool_standins.errors import SettingsError

EXIT_USAGE = 2


def run_standin(
    model: type[SettingsT], make_application: Callable[[SettingsT], WsgiApplication]
) -> int:
    """Serve a stand-in with the settings file given on the command line.

    Args:
        model: Settings model of the stand-in.
        make_application: Creates the WSGI application from the settings.

    Returns:
        The exit code.
    """
    parser = argparse.ArgumentParser()
    parser.add_argument("settings", type=Path, help="JSON file with comments")
    options = parser.parse_args()
    try:
        settings = load_settings(options.settings, model)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    assert isinstance(settings, ServerSettings)
    serve_until_terminated(settings, make_application(settings))
    return 0
