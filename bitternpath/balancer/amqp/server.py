"""The AMQP listener and its connections: the part of `amqp/` that touches Twisted.

Reading is bounded by turns: so many events of a connection, then the others have theirs. A publisher is
not read while it, or all of them together, have as many requests waiting as the operators allow;
connections with subscribers always are, for acknowledgements come that way: there, what is too much is
refused at once."""

from __future__ import annotations

import re
import struct
from collections.abc import Callable
from typing import Any

import structlog
from pamqp import commands as c
from pamqp import decode
from twisted.internet.interfaces import IAddress, IPullProducer
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.internet.threads import deferToThread
from twisted.python.failure import Failure
from zope.interface import implementer

from bitternpath.balancer.amqp import errors as e
from bitternpath.balancer.amqp import machine as mc
from bitternpath.balancer.amqp.frames import HEARTBEAT_FRAME, scan_table
from bitternpath.balancer.amqp.outbox import Outbox
from bitternpath.balancer.amqp.publishers import Publishers
from bitternpath.balancer.amqp.session import Bounds, Session
from bitternpath.balancer.amqp.subscribers import Delivery, Subscribers
from bitternpath.balancer.config.operator import Amqp, User
from bitternpath.balancer.config.passwords import NOBODY, matches
from bitternpath.balancer.core.broker import Broker
from bitternpath.net.sockets import BurstPort

log = structlog.get_logger(part="amqp")

TURN = 64  # events of one connection before the others have their turn
LOGIN_WITHIN = 3000.0  # ms from connecting to an accepted login
CLOSE_WITHIN = 2000.0  # ms for the answer to our close
LOOK = 0.25  # s between looks for those that have run out of time, and for heartbeats due
LOGINS_AT_ONCE = 2  # passwords hashed at a time: each takes 16 MB and a core for some 50 ms
LOGINS_WAITING = 64  # beyond these a login is refused
READ_AHEAD = 256 * 1024  # bytes read and not looked at yet
FIRST_READ_AHEAD = 16 * 1024  # the same of those that have not logged in
EASED = 0.75  # of a bound that was reached: where publishers are read again
BACKLOG = 256
HELD_FOR = 1.0  # s after the signal to end in which subscribers may still get what was taken and not sent
LOOK_AGAIN = 0.05  # s
_LOOPBACK = re.compile(r"127\..*|::1|::ffff:127\..*")


def credentials(mechanism: str, response: bytes) -> tuple[str, bytes] | None:
    """The user and the password of PLAIN (RFC 4616) or AMQPLAIN (a field table without its length)."""
    if mechanism == "PLAIN":
        parts = response.split(b"\x00")
        if len(parts) != 3:
            return None
        return parts[1].decode("utf-8", "replace"), parts[2]
    if mechanism == "AMQPLAIN":
        data = struct.pack(">I", len(response)) + response
        try:
            scan_table(data, 0, len(data))
            table: Any = decode.field_table(data)[1]
            return str(table["LOGIN"]), str(table["PASSWORD"]).encode()
        except (ValueError, KeyError, IndexError):
            return None
    return None


