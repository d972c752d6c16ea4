"""The listener: invocations from consumers, call-backs from providers, and `/ready`."""

from __future__ import annotations

import logging
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import ujson
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.internet.tcp import Port
from twisted.python.failure import Failure

from bitternpath import messages as m
from bitternpath.net import http1
from bitternpath.net.broker import Broker, Clock, Invocation, State
from bitternpath.net.sockets import Sockets

log = logging.getLogger(__name__)

NEWS_PATH, READY_PATH = b"/_jobs/news", b"/ready"
MESSAGE_WITHIN = 30.0  # s that a message may take to arrive once it has begun
NEW_ONES_ARRIVE = 0.5  # s after the signal to stop during which connections may still be new
PENDING_LIMIT = 2 * http1.BODY_LIMIT  # bytes read ahead of the answer that is due
BACKLOG = 1024
BURST = 8  # connections accepted at a time, or closed to make room
SPARED = 500.0  # ms: connections idle for less are not closed to make room
FRESH = 100.0  # ms: at the end, connections idle for less are not closed, for the same reason
LOOK_AGAIN = 0.1  # s between looks for such connections
ID_LIMIT = 200

_ID = re.compile(rb"[\x21-\x7e]{1,%d}" % ID_LIMIT)
_BUDGET = re.compile(rb"[0-9]{1,9}")
_KEY = re.compile(rb"[0-9A-Fa-f]{1,16}")


@dataclass(slots=True, frozen=True)
class News:
    """A call-back, with the values that matter."""

    id: str
    provider: str
    state: State
    share: float | None
    result: bytes


def news_from(body: bytes) -> News:
    told = ujson.loads(body)
    share, result = told.get("share"), told.get("result")
    if not isinstance(told["id"], str) or not isinstance(told["from"], str):
        raise ValueError("id and from must be strings")
    if result is None:
        data = b""
    else:
        data = result.encode() if isinstance(result, str) else ujson.dumps(result).encode()
    return News(told["id"], told["from"], State(told["state"]), None if share is None else float(share), data)


def figures(info: bytes) -> dict[str, float]:
    """`name=value,name=value` with the values that are numbers."""
    found: dict[str, float] = {}
    for pair in info.split(b","):
        name, _, value = pair.strip().partition(b"=")
        try:
            found[name.decode()] = float(value)
        except ValueError:
            continue
    return found


