"""The clock and the timers of a node, as interfaces that tests and the emulator replace."""

from __future__ import annotations

from collections.abc import Callable
from time import monotonic, time
from typing import Any, Protocol


class TimerScheduler(Protocol):
    """The part of a reactor that sets timers."""

    def callLater(self, delay: float, callable: Callable[..., object], *args: Any) -> Any:
        """Call a function after `delay` seconds; the returned timer can be cancelled."""


class Clock:
    """Monotonic milliseconds, offset once to Unix time so that start times of endpoints can be compared."""

    def __init__(self) -> None:
        self._anchor = (time() - monotonic()) * 1000.0

    def __call__(self) -> float:
        """Return the current time in ms."""
        return self._anchor + monotonic() * 1000.0
