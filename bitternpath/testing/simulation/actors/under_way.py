"""What an actor has begun and not ended."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred


class UnderWay:
    """Counts coroutines that run; one that raises is told to `failed`."""

    def __init__(self, failed: Callable[[Any], object]) -> None:
        self._failed = failed
        self.count = 0

    def begin(self, work: Any) -> None:
        """Run a coroutine to its end."""
        self.count += 1
        Deferred.fromCoroutine(work).addBoth(self._ended).addErrback(self._failed)

    def _ended(self, result: Any) -> Any:
        self.count -= 1
        return result
