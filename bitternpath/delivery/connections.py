"""One connection to a worker, and one delivery that goes over it."""

from __future__ import annotations

import socket
from typing import Any
from typing import Protocol as Interface

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from bitternpath.delivery.answers import NO_ANSWER, AnswerReader, Progress, Verdict
from bitternpath.delivery.requests import request_bytes
from bitternpath.delivery.results import DeliveryResult, RefusalKind, WorkerTarget
from bitternpath.transport.records import AttemptOutcome, Message

LEAST_TIME_S = 0.02  # with less time left nothing is sent: no worker could answer
GRACE_S = 0.05  # the answer may come so long after the deadline that the worker was handed
UNACKNOWLEDGED_MS = 2_000  # sent bytes that a dead peer doesn't acknowledge for so long end the connection
MAX_REMEMBERED_REQUESTS = (
    500  # deliveries of one connection that ended no message: their request ids are kept
)
_ENDS = (AttemptOutcome.SUCCEEDED, AttemptOutcome.REJECTED)
USE_SHARE = 0.6  # of a worker's keep-alive time, for which we use an idle connection


class Exchange:
    """One delivery on its way: waiting for a connection, or for its answer."""

    def __init__(self, target: WorkerTarget, message: Message, deadline_ms: int, reactor: Any) -> None:
        self.target = target
        self.message = message
        self.result: Deferred[DeliveryResult] = Deferred()
        self._reactor = reactor
        self._started = reactor.seconds()
        self._deadline = self._started + deadline_ms / 1000
        self._send_by = min(self._deadline - LEAST_TIME_S, self._started + target.send_within_s)
        self._timer: Any = None

    @property
    def decided(self) -> bool:
        """Whether its result has been given."""
        return bool(self.result.called)

    def remaining_s(self) -> float:
        """Time until the deadline, in seconds."""
        return float(self._deadline - self._reactor.seconds())

    def send_time_s(self) -> float:
        """Time for which it may still wait to be sent, in seconds."""
        return max(0.0, float(self._send_by - self._reactor.seconds()))

    def sendable(self) -> bool:
        """Whether it may be sent now; looked at in the moment of the send."""
        return bool(self._reactor.seconds() <= self._send_by)

    def watch(self, seconds: float, expired: Any) -> None:
        """Call `expired` unless the delivery is decided, or watched anew, within that time."""
        self._stop_timer()
        self._timer = self._reactor.callLater(max(0.0, seconds), expired)

    def decide(self, verdict: Verdict) -> None:
        """Give the result, unless it is given."""
        self._stop_timer()
        if self.decided:
            return
        elapsed = self._reactor.seconds() - self._started
        result = DeliveryResult(verdict.outcome, verdict.stamp, verdict.status, verdict.refusal, elapsed)
        self.result.callback(result)

    def not_run(self, refusal: RefusalKind) -> None:
        """Give the result that nothing was sent."""
        self.decide(Verdict(AttemptOutcome.NOT_RUN, refusal=refusal))

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()


class ConnectionOwner(Interface):
    """What a connection needs of the pool that made it; `AddressPool` is one."""

    def now(self) -> float:
        """The clock by which `usable_until` is read, in seconds."""

    def released(self, connection: WorkerConnection) -> None:
        """A connection has had its whole answer and can be used again."""

    def lost(self, connection: WorkerConnection) -> None:
        """A connection has ended, or is not to be used any more; said once of each."""


class WorkerConnection(Protocol):
    """A connection that carries one delivery at a time and is not used again once anything is doubtful."""

    transport: Any

    def __init__(self, owner: ConnectionOwner) -> None:
        self._owner = owner
        self._exchange: Exchange | None = None
        self._answer: AnswerReader | None = None
        self._unended: set[str] = set()  # request ids of messages that may come again
        self.usable_until = 0.0
        self.open = False

    def connectionMade(self) -> None:
        self.open = True
        self.transport.setTcpNoDelay(True)
        handle = self.transport.getHandle()
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)

    def may_carry(self, request_id: str) -> bool:
        """Whether no earlier delivery of the same message may still be answered here.

        A worker in trouble may answer twice, and answers are told apart by request id alone: a late second
        answer to the first delivery would be taken for the answer to the second one.
        """
        return request_id not in self._unended

    def carry(self, exchange: Exchange) -> None:
        """Send a delivery and wait for its answer."""
        remaining = exchange.remaining_s()
        message = exchange.message
        self._exchange = exchange
        self._answer = AnswerReader(message.request_id, message.method == "HEAD")
        exchange.watch(remaining + GRACE_S, self._silent)
        self.transport.write(request_bytes(exchange.target, message, int(remaining * 1000)))

    def close(self) -> None:
        """End an idle connection."""
        self._retire()
        self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:
        if not self.open:
            return
        if self._answer is None:
            self._break()
            return
        progress = self._answer.feed(data)
        if progress is Progress.WHOLE:
            self._answered(self._answer)
        elif progress is Progress.BROKEN:
            self._break()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._retire()
        self._decide(NO_ANSWER)

    def _answered(self, answer: AnswerReader) -> None:
        self._answer = None
        verdict = answer.verdict()
        if self._exchange is not None and verdict.outcome not in _ENDS:
            self._unended.add(self._exchange.message.request_id)
        if answer.reusable and len(self._unended) < MAX_REMEMBERED_REQUESTS:
            self.usable_until = self._owner.now() + answer.keep_alive_s * USE_SHARE
            exchange, self._exchange = self._exchange, None
            self._owner.released(self)
            if exchange is not None:
                exchange.decide(verdict)
        else:
            self._retire()
            self.transport.loseConnection()
            self._decide(verdict)

    def _silent(self) -> None:
        # An answer may have come while this process was held up: timers run before sockets are read.
        if self._exchange is not None:
            self._exchange.watch(0.0, self._break)

    def _break(self) -> None:
        self._retire()
        self.transport.abortConnection()
        self._decide(NO_ANSWER)

    def _retire(self) -> None:
        if self.open:
            self.open = False
            self._owner.lost(self)

    def _decide(self, verdict: Verdict) -> None:
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.decide(verdict)
