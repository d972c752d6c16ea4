"""Tests of the identity of a disk."""

from __future__ import annotations

import tempfile
import unittest
from contextlib import suppress
from pathlib import Path
from random import Random

from bitternpath.storage.errors import CorruptJournalError
from bitternpath.storage.identity import IDENTITY_FILE, load_identity
from bitternpath.testing.simulation.file_system import SimulatedCrashError, SimulatedFileSystem


class Identity(unittest.TestCase):
    def test_an_identity_is_drawn_once_for_a_disk(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            first = load_identity(Path(folder) / "a")
            self.assertRegex(first, "^[0-9a-f]{8}$")
            self.assertEqual(load_identity(Path(folder) / "a"), first)
            self.assertNotEqual(load_identity(Path(folder) / "b"), first)

    def test_an_identity_that_was_used_is_never_lost(self) -> None:
        for crash_at in range(1, 8):
            for seed in range(8):
                disk, drawn = SimulatedFileSystem(), iter(["11111111", "22222222"])
                disk.crash_at = crash_at
                used = None
                with suppress(SimulatedCrashError):
                    used = load_identity(Path(), disk, lambda drawn=drawn: next(drawn))  # type: ignore[misc]
                disk.lose_power(Random(seed))
                loaded = load_identity(Path(), disk, lambda drawn=drawn: next(drawn))  # type: ignore[misc]
                self.assertIn(loaded, (used,) if used else ("11111111", "22222222"))
                disk.lose_power(Random(seed))
                self.assertEqual(load_identity(Path(), disk, lambda: "33333333"), loaded)

    def test_a_corrupt_identity_is_reported(self) -> None:
        disk = SimulatedFileSystem()
        disk.write_at(IDENTITY_FILE, 0, b"1234")
        with self.assertRaises(CorruptJournalError):
            load_identity(Path(), disk)


if __name__ == "__main__":
    unittest.main()
