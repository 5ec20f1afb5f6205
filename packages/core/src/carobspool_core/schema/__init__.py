"""The desired state at the border: validation of operators' files, and conversion to JSON."""

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
