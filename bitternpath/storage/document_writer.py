"""Writes a document again and again, in a thread: a disk that stalls must not hold the reactor up."""

from __future__ import annotations

from pathlib import Path
from typing import cast

import logbook
from twisted.internet.interfaces import IReactorFromThreads
from twisted.internet.threads import deferToThreadPool
from twisted.python.failure import Failure

from bitternpath.net.reactor import ThreadPoolReactor
from bitternpath.storage.node_disk import LocalDisk, NodeDisk

log = logbook.Logger("storage")

RETRY_S = 1.0  # between attempts at a write that the disk refused


class DocumentWriter:
    """Keeps a document up to date; of several contents that wait only the last is written.

    A write that fails is repeated after `RETRY_S`, with the last content that has arrived meanwhile.
    Failures are logged once, until a write succeeds.
    """

    def __init__(self, reactor: ThreadPoolReactor, path: Path, disk: NodeDisk | None = None) -> None:
        """Write nothing yet.

        Args:
            reactor: writes run in its pool of threads.
            path: the document's file.
            disk: used in place of the local disk below the file's directory.
        """
        self._reactor = reactor
        self._name = path.name
        self._disk = disk or LocalDisk(path.parent)
        self._waiting: bytes | None = None
        self._busy = False  # a write runs, or the pause after one that failed
        self._failing = False

    def write(self, content: bytes) -> None:
        """Replace the document's content soon."""
        self._waiting = content
        if not self._busy:
            self._write_next()

    def _write_next(self) -> None:
        content = self._waiting
        if content is None:
            self._busy = False
            return
        self._waiting = None
        self._busy = True
        reactor = cast(IReactorFromThreads, self._reactor)
        pool = self._reactor.getThreadPool()
        writing = deferToThreadPool(reactor, pool, self._disk.write_document, self._name, content)
        writing.addCallbacks(self._succeeded, self._failed, errbackArgs=(content,))

    def _succeeded(self, _: None) -> None:
        self._failing = False
        self._write_next()

    def _failed(self, failure: Failure, content: bytes) -> None:
        if not self._failing:
            log.warning("event=document_write_failed file={} error={!r}", self._name, str(failure.value))
        self._failing = True
        if self._waiting is None:
            self._waiting = content
        self._reactor.callLater(RETRY_S, self._write_next)