class ConsumerConnection(Protocol):
    """One connection to the listener; it carries one request at a time."""

    transport: Any

    def __init__(self, listener: Listener) -> None:
        self.listener = listener
        self.reader = http1.RequestReader()
        self.begun_at = 0.0  # when the message that is being read began
        self.idle_since = 0.0
        self.invocation: Invocation | None = None
        self.keep_alive = True  # of the request that is being answered
        self.open = False
        self.paused = False
        self.timer: Any = None

    def connectionMade(self) -> None:
        self.open = True
        self.transport.setTcpNoDelay(True)
        self.idle_since = self.listener.clock()
        self.listener.joined(self)

    def dataReceived(self, data: bytes) -> None:
        if not self.reader.begun:
            self.begun_at = self.listener.clock()
        self.reader.feed(data)
        if self.invocation is not None:
            if len(self.reader.buffer) > PENDING_LIMIT and not self.paused:
                self.paused = True
                self.transport.pauseProducing()
            return
        self.advance()

    def advance(self) -> None:
        """Take the requests that are whole, up to one that has to wait for its answer."""
        while self.open and self.invocation is None:
            try:
                message = self.reader.next()
                self._continue()
            except http1.HttpError as error:
                self.keep_alive = False
                self.answer(error.status, str(error).encode())
                return
            if not isinstance(message, http1.Request):
                break
            self.keep_alive = message.keep_alive
            try:
                self.listener.serve(self, message)
            except Exception:
                log.exception("request failed", extra={"kv": {"target": message.target.decode("latin-1")}})
                self.keep_alive = False
                self.answer(500)
                return
            self.begun_at = self.listener.clock()
        self._watch_time()

    def _continue(self) -> None:
        head = self.reader.awaited()
        if head is not None and head.headers.pop(b"expect", b"").lower() == b"100-continue":
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _watch_time(self) -> None:
        """A message that has begun must end in time."""
        late = self.open and self.invocation is None and self.reader.begun
        if late and self.timer is None:
            self.timer = self.listener.reactor.callLater(MESSAGE_WITHIN, self._too_slow)
        elif not late and self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _too_slow(self) -> None:
        self.timer = None
        self.keep_alive = False
        self.answer(408)

    @property
    def idle(self) -> bool:
        return self.open and self.invocation is None and not self.reader.begun

    def answer(self, status: int, body: bytes = b"", headers: tuple[tuple[bytes, bytes], ...] = ()) -> None:
        """Write the answer that is due on this connection."""
        self.invocation = None
        if not self.open:
            return
        keep = self.keep_alive and not self.listener.stopping and self.listener.accepting
        self.transport.write(http1.response(status, body, headers, keep))
        self.idle_since = self.listener.clock()
        if not keep:
            self.close()

    def close(self) -> None:
        if self.open:
            self.open = False
            self._watch_time()
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.open = False
        self._watch_time()
        invocation, self.invocation = self.invocation, None
        if invocation is not None:
            self.listener.broker.withdraw(invocation)
        self.listener.left(self)

    # ---- the broker's Consumer

    def served(self, result: bytes) -> None:
        self._reply(200, result)

    def rejected(self, retry_after: float) -> None:
        self._reply(503, b"", ((b"Retry-After", b"%.3f" % (max(retry_after, 0.0) / 1000.0)),))

    def failed(self) -> None:
        self._reply(500)

    def _reply(self, status: int, body: bytes = b"", headers: tuple[tuple[bytes, bytes], ...] = ()) -> None:
        self.answer(status, body, headers)
        if self.paused and self.open:
            self.paused = False
            self.transport.resumeProducing()
        if self.reader.begun:  # what came meanwhile; not at once, for the broker is busy
            self.listener.reactor.callLater(0, self.advance)


class _Port(Port):
    """Accepts a few connections at a time. Twisted's own rule lets that number grow past the socket limit."""

    numberAccepts = property(lambda self: BURST, lambda self, value: None)


