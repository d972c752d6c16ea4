"""Manual ejections on disk: one empty file per id, in a folder shared by all processes of a node.

Creating a file ejects, removing it reinstates. Each is one system call, so processes need no lock and a kill
leaves no partial change. Other files in the folder are ignored.
"""

from __future__ import annotations

import os
from pathlib import Path
from urllib.parse import quote, unquote

SUFFIX = ".out"
NAME_LIMIT = 255  # bytes of a file name that file systems allow


def file_name(id: str) -> str:
    """The file name for an id; escapes all but letters, digits and `-_~`, so no id leaves the folder."""
    return quote(id, safe="").replace(".", "%2E") + SUFFIX


class EjectionFiles:
    """The ejections on disk. If a method raises OSError, it has changed nothing."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder

    def add(self, id: str) -> None:
        """Eject an id; no effect if it is already ejected."""
        name = file_name(id)
        if len(name) > NAME_LIMIT:
            raise OSError(f"an id of that length cannot be stored: {len(name)} of {NAME_LIMIT} bytes")
        self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        os.close(os.open(self.folder / name, os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC, 0o600))

    def remove(self, id: str) -> None:
        """Reinstate an id; no effect if it is not ejected."""
        (self.folder / file_name(id)).unlink(missing_ok=True)

    def read(self) -> dict[str, float]:
        """Return the ejection time (Unix ms) by id. Raises FileNotFoundError if the folder does not exist."""
        ejections: dict[str, float] = {}
        with os.scandir(self.folder) as entries:
            for entry in entries:
                id = unquote(entry.name.removesuffix(SUFFIX))
                if file_name(id) != entry.name or not entry.is_file(follow_symlinks=False):
                    continue
                try:
                    ejections[id] = entry.stat(follow_symlinks=False).st_mtime * 1000.0
                except FileNotFoundError:  # reinstated concurrently
                    continue
        return ejections
