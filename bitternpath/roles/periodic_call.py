"""Calls a function periodically, by a reactor's clock."""

from __future__ import annotations

from collections.abc import Callable

from bitternpath.net.clock import Clock, Timer, cancel_if_active


class PeriodicCall:
    """Calls a function at `start` and then every `interval` seconds, until it is stopped.

    The next call is scheduled before the function runs, so that an exception in one run doesn't end the
    series.
    """

    def __init__(self, reactor: Clock, interval: float, call: Callable[[], None]) -> None:
        """`interval` in seconds; `start` makes the first call."""
        self._reactor = reactor
        self._interval = interval
        self._call = call
        self._scheduled: Timer | None = None

    def start(self) -> None:
        """Make the first call immediately."""
        self._scheduled = self._reactor.callLater(self._interval, self.start)
        self._call()

    def stop(self) -> None:
        """Make no further calls."""
        cancel_if_active(self._scheduled)
