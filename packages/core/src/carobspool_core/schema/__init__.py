"""Validate the files in which operators declare the desired state, and convert it to JSON."""

from carobspool_core.schema._convert import dump_state, entry_to_json
from carobspool_core.schema._folder import ConfigError, find_state_errors, load_folder, parse_state

__all__ = [
    "ConfigError",
    "dump_state",
    "entry_to_json",
    "find_state_errors",
    "load_folder",
    "parse_state",
]
