"""Tests of all file writers for missing syncs of directories.

On this simulated disk a power loss keeps or drops each name that was added, renamed or removed without a sync
of its directory independently of the others (DEPLOY, "On the machines").
"""

from __future__ import annotations

import unittest
from collections.abc import Callable
from contextlib import AbstractContextManager, suppress
from functools import partial
from pathlib import Path
from random import Random
from unittest.mock import patch

from bitternpath.storage import segment_loading, snapshots
from bitternpath.storage.documents import load_document, remove_document, store_document
from bitternpath.storage.errors import CorruptDocumentError
from bitternpath.storage.files import FileSystem
from bitternpath.storage.identity import load_identity
from bitternpath.testing.simulation.file_system import SimulatedCrashError, SimulatedFileSystem
from tests.system.storage import test_power_loss

NAME = "founding"
SEEDS = 8  # number of random outcomes of a power loss per case
DOCUMENT_STEPS = 6  # disk operations of one write, plus one

make_strict_disk = partial(SimulatedFileSystem, fsync_persists_name=False)


def without_directory_syncs() -> AbstractContextManager[object]:
    """Simulate a build that doesn't sync directories."""
    return patch.object(SimulatedFileSystem, "sync_directory", lambda self, directory: None)


class Documents(unittest.TestCase):
    """The bootstrap decision, and the feed's cache."""

    def crash(self, disk: SimulatedFileSystem, work: Callable[[], None], steps: int) -> bool:
        """Do the work, killing the process after `steps` disk operations; returns whether it completed."""
        disk.crash_at = disk.steps + steps
        completed = False
        with suppress(SimulatedCrashError):
            work()
            completed = True
        disk.restart()
        return completed

    def assert_removal_is_durable(self, remove: Callable[[FileSystem, str], None]) -> None:
        for seed in range(SEEDS):
            disk = make_strict_disk()
            store_document(disk, NAME, b"old")
            remove(disk, NAME)
            disk.lose_power(Random(seed))
            self.assertIsNone(load_document(disk, NAME))

    def test_writes_are_durable_and_atomic(self) -> None:
        for steps in range(1, DOCUMENT_STEPS + 1):
            for seed in range(SEEDS):
                disk = make_strict_disk()
                store_document(disk, NAME, b"old")
                completed = self.crash(disk, partial(store_document, disk, NAME, b"new content"), steps)
                disk.lose_power(Random(seed))
                allowed = (b"new content",) if completed else (b"old", b"new content")
                self.assertIn(load_document(disk, NAME), allowed, (steps, seed))

    def test_content_that_was_read_is_durable(self) -> None:
        """The writer of a document is killed between the rename and the sync of the directory. Without a sync
        in the reader, a founding member that acted on the document lost its bootstrap decision at the next
        power loss."""
        for steps in range(1, DOCUMENT_STEPS + 1):
            for seed in range(SEEDS):
                disk = make_strict_disk()
                self.crash(disk, partial(store_document, disk, NAME, b"new"), steps)
                read = load_document(disk, NAME)
                disk.lose_power(Random(seed))
                self.assertEqual(load_document(disk, NAME) if read else None, read, (steps, seed))

    def test_the_removal_of_a_document_is_durable(self) -> None:
        self.assert_removal_is_durable(remove_document)

    def test_builds_without_a_sync_of_the_directory_are_detected(self) -> None:
        checks = (
            self.test_writes_are_durable_and_atomic,
            self.test_content_that_was_read_is_durable,
        )
        for check in checks:
            with (
                self.subTest(check.__name__),
                without_directory_syncs(),
                self.assertRaises((AssertionError, CorruptDocumentError)),
            ):
                check()

    def test_a_build_that_removes_without_a_sync_is_detected(self) -> None:
        def unsynced(files: FileSystem, name: str) -> None:
            with without_directory_syncs():
                remove_document(files, name)

        with self.assertRaises(AssertionError):
            self.assert_removal_is_durable(unsynced)


class Identity(unittest.TestCase):
    def assert_used_identity_is_durable(self) -> None:
        for steps in range(1, DOCUMENT_STEPS + 1):
            for seed in range(SEEDS):
                disk = make_strict_disk()
                disk.crash_at = steps
                with suppress(SimulatedCrashError):
                    load_identity(Path(), disk, lambda: "11111111")
                disk.restart()
                used = load_identity(Path(), disk, lambda: "22222222")
                disk.lose_power(Random(seed))
                self.assertEqual(load_identity(Path(), disk, lambda: "33333333"), used, (steps, seed))

    def test_an_identity_that_was_used_is_never_lost(self) -> None:
        self.assert_used_identity_is_durable()

    def test_a_build_without_a_sync_of_the_directory_is_detected(self) -> None:
        with without_directory_syncs(), self.assertRaises(AssertionError):
            self.assert_used_identity_is_durable()


class JournalAndSnapshots(test_power_loss.PowerLoss):
    """The power loss tests of the write-ahead log, on this disk."""

    longest_test_s = 20

    def make_disk(self) -> SimulatedFileSystem:
        return make_strict_disk()

    def test_a_build_without_a_sync_of_a_directory_is_detected(self) -> None:
        real = SimulatedFileSystem.sync_directory
        for directory in (segment_loading.DIRECTORY, snapshots.DIRECTORY):

            def unsynced(self: SimulatedFileSystem, synced: str, unsynced: str = directory) -> None:
                if synced != unsynced:
                    real(self, synced)

            with (
                self.subTest(directory),
                patch.object(SimulatedFileSystem, "sync_directory", unsynced),
                self.assertRaises(Exception) as caught,
            ):
                self.test_acknowledged_batches_survive_a_power_loss_at_any_step()
            self.assertNotIsInstance(caught.exception, SimulatedCrashError)


if __name__ == "__main__":
    unittest.main()
