"""Validate the files in which operators declare the desired state, and convert it to JSON."""

from carobspool_core.schema._convert import dump_state, entry_to_json
from carobspool_core.schema._folder import ConfigError, check_state, load_folder, parse_state

__all__ = [
    "ConfigError",
    "check_state",
    "dump_state",
    "entry_to_json",
    "load_folder",
    "parse_state",
]
