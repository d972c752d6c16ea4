"""The way of packets from one host to another: delay, loss, bandwidth, cuts. One direction each."""

from __future__ import annotations

from random import Random
from typing import Protocol

JITTER = 0.5  # of the delay, at most, added to each packet
PACKET_BYTES = 1_500  # below that a packet's size adds nothing to its time
RESENT_LEAST_S, RESENT_MOST_S = 0.2, 0.4  # until a packet that was lost on an open way comes
RETRY_LEAST_S, RETRY_MOST_S = 0.02, 0.4  # until a held packet is sent again once its way is open


class Held(Protocol):
    """A connection's direction with packets that don't get through."""

    def send_again(self) -> None:
        """The way is open again."""


class Path:
    """From one host to another."""

    __slots__ = (
        "_free_at",
        "_random",
        "bytes_per_s",
        "cut",
        "cut_since",
        "delay",
        "factor",
        "holding",
        "loss",
        "stream_loss",
    )

    def __init__(self, random: Random, delay: float, loss: float) -> None:
        self._random = random
        self.delay = delay
        self.factor = 1.0
        self.loss = loss  # share of datagrams
        self.stream_loss = 0.0  # share of packets of connections, which are sent again after a while
        self.cut = False
        self.cut_since = 0.0
        self.bytes_per_s: float | None = None  # None: more than the run needs
        self.holding: dict[Held, None] = {}
        self._free_at = 0.0

    def arrival(self, now: float, size: int) -> float:
        """When a packet that is sent now arrives."""
        taken = self.delay * self.factor * (1 + JITTER * self._random.random())
        if self.stream_loss and self._random.random() < self.stream_loss:
            taken += self._random.uniform(RESENT_LEAST_S, RESENT_MOST_S)
        if self.bytes_per_s is not None and size:
            self._free_at = max(self._free_at, now) + max(size, PACKET_BYTES) / self.bytes_per_s
            return self._free_at + taken
        return now + taken

    def loses_datagram(self) -> bool:
        """Whether the next datagram is lost."""
        return self.cut or (self.loss > 0 and self._random.random() < self.loss)

    def retry_delay(self) -> float:
        """How long after the way has opened a held packet is sent again."""
        return self._random.uniform(RETRY_LEAST_S, RETRY_MOST_S)
