"""Pages for readers of the code against the code: paths and terms they name, log events, result codes."""

from __future__ import annotations

import ast
import re
import unittest
from collections.abc import Iterator
from enum import Enum
from pathlib import Path

from bitternpath.configuration.results import ResultCode
from bitternpath.roles.process import ExitCode
from bitternpath.transport.shard_messages import RefusalReason
from tests.system.test_import_graph import module_files, module_graph, package_graph

ROOT = Path(__file__).parents[2]
DOCS = ROOT / "docs"
PROGRAM = ROOT / "bitternpath"
GLOSSARY = DOCS / "GLOSSARY.md"
EVENTS = DOCS / "operate" / "events.md"
PAGES_WITH_PATHS = (
    DOCS / "ARCHITECTURE.md",
    GLOSSARY,
    EVENTS,
    ROOT / "CONTRIBUTING.md",
)
DESIGN_NOTES = (DOCS / "design" / "system.md", DOCS / "design" / "control-safety.md")
OTHER_PROGRAMS = ("balancer", "testing")  # their log events aren't the service's
LEVELS = {"exception": "error"}  # methods of a logger whose level has another name
_QUOTED = re.compile(r"`([^`\n]+)`")
_PATH = re.compile(r"[A-Za-z0-9_.-]+(?:/[A-Za-z0-9_.*-]+)*/?")
_MODULE = re.compile(r"[a-z_0-9]+(?:/[a-z_0-9]+)+(?:\.py)?|[a-z_0-9]+(?:/[a-z_0-9]+)*/")
_EVENT = re.compile(r"event=([a-z0-9_]+)")


def table_rows(page: str) -> Iterator[list[str]]:
    """The cells of all rows of a page's tables, without the rows that head a table."""
    lines = page.splitlines()
    for number, line in enumerate(lines):
        is_rule = re.fullmatch(r"[| :-]+", line) is not None
        is_head = number + 1 < len(lines) and re.fullmatch(r"\|[| :-]+", lines[number + 1]) is not None
        if line.startswith("|") and not is_rule and not is_head:
            yield [cell.strip() for cell in line.strip().strip("|").split("|")]


def section(page: str, heading: str) -> str:
    """The text under a heading of the second level."""
    return page.partition(f"\n## {heading}\n")[2].partition("\n## ")[0]


def named_paths(page: str) -> set[str]:
    """Paths in backticks: of folders that end with a slash, and of files in a folder."""
    quoted = {each for each in _QUOTED.findall(page) if _PATH.fullmatch(each) and "/" in each.strip(".")}
    return {each for each in quoted if each.endswith(("/", ".py", ".md", ".toml", ".json", ".cfg"))}


def exists(path: str) -> bool:
    """Whether a path is there, from the repository's root or in the program."""
    return any(any(folder.glob(path.rstrip("/"))) for folder in (ROOT, PROGRAM))


def logged_events() -> dict[str, set[str]]:
    """Names of the service's log events in the program's text, with the levels at which they are logged."""
    found: dict[str, set[str]] = {}
    for path in sorted(PROGRAM.rglob("*.py")):
        if path.relative_to(PROGRAM).parts[0] not in OTHER_PROGRAMS:
            for node in ast.walk(ast.parse(path.read_text("utf-8"))):
                if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute):
                    for name in event_names(node):
                        level = LEVELS.get(node.func.attr, node.func.attr)
                        found.setdefault(name, set()).add(level)
    return found


def logging_functions() -> dict[str, set[str]]:
    """The functions that log each event, as `package/module.py:Class.function`."""
    found: dict[str, set[str]] = {}
    for path in sorted(PROGRAM.rglob("*.py")):
        module = path.relative_to(PROGRAM)
        if module.parts[0] not in OTHER_PROGRAMS:
            for place, call in calls_by_function(ast.parse(path.read_text("utf-8")), ()):
                for name in event_names(call):
                    found.setdefault(name, set()).add(f"{module}:{place}")
    return found


def calls_by_function(node: ast.AST, inside: tuple[str, ...]) -> Iterator[tuple[str, ast.Call]]:
    """Each call below a node, with the dotted name of the class and function that it stands in."""
    if isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
        inside = (*inside, node.name)
    if isinstance(node, ast.Call):
        yield ".".join(inside), node
    for child in ast.iter_child_nodes(node):
        yield from calls_by_function(child, inside)


def event_names(call: ast.Call) -> list[str]:
    """Names of the events in the first argument of a call of a logger."""
    first = call.args[0] if call.args else None
    if isinstance(first, ast.Constant) and isinstance(first.value, str):
        return _EVENT.findall(first.value)
    return []