class Listener(Factory):
    """All connections to the node's address."""

    noisy = False

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        broker: Broker,
        sockets: Sockets,
        classes: tuple[m.JobClass, ...],
        is_ready: Callable[[], bool],
        retry_after: Callable[[float, str], float],
    ) -> None:
        self.reactor, self.clock, self.broker, self.sockets = reactor, clock, broker, sockets
        self.classes = {c.name.encode(): c for c in classes}
        self.is_ready, self.retry_after = is_ready, retry_after
        self.connections: dict[ConsumerConnection, None] = {}
        self.stopping = False
        self.port: Any = None
        self.accepting = True
        self._looking = False  # a look for idle connections is due

    def listen(self, host: str, port: int) -> None:
        factory: Any = self
        self.port = _Port(port, factory, BACKLOG, host, self.reactor)
        self.port.startListening()

    @property
    def address(self) -> str:
        """Where it listens; the port may have been left to the system."""
        where = self.port.getHost()
        return f"{where.host}:{where.port}"

    def buildProtocol(self, addr: IAddress | None) -> Protocol:
        return ConsumerConnection(self)

    def joined(self, connection: ConsumerConnection) -> None:
        self.connections[connection] = None
        self.sockets.consumers += 1
        self._make_room()

    def left(self, connection: ConsumerConnection) -> None:
        if self.connections.pop(connection, connection) is None:
            self.sockets.consumers -= 1
        self._accept(not self.sockets.consumers_full())

    def _accept(self, on: bool) -> None:
        if on == self.accepting:
            return
        self.accepting = on
        if on:
            self.port.startReading()
        else:
            log.warning("accepting paused", extra={"kv": {"connections": len(self.connections)}})
            self.port.stopReading()

    def _make_room(self) -> None:
        """At the limit nothing more is accepted until those idle for longest have gone.

        One idle for a moment only is spared: its request may be on the way."""
        self._accept(not self.sockets.consumers_full())
        if self.accepting or self._looking:
            return
        self._close_idle_since(self.clock() - SPARED, BURST)
        self._looking = True
        self.reactor.callLater(LOOK_AGAIN, self._look_again)

    def _close_idle_since(self, before: float, most: int | None = None) -> None:
        idle = [c for c in self.connections if c.idle and c.idle_since <= before]
        for connection in sorted(idle, key=lambda c: c.idle_since)[:most]:
            connection.close()

    def _look_again(self) -> None:
        self._looking = False
        self._make_room()

    # ---- requests

    def serve(self, connection: ConsumerConnection, message: http1.Request) -> None:
        path = message.path
        if path == NEWS_PATH:
            self._news(connection, message)
        elif path == READY_PATH:
            if message.method != b"GET":
                connection.answer(405, b"", ((b"Allow", b"GET"),))
            else:
                connection.answer(200 if self.is_ready() and not self.stopping else 503)
        elif path.split(b"/", 2)[1] not in self.classes:
            connection.answer(404)
        elif message.method != b"POST":
            connection.answer(405, b"", ((b"Allow", b"POST"),))
        else:
            self._invoke(connection, message)

    def _news(self, connection: ConsumerConnection, message: http1.Request) -> None:
        if message.method != b"POST":
            connection.answer(405, b"", ((b"Allow", b"POST"),))
            return
        try:
            news = news_from(message.body)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            connection.answer(400, str(error).encode())
            return
        self.broker.news(news.id, news.provider, news.state, news.share, news.result)
        connection.answer(204)

    def _invoke(self, connection: ConsumerConnection, message: http1.Request) -> None:
        headers, name = message.headers, message.path.split(b"/", 2)[1]
        spec = self.classes[name]
        id, budget = headers.get(b"x-call-id", b""), headers.get(b"x-budget-ms", b"")
        if not _ID.fullmatch(id):
            connection.answer(400, b"X-Call-Id is missing or malformed")
        elif headers.get(b"x-call-class", name) != name:
            connection.answer(400, b"X-Call-Class differs from the path")
        elif budget and not _BUDGET.fullmatch(budget):
            connection.answer(400, b"X-Budget-Ms is malformed")
        elif self.broker.knows(id.decode()):
            connection.answer(409, b"X-Call-Id is in use")
        elif self.broker.waiting >= self.sockets.invocations:
            # Those that wait need sockets for their call-backs; the connection goes, to make room.
            connection.keep_alive = False
            connection.rejected(self.retry_after(self.clock(), spec.name))
            self.broker.counts["no_room"] += 1
        else:
            key = headers.get(b"x-route-hash", b"")
            info = figures(headers[b"x-call-info"]) if b"x-call-info" in headers else {}
            invocation = Invocation(
                id.decode(),
                spec.name,
                connection.begun_at + (float(budget) if budget else spec.give_up),
                connection,
                message,
                int(key, 16) % 2**53 if _KEY.fullmatch(key) else None,
                info.get("work"),
                info.get("slots", 1.0),
                info.get("mem", 0.0),
                headers.get(b"x-again") == b"1",
            )
            connection.invocation = invocation
            self.broker.invoke(invocation)

    # ---- the end

    def stop(self) -> None:
        """Answers say from now on that the connection closes; idle ones follow when no new ones come."""
        self.stopping = True
        self.reactor.callLater(NEW_ONES_ARRIVE, self._close_idle)

    def _close_idle(self) -> None:
        self._close_idle_since(self.clock() - FRESH)
        self.reactor.callLater(LOOK_AGAIN, self._close_idle)
