"""A node's folder: what is written in it, in which order, and what a disk that holds up or fails does."""

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


class Turns:
    """A reactor's way to hear of threads, turned by hand."""

    def __init__(self) -> None:
        self.calls: list[tuple[Callable[..., Any], tuple[Any, ...]]] = []
        self.stops: list[Callable[[], None]] = []

    def callFromThread(self, what: Callable[..., Any], *args: Any) -> None:
        self.calls.append((what, args))

    def addSystemEventTrigger(self, phase: str, event: str, what: Callable[[], None]) -> None:
        self.stops.append(what)

    def until(self, what: Callable[[], bool]) -> None:
        end = time.monotonic() + 30.0
        while not what() and time.monotonic() < end:
            calls, self.calls = self.calls, []
            for call, args in calls:
                call(*args)
            time.sleep(0.001)
        assert what()


@pytest.fixture
def turns() -> Iterator[Turns]:
    made = Turns()
    yield made
    for stop in made.stops:
        stop()


def lines(many: int, boot: str = "b") -> list[audit.AuditEntry]:
    audit_log = audit.AuditLog(boot)
    for k in range(many):
        audit_log.add(100.0 + k, audit.VERSION_APPLIED, k, 1)
    return audit_log.fresh


def test_what_is_written_is_read_back_by_the_next_process(tmp_path: Path, turns: Turns) -> None:
    heard: list[int | None] = []
    folder = node_folder.NodeFolder(turns, tmp_path, "b", heard.append)
    made = lines(5)
    folder.write(made[:2], None)
    folder.write(made[2:], p.Plan(3))
    turns.until(lambda: heard == [2, 5])
    after = node_folder.NodeFolder(turns, tmp_path, "c", heard.append)
    assert [list(audit_log.unacknowledged) for audit_log in after.older()] == [made]
    turns.until(lambda: (tmp_path / node_folder.PLAN_FILE).exists())
    kept = after.plan()
    assert kept is not None and kept.version == 3


def test_a_disk_that_holds_a_write_up_holds_nobody_up_and_no_line_is_told_before(
    tmp_path: Path, turns: Turns, monkeypatch: pytest.MonkeyPatch
) -> None:
    go, put = threading.Event(), node_folder.write_bytes

    def late(file: int, data: bytes) -> int:
        go.wait(30.0)
        return put(file, data[:7])  # and in small pieces

    monkeypatch.setattr(node_folder, "write_bytes", late)
    heard: list[int | None] = []
    folder = node_folder.NodeFolder(turns, tmp_path, "b", heard.append)
    made = lines(4)
    for line in made:
        folder.write([line], None)  # comes back at once, or the test would never get to the next line
    assert not heard
    go.set()
    turns.until(lambda: heard == [1, 4])
    found = (tmp_path / f"{node_folder.AUDIT_FILE_PREFIX}b").read_bytes().splitlines()
    assert [msgspec.json.decode(line, type=audit.AuditEntry) for line in found] == made


def test_a_disk_that_never_answers_or_refuses_is_given_up(
    tmp_path: Path, turns: Turns, monkeypatch: pytest.MonkeyPatch
) -> None:
    go = threading.Event()

    def never(file: int, data: bytes) -> int:
        go.wait(30.0)
        raise OSError(errno.ENOSPC, "No space left on device")

    monkeypatch.setattr(node_folder, "write_bytes", never)
    heard: list[int | None] = []
    folder = node_folder.NodeFolder(turns, tmp_path, "b", heard.append)
    for line in lines(audit.MAX_UNACKNOWLEDGED_ENTRIES + 1):
        folder.write([line], None)
    assert not heard
    folder.write(lines(1), None)
    assert heard == [None]
    refusing = node_folder.NodeFolder(turns, tmp_path, "c", heard.append)
    refusing.write(lines(1), None)
    go.set()
    turns.until(lambda: heard == [None, None])


def test_a_ledger_sends_what_is_on_file(turns: Turns) -> None:
    audit_log = audit.AuditLog("b")
    for k in range(3):
        audit_log.add(100.0 + k, audit.VERSION_APPLIED, k, 1)
    assert len(audit_log.next_batch) == 3
    audit_log.written_upto = 1
    assert [line.number for line in audit_log.next_batch] == [1]
