"""AMQP listener and connections on Twisted.

Each connection processes a bounded number of events per turn, so that one cannot starve the others. A
publisher is not read while it alone, or all publishers together, have as many unanswered requests as the
settings allow. Connections with subscribers are always read, since acknowledgements arrive on them; excess
requests on such a connection are refused at once.
"""

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
from bitternpath.balancer.amqp import state_machine as sm
from bitternpath.balancer.amqp.frames import HEARTBEAT_FRAME, scan_table
from bitternpath.balancer.amqp.publishers import Publishers
from bitternpath.balancer.amqp.send_queue import SendQueue
from bitternpath.balancer.amqp.session import Session, SessionLimits
from bitternpath.balancer.amqp.subscribers import Delivery, Subscribers
from bitternpath.balancer.config.operator import Amqp, User
from bitternpath.balancer.config.passwords import DUMMY_HASH, verify_password
from bitternpath.balancer.core.broker import Broker
from bitternpath.net.sockets import BurstPort

log = structlog.get_logger(part="amqp")

EVENTS_PER_TURN = 64  # events of one connection per turn of the reactor
LOGIN_TIMEOUT = 3000.0  # ms from connecting to an accepted login
CLOSE_TIMEOUT = 2000.0  # ms for the peer to reply to connection.close
CHECK_INTERVAL = 0.25  # seconds between checks for timeouts and due heartbeats
MAX_CONCURRENT_LOGINS = 2  # each password hash takes 16 MB and a core for some 50 ms
MAX_QUEUED_LOGINS = 64  # further logins are refused
MAX_UNPROCESSED_BYTES = 256 * 1024  # bytes received and not processed; reading pauses above
MAX_UNPROCESSED_BYTES_BEFORE_LOGIN = 16 * 1024  # bytes; the limit before authentication
RESUME_FRACTION = 0.75  # share of a reached limit at which publishers are read again
BACKLOG = 256
# Seconds after the stop signal during which accepted requests may still be delivered to subscribers.
UNSENT_WORK_TIMEOUT = 1.0
UNSENT_WORK_POLL = 0.05  # seconds
_LOOPBACK = re.compile(r"127\..*|::1|::ffff:127\..*")


