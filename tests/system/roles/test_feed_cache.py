"""The feed cache on disk, and the document writer that it uses."""

from __future__ import annotations

import unittest
from typing import Any

from bitternpath.roles.feed_cache import CACHE_DOCUMENT
from bitternpath.roles.storage import StorageNode
from bitternpath.storage.document_writer import RETRY_S, DocumentWriter
from bitternpath.storage.documents import read_document
from bitternpath.storage.node_disk import LocalDisk
from tests.system.roles.node_case import DiskCase, FakeReactor, SynchronousPool


class FeedCacheTest(DiskCase):
    def test_a_damaged_cache_is_discarded_and_the_node_starts(self) -> None:
        for content in (b"BTPD", None, b""):
            with self.subTest(content):
                self.setUp()
                self.data.mkdir()
                if content is None:
                    LocalDisk(self.data).write_document(CACHE_DOCUMENT, b"\xff\xff no record")
                else:
                    (self.data / CACHE_DOCUMENT).write_bytes(content)
                reactor = FakeReactor()
                node = StorageNode(reactor, self.settings(seeds=()))
                self.addCleanup(node.base.close_disk)
                node.start()
                self.assertTrue(reactor.getDelayedCalls())
                self.assertFalse((self.data / CACHE_DOCUMENT).exists())
                warnings = [record.message for record in self.logged.records if "cache" in record.message]
                self.assertEqual(
                    [line.partition(" ")[0] for line in warnings], ["event=feed_cache_discarded"]
                )


class DocumentWriterTest(DiskCase):
    def setUp(self) -> None:
        super().setUp()
        self.reactor = FakeReactor()
        self.path = self.data / "feed"
        self.writer = DocumentWriter(self.reactor, self.path)

    def warnings(self) -> int:
        return sum("document_write_failed" in record.message for record in self.logged.records)

    def test_a_failed_write_is_retried(self) -> None:
        self.writer.write(b"one")  # the folder doesn't exist yet
        self.reactor.pump([RETRY_S] * 3)
        self.assertEqual(self.warnings(), 1)
        self.data.mkdir()
        self.reactor.advance(RETRY_S)
        self.assertEqual(read_document(self.path), b"one")
        self.assertEqual(self.reactor.getDelayedCalls(), [])

    def test_a_retry_writes_the_newest_content(self) -> None:
        self.writer.write(b"one")
        self.writer.write(b"two")
        self.data.mkdir()
        self.writer.write(b"three")
        self.assertIsNone(read_document(self.path))
        self.reactor.advance(RETRY_S)
        self.assertEqual(read_document(self.path), b"three")
        self.writer.write(b"four")
        self.assertEqual(read_document(self.path), b"four")

    def test_content_queued_during_a_failing_write_is_written(self) -> None:
        self.reactor.pool = pending = ManualPool()
        self.writer.write(b"one")
        self.writer.write(b"two")
        pending.run()
        self.data.mkdir()
        self.reactor.advance(RETRY_S)
        pending.run()
        self.assertEqual(read_document(self.path), b"two")


class ManualPool(SynchronousPool):
    """A thread pool that runs its calls when the test calls `run`."""

    def __init__(self) -> None:
        self.pending: list[tuple[Any, ...]] = []

    def callInThreadWithCallback(self, *call: Any) -> None:
        self.pending.append(call)

    def run(self) -> None:
        pending, self.pending = self.pending, []
        for call in pending:
            super().callInThreadWithCallback(*call)


if __name__ == "__main__":
    unittest.main()
