"""What the fleet's processes need of the world round them."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Any, Protocol

from bitternpath.testing.emulator.checker import Checker
from bitternpath.testing.emulator.scenario import Scenario


class FleetNode(Protocol):
    """A node whose part in the fleet is looked at."""

    name: str
    site: str
    alive: bool
    process: Any  # subprocess.Popen

    def request_stop(self) -> None:
        """Have it end by itself."""


class FleetWorld(Protocol):
    """What the fleet needs of the world beside it; `emulator/sockets/world.py` has one."""

    scenario: Scenario
    seed: int
    reactor: Any
    folder: Path
    checker: Checker

    @property
    def nodes(self) -> Mapping[str, FleetNode]:
        """All nodes by name."""

    def now(self) -> float:
        """s of the run."""
