"""Identity of a disk: drawn when it is empty, so that a replica that lost its disk is another one."""

from __future__ import annotations

import re
import secrets
from collections.abc import Callable
from pathlib import Path

from bitternpath.storage.files import FileSystem, LocalFiles
from bitternpath.storage.records import JournalDamaged

IDENTITY_FILE = "identity"
_DRAFT = "identity.new"
_FORM = re.compile(rb"[0-9a-f]{8}")


def _draw() -> str:
    return secrets.token_hex(4)


def load_identity(data_dir: Path, files: FileSystem | None = None, draw: Callable[[], str] = _draw) -> str:
    """The disk's 8 hex digits; drawn and synced first where the disk has none.

    Raises `JournalDamaged` where the file holds anything else, and `OSError`.
    """
    if files is None:
        data_dir.mkdir(parents=True, exist_ok=True)
    disk = files or LocalFiles(data_dir)
    try:
        return _load(disk, draw)
    finally:
        if files is None:
            disk.close()


def _load(disk: FileSystem, draw: Callable[[], str]) -> str:
    if IDENTITY_FILE in disk.list_names(""):
        data = disk.read(IDENTITY_FILE)
        if not _FORM.fullmatch(data):
            raise JournalDamaged(IDENTITY_FILE, 0, "not 8 hex digits")
        disk.sync_folder("")  # the process that drew it may have died before its own sync
        return data.decode()
    identity = draw()
    disk.write_at(_DRAFT, 0, identity.encode())
    disk.truncate(_DRAFT, len(identity))
    disk.sync(_DRAFT)
    disk.rename(_DRAFT, IDENTITY_FILE)
    disk.sync_folder("")
    return identity
