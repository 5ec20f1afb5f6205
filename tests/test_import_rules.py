"""Import rules between packages and between the node's subpackages, checked on the source.

The public module of a subpackage is its `__init__`; all its other modules are private.
"""

from __future__ import annotations

import ast
import subprocess
import sys
import tomllib
from collections.abc import Iterator
from functools import cache
from graphlib import TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
NODE = "carobspool_node"
NODE_SOURCE = ROOT / "packages/node/src" / NODE
NODE_TESTS = ROOT / "packages/node/tests"
SUBPACKAGES = frozenset(path.parent.name for path in NODE_SOURCE.glob("*/__init__.py"))
ADAPTERS = frozenset({NODE, "carobspool_cli", "carobspool_standins", "carobspool_platform"})
ALLOWED_IN_DIRECT = frozenset(
    f"{NODE}.{name}"
    for name in (
        "answers",
        "errors",
        "hint_relays",
        "online_queue",
        "organisations",
        "settings",
        "stream_backups",
        "upstream_pace",
    )
)
"""Modules that direct entries may import from the rest of the node. Their code runs on the users'
hosts, which have only the libraries of deploy/requirements.txt."""
PRIVATE_IMPORT_EXCEPTIONS = {
    ("tests/fleet_load.py", f"{NODE}.direct._loads"): (
        "puts the load of a whole fleet on the placement table, without starting processes"
    ),
    **{
        ("tests/adapter/border_cases.py", f"{NODE}.direct.{module}"): (
            "one program runs generated cases against the decoders of the node and of the adapter"
        )
        for module in ("_job_records", "_peer_messages", "_store_relay")
    },
    **{
        ("tools/cost_versions.py", f"{NODE}.direct.{module}"): (
            "measures what an entry does and sends for each stream"
        )
        for module in (
            *("_origin_messages", "_peer", "_stream_origins", "_stream_records"),
            "_telemetry",
        )
    },
    **{
        ("tools/cost_isolation.py", f"{NODE}.direct.{module}"): (
            "measures what an entry does for each request and sends at a crash"
        )
        for module in ("_crash_isolation", "_suspect_messages", "_telemetry")
    },
    **{
        ("tools/cost_item_scan.py", f"{NODE}.direct.{module}"): (
            "measures one pass over the batch items that wait at an entry"
        )
        for module in ("_job_records", "_job_runner", "_loads", "_owned_job", "_telemetry")
    },
    **{
        ("tools/cost_reconciliation.py", f"{NODE}.direct.{module}"): (
            "measures what the entry does that compares stored jobs with their owners"
        )
        for module in (
            *("_job_adoption", "_job_catalog", "_job_index", "_job_reconciliation"),
            *("_job_records", "_peer", "_telemetry"),
        )
    },
    **{
        ("tools/cost_hints.py", f"{NODE}.direct.{module}"): (
            "measures the bytes of hints with the encoders and the sender that entries use"
        )
        for module in ("_announcement", "_hint_sender", "_hint_targets", "_peer", "_relay_view")
    },
}
"""Imports of a subpackage's private modules from outside, each with its reason; keep it short."""

Import = tuple[str, str]
"""A file, relative to the root, and the module that it imports."""


def python_files(*folders: str) -> list[Path]:
    """Return the Python files below the given folders of the repository."""
    return [path for folder in folders for path in sorted((ROOT / folder).rglob("*.py"))]


def import_pairs(paths: list[Path]) -> Iterator[Import]:
    """Yield each file with each module that it imports, at any level of the file."""
    for path in paths:
        yield from ((str(path.relative_to(ROOT)), module) for module in imported_modules(path))


@cache
def imported_modules(path: Path) -> tuple[str, ...]:
    """Return the modules that a file imports.

    ``from a import b`` counts as ``a.b`` if that is a module, so both spellings are found.
    """
    found = []
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            found += [name.name for name in node.names]
        elif isinstance(node, ast.ImportFrom):
            module = full_module_name(path, node)
            inner = [f"{module}.{name.name}" for name in node.names]
            found += [name if is_node_module(name) else module for name in inner]
    return tuple(found)


def full_module_name(path: Path, node: ast.ImportFrom) -> str:
    """Return the full name of the module after ``from``."""
    assert node.level == 0, f"{path}: relative imports hide which subpackage is imported"
    assert node.module is not None
    return node.module


def is_node_module(name: str) -> bool:
    """Return whether a dotted name is a module of the node's package."""
    package, _, rest = name.partition(".")
    place = NODE_SOURCE / rest.replace(".", "/")
    return package == NODE and (place.with_suffix(".py").exists() or place.is_dir())


def top_level_package(module: str) -> str:
    """Return the first part of a dotted name."""
    return module.partition(".")[0]


def subpackage_of(module: str) -> str | None:
    """Return the subpackage of a module of the node, or ``None``."""
    parts = module.split(".")
    return parts[1] if parts[0] == NODE and len(parts) > 1 and parts[1] in SUBPACKAGES else None


def subpackage_of_file(file: str) -> str | None:
    """Return the subpackage that contains a file, or ``None``."""
    path = ROOT / file
    if not path.is_relative_to(NODE_SOURCE):
        return None
    first = path.relative_to(NODE_SOURCE).parts[0]
    return first if first in SUBPACKAGES else None


def is_private(module: str) -> bool:
    """Return whether a dotted name contains a private module."""
    return any(part.startswith("_") and part != "__main__" for part in module.split("."))


def test_core_imports_no_adapter() -> None:
    """Core logic that used an adapter could not be tested without network, threads and a clock."""
    found = import_pairs(python_files("packages/core/src"))
    assert [each for each in found if top_level_package(each[1]) in ADAPTERS] == []


