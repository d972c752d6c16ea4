"""Writes a document again and again, in a thread: a disk that stalls must not hold the reactor up."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import logbook
from twisted.internet.threads import deferToThreadPool
from twisted.python.failure import Failure

from bitternpath.storage.documents import write_document

log = logbook.Logger("storage")


class DocumentWriter:
    """Keeps a file up to date; of several contents that wait only the last is written."""

    def __init__(self, reactor: Any, path: Path) -> None:
        self.reactor, self.path = reactor, path
        self._waiting: bytes | None = None
        self._busy = False

    def write(self, content: bytes) -> None:
        """The file is to hold this."""
        self._waiting = content
        if not self._busy:
            self._begin()

    def _begin(self) -> None:
        if self._waiting is None:
            return
        content, self._waiting = self._waiting, None
        self._busy = True
        pool = self.reactor.getThreadPool()
        deferToThreadPool(self.reactor, pool, write_document, self.path, content).addCallbacks(
            self._written, self._failed
        )

    def _written(self, _: None) -> None:
        self._busy = False
        self._begin()

    def _failed(self, failure: Failure) -> None:
        self._busy = False
        log.warning("event=document_not_written file={} error={!r}", self.path.name, str(failure.value))
