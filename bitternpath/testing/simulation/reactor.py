"""The reactor of one process on a simulated host.

It has its own timers and sockets and shares the run's clock. While the process is frozen, due timers and
received bytes wait; at the thaw the timers run first, as in a real reactor that wakes up late. After the end
of the process no callback runs.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any

from twisted.internet.address import IPv4Address
from twisted.internet.error import AlreadyCalled, AlreadyCancelled
from twisted.internet.interfaces import (
    IDelayedCall,
    IHostnameResolver,
    IReactorFromThreads,
    IReactorPluggableNameResolver,
    IReactorTCP,
    IReactorTime,
    IReactorUDP,
)
from zope.interface import implementer

from bitternpath.testing.simulation.errors import failure
from bitternpath.testing.simulation.interfaces import SimulatedHost
from bitternpath.testing.simulation.scheduler import Call


class Suspension(Enum):
    """Why a process is suspended."""

    FROZEN = "frozen"  # by an injected fault
    THROTTLED = "throttled"  # by its processor quota


THREAD_WORK_S = 0.002  # default duration of work in a thread, in seconds


@implementer(IDelayedCall)
class VirtualCall:
    """A delayed call of a virtual reactor."""

    __slots__ = ("_arguments", "_call", "_keywords", "_reactor", "_time")

    def __init__(
        self, reactor: VirtualReactor, time: float, call: Call, arguments: tuple[Any, ...], keywords: Any
    ) -> None:
        self._reactor = reactor
        self._time = time
        self._call: Call | None = call
        self._arguments = arguments
        self._keywords = keywords

    def getTime(self) -> float:
        """The time at which it is due."""
        return self._time

    def active(self) -> bool:
        """Whether it has neither run nor been cancelled."""
        return self._call is not None

    def cancel(self) -> None:
        """Cancel it; raises `AlreadyCalled` or `AlreadyCancelled`."""
        self._check()
        self._call = None
        self._arguments = ()
        self._keywords = None  # marks it as cancelled

    def reset(self, secondsFromNow: float) -> None:
        """Reschedule it to `secondsFromNow` from now."""
        self._move(self._reactor.seconds() + secondsFromNow)

    def delay(self, secondsLater: float) -> None:
        """Postpone it by `secondsLater`."""
        self._move(self._time + secondsLater)

    def _move(self, time: float) -> None:
        self._check()
        earlier = time < self._time
        self._time = time
        if earlier:  # for a later time, the event already queued reschedules itself
            self._reactor.scheduler.push(time, self.due)

    def due(self) -> None:
        """Run the call if it is due; the scheduler may call this more than once."""
        if self._call is None or self._reactor.ended:
            return
        if self._time > self._reactor.scheduler.now:
            self._reactor.scheduler.push(self._time, self.due)
        elif self._reactor.frozen:
            self._reactor.due_timers.append(self.due)
        else:
            call = self._call
            self._call = None
            self._reactor.run(call, *self._arguments, **self._keywords)

    def _check(self) -> None:
        if self._call is None:
            raise AlreadyCancelled if self._keywords is None else AlreadyCalled


class _ThreadPool:
    """A thread pool without threads: work runs in the reactor after a delay in virtual time."""

    def __init__(self, reactor: VirtualReactor) -> None:
        self._reactor = reactor

    def callInThread(self, call: Call, *arguments: Any, **keywords: Any) -> None:
        """Schedule work."""
        self.callInThreadWithCallback(None, call, *arguments, **keywords)

    def callInThreadWithCallback(
        self, done: Callable[[bool, Any], object] | None, call: Call, *arguments: Any, **keywords: Any
    ) -> None:
        """Schedule work; `done` receives whether it succeeded, and its result or failure."""
        self._reactor.thread_work(lambda: self._work(done, call, arguments, keywords))

    @staticmethod
    def _work(
        done: Callable[[bool, Any], object] | None, call: Call, arguments: tuple[Any, ...], keywords: Any
    ) -> None:
        try:
            result: Any = call(*arguments, **keywords)
            succeeded = True
        except Exception:
            result = failure()
            succeeded = False
        if done is not None:
            done(succeeded, result)


@implementer(IHostnameResolver)
class _NumericAddressResolver:
    """A name resolver for numeric addresses only."""

    def resolveHostName(
        self,
        resolutionReceiver: Any,
        hostName: str,
        portNumber: int = 0,
        addressTypes: Any = None,
        transportSemantics: str = "TCP",
    ) -> Any:
        resolutionReceiver.resolutionBegan(self)
        resolutionReceiver.addressResolved(IPv4Address("TCP", hostName, portNumber))
        resolutionReceiver.resolutionComplete()
        return resolutionReceiver

    def cancel(self) -> None:
        """Do nothing: resolution is immediate."""


@implementer(IReactorTime, IReactorTCP, IReactorUDP, IReactorFromThreads, IReactorPluggableNameResolver)
class VirtualReactor:
    """The reactor interfaces that Twisted, treq and the roles use, in virtual time."""

    def __init__(self, host: SimulatedHost, name: str) -> None:
        self.host = host
        self.name = name
        self.network = host.network
        self.scheduler = host.network.scheduler
        self._recorder = host.network.recorder
        self.frozen = self.ended = False
        self._suspended_by: set[Suspension] = set()
        self.due_timers: list[Call] = []  # timers that fell due while the process was frozen
        self.pending_reads: list[Call] = []  # reads of sockets that became readable in that time
        self.sockets: dict[Any, None] = {}  # open ports and connections, in order of creation
        self.on_stop: Callable[[], None] = _do_nothing
        self.thread_work: Callable[[Call], object] = self._thread_work
        self.nameResolver = _NumericAddressResolver()
        self.propagates_errors = False  # whether a callback's exception ends the run; set for actors

    # ---- time

    def seconds(self) -> float:
        """The monotonic clock, in seconds."""
        return self.scheduler.now

    def callLater(self, delay: float, call: Call, *arguments: Any, **keywords: Any) -> VirtualCall:
        """Call after `delay` seconds."""
        if delay < 0:
            raise ValueError(f"callLater: {delay} s is negative")
        time = self.scheduler.now + delay
        timer = VirtualCall(self, time, call, arguments, keywords)
        self.scheduler.push(time, timer.due)
        return timer

    def getDelayedCalls(self) -> tuple[VirtualCall, ...]:
        """An empty tuple: the scheduler keeps the calls."""
        return ()

    # ---- core and threads

    def callWhenRunning(self, call: Call, *arguments: Any, **keywords: Any) -> None:
        """Call in the next turn; the reactor always runs."""
        self.callLater(0, call, *arguments, **keywords)

    def callFromThread(self, call: Call, *arguments: Any, **keywords: Any) -> None:
        """Call in the reactor's next turn."""
        self.callLater(0, call, *arguments, **keywords)

    def callInThread(self, call: Call, *arguments: Any, **keywords: Any) -> None:
        """Call as work of the thread pool."""
        self.getThreadPool().callInThread(call, *arguments, **keywords)

    def getThreadPool(self) -> _ThreadPool:
        """The pool that runs work in virtual time."""
        return _ThreadPool(self)

    def suggestThreadPoolSize(self, size: int) -> None:
        """Do nothing: there are no threads."""

    def addSystemEventTrigger(self, phase: str, event: str, call: Call, *arguments: Any) -> object:
        """Ignored: the reactor has no system events."""
        return object()

    def removeSystemEventTrigger(self, trigger: object) -> None:
        """See `addSystemEventTrigger`."""

    def installNameResolver(self, resolver: Any) -> Any:
        """Set the name resolver; returns the previous one."""
        previous = self.nameResolver
        self.nameResolver = resolver
        return previous

    def stop(self) -> None:
        """End the process by its own decision."""
        self.on_stop()

    def _thread_work(self, work: Call) -> None:
        self.callLater(THREAD_WORK_S, work)

    # ---- sockets

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Any:
        """Open a listening port; raises `CannotListenError` if it is in use."""
        return self.network.listen(self, port, factory, interface)

    def connectTCP(
        self, host: str, port: int, factory: Any, timeout: float = 30, bindAddress: Any = None
    ) -> Any:
        """Start a connection; `factory` receives its events."""
        return self.network.connect(self, host, port, factory, timeout)

    def listenUDP(self, port: int, protocol: Any, interface: str = "", maxPacketSize: int = 8192) -> Any:
        """Open a datagram port; raises `CannotListenError` if it is in use."""
        return self.network.listen_datagrams(self, port, protocol, interface)

    # ---- running code of this process

    def run(self, call: Call, *arguments: Any, **keywords: Any) -> bool:
        """Call code of this process; returns False if it raised, after recording the exception."""
        if self.ended:
            return False
        recorder = self._recorder
        previous = recorder.current
        recorder.current = self.name
        try:
            call(*arguments, **keywords)
        except Exception:
            if self.propagates_errors:
                raise
            recorder.failed(failure())
            return False
        finally:
            recorder.current = previous
        return True

    def read(self, call: Call) -> None:
        """Handle a readable socket now, or at the thaw of a frozen process."""
        if self.frozen:
            self.pending_reads.append(call)
        else:
            call()

    # ---- state of the process

    def freeze(self, cause: Suspension = Suspension.FROZEN) -> None:
        """Suspend the process until `thaw` with the same cause."""
        self._suspended_by.add(cause)
        self.frozen = True

    def thaw(self, cause: Suspension = Suspension.FROZEN) -> None:
        """Resume the process unless another cause remains: due timers run first, then reads of sockets."""
        self._suspended_by.discard(cause)
        if not self.frozen or self._suspended_by:
            return
        self.frozen = False
        due_timers = self.due_timers
        self.due_timers = []
        for call in due_timers:
            self.scheduler.push(self.scheduler.now, call)
        pending_reads = self.pending_reads
        self.pending_reads = []
        for call in pending_reads:
            self.scheduler.push(self.scheduler.now, call)

    def end(self) -> None:
        """End the process: no callback runs any more. The network closes its sockets."""
        self.ended = True
        self.frozen = False
        self.due_timers.clear()
        self.pending_reads.clear()


def _do_nothing() -> None:
    """Default of `VirtualReactor.on_stop`."""