def test_nothing_imports_the_platform() -> None:
    """Only one package knows the names of the users' platform. Its own tests and the files of its
    deployment are exempt."""
    found = import_pairs(python_files("packages", "tools", "examples"))
    assert [each for each in found if top_level_package(each[1]) == "carobspool_platform"] == []


def test_subpackages_are_imported_by_their_public_modules() -> None:
    """Code that imports private modules depends on internals; only the node's own tests may."""
    broken = {
        (file, module)
        for file, module in import_pairs(
            python_files("packages", "platform", "tests", "tools", "examples")
        )
        if subpackage_of(module) is not None
        and subpackage_of_file(file) != subpackage_of(module)
        and is_private(module)
        and not (ROOT / file).is_relative_to(NODE_TESTS)
    }
    assert broken == set(PRIVATE_IMPORT_EXCEPTIONS)


def test_subpackages_do_not_import_their_own_public_module() -> None:
    """A module that imports its own subpackage's public module gets it partially initialised."""
    found = import_pairs(python_files("packages/node/src"))
    own = [each for each in found if each[1] == f"{NODE}.{subpackage_of_file(each[0])}"]
    assert own == []


def test_modules_of_the_node_belong_to_subpackages() -> None:
    """Outside the subpackages there are only the package, its entry point and its errors."""
    assert {path.name for path in NODE_SOURCE.glob("*.py")} == {
        "__init__.py",
        "__main__.py",
        "errors.py",
    }


def test_direct_entries_import_only_allowed_modules() -> None:
    """Direct entries run on the users' hosts without the libraries of the sidecar path."""
    outside = {
        module
        for _, module in import_pairs(python_files(f"packages/node/src/{NODE}/direct"))
        if top_level_package(module) == NODE and subpackage_of(module) != "direct"
    }
    assert outside <= ALLOWED_IN_DIRECT


def test_the_platform_process_starts_with_the_libraries_of_its_deployment() -> None:
    """The other libraries of the node are not installed on the users' hosts: a public module that
    imports one of them for direct entries would fail only there, at the start of a process."""
    project = tomllib.loads((ROOT / "packages/node/pyproject.toml").read_text(encoding="utf-8"))
    deployed = (ROOT / "deploy/requirements.txt").read_text(encoding="utf-8").split()
    absent = set(project["project"]["dependencies"]) - set(deployed) - {"carobspool-core"}
    assert absent
    missing = [name.replace("-", "_") for name in sorted(absent)]
    program = "\n".join(
        [
            "import sys",
            f"sys.modules.update(dict.fromkeys({missing}))",
            "import carobspool_platform.__main__",
        ]
    )
    subprocess.run([sys.executable, "-c", program], check=True)


def test_the_platform_process_starts_without_deriving_schemas() -> None:
    """An entry that restarts after a crash serves no requests while it imports modules; the library
    that derives schemas from models takes a third of that time."""
    program = (
        "import sys, carobspool_platform.__main__\n"
        "assert 'pydantic_core' in sys.modules\n"
        "assert not [name for name in sys.modules if name.partition('.')[0] == 'pydantic']"
    )
    subprocess.run([sys.executable, "-c", program], check=True)


def test_the_sidecar_path_does_not_import_direct_entries() -> None:
    """Only the entry point, which starts either kind of entry, imports both."""
    users = {
        file
        for file, module in import_pairs(python_files("packages/node/src"))
        if subpackage_of(module) == "direct" and subpackage_of_file(file) != "direct"
    }
    assert users == {f"packages/node/src/{NODE}/__main__.py"}


def test_subpackages_form_no_import_cycle() -> None:
    """Subpackages that import each other are not separate; move the shared code to one of them."""
    needs: dict[str, set[str]] = {subpackage: set() for subpackage in SUBPACKAGES}
    for file, module in import_pairs(python_files("packages/node/src")):
        user, used = subpackage_of_file(file), subpackage_of(module)
        if user is not None and used is not None and user != used:
            needs[user].add(used)
    assert len(list(TopologicalSorter(needs).static_order())) == len(SUBPACKAGES)


def test_imports_are_at_module_level() -> None:
    """An import inside a function hides a cycle until the function runs."""
    hidden = []
    for path in python_files("packages/node/src"):
        tree = ast.parse(path.read_text(encoding="utf-8"))
        for function in ast.walk(tree):
            if not isinstance(function, ast.FunctionDef):
                continue
            hidden += [
                (path.name, function.name)
                for node in ast.walk(function)
                if isinstance(node, ast.Import | ast.ImportFrom)
            ]
    assert hidden == []


@pytest.mark.parametrize("subpackage", sorted(SUBPACKAGES))
def test_public_module_has_docstring_and_exports_only(subpackage: str) -> None:
    """A public module has a docstring and re-exports names; it has no code of its own."""
    tree = ast.parse((NODE_SOURCE / subpackage / "__init__.py").read_text(encoding="utf-8"))
    assert ast.get_docstring(tree)
    statements = [type(node).__name__ for node in tree.body[1:] if not _is_list_of_names(node)]
    assert set(statements) <= {"ImportFrom"}
    assert len(statements) < len(tree.body) - 1
    modules = (path.stem for path in (NODE_SOURCE / subpackage).glob("*.py"))
    assert all(name.startswith("_") for name in modules)


def _is_list_of_names(node: ast.stmt) -> bool:
    if not isinstance(node, ast.Assign):
        return False
    return [target.id for target in node.targets if isinstance(target, ast.Name)] == ["__all__"]