def events_in_text() -> set[str]:
    """Names of events by a plain search, so that a way of logging that `logged_events` misses is noticed."""
    found: set[str] = set()
    for path in PROGRAM.rglob("*.py"):
        if path.relative_to(PROGRAM).parts[0] not in OTHER_PROGRAMS:
            found |= set(re.findall(r"[\"']event=([a-z0-9_]+)", path.read_text("utf-8")))
    return found


def told_events(page: str) -> dict[str, set[str]]:
    """Events of the page with their levels; a row has one event."""
    return {
        _QUOTED.findall(row[0])[0]: set(row[1].split(", ")) for row in table_rows(section(page, "Log events"))
    }


def numbered(page: str, heading: str) -> list[tuple[int, str]]:
    """Number and name at the beginning of each row."""
    return sorted((int(row[0]), row[1]) for row in table_rows(section(page, heading)))


def members(kind: type[Enum]) -> list[tuple[int, str]]:
    return sorted((int(member.value), member.name) for member in kind)


def short_names(page: str) -> set[str]:
    """Names in backticks as design notes write them: modules and packages of the program, tests."""
    packages = {path.name for path in PROGRAM.iterdir() if path.is_dir()} | {"tests"}
    words = {word for each in _QUOTED.findall(page) for word in each.split()}
    modules = {word for word in words if _MODULE.fullmatch(word) and word.split("/")[0] in packages}
    return modules | {word for word in words if re.fullmatch(r"(?:\w+/)?test_\w+", word)}


def is_there(name: str) -> bool:
    """Whether a module, a package, a file of tests or a test is there by that short name."""
    folders = (ROOT, PROGRAM, ROOT / "tests", ROOT / "tests" / "system")
    if any((folder / f"{name.rstrip('/')}{end}").exists() for folder in folders for end in ("", ".py")):
        return True
    return "/" not in name and any((ROOT / "tests").rglob(f"{name}.py"))


class EventFunctions(unittest.TestCase):
    def test_the_functions_that_log_an_event_are_named(self) -> None:
        rows = table_rows(section((ROOT / "docs" / "operate" / "events.md").read_text("utf-8"), "Log events"))
        named = {_QUOTED.findall(row[0])[0]: set(_QUOTED.findall(row[5])) for row in rows}
        self.assertEqual(named, logging_functions())


class Paths(unittest.TestCase):
    def test_paths_that_pages_name_are_there(self) -> None:
        for page in PAGES_WITH_PATHS:
            named = named_paths(page.read_text("utf-8"))
            with self.subTest(page=page.name):
                self.assertTrue(named)
                self.assertEqual([path for path in sorted(named) if not exists(path)], [])

    def test_a_path_that_is_gone_is_noticed(self) -> None:
        page = "`queue/owner.py`, `queue/gone.py`, `gone/`, `bitternpath/roles/`, `name`, `GET /config`"
        named = named_paths(page)
        self.assertEqual(named, {"queue/owner.py", "queue/gone.py", "gone/", "bitternpath/roles/"})
        self.assertEqual({path for path in named if not exists(path)}, {"queue/gone.py", "gone/"})

    def test_modules_and_tests_that_design_notes_name_are_there(self) -> None:
        for page in (*DESIGN_NOTES, *sorted((DOCS / "design" / "control-safety").glob("*.md"))):
            named = short_names(page.read_text("utf-8"))
            with self.subTest(page=page.name):
                self.assertTrue(named)
                self.assertEqual([name for name in sorted(named) if not is_there(name)], [])

    def test_a_module_or_a_test_that_is_gone_is_noticed(self) -> None:
        named = short_names(
            "`queue/owner`, `queue/gone`, `test_pages`, `queue/test_owner`, `test_gone`, `a/b`"
        )
        self.assertEqual(named, {"queue/owner", "queue/gone", "test_pages", "queue/test_owner", "test_gone"})
        self.assertEqual({name for name in named if not is_there(name)}, {"queue/gone", "test_gone"})

    def test_links_of_pages_lead_to_files(self) -> None:
        for page in (*PAGES_WITH_PATHS, ROOT / "README.md"):
            for target in re.findall(r"\]\(([^)#]+)(?:#[^)]*)?\)", page.read_text("utf-8")):
                with self.subTest(page=page.name, target=target):
                    self.assertTrue("://" in target or (page.parent / target).exists())


