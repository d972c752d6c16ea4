"""Notices that this process stood still: it was stopped, or its machine had no time for it.

What the process reads right after a stall may have waited in its sockets for as long as the stall lasted. A
lease that is read then may have ended already, and its message may have been granted to another node.
"""

from __future__ import annotations

from bitternpath.net.clock import Clock

HEARTBEAT_INTERVAL_S = 0.25
STALL_THRESHOLD_S = 0.75  # without a heartbeat; three intervals, since a busy reactor is late by one or two
AFTER_STALL_S = 0.3  # after the first heartbeat that follows, for which what is read may still be old


class StallDetector:
    """Compares the clock with a heartbeat of its own. Without `start` only `stalled` notices anything."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._started = False
        self._heartbeat_at = clock.seconds()
        self._stall_began = 0.0
        self._suspect_until = 0.0

    def start(self) -> None:
        """Begin with the heartbeat, which goes on until the process ends."""
        now = self._clock.seconds()
        if self._started and now - self._heartbeat_at > STALL_THRESHOLD_S:
            self._stall_began = self._heartbeat_at
            self._suspect_until = now + AFTER_STALL_S
        self._started = True
        self._heartbeat_at = now
        self._clock.callLater(HEARTBEAT_INTERVAL_S, self.start)

    def earliest_arrival(self, now: float) -> float:
        """When something that is read now may have arrived, at the earliest."""
        if now < self._suspect_until:
            return self._stall_began
        if self._started and now - self._heartbeat_at > STALL_THRESHOLD_S:
            return self._heartbeat_at
        return now

    def stalled(self, now: float) -> bool:
        """Whether something that is read now may have waited for the length of a stall."""
        return now - self._heartbeat_at > STALL_THRESHOLD_S or now < self._suspect_until
