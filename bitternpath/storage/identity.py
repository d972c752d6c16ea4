"""Identity of a disk: drawn when it is empty, so that a replica that lost its disk is another one.

A damaged disk counts as lost: all that it holds is set aside, so that nothing of the old identity is read
again. The content moves into a folder of the data folder, which has another name until all of it is there: a
process that is killed on the way goes on at the next start, before a new identity is drawn.
"""

from __future__ import annotations

import os
import re
import secrets
import shutil
from collections.abc import Callable
from pathlib import Path

from bitternpath.storage.documents import sync_directory
from bitternpath.storage.files import FileSystem, LocalFileSystem
from bitternpath.storage.records import CorruptJournalError

IDENTITY_FILE = "identity"
_DRAFT = "identity.new"
_FORM = re.compile(rb"[0-9a-f]{8}")
_ASIDE = re.compile(r"damaged-(\d+)")
_UNFINISHED = re.compile(r"damaged-(\d+)\.moving")
_OF_THE_FILE_SYSTEM = "lost+found"  # in a data folder that is the root of a disk


def _draw() -> str:
    return secrets.token_hex(4)


def load_identity(data_dir: Path, files: FileSystem | None = None, draw: Callable[[], str] = _draw) -> str:
    """The disk's 8 hex digits; drawn and synced first where the disk has none.

    Raises `CorruptJournalError` where the file holds anything else, and `OSError`.
    """
    if files is None and not data_dir.is_dir():
        data_dir.mkdir(parents=True, exist_ok=True)
        sync_directory(data_dir.parent)
    disk = files or LocalFileSystem(data_dir)
    try:
        return _load(disk, draw)
    finally:
        if files is None:
            disk.close()


def _load(disk: FileSystem, draw: Callable[[], str]) -> str:
    if IDENTITY_FILE in disk.list_names(""):
        identity = _parse(disk.read(IDENTITY_FILE))
        disk.sync_directory("")  # the process that drew it may have died before its own sync
        return identity
    identity = draw()
    disk.write_at(_DRAFT, 0, identity.encode())
    disk.truncate(_DRAFT, len(identity))
    disk.sync(_DRAFT)
    disk.rename(_DRAFT, IDENTITY_FILE)
    disk.sync_directory("")
    return identity


def read_identity(data_dir: Path) -> str | None:
    """The disk's identity; None where it has none. Draws none. Raises `CorruptJournalError` and `OSError`."""
    try:
        return _parse((data_dir / IDENTITY_FILE).read_bytes())
    except FileNotFoundError:
        return None


def _parse(data: bytes) -> str:
    if not _FORM.fullmatch(data):
        raise CorruptJournalError(IDENTITY_FILE, 0, "not 8 hex digits")
    return data.decode()


def quarantine_folders(data_dir: Path) -> list[str]:
    """Names of the folders with what was set aside; one at most, unless a process was killed on the way."""
    names = os.listdir(data_dir) if data_dir.is_dir() else []
    return sorted(name for name in names if _ASIDE.fullmatch(name) or _UNFINISHED.fullmatch(name))


def quarantine_content(data_dir: Path, max_bytes: int | None = None) -> str:
    """Move all that a data folder holds into a folder of it, `damaged-N`; its name.

    What was set aside before is removed, and so are files of more than `max_bytes` together: the room is
    needed. The folder itself stays, and tells that this disk isn't in its first life. Raises `OSError`; then
    it is to be called again, or `finish_quarantine`.
    """
    before = [name for name in quarantine_folders(data_dir) if _ASIDE.fullmatch(name)]
    for name in before:
        _remove_content(data_dir / name)  # first of all, since a full disk may not take another folder
    number = 1 + max((int(name.partition("-")[2]) for name in before), default=0)
    (data_dir / f"damaged-{number}.moving").mkdir(exist_ok=True)
    sync_directory(data_dir)
    finish_quarantine(data_dir)
    name = f"damaged-{number}"
    if max_bytes is not None and _bytes_in(data_dir / name) > max_bytes:
        _remove_content(data_dir / name)
    return name


def finish_quarantine(data_dir: Path) -> None:
    """Go on where a process was killed while it set a disk's content aside. Raises `OSError`."""
    for name in quarantine_folders(data_dir):
        if _UNFINISHED.fullmatch(name):
            _move_content(data_dir, name)


def _move_content(data_dir: Path, unfinished: str) -> None:
    folder = data_dir / unfinished
    for name in sorted(os.listdir(data_dir)):
        if _ASIDE.fullmatch(name):
            shutil.rmtree(data_dir / name)
        elif name not in (unfinished, _OF_THE_FILE_SYSTEM):
            os.rename(data_dir / name, folder / name)
    sync_directory(folder)
    sync_directory(data_dir)
    os.rename(folder, data_dir / unfinished.removesuffix(".moving"))
    sync_directory(data_dir)


def _remove_content(folder: Path) -> None:
    for path in folder.iterdir():
        if path.is_dir():
            shutil.rmtree(path)
        else:
            path.unlink()
    sync_directory(folder)


def _bytes_in(folder: Path) -> int:
    return sum(path.stat().st_size for path in folder.rglob("*") if path.is_file())
