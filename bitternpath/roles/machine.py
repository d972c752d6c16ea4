"""What a role asks of the machine it runs on, besides the reactor: chance, time of day, disk, settings.

Behind a protocol, so that a simulation can run the roles as they are with another machine under them.
"""

from __future__ import annotations

import time
from pathlib import Path
from random import Random
from typing import Protocol

from bitternpath.replication.group import CompactionBounds, bounds_for_disk
from bitternpath.roles.settings import Settings, load_settings, settings_path
from bitternpath.storage.node_disk import LocalDisk, NodeDisk


class Machine(Protocol):
    """The machine of a process."""

    @property
    def random(self) -> Random:
        """The one source of chance of this process."""

    def compaction(self, disk_bytes: int) -> CompactionBounds:
        """When replica groups on a disk of that size replace entries by a snapshot."""

    def wall_ms(self) -> int:
        """The time of day in milliseconds since 1970. It may step."""

    def disk(self, data_dir: Path) -> NodeDisk:
        """The disk that has this folder."""

    def load_settings(self) -> Settings:
        """The settings as they are now; raises `SettingsError`."""


class LocalMachine:
    """`Machine` by the operating system."""

    def __init__(self) -> None:
        self._random = Random()

    @property
    def random(self) -> Random:
        return self._random

    def compaction(self, disk_bytes: int) -> CompactionBounds:
        return bounds_for_disk(disk_bytes)

    def wall_ms(self) -> int:
        return int(time.time() * 1000)

    def disk(self, data_dir: Path) -> NodeDisk:
        return LocalDisk(data_dir)

    def load_settings(self) -> Settings:
        return load_settings(settings_path())
