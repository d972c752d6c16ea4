"""Time, as the parts of a node are handed it."""

from __future__ import annotations

from collections.abc import Callable
from time import monotonic, time
from typing import Any, Protocol


class TimerScheduler(Protocol):
    """The part of a reactor that a part without I/O needs."""

    def callLater(self, delay: float, callable: Callable[..., object], *args: Any) -> Any:
        """Call after `delay` seconds; the result can be cancelled."""


class Clock:
    """Monotonic milliseconds, anchored once to Unix time so that an endpoint's start compares."""

    def __init__(self) -> None:
        self._anchor = (time() - monotonic()) * 1000.0

    def __call__(self) -> float:
        """The time now, in ms."""
        return self._anchor + monotonic() * 1000.0
