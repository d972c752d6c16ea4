"""A disk and its runner in virtual time, for tests: loses power at any step, tears writes, refuses them.

After a loss of power (DEPLOY, "Disk") a file holds what its last sync covered, and each later write is
present, missing or torn; at some losses all of them are gone. Names that were made, renamed or removed
persist once their folder has been synced; until then each is kept or lost by itself. Whether a new file's
name persists through the file's own sync, too, is `fsync_persists_name`: the pages say both.
"""

from __future__ import annotations

import errno
import os
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random
from typing import Any

from bitternpath.storage.commands import JournalCommand, batch_of
from bitternpath.storage.disk import RETRY_SECONDS, Completed, SnapshotDamaged
from bitternpath.storage.segments import SegmentLog

ALL_GONE_SHARE = 0.3  # of power losses: nothing unsynced is left
TORN_SHARE = 0.3  # of unsynced writes that are neither whole nor missing


class SimulatedCrashError(Exception):
    """The process ends inside this operation."""


@dataclass(frozen=True, slots=True)
class _Change:
    """A write, or a new length where `data` is None."""

    offset: int
    data: bytes | None


def _applied(content: bytearray, change: _Change) -> None:
    if change.data is None:
        del content[change.offset :]
    end = change.offset + len(change.data or b"")
    if len(content) < end:
        content.extend(bytes(end - len(content)))
    if change.data:
        content[change.offset : end] = change.data


@dataclass(slots=True, eq=False)
class _File:
    born_as: str
    current: bytearray = field(default_factory=bytearray)
    synced: bytearray = field(default_factory=bytearray)
    unsynced: list[_Change] = field(default_factory=list)

    def change(self, change: _Change) -> None:
        _applied(self.current, change)
        self.unsynced.append(change)

    def sync(self) -> None:
        for change in self.unsynced:
            _applied(self.synced, change)
        self.unsynced.clear()

    def lose_power(self, random: Random, all_gone: bool) -> None:
        for change in self.unsynced:
            if all_gone or random.random() < 0.5:
                continue
            if change.data and random.random() < TORN_SHARE:
                start = random.randrange(len(change.data))
                stop = random.randint(start, len(change.data))
                change = _Change(change.offset + start, change.data[start:stop])
            _applied(self.synced, change)
        self.current = bytearray(self.synced)
        self.unsynced.clear()


class SimulatedFileSystem:
    """`FileSystem` in memory."""

    def __init__(self, fsync_persists_name: bool = True) -> None:
        self._own_sync_keeps_name = fsync_persists_name
        self._names: dict[str, _File] = {}
        self._durable: dict[str, _File] = {}
        self.steps = 0  # operations that change something, so far
        self.crash_at: int | None = None  # at which of them the process ends
        self.capacity: int | None = None  # bytes
        self.stalled_until = 0.0  # by the clock of the runner: nothing is written before
        self.failing_syncs = 0  # how many of the next syncs fail, and lose what they were to cover

    # ---- faults

    def lose_power(self, random: Random) -> None:
        """What is left is all that the next process sees."""
        all_gone = random.random() < ALL_GONE_SHARE
        names = dict(self._durable)
        for path in sorted(self._names.keys() | self._durable.keys()):
            kept = self._names.get(path)
            if kept is self._durable.get(path) or all_gone or random.random() < 0.5:
                continue
            if kept is None:
                del names[path]
            else:
                names[path] = kept
        for file in {id(file): file for file in [*names.values(), *self._names.values()]}.values():
            file.lose_power(random, all_gone)
        self._names, self._durable = names, dict(names)
        self.restart()

    def restart(self) -> None:
        """Another process goes on with the files as they are."""
        self.crash_at = None

    def wipe(self) -> None:
        """Another disk, an empty one, is in its place."""
        self._names.clear()
        self._durable.clear()
        self.restart()

    def corrupt_byte(self, path: str, offset: int) -> None:
        """Damage one byte, for good."""
        file = self._names[path]
        for content in (file.current, file.synced):
            if offset < len(content):
                content[offset] ^= 0xFF

    @property
    def used(self) -> int:
        """Bytes of all files."""
        return sum(len(file.current) for file in self._names.values())

    def paths(self) -> list[str]:
        """All files."""
        return sorted(self._names)

    def _step(self) -> bool:
        """Count an operation; whether the process ends in it."""
        self.steps += 1
        return self.crash_at is not None and self.steps >= self.crash_at

    # ---- FileSystem

    def make_directory(self, folder: str) -> None:
        """Folders need not be made."""

    def list_names(self, folder: str) -> list[str]:
        start = f"{folder}/" if folder else ""
        names = [path.removeprefix(start) for path in self._names if path.startswith(start)]
        return sorted(name for name in names if "/" not in name)

    def read(self, path: str) -> bytes:
        return bytes(self._known(path).current)

    def read_range(self, path: str, offset: int, size: int) -> bytes:
        return bytes(self._known(path).current[offset : offset + size])

    def size(self, path: str) -> int:
        return len(self._known(path).current)

    def write_at(self, path: str, offset: int, data: bytes) -> None:
        ends = self._step()
        file = self._file(path)
        room = len(data)
        if self.capacity is not None:
            room = max(self.capacity - self.used + max(len(file.current) - offset, 0), 0)
        file.change(_Change(offset, data[:room]))
        if ends:
            raise SimulatedCrashError
        if room < len(data):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    def truncate(self, path: str, size: int) -> None:
        ends = self._step()
        self._file(path).change(_Change(size, None))
        if ends:
            raise SimulatedCrashError

    def sync(self, path: str) -> None:
        if self._step():
            raise SimulatedCrashError
        file = self._file(path)
        if self.failing_syncs:
            self.failing_syncs -= 1
            file.unsynced.clear()
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        file.sync()
        if self._own_sync_keeps_name and file.born_as == path:
            self._durable[path] = file

    def sync_directory(self, folder: str) -> None:
        if self._step():
            raise SimulatedCrashError
        start = f"{folder}/" if folder else ""
        inside = {path for path in self._names.keys() | self._durable.keys() if path.startswith(start)}
        for path in inside:
            if path in self._names:
                self._durable[path] = self._names[path]
            else:
                del self._durable[path]

    def rename(self, old: str, new: str) -> None:
        ends = self._step()
        self._names[new] = self._names.pop(old)
        if ends:
            raise SimulatedCrashError

    def remove(self, path: str) -> None:
        ends = self._step()
        self._names.pop(path, None)
        if ends:
            raise SimulatedCrashError

    def close(self) -> None:
        """Nothing is open."""

    def _known(self, path: str) -> _File:
        file = self._names.get(path)
        if file is None:
            raise FileNotFoundError(errno.ENOENT, os.strerror(errno.ENOENT), path)
        return file

    def _file(self, path: str) -> _File:
        return self._names.setdefault(path, _File(path))


