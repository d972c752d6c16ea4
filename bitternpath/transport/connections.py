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
from twisted.internet.protocol import Factory, connectionDone
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.python.failure import Failure

from bitternpath.net.writing import write_now
from bitternpath.transport.codec import CodecError
from bitternpath.transport.frames import FrameBuffer, frame
from bitternpath.transport.messages import ANSWER_RECORDS, RECORDS
from bitternpath.transport.node_messages import Hello, NodeDescriptor, Ping, Pong

log = logbook.Logger("transport")

LOOK_S = 0.5  # all links are looked at together
# The end that dialled asks for a sign of life after so long without a byte one way or the other: a system at
# rest costs two records a link each time. Sooner while an answer is awaited over the link, and much sooner
# where the other end counts who is there.
ASK_AFTER_S, ASK_AWAITED_AFTER_S, ASK_SOON_AFTER_S = 2.0, 0.75, 0.25
ANSWER_LIMIT_S = 1.65  # the end that has asked gives a link up after so long without a byte
SILENCE_LIMIT_S = 6.0  # the other end, which hears the questions, does so after two of them have not come
CONNECT_TIMEOUT_S = 1.0
RECONNECT_FIRST_S, RECONNECT_MOST_S = 0.05, 1.0
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


class Link(TwistedProtocol):
    """One connection to another node."""

    transport: Any

    def __init__(self, hub: NodeHub, dialled: str) -> None:
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


class Dialler:
    """Keeps a link to one address for as long as it is wanted."""

    def __init__(self, hub: NodeHub, address: str) -> None:
        self.hub, self.address = hub, address
        self.link: Link | None = None
        self.users: set[str] = set()
        self._pause = RECONNECT_FIRST_S
        self._timer: Any = None
        self._attempt: Any = None
        self._stopped = False

    def start(self) -> None:
        """Dial now."""
        self._timer = None
        if self._stopped:
            return
        host, _, port = self.address.rpartition(":")
        factory = _DialFactory(self)
        self._attempt = self.hub.reactor.connectTCP(host, int(port), factory, timeout=CONNECT_TIMEOUT_S)

    def stop(self) -> None:
        """Close the link and dial no more."""
        self._stopped = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self.link is not None:
            self.link.close()
        elif self._attempt is not None:
            with contextlib.suppress(Exception):
                self._attempt.stopConnecting()

    @property
    def opened(self) -> Link | None:
        """The link, once its peer has said who it is."""
        return self.link if self.link is not None and self.link.open else None

    def connected(self, link: Link) -> None:
        """A connection was made."""
        self.link = link
        if self._stopped:
            link.close()

    def ended(self, was_open: bool) -> None:
        """The connection ended, or couldn't be made."""
        self.link = None
        if self._stopped:
            return
        if was_open:
            self._pause = RECONNECT_FIRST_S
        pause = self._pause * (0.7 + 0.6 * self.hub.random.random())
        self._pause = min(2 * self._pause, RECONNECT_MOST_S)
        self._timer = self.hub.reactor.callLater(pause, self.start)


class NodeHub:
    """All links of a process: those it accepts and those it dials."""

    def __init__(
        self,
        reactor: Any,
        handler: LinkHandler,
        describe: Callable[[], NodeDescriptor],
        random: Any,
    ) -> None:
        self.reactor, self.handler, self.describe, self.random = reactor, handler, describe, random
        self.links: dict[Link, None] = {}  # in the order in which they were made
        self._diallers: dict[str, Dialler] = {}
        self._port: Any = None
        self._watch_timer: Any = None
        self._unflushed: list[Link] = []
        self._flush_call: Any = None

    def watch(self) -> None:
        """Look at all links from now on, together: one timer and one turn for all questions."""
        if self._watch_timer is None:
            self._watch_timer = self.reactor.callLater(LOOK_S, self._look)

    def _look(self) -> None:
        self._watch_timer = None
        now = self.reactor.seconds()
        for link in list(self.links):
            link.look(now)
        if self.links:
            self.watch()

    def flush_soon(self, link: Link) -> None:
        """Have a link written at the end of this turn of the reactor, with all others that have anything."""
        self._unflushed.append(link)
        if self._flush_call is None:
            self._flush_call = self.reactor.callLater(0, self._flush_planned)

    def flush(self) -> None:
        """Write what all links have queued; whoever knows that nothing follows in this turn calls it."""
        if self._flush_call is not None:
            self._flush_call.cancel()
            self._flush_planned()

    def _flush_planned(self) -> None:
        self._flush_call = None
        links, self._unflushed = self._unflushed, []
        for link in links:
            link.flush()

    def listen(self, host: str, port: int) -> None:
        """Accept links; raises `CannotListenError`."""
        self._port = self.reactor.listenTCP(port, _AcceptFactory(self), backlog=1024, interface=host)

    def dial(self, address: str, user: str) -> Dialler:
        """The dialler of an address, made and started where there is none. `user` names who wants it."""
        dialler = self._diallers.get(address)
        if dialler is None:
            dialler = self._diallers[address] = Dialler(self, address)
            dialler.start()
        dialler.users.add(user)
        return dialler

    def release(self, address: str, user: str) -> None:
        """A user doesn't want an address any more; the link ends when nobody does."""
        dialler = self._diallers.get(address)
        if dialler is None:
            return
        dialler.users.discard(user)
        if not dialler.users:
            del self._diallers[address]
            dialler.stop()

    def link_to(self, address: str) -> Link | None:
        """The opened link that was dialled to an address."""
        dialler = self._diallers.get(address)
        return dialler.opened if dialler else None

    def dialled(self) -> tuple[str, ...]:
        """The addresses that are wanted."""
        return tuple(self._diallers)

    def announce(self) -> None:
        """Tell all peers anew who this node is."""
        for link in self.links:
            link.send(Hello(self.describe()))

    def link_ended(self, link: Link) -> None:
        """Called by a link when its connection has ended."""
        dialler = self._diallers.get(link.dialled)
        if dialler is not None and dialler.link is link:
            dialler.ended(link.peer is not None)

    def stop(self) -> None:
        """Close all."""
        if self._port is not None:
            self._port.stopListening()
        if self._watch_timer is not None:
            self._watch_timer.cancel()
            self._watch_timer = None
        diallers, self._diallers = self._diallers, {}
        for dialler in diallers.values():
            dialler.stop()
        for link in list(self.links):
            link.close()


class _AcceptFactory(Factory):
    noisy = False

    def __init__(self, hub: NodeHub) -> None:
        self.hub = hub

    def buildProtocol(self, addr: Any) -> Link:
        return Link(self.hub, "")


class _DialFactory(Factory):
    noisy = False

    def __init__(self, dialler: Dialler) -> None:
        self.dialler = dialler

    def buildProtocol(self, addr: Any) -> Link:
        link = Link(self.dialler.hub, self.dialler.address)
        self.dialler.connected(link)
        return link

    def startedConnecting(self, connector: Any) -> None:
        """Part of Twisted's client factory interface."""

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Nobody answered, or the port is closed."""
        self.dialler.ended(False)

    def clientConnectionLost(self, connector: Any, reason: Failure) -> None:
        """The link itself has seen to it."""


def _tune(handle: Any) -> None:
    with contextlib.suppress(OSError, AttributeError):
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