class Layers(unittest.TestCase):
    """Tables of packages that say "uppermost first"."""

    def check_order(self, packages: list[str]) -> None:
        """No package imports one that stands above it; all of the program's own are there."""
        own = {path.name for path in PROGRAM.iterdir() if (path / "__init__.py").exists()}
        self.assertEqual(set(packages), own - set(OTHER_PROGRAMS))
        modules = module_files(PROGRAM, PROGRAM.name)
        graph = package_graph(module_graph(modules), modules)
        for place, package in enumerate(packages):
            imported = {name.partition(".")[2] for name in graph[f"{PROGRAM.name}.{package}"]}
            self.assertEqual(imported & set(packages[:place]), set(), package)

    def test_readme(self) -> None:
        table = (ROOT / "README.md").read_text("utf-8").partition("uppermost first")[2].partition("\n\n|")[2]
        self.check_order(re.findall(r"(?m)^\|? `(\w+)/` \|", "|" + table.partition("\n\n")[0]))

    def test_architecture(self) -> None:
        layers = section((DOCS / "ARCHITECTURE.md").read_text("utf-8"), "Layers")
        cells = [row[0] for row in table_rows(layers)]
        self.check_order([name for cell in cells for name in re.findall(r"`(\w+)/`", cell)])


class Glossary(unittest.TestCase):
    def test_every_term_stands_in_the_module_that_is_named(self) -> None:
        rows = list(table_rows(GLOSSARY.read_text("utf-8")))
        self.assertGreater(len(rows), 50)
        for row in rows:
            with self.subTest(row=row):
                _, _, term, where, meaning = row
                (name,) = _QUOTED.findall(term)
                (path,) = _QUOTED.findall(where)
                text = path + (PROGRAM / path).read_text("utf-8")
                stands = re.search(rf"(?<![A-Za-z0-9]){re.escape(name)}(?![A-Za-z0-9])", text)
                self.assertIsNotNone(stands, f"{name} isn't in {path}")
                self.assertTrue(meaning)

    def test_no_term_is_told_twice(self) -> None:
        terms = [row[2] for row in table_rows(GLOSSARY.read_text("utf-8"))]
        self.assertEqual(sorted(set(terms)), sorted(terms))


class Events(unittest.TestCase):
    def setUp(self) -> None:
        self.page = EVENTS.read_text("utf-8")

    def test_events_and_levels_are_those_of_the_program(self) -> None:
        told, logged = told_events(self.page), logged_events()
        self.assertEqual(sorted(told.keys() - logged.keys()), [], "on the page, and not logged any more")
        self.assertEqual(sorted(logged.keys() - told.keys()), [], "logged, and not on the page")
        self.assertEqual(told, logged)

    def test_each_event_is_told_once_and_with_what_to_do(self) -> None:
        rows = list(table_rows(section(self.page, "Log events")))
        self.assertEqual(len(rows), len(told_events(self.page)))
        for row in rows:
            with self.subTest(event=row[0]):
                self.assertEqual(len(row), 6)
                self.assertTrue(all(row))

    def test_no_event_is_logged_in_another_way(self) -> None:
        self.assertEqual(events_in_text(), set(logged_events()))

    def test_events_that_other_pages_for_operators_quote_are_logged(self) -> None:
        pages = "".join((DOCS / "operate" / name).read_text("utf-8") for name in ("system.md", "control.md"))
        quoted = {each for text in _QUOTED.findall(pages) for each in re.findall(r"^(\w+_\w+) \w+=", text)}
        quoted |= set(re.findall(r"event=([a-z_]+)", pages))
        self.assertGreater(len(quoted), 3)
        self.assertEqual(quoted - set(logged_events()), set())

    def test_a_change_of_the_page_is_noticed(self) -> None:
        name = next(event for event, levels in told_events(self.page).items() if levels == {"info"})
        left_out = re.sub(rf"\n\| `{name}` .*", "", self.page)
        renamed = self.page.replace(f"| `{name}` | info", f"| `{name}_renamed` | info")
        other_level = self.page.replace(f"| `{name}` | info", f"| `{name}` | error")
        for changed in (left_out, renamed, other_level):
            self.assertNotEqual(changed, self.page)
            self.assertNotEqual(told_events(changed), logged_events())


class Codes(unittest.TestCase):
    def test_result_codes_are_those_of_the_program(self) -> None:
        page = EVENTS.read_text("utf-8")
        for heading, kind in (
            ("Result codes of the operator's calls", ResultCode),
            ("Refusals between nodes", RefusalReason),
            ("Exit codes", ExitCode),
        ):
            with self.subTest(heading=heading):
                self.assertEqual(numbered(page, heading), members(kind))
                for row in table_rows(section(page, heading)):
                    self.assertEqual(len(row), 5)
                    self.assertTrue(all(row))


if __name__ == "__main__":
    unittest.main()
