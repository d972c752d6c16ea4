"""Fakes and data folders for tests of nodes on a real disk in virtual time."""

from __future__ import annotations

import tempfile
import unittest
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import logbook
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from bitternpath.membership.bootstrap import CONFIGURATION_GROUP, BootstrapFile
from bitternpath.replication.records import Members, PersistentState, Snapshot
from bitternpath.roles.feed_cache import CACHE_DOCUMENT
from bitternpath.roles.settings import Settings, read_settings
from bitternpath.storage.commands import Batch
from bitternpath.storage.files import LocalFileSystem
from bitternpath.storage.group_state import bootstrap_record
from bitternpath.storage.identity import load_identity
from bitternpath.storage.node_disk import LocalDisk
from bitternpath.storage.segments import SegmentLog
from bitternpath.transport.group_messages import BootstrapDecision, GroupPlacement, MemberAddress

OLD_IDENTITY = "0123abcd"
SEGMENT = "journal/segment-00000001.log"
LOCAL_MEMBER = MemberAddress(f"n/{OLD_IDENTITY}", "n", "127.0.0.1:7780", "z")
DECISION = BootstrapDecision("5ec0", GroupPlacement(CONFIGURATION_GROUP, 1, (LOCAL_MEMBER,)))


class SynchronousPool:
    """A thread pool that runs each call immediately."""

    def callInThreadWithCallback(
        self, finished: Callable[[bool, Any], None], work: Callable[..., Any], *arguments: Any
    ) -> None:
        try:
            result = work(*arguments)
        except Exception:
            finished(False, Failure())  # type: ignore[no-untyped-call]
        else:
            finished(True, result)


class FakeReactor(Clock):
    """Virtual time; counts how often it was stopped."""

    def __init__(self) -> None:
        super().__init__()
        self.stops = 0
        self.pool = SynchronousPool()

    def stop(self) -> None:
        self.stops += 1

    def getThreadPool(self) -> SynchronousPool:
        return self.pool

    def callFromThread(self, call: Callable[..., Any], *arguments: Any) -> None:
        call(*arguments)


class DiskCase(unittest.TestCase):
    """A test case with a data folder and settings that name it."""

    def setUp(self) -> None:
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.scratch = Path(temporary.name)
        self.data = self.scratch / "data"
        self.logged = logbook.TestHandler()
        self.enterContext(self.logged.applicationbound())

    def settings(self, **more: Any) -> Settings:
        settings = read_settings(
            {
                "node_name": "n",
                "ip": "127.0.0.1",
                "internal_port_range": [7780, 7790],
                "data_dir": str(self.data),
                "counts_for_quorum": True,
                "bootstrap": True,
                "seeds": ["127.0.0.1:8064"],
            }
        )
        return replace(settings, **more)

    def make_disk(self) -> None:
        """Write the disk of a founder with two groups."""
        load_identity(self.data, generate=lambda: OLD_IDENTITY)
        BootstrapFile(self.data).store(DECISION)
        LocalDisk(self.data).write_document(CACHE_DOCUMENT, b"any")
        log = SegmentLog(LocalFileSystem(self.data), lambda: 7, 1 << 30)
        for group in ("g", "h"):
            founded = bootstrap_record(
                group, PersistentState(snapshot=Snapshot(members=Members((LOCAL_MEMBER.member,))))
            )
            log.write(Batch([founded], []))
        log.close()

    def contents(self, folder: Path) -> dict[str, bytes]:
        files = [path for path in folder.rglob("*") if path.is_file()]
        return {str(path.relative_to(folder)): path.read_bytes() for path in files}


def flip(path: Path, offset: int) -> None:
    data = bytearray(path.read_bytes())
    data[offset] ^= 0xFF
    path.write_bytes(data)