def credentials(mechanism: str, response: bytes) -> tuple[str, bytes] | None:
    """Return user and password of PLAIN (RFC 4616) or AMQPLAIN (a field table without its length)."""
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
    """One AMQP connection on a Twisted transport."""

    transport: Any

    def __init__(self, server: AmqpServer, number: int, host: str) -> None:
        self.server, self.host = server, host
        self.send_queue = SendQueue()
        self.machine = sm.ConnectionStateMachine(server.limits(), self.send_queue)
        self.session = Session(
            number, self.machine, self.send_queue, server.publishers, server.subscribers, server.queues,
            server.session_limits, self._schedule_flush,
        )  # fmt: skip
        self.connected_at = self.last_received_at = self.last_sent_at = 0.0
        self.closing_since = 0.0  # when connection.close was sent or the connection closed; 0: neither
        self.reading = True
        self.writing = False  # a chunk is being written
        self.blocked = False  # connection.blocked was sent
        self.is_connected = False
        self.session_ended = self.aborted = False
        self._turn_scheduled = False

    def connectionMade(self) -> None:
        self.is_connected = True
        self.transport.setTcpNoDelay(True)
        self.connected_at = self.last_received_at = self.last_sent_at = self.server.clock()
        self.server.connections[self] = None

    # ---- reading

    def dataReceived(self, data: bytes) -> None:
        self.last_received_at = self.server.clock()
        self.machine.feed(data)
        if not self._turn_scheduled:
            self.process_events()

    def process_events(self) -> None:
        """Process received events, at most EVENTS_PER_TURN."""
        self._turn_scheduled = False
        for _ in range(EVENTS_PER_TURN):
            if not self.is_connected or self._is_throttled():
                break
            event = self.machine.next()
            if event is None:
                break
            if isinstance(event, sm.LoginRequested):
                self.server.log_in(self, event)
            else:
                self.session.handle(event)
        else:
            self._schedule_turn()
        self._after_events()

    def _schedule_turn(self) -> None:
        if not self._turn_scheduled:
            self._turn_scheduled = True
            self.server.reactor.callLater(0, self._run_scheduled_turn)

    def _run_scheduled_turn(self) -> None:
        if self._turn_scheduled:
            self.process_events()

    def _is_throttled(self) -> bool:
        """Whether this publisher is not read for now; never for a connection with subscribers."""
        session, publishers = self.session, self.server.publishers
        if not session.has_published or session.has_active_work:
            return False
        return session.waiting >= self.server.settings.publisher_waiting or publishers.full

    def _after_events(self) -> None:
        """After a turn: end the session of a closed connection, pause or resume reading, and write."""
        phase = self.machine.phase
        if phase is sm.Phase.CLOSED or phase is sm.Phase.CLOSING:
            self._end_session()
            if phase is sm.Phase.CLOSING and not self.closing_since:
                self.closing_since = self.server.clock()
                self._log_failure()
        throttled = self._is_throttled()
        max_unprocessed = (
            MAX_UNPROCESSED_BYTES if self.machine.authenticated else MAX_UNPROCESSED_BYTES_BEFORE_LOGIN
        )
        self._set_reading(not throttled and len(self.machine.buffer) <= max_unprocessed)
        if throttled and self.server.publishers.full:
            self._notify_blocked(True)
        self.flush()

    def _log_failure(self) -> None:
        error = self.machine.error
        if error is not None:
            self.server.counts["errors"] += 1
            log.warning("amqp_error", peer=self.host, code=error.code, why=str(error))

    def _set_reading(self, enabled: bool) -> None:
        if enabled != self.reading and self.is_connected:
            self.reading = enabled
            if enabled:
                self.server.paused.pop(self, None)
                self.transport.resumeProducing()
            else:
                self.server.paused[self] = None
                self.transport.pauseProducing()

    def _notify_blocked(self, enabled: bool) -> None:
        if enabled != self.blocked and self.machine.capabilities.get("connection.blocked"):
            self.blocked = enabled
            method: Any = c.Connection.Blocked("the node is full") if enabled else c.Connection.Unblocked()
            if self.machine.phase is sm.Phase.OPEN:
                self.machine.send_method(0, method)

    def resume_if_capacity(self) -> None:
        """Resume a paused connection if the waiting requests fell below RESUME_FRACTION of both limits."""
        settings, publishers = self.server.settings, self.server.publishers
        if self.reading or publishers.waiting > RESUME_FRACTION * publishers.max_waiting:
            return
        if self.session.waiting <= RESUME_FRACTION * settings.publisher_waiting:
            self._notify_blocked(False)
            self._schedule_turn()

    # ---- writing

    def _schedule_flush(self) -> None:
        self.server.schedule_flush(self)

    def flush(self) -> None:
        """Start writing the send queue, one chunk at a time, so that each completed write is known."""
        if not self.is_connected or self.aborted:
            return
        if not self.writing and self.send_queue.size:
            self.writing = True
            # The transport calls resumeProducing of its producer once all submitted bytes are written.
            self.transport.registerProducer(self, False)
        elif not self.send_queue.size and self.machine.phase is sm.Phase.CLOSED:
            self.transport.loseConnection()
        if self.send_queue.size > self.server.settings.unread_bytes:
            self.server.counts["slow_readers"] += 1
            self.abort("unread output over the limit")

    def resumeProducing(self) -> None:
        """Confirm the written chunk and submit the next one."""
        for context in self.send_queue.chunk_written():
            if isinstance(context, Delivery):
                self.server.subscribers.delivery_written(context)
        data = self.send_queue.next_chunk()
        if data:
            self.last_sent_at = self.server.clock()
            self.transport.write(data)
            return
        if self.send_queue.size:  # only withdrawn entries wait: count them off without a write
            self.send_queue.chunk_written()
        self.writing = False
        self.transport.unregisterProducer()
        if self.machine.phase is sm.Phase.CLOSED:
            self.transport.loseConnection()

    def stopProducing(self) -> None:
        """Do nothing: connectionLost follows and ends the session."""

    # ---- time

    def check_timeouts(self, now: float) -> None:
        """Enforce the login and close timeouts, and send and check heartbeats (specification 4.2.7)."""
        machine = self.machine
        if not machine.authenticated and now > self.connected_at + LOGIN_TIMEOUT:
            self.server.counts["logins_late"] += 1
            self.abort("login timed out")
            return
        closing = machine.phase in (sm.Phase.CLOSING, sm.Phase.CLOSED)
        if closing:
            self.closing_since = self.closing_since or now
            if now > self.closing_since + CLOSE_TIMEOUT:
                self.abort("close timed out")
            return
        interval = machine.heartbeat * 1000.0
        if not interval or not machine.authenticated:
            return
        if not self.reading:
            self.last_received_at = now  # reading is paused on this side
        if now > self.last_received_at + 2 * interval:
            self.server.counts["heartbeats_missed"] += 1
            self.abort("two heartbeats missed")
        elif now > self.last_sent_at + interval / 2:
            self.last_sent_at = now
            self.send_queue.add(HEARTBEAT_FRAME)
            self.flush()

    # ---- the end

    def close(self, code: int, reason: str) -> None:
        self.machine.close(code, f"{e.REPLY_CODE_NAMES[code]} - {reason}")
        self._after_events()

    def abort(self, reason: str) -> None:
        if self.is_connected and not self.aborted:
            self.aborted = True
            log.info("amqp_connection_dropped", peer=self.host, why=reason)
            self._end_session()
            self.transport.abortConnection()

    def _end_session(self) -> None:
        if not self.session_ended:
            self.session_ended = True
            self.session.end()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.is_connected = False
        self._end_session()
        self.machine.phase = sm.Phase.CLOSED
        self.server.connection_lost(self)


