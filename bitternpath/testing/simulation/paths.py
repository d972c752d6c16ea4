"""The way of packets from one host to another: delay, loss, bandwidth, cuts. One direction each."""

from __future__ import annotations

from random import Random
from typing import Protocol

JITTER = 0.5  # of the delay, at most, added to each packet
PACKET_BYTES = 1_500  # below that a packet's size adds nothing to its time
MIN_RETRANSMISSION_S, MAX_RETRANSMISSION_S = 0.2, 0.4  # until a packet that was lost on an open way comes
MIN_RETRY_S, MAX_RETRY_S = 0.02, 0.4  # until a held packet is sent again once its way is open


class BlockedDirection(Protocol):
    """A connection's direction with packets that don't get through."""

    def retransmit(self) -> None:
        """The way is open again."""


class Path:
    """From one host to another."""

    __slots__ = (
        "_free_at",
        "_random",
        "blocked_directions",
        "bytes_per_s",
        "delay",
        "factor",
        "loss",
        "partitioned",
        "partitioned_since",
        "stream_loss",
    )

    def __init__(self, random: Random, delay: float, loss: float) -> None:
        self._random = random
        self.delay = delay
        self.factor = 1.0
        self.loss = loss  # share of datagrams
        self.stream_loss = 0.0  # share of packets of connections, which are sent again after a while
        self.partitioned = False
        self.partitioned_since = 0.0
        self.bytes_per_s: float | None = None  # None: more than the run needs
        self.blocked_directions: dict[BlockedDirection, None] = {}
        self._free_at = 0.0

    def arrival(self, now: float, size: int) -> float:
        """When a packet that is sent now arrives."""
        transit_s = self.delay * self.factor * (1 + JITTER * self._random.random())
        if self.stream_loss and self._random.random() < self.stream_loss:
            transit_s += self._random.uniform(MIN_RETRANSMISSION_S, MAX_RETRANSMISSION_S)
        if self.bytes_per_s is not None and size:
            self._free_at = max(self._free_at, now) + max(size, PACKET_BYTES) / self.bytes_per_s
            return self._free_at + transit_s
        return now + transit_s

    def loses_datagram(self) -> bool:
        """Whether the next datagram is lost."""
        return self.partitioned or (self.loss > 0 and self._random.random() < self.loss)

    def retry_delay(self) -> float:
        """How long after the way has opened a held packet is sent again."""
        return self._random.uniform(MIN_RETRY_S, MAX_RETRY_S)
