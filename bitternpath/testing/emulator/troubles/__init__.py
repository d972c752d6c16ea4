"""Faults. Each module registers some kinds, which a scenario lists under `troubles`."""

from bitternpath.testing.emulator.troubles import fleet, operators, platform, sites, traffic, workers
from bitternpath.testing.emulator.troubles.register import KINDS, ActiveFault, schedule_fault

__all__ = [
    "KINDS",
    "ActiveFault",
    "fleet",
    "operators",
    "platform",
    "schedule_fault",
    "sites",
    "traffic",
    "workers",
]
