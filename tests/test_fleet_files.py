"""A node's folder: what is written and in which order, and the effects of a slow or failing disk."""

from __future__ import annotations

import errno
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest

from bitternpath.balancer.fleet import audit, node_folder
from bitternpath.balancer.fleet import plan as p


class ManualReactor:
    """The part of a reactor that receives calls from threads; the test runs them."""

    def __init__(self) -> None:
        self.calls: list[tuple[Callable[..., Any], tuple[Any, ...]]] = []
        self.stops: list[Callable[[], None]] = []

    def callFromThread(self, call: Callable[..., Any], *args: Any) -> None:
        self.calls.append((call, args))

    def addSystemEventTrigger(self, phase: str, event: str, callback: Callable[[], None]) -> None:
        self.stops.append(callback)

    def until(self, condition: Callable[[], bool]) -> None:
        deadline = time.monotonic() + 30.0
        while not condition() and time.monotonic() < deadline:
            calls, self.calls = self.calls, []
            for call, args in calls:
                call(*args)
            time.sleep(0.001)
        assert condition()


@pytest.fixture
def reactor() -> Iterator[ManualReactor]:
    manual = ManualReactor()
    yield manual
    for stop in manual.stops:
        stop()


def audit_entries(count: int, boot: str = "b") -> list[audit.AuditEntry]:
    audit_log = audit.AuditLog(boot)
    for k in range(count):
        audit_log.add(100.0 + k, audit.VERSION_APPLIED, k, 1)
    return audit_log.fresh


def test_what_is_written_is_read_back_by_the_next_process(tmp_path: Path, reactor: ManualReactor) -> None:
    written: list[int | None] = []
    folder = node_folder.NodeFolder(reactor, tmp_path, "b", written.append)
    entries = audit_entries(5)
    folder.write(entries[:2], None)
    folder.write(entries[2:], p.Plan(3))
    reactor.until(lambda: written == [2, 5])
    after = node_folder.NodeFolder(reactor, tmp_path, "c", written.append)
    assert [list(audit_log.unacknowledged) for audit_log in after.older()] == [entries]
    reactor.until(lambda: (tmp_path / node_folder.PLAN_FILE).exists())
    kept = after.plan()
    assert kept is not None and kept.version == 3


def test_a_slow_disk_blocks_nobody_and_entries_are_reported_once_on_file(
    tmp_path: Path, reactor: ManualReactor, monkeypatch: pytest.MonkeyPatch
) -> None:
    resume, put = threading.Event(), node_folder.write_bytes

    def late(descriptor: int, data: bytes) -> int:
        resume.wait(30.0)
        return put(descriptor, data[:7])  # a short write

    monkeypatch.setattr(node_folder, "write_bytes", late)
    written: list[int | None] = []
    folder = node_folder.NodeFolder(reactor, tmp_path, "b", written.append)
    entries = audit_entries(4)
    for entry in entries:
        folder.write([entry], None)  # must return at once; else the test hangs here
    assert not written
    resume.set()
    reactor.until(lambda: written == [1, 4])
    found = (tmp_path / f"{node_folder.AUDIT_FILE_PREFIX}b").read_bytes().splitlines()
    assert [msgspec.json.decode(entry, type=audit.AuditEntry) for entry in found] == entries


def test_a_disk_that_hangs_or_fails_is_given_up(
    tmp_path: Path, reactor: ManualReactor, monkeypatch: pytest.MonkeyPatch
) -> None:
    resume = threading.Event()

    def never(descriptor: int, data: bytes) -> int:
        resume.wait(30.0)
        raise OSError(errno.ENOSPC, "No space left on device")

    monkeypatch.setattr(node_folder, "write_bytes", never)
    written: list[int | None] = []
    folder = node_folder.NodeFolder(reactor, tmp_path, "b", written.append)
    for entry in audit_entries(audit.MAX_UNACKNOWLEDGED_ENTRIES + 1):
        folder.write([entry], None)
    assert not written
    folder.write(audit_entries(1), None)
    assert written == [None]
    failing = node_folder.NodeFolder(reactor, tmp_path, "c", written.append)
    failing.write(audit_entries(1), None)
    resume.set()
    reactor.until(lambda: written == [None, None])


def test_an_audit_log_sends_only_entries_on_file(reactor: ManualReactor) -> None:
    audit_log = audit.AuditLog("b")
    for k in range(3):
        audit_log.add(100.0 + k, audit.VERSION_APPLIED, k, 1)
    assert len(audit_log.next_batch) == 3
    audit_log.written_upto = 1
    assert [entry.number for entry in audit_log.next_batch] == [1]
