"""One connection between two nodes: framed Avro records, requests and responses, liveness by ping.

Either end may have dialled; after that both ends are equal, except that only one sends pings
(`link_liveness`). Records are passed to a `LinkHandler`. Nothing is queued for a peer that isn't connected.

States of a link (`LinkState`):

    CONNECTING --connected--> GREETING --Hello received--> OPEN --closed--> CLOSED
                                  `----------closed--------------------------^

Responses to requests are accepted in any state but CLOSED; all other records only once the link is open. A
peer may send `Hello` again at any time, when its descriptor has changed.
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable
from enum import Enum
from random import Random
from typing import Any, Protocol, cast

import logbook
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from bitternpath.net.reactor import TcpReactor
from bitternpath.net.writing import write_now
from bitternpath.transport.errors import CodecError, LinkLostError
from bitternpath.transport.frames import FrameBuffer, frame
from bitternpath.transport.link_liveness import LinkLiveness, LivenessAction
from bitternpath.transport.messages import RECORDS, RESPONSE_RECORDS, Record, Response
from bitternpath.transport.node_messages import Hello, NodeDescriptor, Ping, Pong

log = logbook.Logger("transport")

TCP_USER_TIMEOUT_MS = 2_000  # the kernel ends a connection with bytes that are unacknowledged for this long


class LinkState(Enum):
    """States of a link; see the module's description."""

    CONNECTING = "connecting"
    GREETING = "greeting"
    OPEN = "open"
    CLOSED = "closed"


# Used for each record: looking up a module's global is faster than an enum's member.
_OPEN = LinkState.OPEN
_CLOSED = LinkState.CLOSED


class LinkHandler(Protocol):
    """Receives the events and records of links. All methods are called in the reactor's thread."""

    def link_opened(self, link: Link) -> None:
        """Called when the peer has sent `Hello` (`link.peer`), for the first time or again."""

    def link_closed(self, link: Link) -> None:
        """Called when a link that was open has closed."""

    def received(self, link: Link, record: Record) -> None:
        """Called with each record that isn't the response to a request of this end."""


class LinkOwner(Protocol):
    """What a link needs from the hub that it belongs to."""

    reactor: TcpReactor
    random: Random
    handler: LinkHandler
    links: dict[Link, None]
    describe: Callable[[], NodeDescriptor]

    def make_link(self, dialled: str) -> Link:
        """Create the link of a connection that is being established."""

    def schedule_check(self) -> None:
        """Check the liveness of links from now on."""

    def schedule_flush(self, link: Link) -> None:
        """Write a link at the end of this reactor turn."""

    def link_ended(self, link: Link) -> None:
        """Called when a link's connection has ended."""