class VirtualTimeJournalWriter:
    """`JournalWriter` on a clock: a batch is written when its sync time is over."""

    def __init__(self, clock: Any, disk: SimulatedFileSystem, sync_seconds: float) -> None:
        self._clock, self._disk, self.sync_seconds = clock, disk, sync_seconds
        self._waiting: list[JournalCommand] = []
        self._writing: list[JournalCommand] = []
        self._ended = False
        self.failing = False
        self.batches = 0

    def start(self, log: SegmentLog, completed: Completed, damaged: SnapshotDamaged) -> None:
        """Begin to work on the log."""
        self._log, self._completed, self._damaged = log, completed, damaged

    def scrub(self, steps: int) -> None:
        """Read that many pieces, as the thread does while it has nothing to write."""
        for _ in range(steps):
            if group := self._log.scrub_step():
                self._damaged(group)
            if self._log.wants_checkpoint:
                self._log.checkpoint_step()

    def submit(self, command: JournalCommand) -> None:
        """Add a command to the queue."""
        self._waiting.append(command)
        if not self._writing:
            self._begin()

    def stop(self) -> bool:
        """Write what waits, at once."""
        commands = self._writing + self._waiting
        if commands and not self._ended:
            self._log.write(batch_of(commands))
        self._ended = True
        return True

    def crash_during_batch(self, random: Random) -> None:
        """The process ends, in the middle of a batch if there is one; a stalled disk did nothing of it."""
        if self._writing and not self._ended and not self._stall_left():
            self._disk.crash_at = self._disk.steps + random.randint(1, 8)
            with suppress(SimulatedCrashError, OSError):
                self._write(self._writing)
        self._ended = True

    def _begin(self) -> None:
        self._writing, self._waiting = self._waiting, []
        if self._writing:
            self._clock.callLater(self._stall_left() + self.sync_seconds, self._finish, self._writing)

    def _stall_left(self) -> float:
        return max(self._disk.stalled_until - float(self._clock.seconds()), 0.0)

    def _finish(self, commands: Sequence[JournalCommand]) -> None:
        if self._ended:
            return
        if stall := self._stall_left():
            self._clock.callLater(stall, self._finish, commands)
            return
        try:
            self._write(commands)
        except OSError:
            self.failing = True
            self._clock.callLater(RETRY_SECONDS, self._finish, commands)
            return
        self.failing = False
        self.batches += 1
        self._completed(commands)
        self._begin()

    def _write(self, commands: Sequence[JournalCommand]) -> None:
        self._log.write(batch_of(commands))
        if self._log.wants_checkpoint:
            with suppress(OSError):  # it is tried again after the next batch
                self._log.checkpoint_step()
