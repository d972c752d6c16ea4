"""Notifies clients' URLs that their messages have ended (PROTOCOL, "Messages")."""

from __future__ import annotations

import json
import re
from collections import deque
from typing import Any

from treq.client import HTTPClient
from twisted.internet.defer import Deferred, maybeDeferred, succeed
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.http_headers import Headers
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

from bitternpath.delivery.results import CallbackResult
from bitternpath.net.clock import Timer, cancel_if_active
from bitternpath.net.reactor import TcpReactor
from bitternpath.transport.records import MessageState

MAX_CALLS_PER_RECEIVER = 4  # calls in flight from this node; receivers accept few connections
MAX_IDLE_PER_RECEIVER = 2  # idle connections; an owner sends all call-backs of a receiver to one node
IDLE_TIMEOUT_S = 1.5  # after which an idle connection is closed
CALL_TIMEOUT_S = 2.0  # for one call, from connecting to the end of the response
QUEUE_TIMEOUT_S = 2.0  # for which a call waits behind others to the same receiver

# Receivers must be given by IP address, since resolving a host name would block a thread.
_URL = re.compile(r"http://([0-9]{1,3}(?:\.[0-9]{1,3}){3}(?::[0-9]{1,5})?)(?:/[!-~]*)?")
_STATE_NAMES = {MessageState.DONE: "done", MessageState.DEAD_LETTER: "dead_letter"}
_RESULTS = {200: CallbackResult.ACKNOWLEDGED, 400: CallbackResult.REJECTED}


class _Call:
    """One call-back, waiting or in flight."""

    timer: Timer

    def __init__(self, url: str, receiver: str, body: bytes) -> None:
        self.url = url
        self.receiver = receiver
        self.body = body
        self.result: Deferred[CallbackResult] = Deferred()

    def complete(self, result: CallbackResult) -> None:
        """Fire the result."""
        cancel_if_active(self.timer)
        self.result.callback(result)


@implementer(IBodyProducer)
class _Body:
    """A request body that is written in one call. Twisted's own body producers need the global reactor."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self.length = len(data)

    def startProducing(self, consumer: Any) -> Deferred[None]:
        consumer.write(self._data)
        return succeed(None)

    def pauseProducing(self) -> None:
        """Do nothing: the body is already written."""

    def resumeProducing(self) -> None:
        """Do nothing: the body is already written."""

    def stopProducing(self) -> None:
        """Do nothing: the body is already written."""


class _BodyDiscarder(Protocol):
    """Reads and discards a response body. Cancelling `ended` closes the connection."""

    transport: Any

    def __init__(self) -> None:
        self.ended: Deferred[None] = Deferred(lambda _: self.transport.loseConnection())

    def connectionLost(self, _: Failure = connectionDone) -> None:
        if not self.ended.called:
            self.ended.callback(None)


class CallbackClient:
    """Sends each call-back once; the message's shard decides on retries.

    Receivers accept few connections, so the calls in flight and the idle connections to each receiver are
    limited and idle connections are closed soon.
    """

    def __init__(self, reactor: TcpReactor) -> None:
        self._reactor = reactor
        pool: Any = HTTPConnectionPool(reactor, persistent=True)  # type: ignore[no-untyped-call]
        pool.maxPersistentPerHost = MAX_IDLE_PER_RECEIVER
        pool.cachedConnectionTimeout = IDLE_TIMEOUT_S
        pool.retryAutomatically = False
        make_agent: Any = Agent
        agent = make_agent(reactor, connectTimeout=CALL_TIMEOUT_S, pool=pool)
        self._client = HTTPClient(agent)
        self._in_flight: dict[str, int] = {}  # calls by receiver
        self._waiting: dict[str, deque[_Call]] = {}  # by receiver

    def notify(self, url: str, request_id: str, state: MessageState, stamp: str) -> Deferred[CallbackResult]:
        """Notify a receiver that a message has ended; the Deferred never fails."""
        document = {"id": request_id, "state": _STATE_NAMES[state], "stamp": stamp or None}
        address = _URL.fullmatch(url)
        if address is None:
            return succeed(CallbackResult.FAILED)
        call = _Call(url, address[1], json.dumps(document, separators=(",", ":")).encode())
        if self._in_flight.get(call.receiver, 0) < MAX_CALLS_PER_RECEIVER:
            self._send(call)
        else:
            self._waiting.setdefault(call.receiver, deque()).append(call)
            call.timer = self._reactor.callLater(QUEUE_TIMEOUT_S, self._wait_timed_out, call)
        return call.result

    def _send(self, call: _Call) -> None:
        self._in_flight[call.receiver] = self._in_flight.get(call.receiver, 0) + 1
        body: Any = _Body(call.body)
        response: Deferred[Any] = maybeDeferred(
            self._client.post,
            call.url,
            data=body,
            headers=Headers({"Content-Type": ["application/json"]}),
            allow_redirects=False,
        )
        response.addCallback(_complete_status)
        call.timer = self._reactor.callLater(CALL_TIMEOUT_S, response.cancel)
        response.addCallbacks(_result_of, _failed)
        response.addCallback(self._ended, call)

    def _ended(self, result: CallbackResult, call: _Call) -> None:
        waiting = self._waiting.get(call.receiver)
        self._in_flight[call.receiver] -= 1
        if waiting:
            self._send_next(waiting)
        elif not self._in_flight[call.receiver]:
            del self._in_flight[call.receiver]
            self._waiting.pop(call.receiver, None)
        call.complete(result)

    def _send_next(self, waiting: deque[_Call]) -> None:
        call = waiting.popleft()
        call.timer.cancel()
        self._send(call)

    def _wait_timed_out(self, call: _Call) -> None:
        self._waiting[call.receiver].remove(call)
        call.complete(CallbackResult.FAILED)


def _complete_status(response: Any) -> Deferred[int]:
    """Return the status of a response once its body has been read."""
    discarder = _BodyDiscarder()
    response.deliverBody(discarder)
    return discarder.ended.addCallback(lambda _: int(response.code))


def _result_of(status: int) -> CallbackResult:
    return _RESULTS.get(status, CallbackResult.FAILED)


def _failed(_: Failure) -> CallbackResult:
    return CallbackResult.FAILED
