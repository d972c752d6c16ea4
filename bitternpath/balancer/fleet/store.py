"""A consensus server's disk: term, vote, entries and snapshot in LMDB, one synced transaction per batch.

A folder belongs to one server on one disk. A lock admits one process. The folder stores the inode of its data
file, and a copy is rejected: it could vote a second time under the same name. Each value is stored with a
checksum, and a damaged value is never used.
"""

from __future__ import annotations

import fcntl
import os
import secrets
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import lmdb
import msgspec
from blake3 import blake3
from msgspec import Struct

from bitternpath.replication.records import Entry, PersistentState, Snapshot, StorageWrite

MAP_SIZE = 1 << 30  # bytes of address space; the file only takes the space in use
CHECKSUM_BYTES = 8  # before each value
FORMAT_VERSION = 1  # of the stored keys and values
LOCK_FILE, DATA_FILE = "lock", "data.mdb"
STATE_KEY, SNAPSHOT_KEY = b"state", b"snapshot"


class StoreError(Exception):
    """The folder can't be used until an operator acts; the text says why, in one line."""


class DamagedError(StoreError):
    """The folder's content is incomplete or fails its checksum."""


class StoredState(Struct, frozen=True):
    """What is stored besides entries and snapshot; the outer field names are stored keys."""

    format_version: int = msgspec.field(name="form")
    name: str
    incarnation: str  # random, drawn for a new folder: a server that lost its disk is a new member
    file_id: tuple[int, int] = msgspec.field(name="file")  # device and inode of the data file
    voters: int  # number of voters at the last write
    term: int = 0
    vote: str = ""
    compacted_through: tuple[int, int] = msgspec.field(default=(0, 0), name="before")


_encoder = msgspec.msgpack.Encoder()


def _encode_with_checksum(value: Any) -> bytes:
    data = _encoder.encode(value)
    return blake3(data).digest(CHECKSUM_BYTES) + data


def _decode_with_checksum(value: bytes | None, kind: Any, description: str) -> Any:
    if value is None:
        raise DamagedError(f"{description} is missing")
    data = bytes(value[CHECKSUM_BYTES:])
    if blake3(data).digest(CHECKSUM_BYTES) != value[:CHECKSUM_BYTES]:
        raise DamagedError(f"{description} does not match its checksum")
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except msgspec.DecodeError as error:
        raise DamagedError(f"{description}: {error}") from error


