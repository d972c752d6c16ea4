"""Sites and the links between them: delays, and cuts in one direction. Pure."""

from __future__ import annotations

from random import Random

from bitternpath.testing.emulator.scenario import Net, drawn


class Network:
    """One-way delays in s, drawn for each message."""

    def __init__(self, net: Net, random: Random) -> None:
        self.random, self.jitter = random, net.jitter
        self.same, self.cross = drawn(random, net.same_ms) / 1000.0, drawn(random, net.cross_ms) / 1000.0
        self.client = drawn(random, net.client_ms) / 1000.0
        self._cut: set[tuple[str, str]] = set()
        self.slower: dict[tuple[str, str], float] = {}

    def delay(self, start: str, end: str) -> float:
        base = self.same if start == end else self.cross * self.slower.get((start, end), 1.0)
        return base * (1.0 + self.jitter * self.random.random())

    def to_client(self) -> float:
        return self.client * (1.0 + self.jitter * self.random.random())

    def cut(self, start: str, end: str) -> None:
        """What is sent that way does not arrive any more."""
        self._cut.add((start, end))

    def mend(self, start: str, end: str) -> None:
        self._cut.discard((start, end))

    def passes(self, start: str, end: str) -> bool:
        return (start, end) not in self._cut
