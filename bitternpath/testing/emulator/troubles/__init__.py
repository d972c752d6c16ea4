"""What goes wrong. Each module here registers some kinds of trouble; a scenario names them."""

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
