"""Documents against the code: the tables of result codes, and the settings that the operators' page names."""

from __future__ import annotations

import ast
import io
import re
import tempfile
import unittest
from collections.abc import Callable
from contextlib import redirect_stdout
from enum import Enum
from pathlib import Path

from bitternpath.cli.system_settings import print_settings
from bitternpath.configuration.results import OperatorResult, ResultCode
from bitternpath.roles.logs import LEVELS
from bitternpath.roles.process import ExitCode
from bitternpath.transport.shard_messages import RefusalReason

DOCS = Path(__file__).parents[2] / "docs"
ORDERS = "Results of the operator's calls"
REFUSALS = "Refusals between nodes"
EXIT_CODES = "Exit codes"
SETTINGS = "Settings"
EVENTS = "Log events"
PACKAGE = DOCS.parent / "bitternpath"
LOGGING_PACKAGES = (
    "configuration",
    "delivery",
    "discovery",
    "dispatch",
    "ingress",
    "membership",
    "queue",
    "replication",
    "roles",
    "shards",
    "storage",
    "transport",
)


def rows(page: str, heading: str) -> list[list[str]]:
    """The cells of all table rows under a heading of a page, without the rows that head a table."""
    section = page.partition(f"\n## {heading}\n")[2].partition("\n## ")[0]
    lines = [line for line in section.splitlines() if line.startswith("|")]
    heads = [place for place, line in enumerate(lines) if re.fullmatch(r"[| -]+", line)]
    left = [line for place, line in enumerate(lines) if place not in heads and place + 1 not in heads]
    return [[cell.strip() for cell in line.strip("|").split("|")] for line in left]


def numbered(page: str, heading: str) -> list[tuple[int, str]]:
    return [(int(row[0]), row[1]) for row in rows(page, heading)]


def members(kind: type[Enum]) -> list[tuple[int, str]]:
    return sorted((int(member.value), member.name) for member in kind)


def result_codes() -> list[tuple[int, str]]:
    """The codes of the operator's calls, with the names that operators see."""
    return sorted((int(code.value), code.wire_name.upper()) for code in ResultCode)


def printed_defaults() -> dict[str, object]:
    """What `check-config` prints as defaults for a file that has the needed settings alone."""
    printed = io.StringIO()
    with tempfile.TemporaryDirectory() as folder, redirect_stdout(printed):
        path = Path(folder) / "boot.toml"
        path.write_text('node_name = "a"\nip = "10.0.0.1"\ninternal_port_range = [1, 2]\n')
        print_settings(path)
    found = re.findall(r"(?m)^([a-z_.]+) = (.+)  \(default\)$", printed.getvalue())
    return {name: ast.literal_eval(value) for name, value in found}


def as_written(value: object) -> str:
    """A default in the words of the page."""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, int):
        return str(value)
    return "none" if not value else str(value)


class ResultCodes(unittest.TestCase):
    def setUp(self) -> None:
        self.page = (DOCS / "ERRORS.md").read_text("utf-8")

    def test_each_table_has_each_member_and_nothing_else(self) -> None:
        tables = [(ORDERS, result_codes()), (REFUSALS, members(RefusalReason))]
        for heading, expected in tables:
            with self.subTest(heading):
                self.assertEqual(sorted(numbered(self.page, heading)), expected)

    def test_exit_codes_of_a_process(self) -> None:
        told = [(int(row[0]), row[1]) for row in rows(self.page, EXIT_CODES) if row[0].isdigit()]
        self.assertEqual(sorted(told), members(ExitCode))

    def test_statuses_of_orders(self) -> None:
        by_name = {code.wire_name.upper(): code for code in ResultCode}
        for row in rows(self.page, ORDERS):
            with self.subTest(row[1]):
                self.assertEqual(int(row[2]), OperatorResult(by_name[row[1]], b"").status)

    def test_a_change_of_the_table_is_noticed(self) -> None:
        changes: list[tuple[str, Callable[[str], str]]] = [
            ("row left out", lambda page: re.sub(r"\n\| 1101 .*", "", page)),
            ("row too many", lambda page: page.replace("| 1101 ", "| 1999 | MADE_UP | 400 | | |\n| 1101 ")),
            ("wrong number", lambda page: page.replace("| 1101 ", "| 1102 ")),
            ("row given twice", lambda page: re.sub(r"(\n\| 1101 .*)", r"\1\1", page)),
        ]
        for change, make in changes:
            with self.subTest(change):
                self.assertNotEqual(sorted(numbered(make(self.page), ORDERS)), result_codes())


class OperatorsPage(unittest.TestCase):
    def setUp(self) -> None:
        self.page = (DOCS / "operate" / "system.md").read_text("utf-8")

    def test_settings_are_those_that_are_read_with_their_defaults(self) -> None:
        needed = {"node_name", "ip", "internal_port_range"}
        defaults = printed_defaults()
        table = {row[0].strip("`"): row[2] for row in rows(self.page, SETTINGS)}
        self.assertEqual(set(table), set(defaults) | needed)
        for name, default in table.items():
            with self.subTest(name):
                self.assertEqual(default, "needed" if name in needed else as_written(defaults[name]))

    def test_events_are_those_that_the_code_logs(self) -> None:
        logged: set[str] = set()
        for package in LOGGING_PACKAGES:
            for module in (PACKAGE / package).glob("*.py"):
                logged |= set(re.findall(r"\"event=([a-z_]+)", module.read_text("utf-8")))
        page = (DOCS / "operate" / "events.md").read_text("utf-8")
        told = {name for row in rows(page, EVENTS) for name in re.findall(r"`([a-z_]+)`", row[0])}
        self.assertEqual(told, logged)

    def test_levels_of_the_log(self) -> None:
        line = next(line for line in self.page.splitlines() if "`BITTERNPATH_LOG`" in line)
        self.assertEqual(tuple(re.findall(r"`([a-z]+)`", line))[: len(LEVELS)], LEVELS)


class TestCommands(unittest.TestCase):
    """README's test command is what `make test` and CI run."""

    COMMAND = ".venv/bin/python -m pytest && .venv/bin/python -m nose2 -s tests/system -t ."

    def lines(self, file: str) -> list[str]:
        return (DOCS.parent / file).read_text("utf-8").splitlines()

    def test_readme(self) -> None:
        self.assertIn("    " + self.COMMAND, self.lines("README.md"))

    def test_make(self) -> None:
        self.assertIn("\t" + self.COMMAND.replace(".venv/bin/python", "$(PYTHON)"), self.lines("Makefile"))

    def test_ci(self) -> None:
        lines = self.lines(".ci/run")
        self.assertEqual(lines[-1], self.COMMAND.replace(".venv", ".ci-venv"))  # its result is CI's
        self.assertIn(".ci-venv/bin/ruff format --check .", lines)


class ReferencedFiles(unittest.TestCase):
    def test_modules_that_the_storage_note_names_are_there(self) -> None:
        page = (DOCS / "design" / "storage.md").read_text("utf-8")
        named = set(re.findall(r"`(storage/\w+\.py)`", page))
        self.assertTrue(named)
        self.assertEqual([name for name in sorted(named) if not (PACKAGE / name).is_file()], [])

    def test_a_table_is_read_without_its_head(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            page = Path(folder) / "page.md"
            page.write_text("# x\n\n## A\n\n| n | m |\n| --- | --- |\n| 1 | ONE |\n\n## B\n\n| 2 | TWO |\n")
            self.assertEqual(numbered(page.read_text(), "A"), [(1, "ONE")])


if __name__ == "__main__":
    unittest.main()
