"""Quarantine: the content of a corrupt disk is moved away, so that its old identity is never read again.

A corrupt disk counts as lost. Its content moves into a directory `damaged-N` below the data directory, which
is named `damaged-N.moving` until all of it is there: a process that is killed on the way goes on at the next
start, before a new identity is drawn. The directory stays, also when it is emptied, and marks the disk as
previously used.
"""

from __future__ import annotations

import os
import re
import shutil
from pathlib import Path

from bitternpath.storage.files import fsync_directory

_MOVING_SUFFIX = ".moving"
_COMPLETE = re.compile(r"damaged-(\d+)")
_UNFINISHED = re.compile(r"damaged-(\d+)\.moving")
_FILE_SYSTEMS_OWN = "lost+found"  # in a data directory that is the root of a file system


def quarantine_directories(data_dir: Path) -> list[str]:
    """Names of the quarantine's directories; one at most, unless a process was killed on the way."""
    names = os.listdir(data_dir) if data_dir.is_dir() else []
    return sorted(name for name in names if _COMPLETE.fullmatch(name) or _UNFINISHED.fullmatch(name))


def quarantine_content(data_dir: Path, max_bytes: int | None = None) -> str:
    """Move everything that a data directory holds into the quarantine.

    What was quarantined before is removed: the space is needed.

    Args:
        data_dir: the data directory.
        max_bytes: what is quarantined now is removed too, where it is more than this; None: never.

    Returns:
        Name of the directory, `damaged-N`.

    Raises:
        OSError: this or `finish_quarantine` has to be called again.
    """
    earlier = [name for name in quarantine_directories(data_dir) if _COMPLETE.fullmatch(name)]
    for name in earlier:
        _remove_content(data_dir / name)  # first of all, since a full disk may not take another directory
    number = 1 + max((int(name.partition("-")[2]) for name in earlier), default=0)
    name = f"damaged-{number}"
    (data_dir / (name + _MOVING_SUFFIX)).mkdir(exist_ok=True)
    fsync_directory(data_dir)
    finish_quarantine(data_dir)
    if max_bytes is not None and _bytes_in(data_dir / name) > max_bytes:
        _remove_content(data_dir / name)
    return name


def finish_quarantine(data_dir: Path) -> None:
    """Go on where a process was killed while it quarantined a disk's content. Raises `OSError`."""
    for name in quarantine_directories(data_dir):
        if _UNFINISHED.fullmatch(name):
            _move_content(data_dir, name)


def _move_content(data_dir: Path, unfinished: str) -> None:
    directory = data_dir / unfinished
    for name in sorted(os.listdir(data_dir)):
        if _COMPLETE.fullmatch(name):
            shutil.rmtree(data_dir / name)
        elif name not in (unfinished, _FILE_SYSTEMS_OWN):
            os.rename(data_dir / name, directory / name)
    fsync_directory(directory)
    fsync_directory(data_dir)
    os.rename(directory, data_dir / unfinished.removesuffix(_MOVING_SUFFIX))
    fsync_directory(data_dir)


def _remove_content(directory: Path) -> None:
    for path in directory.iterdir():
        if path.is_dir():
            shutil.rmtree(path)
        else:
            path.unlink()
    fsync_directory(directory)


def _bytes_in(directory: Path) -> int:
    return sum(path.stat().st_size for path in directory.rglob("*") if path.is_file())
