"""Identity of a disk: 8 random hex digits, generated when the disk is empty.

It is part of a replica's member id: a replica that lost its disk, and its votes with it, becomes a new member
of its groups.
"""

from __future__ import annotations

import re
import secrets
from collections.abc import Callable
from pathlib import Path

from bitternpath.storage.errors import CorruptJournalError
from bitternpath.storage.files import FileSystem, LocalFileSystem, fsync_directory

IDENTITY_FILE = "identity"
_DRAFT = "identity.new"
_BYTES = 4
_FORMAT = re.compile(rb"[0-9a-f]{8}")


def generate_identity() -> str:
    """Return a random identity."""
    return secrets.token_hex(_BYTES)


def load_identity(
    data_dir: Path, files: FileSystem | None = None, generate: Callable[[], str] = generate_identity
) -> str:
    """Return the disk's identity. If there is none, an identity is generated and made durable first.

    Args:
        data_dir: created if it doesn't exist.
        files: replaces the operating system's files below `data_dir`.
        generate: returns a new identity.

    Raises:
        CorruptJournalError: the file's content isn't an identity.
        OSError: the file can't be read or written.
    """
    if files is not None:
        return _load(files, generate)
    if not data_dir.is_dir():
        data_dir.mkdir(parents=True, exist_ok=True)
        fsync_directory(data_dir.parent)
    local_files = LocalFileSystem(data_dir)
    try:
        return _load(local_files, generate)
    finally:
        local_files.close()


def _load(files: FileSystem, generate: Callable[[], str]) -> str:
    if IDENTITY_FILE in files.list_names(""):
        identity = _parse(files.read(IDENTITY_FILE))
        files.sync_directory("")  # the process that wrote the file may have been killed before its own sync
        return identity
    identity = generate()
    files.write_at(_DRAFT, 0, identity.encode())
    files.truncate(_DRAFT, len(identity))
    files.sync(_DRAFT)
    files.rename(_DRAFT, IDENTITY_FILE)
    files.sync_directory("")
    return identity


def read_identity(data_dir: Path) -> str | None:
    """Return the disk's identity, or None if there is none. Doesn't generate an identity.

    Raises `CorruptJournalError` and `OSError`.
    """
    try:
        return _parse((data_dir / IDENTITY_FILE).read_bytes())
    except FileNotFoundError:
        return None


def _parse(data: bytes) -> str:
    if not _FORMAT.fullmatch(data):
        raise CorruptJournalError(IDENTITY_FILE, 0, "not 8 hex digits")
    return data.decode()
