"""All links of a process, accepted and dialled."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from twisted.internet.protocol import Factory

from bitternpath.net.clock import Timer
from bitternpath.net.reactor import ListeningPort, TcpReactor
from bitternpath.transport.dialler import Dialler
from bitternpath.transport.links import Link, LinkHandler
from bitternpath.transport.node_messages import Hello, NodeDescriptor

CHECK_INTERVAL_S = 0.5  # between liveness checks of all links
LISTEN_BACKLOG = 1024  # connections that wait to be accepted


class NodeHub:
    """Owns all links of a process; a single timer checks them all, and a single reactor turn writes them all.

    Attributes:
        reactor: clock, timers and TCP.
        handler: receives the events and records of links.
        describe: returns this node's descriptor, which is sent in `Hello`.
        random: for the jitter of back-offs, and for other choices of the links' users.
        links: all established connections, in the order in which they were made.
    """

    def __init__(
        self,
        reactor: TcpReactor,
        handler: LinkHandler,
        describe: Callable[[], NodeDescriptor],
        random: Random,
    ) -> None:
        """Create a hub without links that neither listens nor dials."""
        self.reactor = reactor
        self.handler = handler
        self.describe = describe
        self.random = random
        self.links: dict[Link, None] = {}
        self._diallers: dict[str, Dialler] = {}  # by address
        self._port: ListeningPort | None = None
        self._check: Timer | None = None
        self._unflushed: list[Link] = []
        self._flush_call: Timer | None = None

    # ---- connections

    def listen(self, host: str, port: int) -> None:
        """Accept links.

        Raises:
            CannotListenError: the port is in use, or the address isn't the machine's.
        """
        factory = _AcceptFactory(self)
        self._port = self.reactor.listenTCP(port, factory, backlog=LISTEN_BACKLOG, interface=host)

    @property
    def listening_port(self) -> int:
        """The TCP port on which the hub listens; 0 before `listen`."""
        return int(self._port.getHost().port) if self._port is not None else 0

    def dial(self, address: str, user: str) -> Dialler:
        """The dialler of an address, started if there was none; `user` names who needs the link."""
        dialler = self._diallers.get(address)
        if dialler is None:
            dialler = self._diallers[address] = Dialler(self, address)
            dialler.start()
        dialler.users.add(user)
        return dialler

    def release(self, address: str, user: str) -> None:
        """Called when `user` no longer needs an address; the link is closed when no user needs it."""
        dialler = self._diallers.get(address)
        if dialler is None:
            return
        dialler.users.discard(user)
        if not dialler.users:
            del self._diallers[address]
            dialler.stop()

    def link_to(self, address: str) -> Link | None:
        """The open link that was dialled to an address; None if there is none."""
        dialler = self._diallers.get(address)
        return dialler.open_link if dialler else None

    def announce(self) -> None:
        """Send `Hello` to all peers again, because this node's descriptor has changed."""
        for link in self.links:
            link.send(Hello(self.describe()))

    def stop(self) -> None:
        """Stop listening and dialling, and close all links."""
        if self._port is not None:
            self._port.stopListening()
        if self._check is not None:
            self._check.cancel()
            self._check = None
        diallers = self._diallers
        self._diallers = {}
        for dialler in diallers.values():
            dialler.stop()
        for link in list(self.links):
            link.close()

    def flush(self) -> None:
        """Write what all links have queued; for callers that queue nothing more in this reactor turn."""
        if self._flush_call is not None:
            self._flush_call.cancel()
            self._write_unflushed()

    # ---- LinkOwner

    def make_link(self, dialled: str) -> Link:
        """Create the link of a connection; `dialled` is its address, empty if the peer dialled."""
        return Link(self, dialled)

    def link_ended(self, link: Link) -> None:
        """Called when a link's connection has ended; its dialler dials again."""
        dialler = self._diallers.get(link.dialled)
        if dialler is not None and dialler.link is link:
            dialler.ended(handshake_completed=link.peer is not None)

    def schedule_check(self) -> None:
        """Check the liveness of all links from now on, together: one timer and one turn for all pings."""
        if self._check is None:
            self._check = self.reactor.callLater(CHECK_INTERVAL_S, self._check_links)

    def schedule_flush(self, link: Link) -> None:
        """Write a link at the end of this reactor turn, with all others that have queued data."""
        self._unflushed.append(link)
        if self._flush_call is None:
            self._flush_call = self.reactor.callLater(0, self._write_unflushed)

    def _check_links(self) -> None:
        self._check = None
        now = self.reactor.seconds()
        for link in list(self.links):
            link.check_liveness(now)
        if self.links:
            self.schedule_check()

    def _write_unflushed(self) -> None:
        self._flush_call = None
        links = self._unflushed
        self._unflushed = []
        for link in links:
            link.flush()


class _AcceptFactory(Factory):
    """Creates the links of accepted connections."""

    noisy = False

    def __init__(self, hub: NodeHub) -> None:
        self._hub = hub

    def buildProtocol(self, addr: Any) -> Link:
        return self._hub.make_link("")
