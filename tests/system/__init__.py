"""Tests of the ingest and dispatch service."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

from twisted.internet.defer import Deferred
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

_Result = TypeVar("_Result")
MAX_TURN_S = 0.02  # maximum wait for events in one turn of a loopback reactor
EVENT_TIMEOUT_S = 10.0  # time-out of a test that waits for an event


class Loopback:
    """A separate reactor for connections over 127.0.0.1; tests wait for events, never for a time."""

    def __init__(self) -> None:
        self.reactor: Any = EPollReactor()
        self.reactor.startRunning(installSignalHandlers=False)

    def listen(self, factory: Any) -> str:
        """Listen on a free port; returns the address."""
        port = self.reactor.listenTCP(0, factory, interface="127.0.0.1")
        return f"127.0.0.1:{port.getHost().port}"

    def listen_with(self, protocol: Callable[[], Protocol]) -> str:
        """Listen with a new protocol for each connection; returns the address."""
        return self.listen(Factory.forProtocol(protocol))  # type: ignore[arg-type]

    def until(self, condition: Callable[[], bool]) -> None:
        """Run until the condition holds; fails after `EVENT_TIMEOUT_S`."""
        deadline = self.reactor.seconds() + EVENT_TIMEOUT_S
        while not condition():
            if self.reactor.seconds() > deadline:
                raise AssertionError("the condition did not hold in time")
            self.reactor.iterate(MAX_TURN_S)

    def result(self, deferred: Deferred[_Result]) -> _Result:
        """Run until a Deferred has its result, and return it."""
        results: list[_Result] = []
        deferred.addCallback(results.append)
        self.until(lambda: bool(results))
        return results[0]

    def close(self) -> None:
        """Close all connections and listeners and stop all threads, which would keep the process alive."""
        if self.reactor.threadpool is not None:
            self.reactor.threadpool.stop()
        for call in self.reactor.getDelayedCalls():
            call.cancel()
        for selectable in self.reactor.removeAll():
            selectable.connectionLost(Failure(ConnectionDone()))
