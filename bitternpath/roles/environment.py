"""What a role needs of the operating system besides the reactor: randomness, time of day, disk and settings.

It stands behind a protocol, so that the simulation runs the roles unchanged on simulated machines.
"""

from __future__ import annotations

import time
from pathlib import Path
from random import Random
from typing import Protocol

from bitternpath.replication.compaction import CompactionBounds, bounds_for_disk
from bitternpath.roles.settings import Settings, load_settings, settings_path
from bitternpath.storage.node_disk import LocalDisk, NodeDisk


class ProcessEnvironment(Protocol):
    """The surroundings of one process."""

    @property
    def random(self) -> Random:
        """The one source of randomness of this process."""

    def compaction(self, disk_bytes: int) -> CompactionBounds:
        """At which sizes replica groups replace log entries by a snapshot; `disk_bytes` 0: unknown."""

    def wall_ms(self) -> int:
        """Time of day in milliseconds since 1970. It may step."""

    def disk(self, data_dir: Path) -> NodeDisk:
        """The disk that has this data folder."""

    def load_settings(self) -> Settings:
        """Read the settings file again; raises `SettingsError`."""


class LocalEnvironment:
    """`ProcessEnvironment` of the operating system."""

    def __init__(self) -> None:
        """Seed the randomness from the operating system."""
        self._random = Random()

    @property
    def random(self) -> Random:
        """See `ProcessEnvironment`."""
        return self._random

    def compaction(self, disk_bytes: int) -> CompactionBounds:
        """See `ProcessEnvironment`."""
        return bounds_for_disk(disk_bytes)

    def wall_ms(self) -> int:
        """See `ProcessEnvironment`."""
        return int(time.time() * 1000)

    def disk(self, data_dir: Path) -> NodeDisk:
        """See `ProcessEnvironment`."""
        return LocalDisk(data_dir)

    def load_settings(self) -> Settings:
        """See `ProcessEnvironment`."""
        return load_settings(settings_path())
