"""What a role needs from the operating system besides the reactor: randomness, wall clock, disk and settings.

It is defined as a protocol so that the simulation runs the roles unchanged on simulated machines.
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
    """The environment of one process."""

    @property
    def random(self) -> Random:
        """The process's only source of randomness."""

    def compaction(self, disk_bytes: int) -> CompactionBounds:
        """The sizes at which replica groups replace log entries by a snapshot; `disk_bytes` 0: unknown."""

    def wall_ms(self) -> int:
        """Wall-clock time in milliseconds since 1970. It may step."""

    def disk(self, data_dir: Path) -> NodeDisk:
        """The disk with this data folder."""

    def load_settings(self) -> Settings:
        """Reload the settings file; raises `SettingsError`."""


class LocalEnvironment:
    """`ProcessEnvironment` of the operating system."""

    def __init__(self) -> None:
        """Seed the source of randomness from the operating system."""
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
