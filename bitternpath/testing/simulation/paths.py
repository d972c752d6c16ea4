"""Network paths from one host to another, in one direction: delay, loss, bandwidth, partitions."""

from __future__ import annotations

from random import Random
from typing import Protocol

JITTER = 0.5  # maximum jitter of a packet, as a share of the delay
PACKET_BYTES = 1_500  # smaller packets take as much transmission time as one of this size
MIN_RETRANSMISSION_S, MAX_RETRANSMISSION_S = 0.2, 0.4  # added delay of a lost packet of a connection
MIN_RETRY_S, MAX_RETRY_S = 0.02, 0.4  # between the healing of a path and a retransmission


class BlockedDirection(Protocol):
    """A direction of a connection with undelivered packets."""

    def retransmit(self) -> None:
        """Schedule a retransmission; called when the path is open again."""


class Path:
    """The path of packets from one host to another."""

    __slots__ = (
        "_idle_at",
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
        self.loss = loss  # share of datagrams that are lost
        self.stream_loss = 0.0  # share of packets of connections that are lost and retransmitted
        self.partitioned = False
        self.partitioned_since = 0.0
        self.bytes_per_s: float | None = None  # None: unlimited
        self.blocked_directions: dict[BlockedDirection, None] = {}
        self._idle_at = 0.0

    def arrival(self, now: float, size: int) -> float:
        """The arrival time of a packet that is sent now."""
        transit_s = self.delay * self.factor * (1 + JITTER * self._random.random())
        if self.stream_loss and self._random.random() < self.stream_loss:
            transit_s += self._random.uniform(MIN_RETRANSMISSION_S, MAX_RETRANSMISSION_S)
        if self.bytes_per_s is not None and size:
            self._idle_at = max(self._idle_at, now) + max(size, PACKET_BYTES) / self.bytes_per_s
            return self._idle_at + transit_s
        return now + transit_s

    def loses_datagram(self) -> bool:
        """Whether the next datagram is lost."""
        return self.partitioned or (self.loss > 0 and self._random.random() < self.loss)

    def retry_delay(self) -> float:
        """The time from the healing of the path to a retransmission."""
        return self._random.uniform(MIN_RETRY_S, MAX_RETRY_S)
