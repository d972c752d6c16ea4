"""Checks that neither modules nor packages of the program import each other in a cycle.

The sources are parsed, not imported. Imports under `TYPE_CHECKING` and inside functions are included: a
module that can't be understood without another module depends on it.
"""

from __future__ import annotations

import ast
import re
import unittest
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import ClassVar

import bitternpath

PROGRAM = bitternpath.__name__
Graph = Mapping[str, frozenset[str]]


def module_files(folder: Path, name: str) -> dict[str, Path]:
    """Map the dotted names of all modules of a package to their files; a package's is its `__init__.py`."""
    files: dict[str, Path] = {}
    for path in sorted(folder.rglob("*.py")):
        relative_parts = path.relative_to(folder).with_suffix("").parts
        name_parts = relative_parts[:-1] if relative_parts[-1] == "__init__" else relative_parts
        files[".".join((name, *name_parts))] = path
    return files


def imported_names(tree: ast.AST, module: str, is_package: bool) -> Iterable[str]:
    """Yield the absolute dotted names that a module's imports may refer to."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            parent_names = module.split(".") if is_package else module.split(".")[:-1]
            base_names = parent_names[: len(parent_names) - node.level + 1] if node.level else []
            origin = ".".join([*base_names, *([node.module] if node.module else [])])
            yield from (f"{origin}.{alias.name}" for alias in node.names)


def known_module(name: str, modules: Mapping[str, Path]) -> str | None:
    """Return the module that a dotted name denotes or is defined in; None if outside of the program."""
    while name and name not in modules:
        name = name.rpartition(".")[0]
    return name or None


def module_graph(modules: Mapping[str, Path]) -> Graph:
    """Return the modules of the program that each module imports."""
    graph: dict[str, frozenset[str]] = {}
    for module, path in modules.items():
        tree = ast.parse(path.read_text(), str(path))
        names = imported_names(tree, module, path.name == "__init__.py")
        imported = {known_module(name, modules) for name in names}
        graph[module] = frozenset(each for each in imported if each is not None and each != module)
    return graph


def package_of(module: str, modules: Mapping[str, Path]) -> str:
    """Return the package of a module; that of a package is the package itself."""
    return module if modules[module].name == "__init__.py" else module.rpartition(".")[0]


def is_same_or_nested(inner: str, outer: str) -> bool:
    """Return whether two packages are the same or the first is nested in the second."""
    return inner == outer or inner.startswith(f"{outer}.")


def package_graph(graph: Graph, modules: Mapping[str, Path]) -> Graph:
    """Return the unrelated packages that each package imports.

    A package and a package nested in it are not two layers, so imports between them are left out; the graph
    of modules covers them.
    """
    imports_by_package: dict[str, set[str]] = {}
    for module, imports in graph.items():
        package = package_of(module, modules)
        targets = {package_of(each, modules) for each in imports}
        unrelated = {
            each
            for each in targets
            if not is_same_or_nested(each, package) and not is_same_or_nested(package, each)
        }
        imports_by_package.setdefault(package, set()).update(unrelated)
    return {package: frozenset(targets) for package, targets in imports_by_package.items()}


def reachable(graph: Graph, origin: str) -> frozenset[str]:
    """Return the nodes that can be reached from a node in one or more steps."""
    seen: set[str] = set()
    pending = list(graph.get(origin, ()))
    while pending:
        node = pending.pop()
        if node not in seen:
            seen.add(node)
            pending.extend(graph.get(node, ()))
    return frozenset(seen)


def import_cycles(graph: Graph) -> list[list[str]]:
    """Return the sorted groups of nodes that can all reach each other and themselves."""
    reach = {node: reachable(graph, node) for node in graph}
    in_cycle = [node for node in sorted(graph) if node in reach[node]]
    groups: list[list[str]] = []
    for node in in_cycle:
        same_cycle = [group for group in groups if group[0] in reach[node] and node in reach[group[0]]]
        if same_cycle:
            same_cycle[0].append(node)
        else:
            groups.append([node])
    return groups


def layers_of(page: str) -> dict[str, int]:
    """Return each package's row, counted from 0, in the table under the heading "Layers"."""
    section = page.partition("## Layers")[2].partition("\n## ")[0]
    rows = [line.split("|")[1] for line in section.splitlines() if line.startswith("| `")]
    return {name: row for row, cell in enumerate(rows) for name in re.findall(r"`(\w+)/`", cell)}


