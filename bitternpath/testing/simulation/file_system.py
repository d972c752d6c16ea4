"""File system in memory with loss of power at any operation, torn writes, full disks and failing syncs.

After a loss of power (DEPLOY, "Disk") a file holds what its last sync covered, and each later write is
present, missing or torn; in some losses all of them are missing. Names that were added, renamed or removed
are durable once their directory has been synced; until then each is kept or lost independently. The
specification allows both for the name of a new file whose content is synced: `fsync_persists_name`.
"""

from __future__ import annotations

import errno
import os
from dataclasses import dataclass, field
from random import Random

ALL_LOST_SHARE = 0.3  # share of power losses that lose everything unsynced
LOST_SHARE = 0.5  # share of unsynced writes and names that other power losses lose
TORN_SHARE = 0.3  # share of the remaining unsynced writes of which only a fragment is present


class SimulatedCrashError(Exception):
    """The process ends during this operation, which may have taken effect or not."""


@dataclass(frozen=True, slots=True)
class _Change:
    """A write at `offset`, or a truncation to `offset` bytes where `data` is None."""

    offset: int
    data: bytes | None

    def apply(self, content: bytearray) -> None:
        if self.data is None:
            del content[self.offset :]
        end = self.offset + len(self.data or b"")
        if len(content) < end:
            content.extend(bytes(end - len(content)))
        if self.data:
            content[self.offset : end] = self.data


@dataclass(slots=True, eq=False)
class _File:
    """A file's content as a process sees it, as it is synced, and the changes between the two."""

    created_as: str  # path under which it was created
    current: bytearray = field(default_factory=bytearray)
    synced: bytearray = field(default_factory=bytearray)
    unsynced: list[_Change] = field(default_factory=list)

    def change(self, change: _Change) -> None:
        change.apply(self.current)
        self.unsynced.append(change)

    def sync(self) -> None:
        for change in self.unsynced:
            change.apply(self.synced)
        self.unsynced.clear()

    def lose_power(self, random: Random, *, all_lost: bool) -> None:
        for change in self.unsynced:
            if all_lost or random.random() < LOST_SHARE:
                continue
            if change.data and random.random() < TORN_SHARE:
                start = random.randrange(len(change.data))
                stop = random.randint(start, len(change.data))
                change = _Change(change.offset + start, change.data[start:stop])
            change.apply(self.synced)
        self.current = bytearray(self.synced)
        self.unsynced.clear()


