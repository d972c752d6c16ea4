"""Tracking of an actor's coroutines."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred


class InFlight:
    """Counts coroutines in flight; `failed` receives the failure of a coroutine that raises."""

    def __init__(self, failed: Callable[[Any], object]) -> None:
        self._failed = failed
        self.count = 0

    def begin(self, work: Any) -> None:
        """Start a coroutine."""
        self.count += 1
        Deferred.fromCoroutine(work).addBoth(self._ended).addErrback(self._failed)

    def _ended(self, result: Any) -> Any:
        self.count -= 1
        return result
