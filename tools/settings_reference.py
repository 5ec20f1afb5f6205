"""Write docs/SETTINGS.md from the models of the settings.

Run without arguments to write the page; with ``--check`` it only says whether the page is up to
date, by its exit code.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any, get_args

from pydantic import BaseModel
from pydantic.fields import FieldInfo

from carobspool_core.records import Field, Record, fields_of
from carobspool_node.direct import DirectModel
from carobspool_node.roles import EntryModel, SidecarModel

PAGE = Path(__file__).resolve().parent.parent / "docs" / "SETTINGS.md"
INTRODUCTION = """# Settings of `carobspoold`

Written by `tools/settings_reference.py` from the models in
`packages/node/src/carobspool_node/roles/_models.py` and `direct/_settings.py`; change those,
not this page.

One file for each process, in JSON with comments. `carobspoold check FILE` reads a file, prints
every error at once (file, path, what was found, what is allowed) and starts nothing. Unknown keys
are refused. A setting without a default must be given.
"""
SECTIONS = (
    ("An entry", EntryModel),
    ("A sidecar", SidecarModel),
    ("A direct entry, or a keeper", DirectModel),
)
HEADING = "| setting | unit | default | bounds | meaning |\n|---|---|---|---|---|"
BOUNDS = {"gt": ">", "ge": "≥", "lt": "<", "le": "≤"}


def main() -> int:
    """Write or check the page and return the process exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    options = parser.parse_args()
    text = page()
    if options.check:
        current = PAGE.read_text(encoding="utf-8") if PAGE.exists() else ""
        return 0 if current == text else 1
    PAGE.write_text(text, encoding="utf-8")
    return 0


def page() -> str:
    """Return the reference page."""
    sections = [INTRODUCTION]
    for title, model in SECTIONS:
        rows = "\n".join(_record_rows(model) if issubclass(model, Record) else _rows(model, ""))
        sections.append(f"## {title}\n\n{HEADING}\n{rows}\n")
    return "\n".join(sections)


def _rows(model: type[BaseModel], prefix: str) -> Iterator[str]:
    for name, field in _ordered(model):
        yield _row(prefix + name, field)
        inner = _inner(field)
        if inner is not None:
            yield from _rows(inner, f"{prefix}{name}.")


def _record_rows(model: type[Record]) -> Iterator[str]:
    fields = sorted(fields_of(model).items(), key=lambda item: item[0] != "role")
    for name, (annotation, field) in fields:
        default = "required" if field.required else _shown(field.default)
        bounds = _record_bounds(field) + _choices(annotation)
        cells = [f"`{name}`", field.unit, default, "; ".join(bounds), field.description]
        yield "| " + " | ".join(cells) + " |"


def _record_bounds(field: Field) -> list[str]:
    given = field.bounds.as_dict()
    return [f"{sign} {given[name]}" for name, sign in BOUNDS.items() if name in given]


def _ordered(model: type[BaseModel]) -> list[tuple[str, FieldInfo]]:
    fields = list(model.model_fields.items())
    return sorted(fields, key=lambda item: item[0] != "role")


def _row(name: str, field: FieldInfo) -> str:
    extra: Any = field.json_schema_extra
    cells = [f"`{name}`", extra["unit"], _default(field), _bounds(field), field.description or ""]
    return "| " + " | ".join(cells) + " |"


def _default(field: FieldInfo) -> str:
    if field.is_required():
        return "required"
    if isinstance(field.default, BaseModel):
        return "as below"
    return _shown(field.default)


def _shown(default: Any) -> str:
    return "none" if default is None else f"`{json.dumps(default)}`"


def _bounds(field: FieldInfo) -> str:
    found = []
    for rule in field.metadata:
        for name, sign in BOUNDS.items():
            bound = getattr(rule, name, None)
            if bound is not None:
                found.append(f"{sign} {bound}")
    return "; ".join(found + _choices(field.annotation))


def _choices(annotation: Any) -> list[str]:
    choices = get_args(annotation)
    if choices and all(isinstance(choice, str) for choice in choices):
        return [", ".join(f"`{choice}`" for choice in choices)]
    return []


def _inner(field: FieldInfo) -> type[BaseModel] | None:
    for candidate in (field.annotation, *get_args(field.annotation)):
        if isinstance(candidate, type) and issubclass(candidate, BaseModel):
            return candidate
    return None


if __name__ == "__main__":
    sys.exit(main())
