"""Tells clients' URLs that their messages have ended (PROTOCOL, "Messages")."""

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
from bitternpath.transport.records import MessageState

PER_RECEIVER = 4  # calls under way from this node to one receiver: receivers accept few connections
CALL_S = 2.0  # for one call, from the connection to the end of the answer
KEPT_PER_RECEIVER = 2  # idle connections; an owner sends all call-backs of a receiver to one node
KEPT_S = 1.5
WAIT_S = 2.0  # for which a call waits for earlier ones to the same receiver

# Receivers are known by number: a name would be looked up, which blocks a thread.
_URL = re.compile(r"http://([0-9]{1,3}(?:\.[0-9]{1,3}){3}(?::[0-9]{1,5})?)(?:/[!-~]*)?")
_STATE_NAMES = {MessageState.DONE: "done", MessageState.DEAD_LETTER: "dead_letter"}
_RESULTS = {200: CallbackResult.ACKNOWLEDGED, 400: CallbackResult.REFUSED}


class _Call:
    """One call-back, waiting or under way."""

    def __init__(self, url: str, receiver: str, body: bytes) -> None:
        self.url = url
        self.receiver = receiver
        self.body = body
        self.result: Deferred[CallbackResult] = Deferred()
        self.timer: Any = None

    def finish(self, result: CallbackResult) -> None:
        """Give the result."""
        if self.timer.active():
            self.timer.cancel()
        self.result.callback(result)


@implementer(IBodyProducer)
class _Document:
    """A request's body, written at once. Twisted's own producers of bytes need the global reactor."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self.length = len(data)

    def startProducing(self, consumer: Any) -> Deferred[None]:
        consumer.write(self._data)
        return succeed(None)

    def pauseProducing(self) -> None:
        """Nothing is left to pause."""

    def resumeProducing(self) -> None:
        """Nothing is left to resume."""

    def stopProducing(self) -> None:
        """Nothing is left to stop."""


class _Discard(Protocol):
    """Reads an answer's body to its end and throws it away. Cancelling `ended` closes the connection."""

    transport: Any

    def __init__(self) -> None:
        self.ended: Deferred[None] = Deferred(lambda _: self.transport.loseConnection())

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if not self.ended.called:
            self.ended.callback(None)


class CallbackClient:
    """Sends call-backs, each once: whether one that failed is repeated is its queue's decision.

    Few idle connections are kept, and for a short time: receivers accept few.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        pool: Any = HTTPConnectionPool(reactor, persistent=True)  # type: ignore[no-untyped-call]
        pool.maxPersistentPerHost = KEPT_PER_RECEIVER
        pool.cachedConnectionTimeout = KEPT_S
        pool.retryAutomatically = False
        make_agent: Any = Agent
        agent = make_agent(reactor, connectTimeout=CALL_S, pool=pool)
        self._client = HTTPClient(agent)
        self._active: dict[str, int] = {}
        self._waiting: dict[str, deque[_Call]] = {}

    def notify(self, url: str, request_id: str, state: MessageState, stamp: str) -> Deferred[CallbackResult]:
        """Tell a receiver of a message's end; the Deferred never fails."""
        document = {"id": request_id, "state": _STATE_NAMES[state], "stamp": stamp or None}
        address = _URL.fullmatch(url)
        if address is None:
            return succeed(CallbackResult.FAILED)
        call = _Call(url, address[1], json.dumps(document, separators=(",", ":")).encode())
        if self._active.get(call.receiver, 0) < PER_RECEIVER:
            self._send(call)
        else:
            self._waiting.setdefault(call.receiver, deque()).append(call)
            call.timer = self._reactor.callLater(WAIT_S, self._give_up, call)
        return call.result

    def _send(self, call: _Call) -> None:
        self._active[call.receiver] = self._active.get(call.receiver, 0) + 1
        document: Any = _Document(call.body)
        answer: Deferred[Any] = maybeDeferred(
            self._client.post,
            call.url,
            data=document,
            headers=Headers({"Content-Type": ["application/json"]}),
            allow_redirects=False,
        )
        answer.addCallback(_status)
        call.timer = self._reactor.callLater(CALL_S, answer.cancel)
        answer.addCallbacks(lambda status: _RESULTS.get(status, CallbackResult.FAILED), _failed)
        answer.addCallback(self._ended, call)

    def _ended(self, result: CallbackResult, call: _Call) -> None:
        waiting = self._waiting.get(call.receiver)
        self._active[call.receiver] -= 1
        if waiting:
            self._next(waiting)
        elif not self._active[call.receiver]:
            del self._active[call.receiver]
            self._waiting.pop(call.receiver, None)
        call.finish(result)

    def _next(self, waiting: deque[_Call]) -> None:
        call = waiting.popleft()
        call.timer.cancel()
        self._send(call)

    def _give_up(self, call: _Call) -> None:
        self._waiting[call.receiver].remove(call)
        call.finish(CallbackResult.FAILED)


def _status(response: Any) -> Deferred[int]:
    discard = _Discard()
    response.deliverBody(discard)
    return discard.ended.addCallback(lambda _: int(response.code))


def _failed(failure: Failure) -> CallbackResult:
    return CallbackResult.FAILED