class Link(TwistedProtocol):
    """One connection to another node.

    Attributes:
        dialled: the address that was dialled; empty if the peer dialled.
        peer: the descriptor in the peer's last `Hello`; None before the first.
    """

    transport: Any

    def __init__(self, hub: LinkOwner, dialled: str) -> None:
        """Create a link that isn't connected yet."""
        self.dialled = dialled
        self.peer: NodeDescriptor | None = None
        self._hub = hub
        self._state = LinkState.CONNECTING
        self._liveness = LinkLiveness()
        self._frames = FrameBuffer()
        self._requests: dict[int, Deferred[Response]] = {}  # requests without a response, by number
        self._last_number = 0
        self._outgoing: list[bytes] = []  # frames queued in this reactor turn

    @property
    def open(self) -> bool:
        """Whether the peer has sent `Hello` and the connection is established."""
        return self._state is _OPEN

    @property
    def received_at(self) -> float:
        """When the peer last sent any bytes, by the reactor's clock."""
        return self._liveness.received_at

    @property
    def ping_after_s(self) -> float:
        """Seconds of idle time after which the peer is pinged, if this end dialled."""
        return self._liveness.ping_after_s

    @ping_after_s.setter
    def ping_after_s(self, seconds: float) -> None:
        self._liveness.ping_after_s = seconds

    @property
    def peer_name(self) -> str:
        """The peer's name for log lines; the dialled address before it is known."""
        return self.peer.name if self.peer else self.dialled or "?"

    @property
    def pending_requests(self) -> int:
        """The number of requests without a response."""
        return len(self._requests)

    # ---- sending

    def send(self, record: Record) -> None:
        """Queue a record; the records of one reactor turn are sent in one write."""
        if self._state is _CLOSED:
            return
        if not self._outgoing:
            self._hub.schedule_flush(self)
        self._outgoing.append(frame(RECORDS.encode(record)))

    def request(self, build_record: Callable[[int], Record]) -> Deferred[Response]:
        """Send the record `build_record(number)`; fires with the response that has that number.

        The Deferred fails with `LinkLostError` if the link closes first, or is closed already.
        """
        response: Deferred[Response] = Deferred()
        if self._state is _CLOSED:
            response.errback(LinkLostError())
            return response
        self._last_number += 1
        self._requests[self._last_number] = response
        self.send(build_record(self._last_number))
        return response

    def close(self) -> None:
        """Close the connection once everything that was sent has been written."""
        if self.transport is not None:
            self.flush()
            self.transport.loseConnection()

    def abort(self) -> None:
        """Close the connection immediately."""
        if self.transport is not None:
            self.transport.abortConnection()

    def flush(self) -> None:
        """Write the queued records."""
        if self._outgoing and self.transport is not None and self._state is not _CLOSED:
            data = b"".join(self._outgoing)
            self._outgoing = []
            self._liveness.sent_at = self._hub.reactor.seconds()
            write_now(self.transport, data)

    # ---- the connection, as Twisted calls it

    def connectionMade(self) -> None:
        """Send `Hello` to the peer."""
        self._state = LinkState.GREETING
        self._liveness.received(self._hub.reactor.seconds())
        _set_socket_options(self.transport.getHandle())
        self._hub.links[self] = None
        self.send(Hello(self._hub.describe()))
        self.flush()
        self._hub.schedule_check()

    def dataReceived(self, data: bytes) -> None:
        """Handle the records that are complete now."""
        self._liveness.received(self._hub.reactor.seconds())
        try:
            for payload in self._frames.feed(data):
                self._handle(RECORDS.decode(payload))
        except CodecError as error:
            log.warning("event=frame_decode_failed peer={} error={}", self.peer_name, error)
            self.abort()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Fail all requests without a response."""
        was_open = self._state is _OPEN
        self._state = _CLOSED
        self._hub.links.pop(self, None)
        requests = self._requests
        self._requests = {}
        if was_open:
            self._hub.handler.link_closed(self)
        for response in requests.values():
            response.errback(LinkLostError())
        self._hub.link_ended(self)

    # ---- receiving

    def _handle(self, record: Record) -> None:
        if self._state is _CLOSED:
            return
        match record:
            case Ping(number):
                self.send(Pong(number))
            case Pong():
                pass
            case Hello(node):
                self._hello_received(node)
            case _:
                if type(record) in RESPONSE_RECORDS and self._complete_request(cast("Response", record)):
                    return
                if self._state is _OPEN:
                    self._hub.handler.received(self, record)

    def _complete_request(self, response: Response) -> bool:
        """Pass a response to the request that waits for it; return whether there was one."""
        request = self._requests.pop(response.number, None)
        if request is not None:
            request.callback(response)
        return request is not None

    def _hello_received(self, node: NodeDescriptor) -> None:
        self.peer = node
        self._state = _OPEN
        self._hub.handler.link_opened(self)

    def check_liveness(self, now: float) -> None:
        """Ping the peer or abort the link if that is due; `now` is the reactor's time."""
        action = self._liveness.next_action(
            now, is_dialler=bool(self.dialled), awaits_response=bool(self._requests)
        )
        if action is LivenessAction.PING:
            self.send(Ping(0))
        elif action is LivenessAction.ABORT:
            idle_s = self._liveness.seconds_since_received(now)
            log.info("event=link_idle_timeout peer={} seconds={:.2f}", self.peer_name, idle_s)
            self.abort()


def _set_socket_options(handle: Any) -> None:
    """Send small writes at once, and bound the time without acknowledgement; simulated sockets can't."""
    with contextlib.suppress(OSError, AttributeError):
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
