"""What the storage package needs of Twisted's reactor. The names are Twisted's."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol


class ThreadCallReactor(Protocol):
    """Takes calls from other threads (`twisted.internet.interfaces.IReactorFromThreads`)."""

    def callFromThread(self, call: Callable[..., object], *args: object) -> object:
        """Call `call(*args)` in the reactor's thread soon; may be called from any thread."""


class ThreadPoolReactor(ThreadCallReactor, Protocol):
    """Has a pool of threads and a clock (`IReactorThreads`, `IReactorTime`)."""

    def getThreadPool(self) -> Any:
        """Return the pool for blocking work (a `twisted.python.threadpool.ThreadPool`, or a stand-in)."""

    def callLater(self, delay: float, call: Callable[..., object], *args: object) -> Any:
        """Call `call(*args)` in `delay` seconds."""
