"""Who may import whom, read from the source: rooms last only while their walls are checked."""

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
ROOMS = frozenset(path.parent.name for path in NODE_SOURCE.glob("*/__init__.py"))
ADAPTERS = frozenset({NODE, "carobspool_cli", "carobspool_standins", "carobspool_platform"})
SHARED_WITH_DIRECT = frozenset({f"{NODE}.errors", f"{NODE}.organisations", f"{NODE}.settings"})
"""All that direct entries take from the rest of the node; what stands behind these names runs on
the users' hosts, with the libraries of deploy/requirements.txt only."""
FACE_EXCEPTIONS = {
    ("tests/fleet_load.py", f"{NODE}.direct._loads"): (
        "the load of a whole fleet on the placement table, without the processes around it"
    ),
    **{
        ("tests/adapter/border_cases.py", f"{NODE}.direct.{module}"): (
            "one program plays drawn cases of the decoders of the node and of the adapter"
        )
        for module in ("_job_records", "_peer_messages", "_store_relay")
    },
}
"""Imports of a room's private modules from outside, with the reason; keep it as short as it is."""

Import = tuple[str, str]
"""A file, from the root, and the module that it imports."""


def sources(*folders: str) -> list[Path]:
    """Return the Python files under some folders of the repository."""
    return [path for folder in folders for path in sorted((ROOT / folder).rglob("*.py"))]


def imports(paths: list[Path]) -> Iterator[Import]:
    """Yield each file with each module that it imports, wherever in the file it does so."""
    for path in paths:
        yield from ((str(path.relative_to(ROOT)), module) for module in imported(path))


@cache
def imported(path: Path) -> tuple[str, ...]:
    """Return the modules that a file imports.

    ``from a import b`` counts as ``a.b`` when that is a module, so that no spelling is missed.
    """
    found = []
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            found += [name.name for name in node.names]
        elif isinstance(node, ast.ImportFrom):
            module = absolute(path, node)
            inner = [f"{module}.{name.name}" for name in node.names]
            found += [name if is_node_module(name) else module for name in inner]
    return tuple(found)


def absolute(path: Path, node: ast.ImportFrom) -> str:
    """Return the full name of the module after ``from``."""
    assert node.level == 0, f"{path}: relative imports hide which room is meant"
    assert node.module is not None
    return node.module


def is_node_module(name: str) -> bool:
    """Tell whether a dotted name is a module of the node's package."""
    package, _, rest = name.partition(".")
    place = NODE_SOURCE / rest.replace(".", "/")
    return package == NODE and (place.with_suffix(".py").exists() or place.is_dir())


def package_of(module: str) -> str:
    """Return the first part of a dotted name."""
    return module.partition(".")[0]


def room_of(module: str) -> str | None:
    """Return the room of a module of the node, or ``None``."""
    parts = module.split(".")
    return parts[1] if parts[0] == NODE and len(parts) > 1 and parts[1] in ROOMS else None


def room_of_file(file: str) -> str | None:
    """Return the room in which a file stands, or ``None``."""
    path = ROOT / file
    if not path.is_relative_to(NODE_SOURCE):
        return None
    first = path.relative_to(NODE_SOURCE).parts[0]
    return first if first in ROOMS else None


def is_private(module: str) -> bool:
    """Tell whether a dotted name leads through a private module."""
    return any(part.startswith("_") and part != "__main__" for part in module.split("."))


def test_core_imports_no_adapter() -> None:
    """Decisions that knew an adapter could not be tested without network, threads and clock."""
    found = imports(sources("packages/core/src"))
    assert [each for each in found if package_of(each[1]) in ADAPTERS] == []


def test_nothing_imports_the_platform() -> None:
    """What the users' platform calls things is known in one place; tests of it and files of its
    deployment are outside of this."""
    found = imports(sources("packages", "tools", "examples"))
    assert [each for each in found if package_of(each[1]) == "carobspool_platform"] == []