class SimulatedFileSystem:
    """`storage.files.FileSystem` in memory. It outlives the processes that use it.

    Attributes:
        steps: number of operations that changed something.
        crash_at: value of `steps` at which the process ends (`SimulatedCrashError`); None: it doesn't end.
        capacity: total size of all files at which the disk is full, in bytes; None: unlimited.
        stalled_until: time of the writer's clock before which no write completes, in seconds.
        failing_syncs: number of following syncs that fail and lose the writes they would have covered.
    """

    def __init__(self, fsync_persists_name: bool = True) -> None:
        """Create an empty file system; the module's docstring describes `fsync_persists_name`."""
        self._fsync_persists_name = fsync_persists_name
        self._names: dict[str, _File] = {}
        self._durable: dict[str, _File] = {}
        self.steps = 0
        self.crash_at: int | None = None
        self.capacity: int | None = None
        self.stalled_until = 0.0
        self.failing_syncs = 0

    # ---- faults

    def lose_power(self, random: Random) -> None:
        """Reduce the content to what the next process sees after a loss of power."""
        all_lost = random.random() < ALL_LOST_SHARE
        names = dict(self._durable)
        for path in sorted(self._names.keys() | self._durable.keys()):
            file = self._names.get(path)
            if file is self._durable.get(path) or all_lost or random.random() < LOST_SHARE:
                continue
            if file is None:
                del names[path]
            else:
                names[path] = file
        for file in {id(file): file for file in [*names.values(), *self._names.values()]}.values():
            file.lose_power(random, all_lost=all_lost)
        self._names = names
        self._durable = dict(names)
        self.restart()

    def restart(self) -> None:
        """Cancel a planned crash; the next process uses the files as they are."""
        self.crash_at = None

    def wipe(self) -> None:
        """Replace the disk by an empty one."""
        self._names.clear()
        self._durable.clear()
        self.restart()

    def corrupt_byte(self, path: str, offset: int) -> None:
        """Invert one byte of a file durably; a second call restores it."""
        file = self._names[path]
        for content in (file.current, file.synced):
            if offset < len(content):
                content[offset] ^= 0xFF

    @property
    def used(self) -> int:
        """Total size of all files in bytes."""
        return sum(len(file.current) for file in self._names.values())

    def paths(self) -> list[str]:
        """Paths of all files, sorted."""
        return sorted(self._names)

    def _step(self) -> bool:
        """Count an operation; returns whether the process ends during it."""
        self.steps += 1
        return self.crash_at is not None and self.steps >= self.crash_at

    # ---- FileSystem

    def make_directory(self, directory: str) -> None:
        """Do nothing: directories exist implicitly."""

    def list_names(self, directory: str) -> list[str]:
        """See `FileSystem`."""
        start = f"{directory}/" if directory else ""
        names = [path.removeprefix(start) for path in self._names if path.startswith(start)]
        return sorted(name for name in names if "/" not in name)

    def read(self, path: str) -> bytes:
        """See `FileSystem`."""
        return bytes(self._existing(path).current)

    def read_range(self, path: str, offset: int, size: int) -> bytes:
        """See `FileSystem`."""
        return bytes(self._existing(path).current[offset : offset + size])

    def size(self, path: str) -> int:
        """See `FileSystem`."""
        return len(self._existing(path).current)

    def write_at(self, path: str, offset: int, data: bytes) -> None:
        """See `FileSystem`. A disk that becomes full stores as much as fits."""
        crash = self._step()
        file = self._file(path)
        writable = len(data)
        if self.capacity is not None:
            writable = max(self.capacity - self.used + max(len(file.current) - offset, 0), 0)
        file.change(_Change(offset, data[:writable]))
        if crash:
            raise SimulatedCrashError
        if writable < len(data):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    def truncate(self, path: str, size: int) -> None:
        """See `FileSystem`."""
        crash = self._step()
        self._file(path).change(_Change(size, None))
        if crash:
            raise SimulatedCrashError

    def sync(self, path: str) -> None:
        """See `FileSystem`. A failing sync loses the writes since the previous sync."""
        if self._step():
            raise SimulatedCrashError
        file = self._file(path)
        if self.failing_syncs:
            self.failing_syncs -= 1
            file.unsynced.clear()
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        file.sync()
        if self._fsync_persists_name and file.created_as == path:
            self._durable[path] = file

    def sync_directory(self, directory: str) -> None:
        """See `FileSystem`."""
        if self._step():
            raise SimulatedCrashError
        start = f"{directory}/" if directory else ""
        affected = {path for path in self._names.keys() | self._durable.keys() if path.startswith(start)}
        for path in affected:
            if path in self._names:
                self._durable[path] = self._names[path]
            else:
                del self._durable[path]

    def rename(self, old: str, new: str) -> None:
        """See `FileSystem`."""
        crash = self._step()
        self._names[new] = self._names.pop(old)
        if crash:
            raise SimulatedCrashError

    def remove(self, path: str) -> None:
        """See `FileSystem`."""
        crash = self._step()
        self._names.pop(path, None)
        if crash:
            raise SimulatedCrashError

    def close(self) -> None:
        """Do nothing: no file is open."""

    def _existing(self, path: str) -> _File:
        file = self._names.get(path)
        if file is None:
            raise FileNotFoundError(errno.ENOENT, os.strerror(errno.ENOENT), path)
        return file

    def _file(self, path: str) -> _File:
        return self._names.setdefault(path, _File(path))
