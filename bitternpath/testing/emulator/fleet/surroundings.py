"""Interfaces that the fleet's processes need from the rest of the emulator."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Any, Protocol

from bitternpath.testing.emulator.checker import Checker
from bitternpath.testing.emulator.scenario import Scenario


class FleetNode(Protocol):
    """A node of the fleet, as the fleet's checks need it."""

    name: str
    site: str
    alive: bool
    process: Any  # subprocess.Popen

    def request_stop(self) -> None:
        """Asks the process to end (SIGTERM)."""


class FleetWorld(Protocol):
    """The emulated environment of a fleet; implemented by `emulator/sockets/world.py`."""

    scenario: Scenario
    seed: int
    reactor: Any
    folder: Path
    checker: Checker

    @property
    def nodes(self) -> Mapping[str, FleetNode]:
        """All nodes by name."""

    def now(self) -> float:
        """s since the start of the run."""
