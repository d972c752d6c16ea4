"""Delays between sites, and one-way partitions. Pure."""

from __future__ import annotations

from random import Random

from bitternpath.testing.emulator.scenario import Net, sample


class Network:
    """Draws a one-way delay in s for each message."""

    def __init__(self, net: Net, random: Random) -> None:
        self.random, self.jitter = random, net.jitter
        self.same_site, self.cross_site = (
            sample(random, net.same_ms) / 1000.0,
            sample(random, net.cross_ms) / 1000.0,
        )
        self.client_delay = sample(random, net.client_ms) / 1000.0
        self._partitions: set[tuple[str, str]] = set()
        self.delay_factors: dict[tuple[str, str], float] = {}

    def delay(self, source: str, destination: str) -> float:
        base = (
            self.same_site
            if source == destination
            else self.cross_site * self.delay_factors.get((source, destination), 1.0)
        )
        return base * (1.0 + self.jitter * self.random.random())

    def to_client(self) -> float:
        return self.client_delay * (1.0 + self.jitter * self.random.random())

    def partition(self, source: str, destination: str) -> None:
        """From now on messages in that direction are lost."""
        self._partitions.add((source, destination))

    def heal(self, source: str, destination: str) -> None:
        self._partitions.discard((source, destination))

    def delivers(self, source: str, destination: str) -> bool:
        return (source, destination) not in self._partitions