@implementer(IPullProducer)
class AmqpConnection(Protocol):
    """One connection."""

    transport: Any

    def __init__(self, server: AmqpServer, number: int, host: str) -> None:
        self.server, self.host = server, host
        self.outbox = Outbox()
        self.machine = mc.Machine(server.limits(), self.outbox)
        self.session = Session(
            number, self.machine, self.outbox, server.publishers, server.subscribers, server.queues,
            server.bounds, self._changed,
        )  # fmt: skip
        self.begun_at = self.heard_at = self.said_at = 0.0
        self.closing_at = 0.0  # when our close was said
        self.reading = True
        self.writing = False  # a piece is on its way
        self.blocked = False  # connection.blocked has been told
        self.up = False
        self.ended = self.dropped = False
        self._turning = False

    def connectionMade(self) -> None:
        self.up = True
        self.transport.setTcpNoDelay(True)
        self.begun_at = self.heard_at = self.said_at = self.server.clock()
        self.server.connections[self] = None

    # ---- reading

    def dataReceived(self, data: bytes) -> None:
        self.heard_at = self.server.clock()
        self.machine.feed(data)
        if not self._turning:
            self.turn()

    def turn(self) -> None:
        """Look at what has come, as much as a turn allows."""
        self._turning = False
        for _ in range(TURN):
            if not self.up or self._held_back():
                break
            event = self.machine.next()
            if event is None:
                break
            if isinstance(event, mc.Login):
                self.server.log_in(self, event)
            else:
                self.session.handle(event)
        else:
            self._turn_again()
        self._settle()

    def _turn_again(self) -> None:
        if not self._turning:
            self._turning = True
            self.server.reactor.callLater(0, self._next_turn)

    def _next_turn(self) -> None:
        if self._turning:
            self.turn()

    def _held_back(self) -> bool:
        """Whether nothing more of this publisher is looked at for now."""
        session, publishers = self.session, self.server.publishers
        if not session.published or session.subscribes:
            return False
        return session.waiting >= self.server.settings.publisher_waiting or publishers.full

    def _settle(self) -> None:
        """After a turn: end, hold back, or read on."""
        phase = self.machine.phase
        if phase is mc.Phase.CLOSED or phase is mc.Phase.CLOSING:
            self._end_session()
            if phase is mc.Phase.CLOSING and not self.closing_at:
                self.closing_at = self.server.clock()
                self._log_failure()
        held = self._held_back()
        ahead = READ_AHEAD if self.machine.authenticated else FIRST_READ_AHEAD
        self._read(not held and len(self.machine.buffer) <= ahead)
        if held and self.server.publishers.full:
            self._tell_blocked(True)
        self.flush()

    def _log_failure(self) -> None:
        failed = self.machine.failed
        if failed is not None:
            self.server.counts["errors"] += 1
            log.warning("amqp_error", peer=self.host, code=failed.code, why=str(failed))

    def _read(self, on: bool) -> None:
        if on != self.reading and self.up:
            self.reading = on
            if on:
                self.server.held.pop(self, None)
                self.transport.resumeProducing()
            else:
                self.server.held[self] = None
                self.transport.pauseProducing()

    def _tell_blocked(self, on: bool) -> None:
        if on != self.blocked and self.machine.capabilities.get("connection.blocked"):
            self.blocked = on
            told: Any = c.Connection.Blocked("the node is full") if on else c.Connection.Unblocked()
            if self.machine.phase is mc.Phase.OPEN:
                self.machine.say(0, told)

    def ease(self) -> None:
        """Answers were given: go on where this connection was held back, if there is room now."""
        settings, publishers = self.server.settings, self.server.publishers
        if self.reading or publishers.waiting > EASED * publishers.max_waiting:
            return
        if self.session.waiting <= EASED * settings.publisher_waiting:
            self._tell_blocked(False)
            self._turn_again()

    # ---- writing

    def _changed(self) -> None:
        self.server.touched(self)

    def flush(self) -> None:
        """Hand over what waits, one piece at a time, so that it is known what has left."""
        if not self.up or self.dropped:
            return
        if not self.writing and self.outbox.size:
            self.writing = True
            # As a producer it hears when all that was handed over has been written.
            self.transport.registerProducer(self, False)
        elif not self.outbox.size and self.machine.phase is mc.Phase.CLOSED:
            self.transport.loseConnection()
        if self.outbox.size > self.server.settings.unread_bytes:
            self.server.counts["slow_readers"] += 1
            self.abort("reads too slowly")

    def resumeProducing(self) -> None:
        """All that was handed over has been written."""
        for mark in self.outbox.written():
            if isinstance(mark, Delivery):
                self.server.subscribers.left(mark)
        data = self.outbox.take()
        if data:
            self.said_at = self.server.clock()
            self.transport.write(data)
            return
        if self.outbox.size:  # what waits has been taken back: nothing to write, but to be counted off
            self.outbox.written()
        self.writing = False
        self.transport.unregisterProducer()
        if self.machine.phase is mc.Phase.CLOSED:
            self.transport.loseConnection()

    def stopProducing(self) -> None:
        """The connection is going down; connectionLost tells the rest."""

    # ---- time

    def look(self, now: float) -> None:
        """Heartbeats (specification 4.2.7), and those that are slow to log in or to close."""
        machine = self.machine
        if not machine.authenticated and now > self.begun_at + LOGIN_WITHIN:
            self.server.counts["logins_late"] += 1
            self.abort("no login in time")
            return
        closing = machine.phase in (mc.Phase.CLOSING, mc.Phase.CLOSED)
        if closing:
            self.closing_at = self.closing_at or now
            if now > self.closing_at + CLOSE_WITHIN:
                self.abort("no answer to the close")
            return
        every = machine.heartbeat * 1000.0
        if not every or not machine.authenticated:
            return
        if not self.reading:
            self.heard_at = now  # it is we who do not listen
        if now > self.heard_at + 2 * every:
            self.server.counts["heartbeats_missed"] += 1
            self.abort("two heartbeats missed")
        elif now > self.said_at + every / 2:
            self.said_at = now
            self.outbox.add(HEARTBEAT_FRAME)
            self.flush()

    # ---- the end

    def close(self, code: int, why: str) -> None:
        self.machine.close(code, f"{e.NAMES[code]} - {why}")
        self._settle()

    def abort(self, why: str) -> None:
        if self.up and not self.dropped:
            self.dropped = True
            log.info("amqp_connection_dropped", peer=self.host, why=why)
            self._end_session()
            self.transport.abortConnection()

    def _end_session(self) -> None:
        if not self.ended:
            self.ended = True
            self.session.end()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.up = False
        self._end_session()
        self.machine.phase = mc.Phase.CLOSED
        self.server.left(self)


