"""Writes successive versions of a document in a thread, so that a stalled disk doesn't block the reactor."""

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

RETRY_S = 1.0  # interval between attempts at a failed write


class DocumentWriter:
    """Updates a document asynchronously; if several contents are pending, only the latest is written.

    A failed write is retried after `RETRY_S` seconds, with the latest content. Only the first of several
    consecutive failures is logged.
    """

    def __init__(self, reactor: ThreadPoolReactor, path: Path, disk: NodeDisk | None = None) -> None:
        """Create a writer. Doesn't access the disk.

        Args:
            reactor: writes run in its thread pool.
            path: path of the document's file.
            disk: replaces the local disk whose data directory is the parent of `path`.
        """
        self._reactor = reactor
        self._name = path.name
        self._disk = disk or LocalDisk(path.parent)
        self._pending: bytes | None = None
        self._busy = False  # a write or the pause before a retry is in progress
        self._failing = False

    def write(self, content: bytes) -> None:
        """Schedule the replacement of the document's content."""
        self._pending = content
        if not self._busy:
            self._write_next()

    def _write_next(self) -> None:
        content = self._pending
        if content is None:
            self._busy = False
            return
        self._pending = None
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
        if self._pending is None:
            self._pending = content
        self._reactor.callLater(RETRY_S, self._write_next)
