"""When a link's peer is pinged, and when the link is aborted. Pure: time is an argument.

The end that dialled sends the pings; the other end receives them. Any received byte counts as a sign of life,
so neither end pings on a busy link.
"""

from __future__ import annotations

from enum import Enum

# Idle time, in either direction, after which the end that dialled sends a ping. Each ping costs an idle
# system two records per link, so the interval is long; it is shorter while a response is awaited, and much
# shorter if the other end tracks which nodes are up (the feed's owner).
PING_IDLE_S = 2.0
PING_AWAITING_RESPONSE_S = 0.75
PING_SUBSCRIBED_S = 0.25

PONG_TIMEOUT_S = 1.65  # the end that pinged aborts the link after this long without a byte
PEER_TIMEOUT_S = 6.0  # either end aborts the link; at the end that was dialled, two pings were missed


class LivenessAction(Enum):
    """What to do about a link's peer."""

    NONE = "none"
    PING = "ping"
    ABORT = "abort"


class LinkLiveness:
    """Timestamps of one link, in seconds of a monotonic clock, and the decisions based on them.

    Attributes:
        ping_after_s: idle time after which the peer is pinged.
        received_at: when a byte was last received.
        sent_at: when bytes were last written.
        pinged_at: when the first ping since `received_at` was sent; None if there was none.
    """

    __slots__ = ("ping_after_s", "pinged_at", "received_at", "sent_at")

    def __init__(self) -> None:
        """Create the state of a link that isn't connected yet."""
        self.ping_after_s = PING_IDLE_S
        self.received_at = 0.0
        self.sent_at = 0.0
        self.pinged_at: float | None = None

    def received(self, now: float) -> None:
        """Record that bytes were received."""
        self.received_at = now
        self.pinged_at = None

    def seconds_since_received(self, now: float) -> float:
        """Seconds since a byte was last received."""
        return now - self.received_at

    def next_action(self, now: float, *, is_dialler: bool, awaits_response: bool) -> LivenessAction:
        """The action to take now; PING is recorded as done.

        Args:
            now: the time.
            is_dialler: whether this end dialled.
            awaits_response: whether a request on the link has no response yet.
        """
        unanswered_s = 0.0 if self.pinged_at is None else now - self.pinged_at
        if self.seconds_since_received(now) > PEER_TIMEOUT_S or unanswered_s > PONG_TIMEOUT_S:
            return LivenessAction.ABORT
        ping_after_s = self.ping_after_s
        if awaits_response:
            ping_after_s = min(ping_after_s, PING_AWAITING_RESPONSE_S)
        if not is_dialler or now - min(self.received_at, self.sent_at) < ping_after_s:
            return LivenessAction.NONE
        if self.pinged_at is None:
            self.pinged_at = now
        return LivenessAction.PING
