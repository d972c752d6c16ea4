"""Quarantine: moves the content of a corrupt disk aside, so that its old identity is never used again.

A corrupt disk counts as lost. Its content is moved into a subdirectory `damaged-N` of the data directory. The
subdirectory is named `damaged-N.moving` until the move is complete; a move that was interrupted by the end of
the process is completed at the next start, before a new identity is generated. The subdirectory is never
removed, even when its content is deleted, because it records that the disk was used before.
"""

from __future__ import annotations

import os
import re
import shutil
from pathlib import Path

from bitternpath.storage.files import fsync_directory

_MOVING_SUFFIX = ".moving"
_COMPLETE = re.compile(r"damaged-(\d+)")
_INCOMPLETE = re.compile(r"damaged-(\d+)\.moving")
_LOST_AND_FOUND = "lost+found"  # belongs to the file system, if the data directory is a mount point


def quarantine_directories(data_dir: Path) -> list[str]:
    """Return the names of the quarantine directories; more than one only if a move was interrupted."""
    names = os.listdir(data_dir) if data_dir.is_dir() else []
    return sorted(name for name in names if _COMPLETE.fullmatch(name) or _INCOMPLETE.fullmatch(name))


def quarantine_content(data_dir: Path, max_bytes: int | None = None) -> str:
    """Move the content of a data directory into quarantine.

    Content that was quarantined earlier is deleted to free space.

    Args:
        data_dir: the data directory.
        max_bytes: size above which the newly quarantined content is deleted, too; None for no limit.

    Returns:
        Name of the quarantine directory, `damaged-N`.

    Raises:
        OSError: the move is incomplete; this function or `finish_quarantine` must be called again.
    """
    earlier = [name for name in quarantine_directories(data_dir) if _COMPLETE.fullmatch(name)]
    for name in earlier:
        _remove_content(data_dir / name)  # must precede the mkdir, which may fail on a full disk
    number = 1 + max((int(name.partition("-")[2]) for name in earlier), default=0)
    name = f"damaged-{number}"
    (data_dir / (name + _MOVING_SUFFIX)).mkdir(exist_ok=True)
    fsync_directory(data_dir)
    finish_quarantine(data_dir)
    if max_bytes is not None and _directory_size(data_dir / name) > max_bytes:
        _remove_content(data_dir / name)
    return name


def finish_quarantine(data_dir: Path) -> None:
    """Complete a move into quarantine that was interrupted by the end of a process. Raises `OSError`."""
    for name in quarantine_directories(data_dir):
        if _INCOMPLETE.fullmatch(name):
            _move_content(data_dir, name)


def _move_content(data_dir: Path, incomplete: str) -> None:
    directory = data_dir / incomplete
    for name in sorted(os.listdir(data_dir)):
        if _COMPLETE.fullmatch(name):
            shutil.rmtree(data_dir / name)
        elif name not in (incomplete, _LOST_AND_FOUND):
            os.rename(data_dir / name, directory / name)
    fsync_directory(directory)
    fsync_directory(data_dir)
    os.rename(directory, data_dir / incomplete.removesuffix(_MOVING_SUFFIX))
    fsync_directory(data_dir)


def _remove_content(directory: Path) -> None:
    for path in directory.iterdir():
        if path.is_dir():
            shutil.rmtree(path)
        else:
            path.unlink()
    fsync_directory(directory)


def _directory_size(directory: Path) -> int:
    return sum(path.stat().st_size for path in directory.rglob("*") if path.is_file())
