"""Keeps the endpoint registry up to date with a subscription to discovery."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator
from random import Random
from typing import Any

import structlog
import ujson
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from bitternpath.balancer.core.endpoint_registry import EndpointRegistry
from bitternpath.balancer.http.discovery_messages import listing_from
from bitternpath.net.http1 import HttpError, ResponseReader, request
from bitternpath.net.sockets import dial

log = structlog.get_logger(part="discovery")

# s between complete lines, one of which is due every 2 s; after that another subscription is opened. Changes
# must be applied within 6 s of the last line (STANDING), which leaves time for two attempts that hang.
MESSAGE_TIMEOUT = 2.5
OPEN_TIMEOUT = 1.0  # s from connecting to the first line; discovery's agent runs on the same machine
# Concurrent attempts: one that hangs is kept, since all may be slow, while others are started.
MAX_PENDING = 3
# s before the next attempt. Attempts at the local agent are cheap, and changes must be applied within 4 s.
INITIAL_BACKOFF, MAX_BACKOFF = 0.1, 0.5
LIST_LIMIT = 16 << 20  # bytes of one JSON object

_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')

Address = tuple[str, int]


class JsonObjectStream:
    """Splits the bytes of a subscription into JSON objects, each on one line or, indented, on several."""

    def __init__(self) -> None:
        self._incomplete_line = bytearray()
        self._incomplete_object = bytearray()  # its complete lines
        self._depth = 0

    def feed(self, data: bytes) -> Iterator[Any]:
        """Yield each complete object, and None for each keep-alive line.

        Raises:
            ValueError: not JSON, too large, or an object cut off by an empty line.
        """
        *lines, incomplete = (self._incomplete_line + data).split(b"\n")
        self._incomplete_line = incomplete
        if len(self._incomplete_line) + len(self._incomplete_object) > LIST_LIMIT:
            raise ValueError("list too large")
        for line in lines:
            if not line.strip():
                if self._incomplete_object:
                    raise ValueError("an incomplete list")
                yield None
                continue
            without_strings = _STRING.sub(b"", line)  # a JSON string contains no line break
            self._depth += sum(map(without_strings.count, b"{[")) - sum(map(without_strings.count, b"}]"))
            self._incomplete_object += line
            if self._depth <= 0:
                message = ujson.loads(self._incomplete_object)
                self._incomplete_object = bytearray()
                self._depth = 0
                yield message


class _SubscriptionConnection(Protocol):
    """One connection of a subscription: connecting, open, or dropped."""

    transport: Any = None

    def __init__(self, subscription: DiscoverySubscription, address: Address) -> None:
        self.subscription = subscription
        self.address = address
        self.reader = ResponseReader(body_limit=None)
        self.objects = JsonObjectStream()
        self.dropped = False
        self.resync = False  # whether the complete list was requested
        self.connecting: Deferred[Any] | None = None
        self.timeout: Any = subscription.reactor.callLater(OPEN_TIMEOUT, self._timed_out, OPEN_TIMEOUT)

    def connectionMade(self) -> None:
        if self.dropped:
            self.transport.abortConnection()
            return
        host = b"%b:%d" % (self.address[0].encode(), self.address[1])
        self.resync = self.subscription.resync
        revision = 0 if self.resync else self.subscription.registry.revision
        target = b"/v1/endpoints?stream=1&index=%d" % revision
        self.transport.write(request(b"GET", target, [(b"Host", host)]))

    def dataReceived(self, data: bytes) -> None:
        if self.dropped:
            return
        self.reader.feed(data)
        try:
            head = self.reader.head()
            if head is None:
                return
            if getattr(head, "status", 0) != 200:
                raise HttpError(400, f"the subscription was not granted: {getattr(head, 'status', 0)}")
            for message in self.objects.feed(self.reader.read_body()):
                listing = listing_from(message) if message is not None else None
                self._message_received()
                if listing is None:
                    continue
                resync, self.resync = self.resync, False
                if not self.subscription.registry.apply(listing, resync):
                    self.subscription.resync = True
                    raise HttpError(400, f"revision {listing.revision} is older than the list in force")
            if self.reader.body_complete:
                raise HttpError(400, "the subscription ended")
        except (HttpError, ValueError, KeyError, TypeError, AttributeError, OverflowError) as error:
            log.warning("subscription_broken", why=repr(error))
            self.transport.abortConnection()

    def _message_received(self) -> None:
        self._expect_message_within(MESSAGE_TIMEOUT)
        self.subscription.granted(self)

    def _expect_message_within(self, seconds: float) -> None:
        """Restart the timeout for the next complete line; partial lines do not extend it."""
        self.cancel_timeout()
        self.timeout = self.subscription.reactor.callLater(seconds, self._timed_out, seconds)

    def cancel_timeout(self) -> None:
        if self.timeout is not None:
            self.timeout.cancel()
            self.timeout = None

    def _timed_out(self, seconds: float) -> None:
        log.warning("subscription_silent", seconds=seconds)
        self.timeout = None
        self._expect_message_within(MESSAGE_TIMEOUT)  # stays open until another subscription is granted
        self.subscription.message_overdue(self)

    def drop(self) -> None:
        """Close the connection without notifying the subscription."""
        self.dropped = True
        self.cancel_timeout()
        if self.transport is not None:
            self.transport.abortConnection()
        elif self.connecting is not None:
            self.connecting.cancel()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.cancel_timeout()
        if not self.dropped:
            self.subscription.connection_lost(self, reason.getErrorMessage())


class DiscoverySubscription:
    """Keeps a subscription to discovery open.

    A subscription whose messages are overdue, or whose address is outdated, stays open until a new one is
    granted. With an agent on the same machine, retries follow after a short back-off. If discovery is a
    service shared by all nodes, `on_failure` is set: it is called once for each subscription that was
    refused, ended or timed out, and the caller decides when to retry with `start`.
    """

    def __init__(
        self,
        reactor: Any,
        registry: EndpointRegistry,
        address: Address,
        random: Random,
        on_failure: Callable[[], None] | None = None,
    ) -> None:
        self.reactor = reactor
        self.registry = registry
        self.address = address
        self.random = random
        self.on_failure = on_failure
        self.backoff = INITIAL_BACKOFF
        self.has_been_granted = False  # a message was received at least once
        self.on_first_message: Callable[[], object] = lambda: None  # called at the first message
        self._current: _SubscriptionConnection | None = None  # the granted connection
        self._pending: list[_SubscriptionConnection] = []  # attempts not granted yet, oldest first
        self._retry_timer: Any = None
        self.resync = False  # revisions were reset: request the complete list
        self._failure_reported = False  # `on_failure` was called, but not `start` since
        self._stopped = False

    def start(self) -> None:
        """Open a subscription and drop pending attempts."""
        self._cancel_pending()
        if not self._stopped:
            self._open()

    def _open(self) -> None:
        """Start another attempt in addition to pending ones."""
        while len(self._pending) >= MAX_PENDING:
            self._pending.pop(0).drop()
        connection = _SubscriptionConnection(self, self.address)
        self._pending.append(connection)
        timeout = MAX_PENDING * OPEN_TIMEOUT  # s until an attempt is abandoned
        connecting = connection.connecting = dial(self.reactor, *self.address, timeout, connection)
        connecting.addErrback(lambda failure: self._connect_failed(connection, failure))

    def _connect_failed(self, connection: _SubscriptionConnection, failure: Failure) -> None:
        connection.cancel_timeout()
        self.connection_lost(connection, failure.getErrorMessage())

    def set_address(self, address: Address) -> None:
        """Change the address of discovery; an open subscription stays until the new one is granted."""
        if address != self.address:
            self.address = address
            self.backoff = INITIAL_BACKOFF
            self.start()

    @property
    def _latest(self) -> _SubscriptionConnection | None:
        return self._pending[-1] if self._pending else self._current

    def _cancel_pending(self) -> None:
        pending, self._pending = self._pending, []
        for connection in pending:
            connection.drop()
        if self._retry_timer is not None and self._retry_timer.active():
            self._retry_timer.cancel()
        self._retry_timer = None
        self._failure_reported = False

    def granted(self, connection: _SubscriptionConnection) -> None:
        """Make a connection that has delivered a message the current one."""
        if not self.has_been_granted:
            self.has_been_granted = True
            self.on_first_message()
        if connection in self._pending:
            previous, self._current = self._current, connection
            self._pending.remove(connection)
            self._cancel_pending()
            self.backoff = INITIAL_BACKOFF
            self.resync = False
            if previous is not None:
                previous.drop()

    def message_overdue(self, connection: _SubscriptionConnection) -> None:
        """Handle an overdue line: open another subscription, unless a retry is scheduled."""
        retry_pending = self._failure_reported or (
            self._retry_timer is not None and self._retry_timer.active()
        )
        if self._stopped or retry_pending or connection is not self._latest:
            return
        if self.on_failure is None:
            self._open()
        elif connection is self._current:
            self._report_failure()
        else:
            self._pending.remove(connection)
            connection.drop()
            self._report_failure()

    def _report_failure(self) -> None:
        self._failure_reported = True
        if self.on_failure is not None:
            self.on_failure()

    def connection_lost(self, connection: _SubscriptionConnection, reason: str) -> None:
        """Handle a connection that ended or could not be opened."""
        is_latest = connection is self._latest
        if connection is self._current:
            self._current = None
        elif connection in self._pending:
            self._pending.remove(connection)
        if self._stopped or connection.dropped or not is_latest:
            return  # another attempt is in progress
        if self._failure_reported or (self._retry_timer is not None and self._retry_timer.active()):
            return
        if self.on_failure is not None:
            log.info("subscription_lost", why=reason)
            self._report_failure()
            return
        delay = self.backoff * (0.5 + self.random.random())
        self.backoff = min(2 * self.backoff, MAX_BACKOFF)
        log.info("subscription_lost", why=reason, again_in=delay)
        self._retry_timer = self.reactor.callLater(delay, self._open)

    def stop(self) -> None:
        """Close the subscription permanently."""
        self._stopped = True
        self._cancel_pending()
        if self._current is not None:
            self._current.drop()
