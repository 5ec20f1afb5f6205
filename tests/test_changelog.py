"""The changelog is built from its fragments."""

from __future__ import annotations

import importlib.util
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def test_the_changelog_is_up_to_date() -> None:
    """The page is rebuilt whenever a fragment is added."""
    spec = importlib.util.spec_from_file_location("changelog", ROOT / "tools" / "changelog.py")
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    assert (ROOT / "CHANGELOG.md").read_text(encoding="utf-8") == module.build()