class AmqpServer(Factory):
    """The listener, and what its connections share."""

    noisy = False

    def __init__(
        self,
        reactor: Any,
        clock: Callable[[], float],
        settings: Amqp,
        publishers: Publishers,
        subscribers: Subscribers,
        broker: Broker,
        room: Callable[[], int],
    ) -> None:
        self.reactor, self.clock, self.broker, self.room = reactor, clock, broker, room
        self.publishers, self.subscribers, self.queues = publishers, subscribers, publishers.queues
        self.connections: dict[AmqpConnection, None] = {}
        self.counts = publishers.counts
        self.stopping = False
        self.port: Any = None
        self._numbers = 0
        self._touched: dict[AmqpConnection, None] = {}
        self.held: dict[AmqpConnection, None] = {}  # those that are not read for now
        self._logins: list[tuple[AmqpConnection, mc.Login]] = []
        self._logging_in = 0
        self.apply(settings)

    def apply(self, settings: Amqp) -> None:
        """Settings as they are now; limits hold for connections that come from now on."""
        self.settings = settings
        self.bounds = Bounds(settings.subscribers, settings.reply_queues, settings.reply_queue_bytes)
        self.subscribers.prefetch_cap = settings.prefetch_cap
        self.subscribers.requeue_unstarted = frozenset(settings.requeue_unstarted)
        # Other fronts turn away what comes while the core holds `room`: half of it stays theirs.
        self.publishers.max_waiting = max(min(settings.max_waiting, self.room() // 2), 1)

    def limits(self) -> mc.Limits:
        told = self.settings
        return mc.Limits(told.channel_max, told.frame_max, told.heartbeat, tuple(told.vhosts))

    def listen(self, host: str, port: int) -> None:
        factory: Any = self
        self.port = BurstPort(port, factory, BACKLOG, host, self.reactor)
        self.port.startListening()
        log.info("amqp_listening", address=self.port.address)
        self.reactor.callLater(LOOK, self._look)

    def buildProtocol(self, addr: IAddress | None) -> Protocol | None:
        if self.stopping or len(self.connections) >= self.settings.max_connections:
            self.counts["connections_refused"] += 1
            return None
        self._numbers += 1
        return AmqpConnection(self, self._numbers, getattr(addr, "host", ""))

    def report(self) -> dict[str, object]:
        """For the line of counts."""
        told: dict[str, object] = {"amqp_connections": len(self.connections)}
        told |= {
            "amqp_waiting": self.publishers.waiting,
            "amqp_subscribers": len(self.subscribers.by_endpoint),
        }
        return told | {f"amqp_{key}": n for key, n in sorted((self.counts + self.subscribers.counts).items())}

    def left(self, connection: AmqpConnection) -> None:
        self.connections.pop(connection, None)
        self._touched.pop(connection, None)
        self.held.pop(connection, None)

    def _look(self) -> None:
        self.reactor.callLater(LOOK, self._look)
        now = self.clock()
        for connection in list(self.connections):
            connection.look(now)

    # ---- writing in batches

    def touched(self, connection: AmqpConnection) -> None:
        """It has something to write, or room again: looked at once this batch is done."""
        if not self._touched:
            self.reactor.callLater(0, self._flush)
        self._touched[connection] = None

    def _flush(self) -> None:
        touched, self._touched = list(self._touched), {}
        for connection in touched:
            connection.flush()
        for connection in list(self.held):
            connection.ease()

    # ---- logins

    def log_in(self, connection: AmqpConnection, login: mc.Login) -> None:
        if len(self._logins) >= LOGINS_WAITING:
            self._refuse(connection)
            return
        self._logins.append((connection, login))
        self._next_login()

    def _next_login(self) -> None:
        while self._logins and self._logging_in < LOGINS_AT_ONCE:
            connection, login = self._logins.pop(0)
            if not connection.up:
                continue
            told = credentials(login.mechanism, login.response)
            users = self.settings.users
            if told is None:
                self._refuse(connection)
            elif not users:
                if told == ("guest", b"guest") and _LOOPBACK.fullmatch(connection.host):
                    self._admit(connection, tuple(self.settings.vhosts))
                else:
                    self._refuse(connection)
            else:
                self._hash(connection, users.get(told[0]), told[1])

    def _hash(self, connection: AmqpConnection, user: User | None, password: bytes) -> None:
        """In a thread: the hash is slow on purpose. An unknown user takes as long as a known one."""
        self._logging_in += 1
        stored = user.password if user is not None else NOBODY
        done = deferToThread(matches, password, stored)

        def hashed(well: bool) -> None:
            if well and user is not None:
                allowed = tuple(v for v in user.vhosts if v in self.settings.vhosts)
                self._admit(connection, allowed)
            else:
                self._refuse(connection)

        def over(result: Any) -> None:
            self._logging_in -= 1
            if isinstance(result, Failure):
                log.error("amqp_login_check_failed", why=result.getErrorMessage())
                self._refuse(connection)
            self._next_login()

        done.addCallback(hashed)
        done.addBoth(over)

    def _admit(self, connection: AmqpConnection, vhosts: tuple[str, ...]) -> None:
        if connection.up and connection.machine.phase is mc.Phase.LOGIN:
            connection.machine.login(vhosts)
            connection.turn()

    def _refuse(self, connection: AmqpConnection) -> None:
        self.counts["logins_refused"] += 1
        if connection.up and connection.machine.phase is mc.Phase.LOGIN:
            connection.machine.refuse_login()
            connection.turn()

    # ---- the end

    def stop(self) -> None:
        """The node is ending: nothing new is taken, and subscribers are cancelled once nothing waits for
        them."""
        self.stopping = self.publishers.stopping = True
        self.port.stopListening()
        self._cancel_when_sent(self.clock() + HELD_FOR * 1000.0)

    def _cancel_when_sent(self, latest: float) -> None:
        unsent = any(not i.answered and not i.calls for i in self.broker.in_progress.values())
        if unsent and self.clock() < latest:
            self.reactor.callLater(LOOK_AGAIN, self._cancel_when_sent, latest)
            return
        for connection in list(self.connections):
            connection.session.cancel_subscribers()

    def close(self) -> None:
        """All has been answered: say goodbye."""
        for connection in list(self.connections):
            if connection.machine.authenticated:
                connection.close(e.CONNECTION_FORCED, "the node is ending")
            else:
                connection.abort("the node is ending")