def upward_imports(graph: Graph, layers: Mapping[str, int]) -> list[str]:
    """Return the imports between packages of the table that don't point to a lower layer."""
    violations = []
    for module, targets in graph.items():
        for target in targets:
            package, imported = (name.split(".")[1] if "." in name else "" for name in (module, target))
            if package == imported or package not in layers or imported not in layers:
                continue
            if layers[imported] <= layers[package]:
                violations.append(f"{module} imports {target}")
    return sorted(violations)


class ImportGraphTest(unittest.TestCase):
    """Import cycles of the program."""

    modules: ClassVar[Mapping[str, Path]]
    graph: ClassVar[Graph]

    @classmethod
    def setUpClass(cls) -> None:
        cls.modules = module_files(Path(bitternpath.__file__).parent, PROGRAM)
        cls.graph = module_graph(cls.modules)

    def test_all_modules_are_parsed(self) -> None:
        self.assertIn(f"{PROGRAM}.roles.edge", self.graph)
        self.assertIn(f"{PROGRAM}.transport.links", self.graph[f"{PROGRAM}.roles.edge"])

    def test_no_cycle_between_modules(self) -> None:
        self.assertEqual([], import_cycles(self.graph))

    def test_no_cycle_between_packages(self) -> None:
        self.assertEqual([], import_cycles(package_graph(self.graph, self.modules)))


class LayersTest(unittest.TestCase):
    """Imports against the table "Layers" of docs/ARCHITECTURE.md."""

    def test_no_import_points_up_or_sideways(self) -> None:
        page = Path(bitternpath.__file__).parents[1] / "docs/ARCHITECTURE.md"
        layers = layers_of(page.read_text())
        modules = module_files(Path(bitternpath.__file__).parent, PROGRAM)
        self.assertLessEqual(set(layers), {name.split(".")[1] for name in modules if "." in name})
        self.assertGreater(len(layers), 10)
        self.assertEqual([], upward_imports(module_graph(modules), layers))

    def test_upward_and_sideways_imports_are_reported(self) -> None:
        layers = {"cli": 0, "roles": 1, "shards": 2, "ingress": 2, "net": 3}
        graph = {
            "p.roles.edge": frozenset(("p.cli.system", "p.net.clock", "p.roles.storage", "p.testing.world")),
            "p.shards.appends": frozenset(("p.ingress.interfaces", "p.net.clock")),
            "p.testing.world": frozenset(("p.cli.system",)),
        }
        expected = ["p.roles.edge imports p.cli.system", "p.shards.appends imports p.ingress.interfaces"]
        self.assertEqual(expected, upward_imports(graph, layers))


class ImportCyclesTest(unittest.TestCase):
    """Cycle detection on small graphs."""

    def cycles(self, **graph: str) -> list[list[str]]:
        return import_cycles({node: frozenset(targets) for node, targets in graph.items()})

    def test_chain_has_no_cycle(self) -> None:
        self.assertEqual([], self.cycles(a="bc", b="c", c=""))

    def test_long_cycle_is_one_group(self) -> None:
        self.assertEqual([["a", "b", "c"]], self.cycles(a="b", b="c", c="a", d="a"))

    def test_two_cycles_are_two_groups(self) -> None:
        self.assertEqual([["a", "b"], ["c", "d"]], self.cycles(a="b", b="ac", c="d", d="c"))

    def test_relative_and_type_checking_imports_are_included(self) -> None:
        source = (
            "if TYPE_CHECKING:\n    from . import sibling\n"
            "def later():\n    from ..other.module import Name\n    import top.level\n"
        )
        names = set(imported_names(ast.parse(source), "program.package.module", is_package=False))
        self.assertEqual({"program.package.sibling", "program.other.module.Name", "top.level"}, names)
