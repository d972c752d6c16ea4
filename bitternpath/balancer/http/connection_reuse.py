"""Decides whether, and for how long, idle connections to endpoints are reused. Pure: no I/O, no clock.

Endpoints may close idle connections far earlier than the settings say; a call that crosses such a close is
lost. Connections are reused within half of the shortest idle time after which an endpoint closed one; each
sweep lengthens that a little. None are reused while calls on reused connections are reset more often than
those on new ones.
"""

from __future__ import annotations

IDLE_SHARE = 0.6  # fraction of the endpoints' idle timeout after which the node closes connections
REUSE_SHARE = 0.5  # fraction of the shortest idle time after which an endpoint closed
REUSE_GROWTH = 1.035  # factor per sweep; doubles the limit in 10 s
RESET_TOLERANCE = 0.1  # by which the reset rate on reused connections may exceed that on new ones
RESET_SMOOTHING = 0.1  # weight of one call in the moving averages of resets
RESET_DECAY = 0.98  # factor per sweep; halves the reset rate of reused connections in 17 s


class ReusePolicy:
    """Idle limits in ms, and the recent reset rates of calls on reused and on new connections."""

    __slots__ = ("idle_limit", "resets", "reuse_limit")

    def __init__(self, idle_timeout: float) -> None:
        self.resets = {True: 0.0, False: 0.0}  # by whether the connection was reused
        self.set_idle_timeout(idle_timeout)

    def set_idle_timeout(self, idle_timeout: float) -> None:
        """Set the time (ms) after which endpoints close idle connections according to the settings."""
        self.idle_limit = idle_timeout * IDLE_SHARE
        self.reuse_limit = self.idle_limit

    def closed_by_endpoint(self, idle: float) -> None:
        """An endpoint closed a connection that had been idle for that time (ms)."""
        self.reuse_limit = min(self.reuse_limit, REUSE_SHARE * idle)

    def record_call(self, *, reused: bool, reset: bool) -> None:
        """A call on a reused or a new connection was answered, or reset."""
        self.resets[reused] += RESET_SMOOTHING * (reset - self.resets[reused])

    def allows_reuse(self) -> bool:
        """Whether idle connections are kept for reuse."""
        return self.resets[True] <= self.resets[False] + RESET_TOLERANCE

    def sweep(self) -> None:
        """Decay the observations; called at a fixed interval."""
        self.reuse_limit = min(self.reuse_limit * REUSE_GROWTH, self.idle_limit)
        self.resets[True] *= RESET_DECAY
