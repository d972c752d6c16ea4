"""Connections between nodes: TCP, framed Avro records, liveness by ping, dialling with back-off.

A `Link` is one open connection, whichever side dialled. A `Dialler` keeps one link to an address open for as
long as it is wanted. Records go to a `LinkHandler`; nothing is queued for a peer that isn't connected.
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable
from typing import Any, Protocol

import logbook
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from bitternpath.net.writing import write_now
from bitternpath.transport.codec import CodecError
from bitternpath.transport.frames import FrameBuffer, frame
from bitternpath.transport.messages import ANSWER_RECORDS, RECORDS
from bitternpath.transport.node_messages import Hello, NodeDescriptor, Ping, Pong

log = logbook.Logger("transport")

# The end that dialled asks for a sign of life after so long without a byte one way or the other: a system at
# rest costs two records a link each time. Sooner while an answer is awaited over the link, and much sooner
# where the other end counts who is there.
ASK_AFTER_S, ASK_AWAITED_AFTER_S, ASK_SOON_AFTER_S = 2.0, 0.75, 0.25
ANSWER_LIMIT_S = 1.65  # the end that has asked gives a link up after so long without a byte
SILENCE_LIMIT_S = 6.0  # the other end, which hears the questions, does so after two of them have not come
USER_TIMEOUT_MS = 2_000  # of the kernel, for bytes that nobody acknowledges


class LinkLost(Exception):
    """The connection ended before the answer came."""


class LinkHandler(Protocol):
    """Who hears what comes over links. All methods are called in the reactor's thread."""

    def link_opened(self, link: Link) -> None:
        """The peer has said who it is (`link.peer`), for the first time or anew."""

    def link_closed(self, link: Link) -> None:
        """An opened link has ended."""

    def received(self, link: Link, record: Any) -> None:
        """A record that is no answer to a request of ours."""


class LinkOwner(Protocol):
    """What a link needs of the hub that it belongs to."""

    reactor: Any
    random: Any
    handler: LinkHandler
    links: dict[Link, None]
    describe: Callable[[], NodeDescriptor]

    def make_link(self, dialled: str) -> Link:
        """A link for a connection that is being made."""

    def watch(self) -> None:
        """Begin to check links for silence."""

    def flush_soon(self, link: Link) -> None:
        """Have a link written at the end of this turn of the reactor."""

    def link_ended(self, link: Link) -> None:
        """A link's connection has ended."""


class Link(TwistedProtocol):
    """One connection to another node."""

    transport: Any

    def __init__(self, hub: LinkOwner, dialled: str) -> None:
        self.hub = hub
        self.dialled = dialled  # the address that was dialled; "" for an accepted connection
        self.peer: NodeDescriptor | None = None
        self.open = False
        self._frames = FrameBuffer()
        self._requests: dict[int, Deferred[Any]] = {}
        self._next_number = 0
        self.ask_after_s = ASK_AFTER_S
        self._heard_at = self._sent_at = 0.0
        self._asked_at: float | None = None  # the first question since the peer was last heard
        self._outgoing: list[bytes] = []
        self._gone = False

    # ---- sending

    def send(self, record: Any) -> None:
        """Queue a record; what one turn of the reactor sends goes out in one write."""
        if self._gone:
            return
        if not self._outgoing:
            self.hub.flush_soon(self)
        self._outgoing.append(frame(RECORDS.encode(record)))

    def request(self, make: Callable[[int], Any]) -> Deferred[Any]:
        """Send `make(number)`; fires with the record that answers that number, fails with `LinkLost`."""
        answer: Deferred[Any] = Deferred()
        if self._gone:
            answer.errback(LinkLost())
            return answer
        self._next_number += 1
        self._requests[self._next_number] = answer
        self.send(make(self._next_number))
        return answer

    def next_number(self) -> int:
        """A number for a request whose answer goes to the handler."""
        self._next_number += 1
        return self._next_number

    def close(self) -> None:
        """End the connection once all that was sent is written."""
        if self.transport is not None:
            self.flush()
            self.transport.loseConnection()

    def abort(self) -> None:
        """End the connection at once."""
        if self.transport is not None:
            self.transport.abortConnection()

    def flush(self) -> None:
        """Write what was queued."""
        if self._outgoing and self.transport is not None and not self._gone:
            data, self._outgoing = b"".join(self._outgoing), []
            self._sent_at = self.hub.reactor.seconds()
            write_now(self.transport, data)

    # ---- the connection's life

    def connectionMade(self) -> None:
        self._heard_at = self.hub.reactor.seconds()
        _tune(self.transport.getHandle())
        self.hub.links[self] = None
        self.send(Hello(self.hub.describe()))
        self.flush()
        self.hub.watch()

    def dataReceived(self, data: bytes) -> None:
        self._heard_at, self._asked_at = self.hub.reactor.seconds(), None
        try:
            for payload in self._frames.feed(data):
                self._handle(RECORDS.decode(payload))
        except CodecError as error:
            log.warning("event=bad_frame peer={} error={}", self.peer_name, error)
            self.abort()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._gone = True
        self.hub.links.pop(self, None)
        was_open, self.open = self.open, False
        requests, self._requests = self._requests, {}
        if was_open:
            self.hub.handler.link_closed(self)
        for answer in requests.values():
            answer.errback(LinkLost())
        self.hub.link_ended(self)

    @property
    def heard_at(self) -> float:
        """When the peer last sent anything, by the reactor's clock."""
        return self._heard_at

    @property
    def peer_name(self) -> str:
        """The peer's name, as far as known."""
        return self.peer.name if self.peer else self.dialled or "?"

    def _handle(self, record: Any) -> None:
        if self._gone:
            return
        match record:
            case Ping(number):
                self.send(Pong(number))
            case Pong():
                pass
            case Hello(node):
                self._greet(node)
            case _:
                is_answer = type(record) in ANSWER_RECORDS
                waiting = self._requests.pop(record.number, None) if is_answer else None
                if waiting is not None:
                    waiting.callback(record)
                elif self.open:
                    self.hub.handler.received(self, record)

    def _greet(self, node: NodeDescriptor) -> None:
        self.peer = node
        self.open = True
        self.hub.handler.link_opened(self)

    def look(self, now: float) -> None:
        """Give the peer up, or ask it for a sign of life where either end has been silent.

        The end that dialled asks; the other one hears the questions.
        """
        silent = now - self._heard_at
        unanswered = 0.0 if self._asked_at is None else now - self._asked_at
        if silent > SILENCE_LIMIT_S or unanswered > ANSWER_LIMIT_S:
            log.info("event=link_silent peer={} seconds={:.2f}", self.peer_name, silent)
            self.abort()
        elif self.dialled and now - min(self._heard_at, self._sent_at) >= self._ask_after():
            if self._asked_at is None:
                self._asked_at = now
            self.send(Ping(0))

    def _ask_after(self) -> float:
        return min(self.ask_after_s, ASK_AWAITED_AFTER_S) if self._requests else self.ask_after_s


def _tune(handle: Any) -> None:
    with contextlib.suppress(OSError, AttributeError):
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
