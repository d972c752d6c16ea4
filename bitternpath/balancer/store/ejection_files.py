"""Manual ejections on disk: one empty file for each id, in a folder that all processes of a node share.

Creating a file ejects, removing it reinstates, and each is one system call: two processes need no lock, and a
kill in between leaves all of it or nothing. Other files in the folder are ignored.
"""

from __future__ import annotations

import os
from pathlib import Path
from urllib.parse import quote, unquote

SUFFIX = ".out"
NAME_LIMIT = 255  # bytes that a file system takes for a name


def file_name(id: str) -> str:
    """The file name of an id: all but letters, digits and `-_~` is escaped, so no id leaves the folder."""
    return quote(id, safe="").replace(".", "%2E") + SUFFIX


class EjectionFiles:
    """The ejections on disk. Every method may raise OSError, and then has changed nothing."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder

    def add(self, id: str) -> None:
        """Eject; no effect where it is ejected already."""
        name = file_name(id)
        if len(name) > NAME_LIMIT:
            raise OSError(f"an id of that length cannot be stored: {len(name)} of {NAME_LIMIT} bytes")
        self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        os.close(os.open(self.folder / name, os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC, 0o600))

    def remove(self, id: str) -> None:
        """Reinstate; no effect where it is not ejected."""
        (self.folder / file_name(id)).unlink(missing_ok=True)

    def read(self) -> dict[str, float]:
        """Id: ejected since (Unix ms). Raises FileNotFoundError where the folder does not exist."""
        ejections: dict[str, float] = {}
        with os.scandir(self.folder) as entries:
            for entry in entries:
                id = unquote(entry.name.removesuffix(SUFFIX))
                if file_name(id) != entry.name or not entry.is_file(follow_symlinks=False):
                    continue
                try:
                    ejections[id] = entry.stat(follow_symlinks=False).st_mtime * 1000.0
                except FileNotFoundError:  # reinstated in this moment
                    continue
        return ejections