class AmqpServer(Factory):
    """Listener, and the state that its connections share."""

    noisy = False

    def __init__(
        self,
        reactor: Any,
        clock: Callable[[], float],
        settings: Amqp,
        publishers: Publishers,
        subscribers: Subscribers,
        broker: Broker,
        capacity: Callable[[], int],
    ) -> None:
        self.reactor, self.clock, self.broker, self.capacity = reactor, clock, broker, capacity
        self.publishers, self.subscribers, self.queues = publishers, subscribers, publishers.queues
        self.connections: dict[AmqpConnection, None] = {}
        self.counts = publishers.counts
        self.stopping = False
        self.port: Any = None
        self._last_number = 0
        self._flush_pending: dict[AmqpConnection, None] = {}
        self.paused: dict[AmqpConnection, None] = {}  # connections that are not read for now
        self._queued_logins: list[tuple[AmqpConnection, sm.LoginRequested]] = []
        self._active_logins = 0
        self.apply(settings)

    def apply(self, settings: Amqp) -> None:
        """Apply new settings; limits of a connection apply to new connections only."""
        self.settings = settings
        self.session_limits = SessionLimits(
            settings.subscribers, settings.reply_queues, settings.reply_queue_bytes
        )
        self.subscribers.prefetch_cap = settings.prefetch_cap
        self.subscribers.requeue_unstarted = frozenset(settings.requeue_unstarted)
        # HTTP requests are refused while the core holds `capacity` requests; AMQP may use half of them.
        self.publishers.max_waiting = max(min(settings.max_waiting, self.capacity() // 2), 1)

    def limits(self) -> sm.Limits:
        settings = self.settings
        return sm.Limits(settings.channel_max, settings.frame_max, settings.heartbeat, tuple(settings.vhosts))

    def listen(self, host: str, port: int) -> None:
        factory: Any = self
        self.port = BurstPort(port, factory, BACKLOG, host, self.reactor)
        self.port.startListening()
        log.info("amqp_listening", address=self.port.address)
        self.reactor.callLater(CHECK_INTERVAL, self._check_connections)

    def buildProtocol(self, addr: IAddress | None) -> Protocol | None:
        if self.stopping or len(self.connections) >= self.settings.max_connections:
            self.counts["connections_refused"] += 1
            return None
        self._last_number += 1
        return AmqpConnection(self, self._last_number, getattr(addr, "host", ""))

    def report(self) -> dict[str, object]:
        """Return fields for the log event `counts`."""
        fields: dict[str, object] = {"amqp_connections": len(self.connections)}
        fields |= {
            "amqp_waiting": self.publishers.waiting,
            "amqp_subscribers": len(self.subscribers.by_endpoint),
        }
        return fields | {
            f"amqp_{key}": n for key, n in sorted((self.counts + self.subscribers.counts).items())
        }

    def connection_lost(self, connection: AmqpConnection) -> None:
        self.connections.pop(connection, None)
        self._flush_pending.pop(connection, None)
        self.paused.pop(connection, None)

    def _check_connections(self) -> None:
        self.reactor.callLater(CHECK_INTERVAL, self._check_connections)
        now = self.clock()
        for connection in list(self.connections):
            connection.check_timeouts(now)

    # ---- writing in batches

    def schedule_flush(self, connection: AmqpConnection) -> None:
        """Flush the connection, and resume paused ones, once the current batch of events is processed."""
        if not self._flush_pending:
            self.reactor.callLater(0, self._flush_connections)
        self._flush_pending[connection] = None

    def _flush_connections(self) -> None:
        connections, self._flush_pending = list(self._flush_pending), {}
        for connection in connections:
            connection.flush()
        for connection in list(self.paused):
            connection.resume_if_capacity()

    # ---- logins

    def log_in(self, connection: AmqpConnection, login: sm.LoginRequested) -> None:
        if len(self._queued_logins) >= MAX_QUEUED_LOGINS:
            self._refuse_login(connection)
            return
        self._queued_logins.append((connection, login))
        self._next_login()

    def _next_login(self) -> None:
        while self._queued_logins and self._active_logins < MAX_CONCURRENT_LOGINS:
            connection, login = self._queued_logins.pop(0)
            if not connection.is_connected:
                continue
            login_credentials = credentials(login.mechanism, login.response)
            users = self.settings.users
            if login_credentials is None:
                self._refuse_login(connection)
            elif not users:
                if login_credentials == ("guest", b"guest") and _LOOPBACK.fullmatch(connection.host):
                    self._accept_login(connection, tuple(self.settings.vhosts))
                else:
                    self._refuse_login(connection)
            else:
                self._verify_password(connection, users.get(login_credentials[0]), login_credentials[1])

    def _verify_password(self, connection: AmqpConnection, user: User | None, password: bytes) -> None:
        """Check the password in a thread, as the hash is slow by design.

        An unknown user takes as long as a known one, so that timing does not reveal which users exist.
        """
        self._active_logins += 1
        stored = user.password if user is not None else DUMMY_HASH
        verification = deferToThread(verify_password, password, stored)

        def on_verified(matched: bool) -> None:
            if matched and user is not None:
                allowed = tuple(v for v in user.vhosts if v in self.settings.vhosts)
                self._accept_login(connection, allowed)
            else:
                self._refuse_login(connection)

        def on_done(result: Any) -> None:
            self._active_logins -= 1
            if isinstance(result, Failure):
                log.error("amqp_login_check_failed", why=result.getErrorMessage())
                self._refuse_login(connection)
            self._next_login()

        verification.addCallback(on_verified)
        verification.addBoth(on_done)

    def _accept_login(self, connection: AmqpConnection, vhosts: tuple[str, ...]) -> None:
        if connection.is_connected and connection.machine.phase is sm.Phase.LOGIN:
            connection.machine.login(vhosts)
            connection.process_events()

    def _refuse_login(self, connection: AmqpConnection) -> None:
        self.counts["logins_refused"] += 1
        if connection.is_connected and connection.machine.phase is sm.Phase.LOGIN:
            connection.machine.refuse_login()
            connection.process_events()

    # ---- the end

    def stop(self) -> None:
        """Stop accepting for a shutdown; subscribers are cancelled once no accepted request waits for one."""
        self.stopping = self.publishers.stopping = True
        self.port.stopListening()
        self._cancel_subscribers_when_sent(self.clock() + UNSENT_WORK_TIMEOUT * 1000.0)

    def _cancel_subscribers_when_sent(self, deadline: float) -> None:
        unsent = any(not i.answered and not i.calls for i in self.broker.in_progress.values())
        if unsent and self.clock() < deadline:
            self.reactor.callLater(UNSENT_WORK_POLL, self._cancel_subscribers_when_sent, deadline)
            return
        for connection in list(self.connections):
            connection.session.cancel_subscribers()

    def close(self) -> None:
        """Close all connections, once all requests are answered."""
        for connection in list(self.connections):
            if connection.machine.authenticated:
                connection.close(e.CONNECTION_FORCED, "the node is ending")
            else:
                connection.abort("the node is ending")
