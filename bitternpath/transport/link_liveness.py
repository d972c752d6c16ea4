"""When a link's peer is pinged, and when the link is aborted. Pure: time is an argument.

The end that dialled pings; the other end receives the pings. Any received byte counts as a sign of life, so a
busy link is pinged by neither.
"""

from __future__ import annotations

from enum import Enum

# The end that dialled pings after so long without a byte one way or the other. A system at rest costs two
# records a link each time, so this is slow; it is sooner while a response is awaited over the link, and much
# sooner where the other end counts which nodes are up (the feed's owner).
PING_IDLE_S = 2.0
PING_AWAITING_RESPONSE_S = 0.75
PING_SUBSCRIBED_S = 0.25

PONG_TIMEOUT_S = 1.65  # the end that has pinged aborts the link after so long without a byte
PEER_TIMEOUT_S = 6.0  # either end aborts the link; at the end that was dialled, two pings haven't come


class LivenessAction(Enum):
    """What is to be done about a link's peer."""

    NONE = "none"
    PING = "ping"
    ABORT = "abort"


class LinkLiveness:
    """The times by which one link is judged, in seconds of a monotonic clock.

    Attributes:
        ping_after_s: idle time after which the peer is pinged.
        received_at: when a byte last came.
        sent_at: when bytes were last written.
        pinged_at: when the first ping since `received_at` was sent; None where none was.
    """

    __slots__ = ("ping_after_s", "pinged_at", "received_at", "sent_at")

    def __init__(self) -> None:
        """Of a link that isn't connected yet."""
        self.ping_after_s = PING_IDLE_S
        self.received_at = 0.0
        self.sent_at = 0.0
        self.pinged_at: float | None = None

    def received(self, now: float) -> None:
        """Bytes have come."""
        self.received_at = now
        self.pinged_at = None

    def seconds_since_received(self, now: float) -> float:
        """Seconds since a byte came."""
        return now - self.received_at

    def next_action(self, now: float, *, is_dialler: bool, awaits_response: bool) -> LivenessAction:
        """What is to be done now; PING is recorded as done.

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
