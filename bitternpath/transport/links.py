"""One connection between two nodes: framed Avro records, requests and responses, liveness by ping.

Either end may have dialled; after that both ends are equal but for who pings (`link_liveness`). Records go
to a `LinkHandler`. Nothing is queued for a peer that isn't connected.

States of a link (`LinkState`):

    CONNECTING --connected--> GREETING --Hello received--> OPEN --closed--> CLOSED
                                  `----------closed--------------------------^

Responses to requests are accepted in any state but CLOSED; all other records only once the link is open. A
peer may greet again at any time: its description has changed.
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

TCP_USER_TIMEOUT_MS = 2_000  # the kernel ends a connection whose bytes nobody acknowledges for so long


class LinkState(Enum):
    """States of a link; see the module's description."""

    CONNECTING = "connecting"
    GREETING = "greeting"
    OPEN = "open"
    CLOSED = "closed"


# Each record asks for these: a module's name is found faster than an enum's member.
_OPEN = LinkState.OPEN
_CLOSED = LinkState.CLOSED


class LinkHandler(Protocol):
    """Receives what comes over links. All methods are called in the reactor's thread."""

    def link_opened(self, link: Link) -> None:
        """The peer has greeted (`link.peer`), for the first time or again."""

    def link_closed(self, link: Link) -> None:
        """A link that was open has closed."""

    def received(self, link: Link, record: Record) -> None:
        """A record has come that is no response to a request of ours."""


class LinkOwner(Protocol):
    """What a link needs of the hub that it belongs to."""

    reactor: TcpReactor
    random: Random
    handler: LinkHandler
    links: dict[Link, None]
    describe: Callable[[], NodeDescriptor]

    def make_link(self, dialled: str) -> Link:
        """A link for a connection that is being made."""

    def schedule_check(self) -> None:
        """Check links for silence from now on."""

    def schedule_flush(self, link: Link) -> None:
        """Have a link written at the end of this turn of the reactor."""

    def link_ended(self, link: Link) -> None:
        """A link's connection has ended."""


class Link(TwistedProtocol):
    """One connection to another node.

    Attributes:
        dialled: the address that was dialled; empty where the peer dialled.
        peer: the peer as it has greeted last; None before that.
    """

    transport: Any

    def __init__(self, hub: LinkOwner, dialled: str) -> None:
        """Not connected yet."""
        self.dialled = dialled
        self.peer: NodeDescriptor | None = None
        self._hub = hub
        self._state = LinkState.CONNECTING
        self._liveness = LinkLiveness()
        self._frames = FrameBuffer()
        self._requests: dict[int, Deferred[Response]] = {}  # those without a response, by number
        self._last_number = 0
        self._outgoing: list[bytes] = []  # frames of this turn of the reactor

    @property
    def open(self) -> bool:
        """Whether the peer has greeted and the connection stands."""
        return self._state is _OPEN

    @property
    def received_at(self) -> float:
        """When the peer last sent anything, by the reactor's clock."""
        return self._liveness.received_at

    @property
    def ping_after_s(self) -> float:
        """Seconds of silence after which the peer is pinged, where this end dialled."""
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
        """How many requests have no response yet."""
        return len(self._requests)

    # ---- sending

    def send(self, record: Record) -> None:
        """Queue a record; what one turn of the reactor sends goes out in one write."""
        if self._state is _CLOSED:
            return
        if not self._outgoing:
            self._hub.schedule_flush(self)
        self._outgoing.append(frame(RECORDS.encode(record)))

    def request(self, make: Callable[[int], Record]) -> Deferred[Response]:
        """Send the record `make(number)`; fires with the response that has that number.

        The Deferred fails with `LinkLostError` where the link closes before that, or is closed already.
        """
        response: Deferred[Response] = Deferred()
        if self._state is _CLOSED:
            response.errback(LinkLostError())
            return response
        self._last_number += 1
        self._requests[self._last_number] = response
        self.send(make(self._last_number))
        return response

    def close(self) -> None:
        """Close the connection once all that was sent is written."""
        if self.transport is not None:
            self.flush()
            self.transport.loseConnection()

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abortConnection()

    def flush(self) -> None:
        """Write what was queued."""
        if self._outgoing and self.transport is not None and self._state is not _CLOSED:
            data = b"".join(self._outgoing)
            self._outgoing = []
            self._liveness.sent_at = self._hub.reactor.seconds()
            write_now(self.transport, data)

    # ---- the connection, as Twisted calls it

    def connectionMade(self) -> None:
        """Greet the peer."""
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
        """Whether a request waited for this response; then it has it now."""
        request = self._requests.pop(response.number, None)
        if request is not None:
            request.callback(response)
        return request is not None

    def _hello_received(self, node: NodeDescriptor) -> None:
        self.peer = node
        self._state = _OPEN
        self._hub.handler.link_opened(self)

    def check_liveness(self, now: float) -> None:
        """Ping the peer, or abort the link, where the peer is silent (`now`: the reactor's clock)."""
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
    """No delay of small writes, and a bound for unacknowledged ones; simulated sockets have neither."""
    with contextlib.suppress(OSError, AttributeError):
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
