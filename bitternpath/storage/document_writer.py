"""Writes a document again and again, in a thread: a disk that stalls must not hold the reactor up."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import logbook
from twisted.internet.threads import deferToThreadPool
from twisted.python.failure import Failure

from bitternpath.storage.node_disk import LocalDisk, NodeDisk

log = logbook.Logger("storage")

RETRY_S = 1.0  # between attempts at a write that the disk refused


class DocumentWriter:
    """Keeps a file up to date; of several contents that wait only the last is written.

    A write that fails is repeated after a pause, with the last content that has come meanwhile.
    """

    def __init__(self, reactor: Any, path: Path, disk: NodeDisk | None = None) -> None:
        self.reactor, self.path = reactor, path
        self._disk = disk or LocalDisk(path.parent)
        self._waiting: bytes | None = None
        self._busy = False  # a write runs, or the pause after one that failed
        self._failing = False

    def write(self, content: bytes) -> None:
        """The file is to hold this."""
        self._waiting = content
        if not self._busy:
            self._begin()

    def _begin(self) -> None:
        if self._waiting is None:
            self._busy = False
            return
        content, self._waiting = self._waiting, None
        self._busy = True
        pool = self.reactor.getThreadPool()
        writing = deferToThreadPool(self.reactor, pool, self._disk.write_document, self.path.name, content)
        writing.addCallbacks(self._written, self._failed, errbackArgs=(content,))

    def _written(self, _: None) -> None:
        self._failing = False
        self._begin()

    def _failed(self, failure: Failure, content: bytes) -> None:
        if not self._failing:
            log.warning("event=document_write_failed file={} error={!r}", self.path.name, str(failure.value))
        self._failing = True
        if self._waiting is None:
            self._waiting = content
        self.reactor.callLater(RETRY_S, self._begin)
