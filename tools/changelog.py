"""Build CHANGELOG.md from the fragments in changelog.d, one Markdown list for each change.

.venv/bin/python tools/changelog.py
"""

from __future__ import annotations

from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HEADING = """# Changelog

Built by `tools/changelog.py` from the fragments in `changelog.d/`. Nothing is released yet.

## Unreleased
"""


def build() -> str:
    """Return the page: the fragments in the order of their names."""
    parts = [HEADING]
    for path in sorted((ROOT / "changelog.d").glob("*.md")):
        parts.append(path.read_text(encoding="utf-8").strip() + "\n")
    return "\n".join(parts)


def main() -> int:
    """Write the page."""
    (ROOT / "CHANGELOG.md").write_text(build(), encoding="utf-8")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