def test_rooms_are_imported_by_their_faces() -> None:
    """Code that reaches past a face is tied to how a room is built. The node's own tests may."""
    broken = {
        (file, module)
        for file, module in imports(sources("packages", "platform", "tests", "tools", "examples"))
        if room_of(module) is not None
        and room_of_file(file) != room_of(module)
        and is_private(module)
        and not (ROOT / file).is_relative_to(NODE_TESTS)
    }
    assert broken == set(FACE_EXCEPTIONS)


def test_rooms_do_not_import_their_own_face() -> None:
    """A module that imports the face of its own room imports itself, half read."""
    found = imports(sources("packages/node/src"))
    own = [each for each in found if each[1] == f"{NODE}.{room_of_file(each[0])}"]
    assert own == []


def test_modules_of_the_node_stand_in_rooms() -> None:
    """Beside the rooms there are only the package, its program and its errors."""
    assert {path.name for path in NODE_SOURCE.glob("*.py")} == {
        "__init__.py",
        "__main__.py",
        "errors.py",
    }


def test_direct_entries_share_only_named_faces() -> None:
    """Direct entries run on the users' hosts without the libraries of the sidecar path."""
    outside = {
        module
        for _, module in imports(sources(f"packages/node/src/{NODE}/direct"))
        if package_of(module) == NODE and room_of(module) != "direct"
    }
    assert outside <= SHARED_WITH_DIRECT


def test_the_platform_process_starts_with_the_libraries_of_its_deployment() -> None:
    """The other libraries of the node are not installed on the users' hosts: a face that loads one
    of them for direct entries would only be noticed there, at the start of a process."""
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
    """An entry that starts again after a crash serves nobody while it imports; the library that
    derives schemas from models takes a third of that time."""
    program = (
        "import sys, carobspool_platform.__main__\n"
        "assert 'pydantic_core' in sys.modules\n"
        "assert not [name for name in sys.modules if name.partition('.')[0] == 'pydantic']"
    )
    subprocess.run([sys.executable, "-c", program], check=True)


def test_the_sidecar_path_does_not_import_direct_entries() -> None:
    """Only the program, which starts either, knows both."""
    users = {
        file
        for file, module in imports(sources("packages/node/src"))
        if room_of(module) == "direct" and room_of_file(file) != "direct"
    }
    assert users == {f"packages/node/src/{NODE}/__main__.py"}


def test_rooms_form_no_cycle() -> None:
    """Rooms that need each other are one room with two doors; code moves to where it belongs."""
    needs: dict[str, set[str]] = {room: set() for room in ROOMS}
    for file, module in imports(sources("packages/node/src")):
        user, used = room_of_file(file), room_of(module)
        if user is not None and used is not None and user != used:
            needs[user].add(used)
    assert len(list(TopologicalSorter(needs).static_order())) == len(ROOMS)


def test_imports_stand_at_the_top_of_a_module() -> None:
    """An import inside a function hides a cycle until the function runs."""
    hidden = []
    for path in sources("packages/node/src"):
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


@pytest.mark.parametrize("room", sorted(ROOMS))
def test_a_face_says_what_belongs_there(room: str) -> None:
    """A face has a docstring and lists its names; it holds no code of its own."""
    tree = ast.parse((NODE_SOURCE / room / "__init__.py").read_text(encoding="utf-8"))
    assert ast.get_docstring(tree)
    statements = [type(node).__name__ for node in tree.body[1:] if not _is_list_of_names(node)]
    assert set(statements) <= {"ImportFrom"}
    assert len(statements) < len(tree.body) - 1
    modules = (path.stem for path in (NODE_SOURCE / room).glob("*.py"))
    assert all(name.startswith("_") for name in modules)


def _is_list_of_names(node: ast.stmt) -> bool:
    if not isinstance(node, ast.Assign):
        return False
    return [target.id for target in node.targets if isinstance(target, ast.Name)] == ["__all__"]
