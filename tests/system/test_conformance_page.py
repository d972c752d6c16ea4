"""docs/design/conformance.md names modules and tests that are there."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[2]
PAGE = ROOT / "docs/design/conformance.md"
FOLDERS = ("bitternpath", "tests/system", "tests", "", "docs/design")
USERS_PAGES = frozenset(("hardening/LATER.md",))  # beside the repository
STATES = ("holds", "in part", "missing", "not made", "not used", "not run", "nothing to do")


def rows() -> list[list[str]]:
    """The cells of all rows but headings."""
    lines = [line for line in PAGE.read_text().splitlines() if line.startswith("| ")]
    found = [[cell.strip() for cell in line.strip("| ").split(" | ")] for line in lines]
    return [cells for cells in found if cells[0] not in ("requirement", "item", "line", "---")]


class ConformancePage(unittest.TestCase):
    def test_files_are_there(self) -> None:
        named = set(re.findall(r"`(?:\.\./)?([\w/.]+\.(?:py|cfg|toml|md))`", PAGE.read_text())) - USERS_PAGES
        self.assertGreater(len(named), 60)
        missing = [name for name in named if not any((ROOT / folder / name).exists() for folder in FOLDERS)]
        self.assertEqual(sorted(missing), [])

    def test_every_row_says_how_it_stands(self) -> None:
        self.assertGreater(len(rows()), 60)
        silent = [cells[0] for cells in rows() if not any(cell.startswith(STATES) for cell in cells[1:])]
        self.assertEqual(silent, [])

    def test_what_is_missing_or_in_part_says_why_or_who_has_it(self) -> None:
        bare = [cells[0] for cells in rows() if cells[-1] in ("in part", "missing")]
        self.assertEqual(bare, [])


if __name__ == "__main__":
    unittest.main()
