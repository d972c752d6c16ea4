"""The listener: requests from clients, call-backs from endpoints, and `/ready`."""

from __future__ import annotations

import os
import re
from collections import OrderedDict
from collections.abc import Callable
from functools import partial
from socket import AF_INET
from typing import Any

import structlog
import ujson
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from bitternpath.balancer import messages as m
from bitternpath.balancer.core.broker import Broker
from bitternpath.balancer.core.clock import Clock
from bitternpath.balancer.core.lifecycle import NEW_ONES_ARRIVE, LifeCycle, held, last_answer
from bitternpath.balancer.core.requests import (
    ID_LIMIT,
    AcceptedRequest,
    CallReport,
    CallState,
    parse_call_info,
)
from bitternpath.net import http1
from bitternpath.net.sockets import BURST, BurstPort, Sockets, peek

log = structlog.get_logger(part="front")

CALLBACK_PATH, READY_PATH = b"/_jobs/news", b"/ready"
# ms from connecting to the end of the first message, and from the first byte of a later one to its last: who
# sends nothing of use is owed an error or a close within 3 s, and a look every 0.25 s finds it in time.
MESSAGE_WITHIN = 2250.0
LOOK_FOR_SLOW = 0.25  # s
# After an error the rest of what the client sends is read and dropped, for a close with unread input would
# reset the connection and destroy the answer: all of a body of 60 MB, and for as long as that may take.
LINGER_FOR, LINGER_BYTES = 3000.0, 64 << 20  # ms, bytes
# Bytes kept ahead of the answer that is due. More is read and dropped, for one that is not read is not heard
# to close either; the request that it cuts off is answered as too large, and ends the connection.
PENDING_LIMIT = 2 * http1.BODY_LIMIT
BACKLOG = 1024
SPARED = 100.0  # ms: connections idle for less are not closed to make room, their request may be on the way
FRESH = 100.0  # ms: at the end, connections idle for less are not closed, for the same reason
LOOK_AGAIN = 0.1  # s between looks for such connections

_ID = re.compile(rb"[\x21-\x7e]{1,%d}" % ID_LIMIT)
_BUDGET = re.compile(rb"[0-9]{1,9}")
_KEY = re.compile(rb"[0-9A-Fa-f]{1,16}")


def parse_call_report(body: bytes) -> CallReport:
    told = ujson.loads(body)
    share, result = told.get("share"), told.get("result")
    if not isinstance(told["id"], str) or not isinstance(told["from"], str):
        raise ValueError("id and from must be strings")
    if result is None:
        data = b""
    else:
        data = result.encode() if isinstance(result, str) else ujson.dumps(result).encode()
    return CallReport(
        told["id"], told["from"], CallState(told["state"]), None if share is None else float(share), data
    )


