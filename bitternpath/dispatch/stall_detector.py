"""Detects stalls of this process: it was suspended, or its machine gave it no processor time.

What the process reads right after a stall may have waited in socket buffers for as long as the stall lasted.
A lease read then may have ended already, and its message may have been granted to another node.
"""

from __future__ import annotations

from bitternpath.net.clock import Clock

HEARTBEAT_INTERVAL_S = 0.25
STALL_THRESHOLD_S = 0.75  # without a heartbeat; three intervals, as a busy reactor is late by one or two
AFTER_STALL_S = 0.3  # after the first heartbeat that follows a stall, in which reads may still be old


class StallDetector:
    """Compares the clock with the time of its last heartbeat.

    Before `start` there are no heartbeats, and `earliest_arrival` detects nothing.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._started = False
        self._heartbeat_at = clock.seconds()
        self._stall_started_at = 0.0
        self._suspect_until = 0.0

    def start(self) -> None:
        """Send a heartbeat, and one after each interval until the process ends."""
        now = self._clock.seconds()
        if self._started and now - self._heartbeat_at > STALL_THRESHOLD_S:
            self._stall_started_at = self._heartbeat_at
            self._suspect_until = now + AFTER_STALL_S
        self._started = True
        self._heartbeat_at = now
        self._clock.callLater(HEARTBEAT_INTERVAL_S, self.start)

    def earliest_arrival(self, now: float) -> float:
        """The earliest time at which what is read now may have arrived."""
        if now < self._suspect_until:
            return self._stall_started_at
        if self._started and now - self._heartbeat_at > STALL_THRESHOLD_S:
            return self._heartbeat_at
        return now

    def stalled(self, now: float) -> bool:
        """Whether what is read now may have waited in a socket buffer during a stall."""
        return now - self._heartbeat_at > STALL_THRESHOLD_S or now < self._suspect_until
