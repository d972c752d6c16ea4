"""Each writer of files against a disk on which every name that was made, renamed or removed without a sync of
its folder is kept or lost by itself after a loss of power (DEPLOY, "On the machines")."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from pathlib import Path
from random import Random
from unittest.mock import patch

from bitternpath.storage import snapshots
from bitternpath.storage.documents import CorruptDocumentError, load_document, remove_document, store_document
from bitternpath.storage.identity import load_identity
from bitternpath.testing.simulation.file_system import SimulatedCrashError, SimulatedFileSystem
from tests.system.test_journal import PowerLoss

NAME = "founding"
SEEDS = 8  # of what a loss of power leaves
STEPS_OF_DOCUMENT = 6  # operations of one write, and one more

strict_disk = partial(SimulatedFileSystem, fsync_persists_name=False)


class Documents(unittest.TestCase):
    """Founding, and the feed's cache."""

    def cut(self, disk: SimulatedFileSystem, work: Callable[[], None], steps: int) -> bool:
        """Do it, with the process killed after so many operations; whether it came to its end."""
        disk.crash_at = disk.steps + steps
        done = False
        with suppress(SimulatedCrashError):
            work()
            done = True
        disk.restart()
        return done

    def test_a_write_that_ended_is_kept_and_one_that_did_not_leaves_old_or_new(self) -> None:
        for steps in range(1, STEPS_OF_DOCUMENT + 1):
            for seed in range(SEEDS):
                disk = strict_disk()
                store_document(disk, NAME, b"old")
                done = self.cut(disk, partial(store_document, disk, NAME, b"new content"), steps)
                disk.lose_power(Random(seed))
                allowed = (b"new content",) if done else (b"old", b"new content")
                self.assertIn(load_document(disk, NAME), allowed, (steps, seed))

    def test_what_a_process_has_read_is_kept(self) -> None:
        """Its writer was killed between the rename and the sync of the folder. A founder that took part on
        the strength of it had no founding after the next loss of power."""
        for steps in range(1, STEPS_OF_DOCUMENT + 1):
            for seed in range(SEEDS):
                disk = strict_disk()
                self.cut(disk, partial(store_document, disk, NAME, b"new"), steps)
                read = load_document(disk, NAME)
                disk.lose_power(Random(seed))
                self.assertEqual(load_document(disk, NAME) if read else None, read, (steps, seed))

    def test_one_that_was_dropped_does_not_come_back(self) -> None:
        for seed in range(SEEDS):
            disk = strict_disk()
            store_document(disk, NAME, b"old")
            remove_document(disk, NAME)
            disk.lose_power(Random(seed))
            self.assertIsNone(load_document(disk, NAME))

    def test_builds_without_a_sync_of_the_folder_are_caught(self) -> None:
        checks = (
            self.test_a_write_that_ended_is_kept_and_one_that_did_not_leaves_old_or_new,
            self.test_what_a_process_has_read_is_kept,
        )
        for check in checks:
            with (
                self.subTest(check.__name__),
                patch.object(SimulatedFileSystem, "sync_directory", lambda self, folder: None),
                self.assertRaises((AssertionError, CorruptDocumentError)),
            ):
                check()

    def test_a_build_that_drops_without_a_sync_is_caught(self) -> None:
        real = remove_document

        def unsynced(files: SimulatedFileSystem, name: str) -> None:
            with patch.object(SimulatedFileSystem, "sync_directory", lambda self, folder: None):
                real(files, name)

        with (
            patch.dict(globals(), {"remove_document": unsynced}),
            self.assertRaises(AssertionError),
        ):
            self.test_one_that_was_dropped_does_not_come_back()


class Identity(unittest.TestCase):
    def used_is_found_again(self) -> None:
        for steps in range(1, STEPS_OF_DOCUMENT + 1):
            for seed in range(SEEDS):
                disk = strict_disk()
                disk.crash_at = steps
                with suppress(SimulatedCrashError):
                    load_identity(Path(), disk, lambda: "11111111")
                disk.restart()
                used = load_identity(Path(), disk, lambda: "22222222")
                disk.lose_power(Random(seed))
                self.assertEqual(load_identity(Path(), disk, lambda: "33333333"), used, (steps, seed))

    def test_one_that_was_used_is_never_lost(self) -> None:
        self.used_is_found_again()

    def test_a_build_without_a_sync_of_the_folder_is_caught(self) -> None:
        with (
            patch.object(SimulatedFileSystem, "sync_directory", lambda self, folder: None),
            self.assertRaises(AssertionError),
        ):
            self.used_is_found_again()


class JournalAndSnapshots(unittest.TestCase):
    """The losses of power of `test_journal`, on this disk."""

    def setUp(self) -> None:
        strict = patch("tests.system.test_journal.SimulatedFileSystem", strict_disk)
        strict.start()
        self.addCleanup(strict.stop)
        self.losses = PowerLoss()

    def test_power_loss_at_each_step(self) -> None:
        self.losses.test_power_loss_at_each_step_keeps_what_was_acknowledged()

    def test_repeated_losses_and_kills(self) -> None:
        self.losses.test_repeated_losses_and_kills()

    def test_a_build_without_a_sync_of_a_folder_is_caught(self) -> None:
        real = SimulatedFileSystem.sync_directory
        for folder in ("journal", snapshots.FOLDER):

            def unsynced(self: SimulatedFileSystem, synced: str, folder: str = folder) -> None:
                if synced != folder:
                    real(self, synced)

            with (
                self.subTest(folder),
                patch.object(SimulatedFileSystem, "sync_directory", unsynced),
                self.assertRaises(Exception) as caught,
            ):
                self.losses.test_power_loss_at_each_step_keeps_what_was_acknowledged()
            self.assertNotIsInstance(caught.exception, SimulatedCrashError)
