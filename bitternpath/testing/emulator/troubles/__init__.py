"""What goes wrong. Each module here registers some kinds of trouble; a scenario names them."""

from bitternpath.testing.emulator.troubles import fleet, operators, platform, sites, traffic, workers
from bitternpath.testing.emulator.troubles.register import KINDS, Active, begin

__all__ = ["KINDS", "Active", "begin", "fleet", "operators", "platform", "sites", "traffic", "workers"]