class ClientConnection(Protocol):
    """One connection to the listener; it carries one request at a time."""

    transport: Any

    def __init__(self, listener: Listener) -> None:
        self.listener = listener
        self.reader = http1.RequestReader()
        self.begun_at = 0.0  # when the message that is being read began
        self.idle_since = 0.0
        self.request: AcceptedRequest | None = None
        self.keep_alive = True  # of the request that is being answered
        self.open = False
        self.cut = False  # more came ahead of an answer than is kept
        self.answered = False  # at least once
        self.relayed = False  # a call-back of it is on its way to another process of this node
        self.only_news = True  # has carried no request
        self.dropped = 0  # bytes read and thrown away: beyond what is kept, and after the last answer

    def connectionMade(self) -> None:
        self.open = True
        self.transport.setTcpNoDelay(True)
        self.idle_since = self.listener.clock()
        self.listener.joined(self)

    def dataReceived(self, data: bytes) -> None:
        if not self.open or self.cut:
            self._drop(data)
            return
        if not self.reader.begun:
            self.begun_at = self.listener.clock()
            if self.answered and not self.busy:
                self.listener.rests(self)
        room = max(PENDING_LIMIT - len(self.reader.buffer), 0)
        if self.busy and len(data) > room:
            self.cut = True
            self._drop(data[room:])
            data = data[:room]
        self.reader.feed(data)
        if not self.busy:
            self.advance()

    def _drop(self, data: bytes) -> None:
        self.dropped += len(data)
        if self.dropped > LINGER_BYTES:
            self.transport.abortConnection()

    def advance(self) -> None:
        """Take the requests that are whole, up to one that has to wait for its answer."""
        while self.open and not self.busy:
            try:
                message = self.reader.next()
                self._continue()
            except http1.HttpError as error:
                self.keep_alive = False
                self.answer(error.status, str(error).encode())
                return
            if not isinstance(message, http1.Request):
                if self.cut:
                    self.keep_alive = False
                    self.answer(413, b"too much ahead of an answer")
                break
            self.keep_alive = message.keep_alive
            try:
                self.listener.serve(self, message)
            except Exception:
                log.exception("request failed", target=message.target.decode("latin-1"))
                self.keep_alive = False
                self.answer(500)
                return
            self.begun_at = self.listener.clock()

    def _continue(self) -> None:
        head = self.reader.awaited()
        if head is not None and head.headers.pop(b"expect", b"").lower() == b"100-continue":
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    @property
    def since(self) -> float:
        """When it was last heard of: connecting, its last answer, or the begin of a message after that."""
        return max(self.idle_since, self.begun_at) if self.answered else self.idle_since

    def check_time(self, now: float) -> None:
        """A message must end in time; trickling renews nothing. Only one answered before may stay idle."""
        if not self.open or self.busy or self.since + MESSAGE_WITHIN > now:
            return
        if self.reader.begun:
            self.keep_alive = False
            self.answer(408)
        elif not self.answered:
            self.drop()

    @property
    def busy(self) -> bool:
        """Whether an answer is due that others have to give."""
        return self.request is not None or self.relayed

    @property
    def idle(self) -> bool:
        return self.open and not self.busy and not self.reader.begun

    def answer(self, status: int, body: bytes = b"", headers: tuple[tuple[bytes, bytes], ...] = ()) -> None:
        """Write the answer that is due on this connection."""
        self.request, self.relayed = None, False
        if not self.open:
            return
        keep = self.keep_alive and self.listener.life.does.keeps and self.listener.accepting
        self.transport.write(http1.response(status, body, headers, keep))
        self.answered = True
        self.idle_since = self.listener.clock()
        if keep:
            self.listener.rests(self)
        else:
            self.close()

    def close(self) -> None:
        """After an answer: what the client still sends is read and dropped for a while."""
        if self.open:
            self.open = False
            self.reader = http1.RequestReader()  # what it held is of no more use
            self.transport.loseWriteConnection()
            self.listener.lingers(self)

    def drop(self) -> None:
        """Where no answer is due: the socket is free at once."""
        self.open = False
        self.listener.goes(self)
        self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.open = False
        request, self.request = self.request, None
        if request is not None:
            self.listener.broker.withdraw(request)
        self.listener.left(self)

    def gone(self) -> bool:
        """Whether the client has closed; what the system knows counts, heard of or not."""
        return not self.open or peek(self.transport) == b""

    # ---- the broker's Consumer

    def served(self, result: bytes) -> None:
        self.reply(200, result)

    def rejected(self, retry_after: float) -> None:
        self.reply(503, b"", ((b"Retry-After", b"%.3f" % (max(retry_after, 0.0) / 1000.0)),))

    def failed(self) -> None:
        self.reply(500)

    def reply(self, status: int, body: bytes = b"", headers: tuple[tuple[bytes, bytes], ...] = ()) -> None:
        """Write an answer that was not given in the turn in which the request was read."""
        self.answer(status, body, headers)
        if self.reader.begun or self.cut:  # what came meanwhile; not at once, for the broker is busy
            self.listener.reactor.callLater(0, self.advance)


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
        retry_after: Callable[[str], float],
        life: LifeCycle,
    ) -> None:
        self.life = life
        # Passes news of what is not known here on to another process of this node; False where there is none.
        self.relay: Callable[[CallReport, Callable[[bool], None]], bool] = lambda report, then: False
        self.reactor, self.clock, self.broker, self.sockets = reactor, clock, broker, sockets
        self.set_classes(classes)
        self.is_ready, self.retry_after = is_ready, retry_after
        self.connections: dict[ClientConnection, None] = {}
        # Those that wait for no answer, and those answered for the last time; the oldest first.
        self.resting: OrderedDict[ClientConnection, None] = OrderedDict()
        self.lingering: OrderedDict[ClientConnection, None] = OrderedDict()
        self.going: set[ClientConnection] = set()  # told to close
        self.welcome: Callable[[], bool] = lambda: True  # whether others agree that clients are sent here
        self.stopped_at: float | None = None  # when the word to stop came
        self.port: Any = None
        self.accepting = True
        self._looking = False  # a look for idle connections is due

    def set_classes(self, classes: tuple[m.JobClass, ...]) -> None:
        """What is taken from now on; what was taken of a class that is gone is answered as owed."""
        self.classes = {c.name.encode(): c for c in classes}

    def listen(self, host: str, port: int, shared: bool = False, descriptor: int | None = None) -> None:
        """Listen there, or on the socket that another process of this node has handed over."""
        factory: Any = self
        if descriptor is None:
            self.port = BurstPort(port, factory, BACKLOG, host, self.reactor)
        else:
            adopt: Any = BurstPort._fromListeningDescriptor
            self.port = adopt(self.reactor, descriptor, AF_INET, factory)
            os.close(descriptor)
        self.port.shared = shared
        self.port.startListening()
        self.life.changed.append(self._accept_if_room)
        self._look_for_slow()

    def buildProtocol(self, addr: IAddress | None) -> Protocol:
        return ClientConnection(self)

    def joined(self, connection: ClientConnection) -> None:
        self.connections[connection] = self.resting[connection] = None
        self.sockets.clients += 1
        self._make_room()

    def left(self, connection: ClientConnection) -> None:
        if self.connections.pop(connection, connection) is None:
            self.sockets.clients -= 1
        self.resting.pop(connection, None)
        self.lingering.pop(connection, None)
        self.going.discard(connection)
        self._accept_if_room()

    def rests(self, connection: ClientConnection) -> None:
        self.resting[connection] = None
        self.resting.move_to_end(connection)

    def lingers(self, connection: ClientConnection) -> None:
        self.resting.pop(connection, None)
        self.lingering[connection] = None

    def goes(self, connection: ClientConnection) -> None:
        self.resting.pop(connection, None)
        self.lingering.pop(connection, None)
        self.going.add(connection)

    def _accept_if_room(self) -> None:
        self._accept(self.life.does.accepts and not self.sockets.clients_full())

    def _accept(self, on: bool) -> None:
        if on == self.accepting:
            return
        self.accepting = on
        if on:
            self.port.startReading()
        else:
            self.broker.counts["accepting_paused"] += 1
            self.port.stopReading()

    def _make_room(self) -> None:
        """Those that rest for longest go, so that there are sockets for the next ones to be accepted.

        One that has rested for a moment only is spared: its request may be on the way."""
        over = len(self.connections) - len(self.going) - (self.sockets.for_clients - BURST)
        before = self.clock() - SPARED
        for group in (self.lingering, self.resting):
            while over > 0 and group:
                oldest = next(iter(group))
                if oldest.since > before:
                    break
                oldest.drop()
                over -= 1
        self._accept_if_room()
        if not self.accepting and not self._looking:
            self._looking = True
            self.reactor.callLater(LOOK_AGAIN, self._look_again)

    def _look_again(self) -> None:
        self._looking = False
        self._make_room()

    def _look_for_slow(self) -> None:
        self.reactor.callLater(LOOK_FOR_SLOW, self._look_for_slow)
        now = self.clock()
        for connection in list(self.resting):
            connection.check_time(now)
        for connection in list(self.lingering):
            if connection.since + LINGER_FOR > now:
                break
            connection.drop()

    # ---- requests

    def serve(self, connection: ClientConnection, message: http1.Request) -> None:
        path = message.path
        if path == CALLBACK_PATH:
            self._serve_callback(connection, message)
        elif path == READY_PATH:
            if message.method != b"GET":
                connection.answer(405, b"", ((b"Allow", b"GET"),))
            else:
                yes = self.is_ready() and self.life.does.welcome and self.welcome()
                connection.answer(200 if yes else 503)
        elif path.split(b"/", 2)[1] not in self.classes:
            connection.answer(404)
        elif message.method != b"POST":
            connection.answer(405, b"", ((b"Allow", b"POST"),))
        else:
            self._invoke(connection, message)

    def _serve_callback(self, connection: ClientConnection, message: http1.Request) -> None:
        if message.method != b"POST":
            connection.answer(405, b"", ((b"Allow", b"POST"),))
            return
        try:
            report = parse_call_report(message.body)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            connection.answer(400, str(error).encode())
            return
        if self.broker.call_reported(report) or not self.relay(report, partial(self._relayed, connection)):
            connection.answer(204)
        else:
            connection.relayed = True
            self.resting.pop(connection, None)

    @staticmethod
    def _relayed(connection: ClientConnection, ok: bool) -> None:
        if not ok:
            connection.keep_alive = False  # the endpoint comes again, perhaps to the other process
        connection.reply(204 if ok else 503)

    def _invoke(self, connection: ClientConnection, message: http1.Request) -> None:
        headers, name = message.headers, message.path.split(b"/", 2)[1]
        spec = self.classes[name]
        id, budget = headers.get(b"x-call-id", b""), headers.get(b"x-budget-ms")
        if not _ID.fullmatch(id):
            connection.answer(400, b"X-Call-Id is missing or malformed")
        elif headers.get(b"x-call-class", name) != name:
            connection.answer(400, b"X-Call-Class differs from the path")
        elif budget is not None and not _BUDGET.fullmatch(budget):
            connection.answer(400, b"X-Budget-Ms is malformed")
        elif self.broker.knows(id.decode()):
            connection.answer(409, b"X-Call-Id is in use")
        elif self.broker.waiting >= self.sockets.requests:
            # Those that wait need sockets for their call-backs; the connection goes, to make room.
            connection.keep_alive = False
            connection.rejected(self.retry_after(spec.name))
            self.broker.counts["no_room"] += 1
            self.broker.statistics.ended(spec.name, "rejected")
        else:
            key = headers.get(b"x-route-hash", b"")
            info = parse_call_info(headers[b"x-call-info"]) if b"x-call-info" in headers else {}
            request = AcceptedRequest(
                id.decode(),
                spec.name,
                connection.begun_at + (spec.give_up if budget is None else float(budget)),
                connection,
                message,
                int(key, 16) % 2**53 if _KEY.fullmatch(key) else None,
                info.get("work"),
                info.get("slots", 1.0),
                info.get("mem", 0.0),
                headers.get(b"x-again") == b"1",
            )
            connection.request, connection.only_news = request, False
            self.resting.pop(connection, None)
            self.broker.submit(request)

    # ---- the end

    def stop(self) -> None:
        """Idle connections are closed as soon as the life cycle has it so."""
        self.stopped_at = self.clock()
        self.broker.answer_by = self.stopped_at + last_answer(self._longest)
        self.reactor.callLater(NEW_ONES_ARRIVE / 1000.0, self._close_idle)

    @property
    def held(self) -> bool:
        """Whether clients hold connections that may yet be used."""
        over = self.stopped_at is not None and self.clock() > self.stopped_at + held(self._longest)
        return not over and any(c.open and not c.only_news for c in self.connections)

    @property
    def _longest(self) -> float:
        """The longest deadline, in ms."""
        return max(c.give_up for c in self.classes.values())

    def _close_idle(self) -> None:
        self.reactor.callLater(LOOK_AGAIN, self._close_idle)
        if not self.life.does.drops_idle and self.held:
            return
        before = self.clock() - FRESH
        for connection in [c for c in self.resting if c.idle and c.since <= before]:
            connection.drop()
