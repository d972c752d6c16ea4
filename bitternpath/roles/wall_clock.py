"""Wall-clock time that doesn't step while a process runs."""

from __future__ import annotations

from collections.abc import Callable


class SteadyWallClock:
    """The wall-clock time at the start of the process, advanced by the monotonic clock.

    Wall-clock times of two machines are compared only when a replica applies a message that it did not accept
    itself, or reads its disk after a restart. A step of the clock in between would shorten a message's delay.
    """

    def __init__(self, wall_ms: Callable[[], int], monotonic_s: Callable[[], float]) -> None:
        """`wall_ms` is read once; `monotonic_s` returns seconds of a clock that never steps."""
        self._monotonic_s = monotonic_s
        self._offset_ms = wall_ms() - monotonic_s() * 1000

    def wall_ms(self) -> int:
        """Milliseconds since 1970."""
        return round(self._offset_ms + self._monotonic_s() * 1000)