class Store:
    """An open folder. `write` may be called in one other thread, all other methods in the opening thread."""

    def __init__(self, folder: Path, name: str) -> None:
        self.folder = folder
        try:
            folder.mkdir(parents=True, exist_ok=True, mode=0o700)
            self._lock = os.open(folder / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as error:
            raise StoreError(f"{folder}: {error.strerror}") from error
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._lock)
            raise StoreError(f"{folder}: another server runs on this folder") from error
        try:
            self._open(name)
        except BaseException:
            self.close()
            raise

    def _open(self, name: str) -> None:
        self._env: Any = None
        self.is_new = not (self.folder / DATA_FILE).exists()
        try:
            self._env = lmdb.open(
                str(self.folder), map_size=MAP_SIZE, max_dbs=2, lock=False, readahead=False, mode=0o600
            )
            self._meta = self._env.open_db(b"meta")
            self._log = self._env.open_db(b"log")
        except (lmdb.Error, OSError) as error:
            raise DamagedError(f"{self.folder}: {error}") from error
        if self.is_new:
            self.state = StoredState(FORMAT_VERSION, name, secrets.token_hex(4), self._data_file_id(), 0)
            self._write_state()
        self.state = self._get(STATE_KEY, StoredState)
        if self.state.format_version != FORMAT_VERSION:
            raise StoreError(
                f"{self.folder}: written in format {self.state.format_version}; "
                f"this release reads {FORMAT_VERSION}"
            )
        if self.state.name != name:
            raise StoreError(f"{self.folder}: is the folder of {self.state.name}, not of {name}")
        if self.state.file_id != self._data_file_id():
            raise StoreError(
                f"{self.folder}: a copy of another folder; a server votes from one disk: empty it, and add "
                f"{name} as new"
            )

    @property
    def me(self) -> str:
        """The server's id as a member: its name and incarnation."""
        return f"{self.state.name}.{self.state.incarnation}"

    def _data_file_id(self) -> tuple[int, int]:
        status = os.stat(self.folder / DATA_FILE)
        return status.st_dev, status.st_ino

    def _get(self, key: bytes, kind: Any) -> Any:
        try:
            with self._env.begin(db=self._meta) as transaction:
                return _decode_with_checksum(transaction.get(key), kind, f"{self.folder}: {key.decode()}")
        except lmdb.Error as error:
            raise DamagedError(f"{self.folder}: {error}") from error

    def _write_state(self) -> None:
        with self._env.begin(write=True) as transaction:
            transaction.put(STATE_KEY, _encode_with_checksum(self.state), db=self._meta)

    def read(self) -> PersistentState:
        """Return the persistent state; raise DamagedError if any of it is incomplete or damaged."""
        state, entries = self.state, list[Entry]()
        with self._env.begin() as transaction:
            has_snapshot = transaction.get(SNAPSHOT_KEY, db=self._meta) is not None
        snapshot = self._get(SNAPSHOT_KEY, Snapshot) if has_snapshot else Snapshot()
        try:
            with self._env.begin(db=self._log) as transaction:
                for key, value in transaction.cursor():
                    index = int.from_bytes(key, "big")
                    entry = _decode_with_checksum(value, Entry, f"{self.folder}: entry {index}")
                    if entry.index != state.compacted_through[0] + len(entries) + 1 or entry.index != index:
                        raise DamagedError(
                            f"{self.folder}: entry {state.compacted_through[0] + len(entries) + 1} is missing"
                        )
                    entries.append(entry)
        except lmdb.Error as error:
            raise DamagedError(f"{self.folder}: {error}") from error
        if snapshot.index < state.compacted_through[0] or snapshot.index > state.compacted_through[0] + len(
            entries
        ):
            raise DamagedError(f"{self.folder}: the snapshot at {snapshot.index} does not connect to the log")
        return PersistentState(state.term, state.vote, snapshot, state.compacted_through, entries)

    def write(self, writes: Sequence[StorageWrite], voters: int) -> None:
        """Apply the writes in order, in one transaction that is on disk on return; OSError or lmdb.Error."""
        state = self.state
        with self._env.begin(write=True) as transaction:
            for write in writes:
                state = self._apply_write(transaction, state, write, voters)
            transaction.put(STATE_KEY, _encode_with_checksum(state), db=self._meta)
        self.state = state

    def _apply_write(
        self, transaction: Any, state: StoredState, write: StorageWrite, voters: int
    ) -> StoredState:
        log = self._log
        if write.truncate_from is not None:
            self._delete_entries(transaction, write.truncate_from, None)
        for entry in write.entries:
            transaction.put(entry.index.to_bytes(8, "big"), _encode_with_checksum(entry), db=log)
        if write.snapshot is not None:
            transaction.put(SNAPSHOT_KEY, _encode_with_checksum(write.snapshot), db=self._meta)
        if write.compacted_through != state.compacted_through:
            self._delete_entries(transaction, state.compacted_through[0] + 1, write.compacted_through[0])
        return msgspec.structs.replace(
            state, term=write.term, vote=write.vote, compacted_through=write.compacted_through, voters=voters
        )  # fmt: skip

    def _delete_entries(self, transaction: Any, first: int, last: int | None) -> None:
        """Delete the entries from `first` to `last`, or to the end if `last` is None."""
        with transaction.cursor(db=self._log) as cursor:
            more = cursor.set_range(first.to_bytes(8, "big"))
            while more and (last is None or int.from_bytes(cursor.key(), "big") <= last):
                more = cursor.delete()

    def close(self) -> None:
        if getattr(self, "_env", None) is not None:
            self._env.close()
            self._env = None
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1


def quarantine_folder(folder: Path) -> Path:
    """Rename a damaged folder, so that the server can start with a new one; return the new path."""
    quarantined = folder.with_name(f"{folder.name}.damaged-{int(time.time())}")
    os.rename(folder, quarantined)
    return quarantined
