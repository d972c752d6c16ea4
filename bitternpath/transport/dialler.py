"""Outgoing connections: dials an address, with back-off, for as long as any user needs it."""

from __future__ import annotations

import contextlib
from typing import Any

from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from bitternpath.net.clock import Timer
from bitternpath.net.reactor import Connector
from bitternpath.transport.links import Link, LinkOwner

CONNECT_TIMEOUT_S = 1.0
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
MIN_JITTER = 0.7  # lower bound of the random factor of a back-off
JITTER_SPAN = 0.6  # range of that factor


class Dialler:
    """Keeps a link to one address open for as long as any user needs it.

    Attributes:
        address: ip:port.
        link: the connection, also before its peer has sent `Hello`; None between connections.
        users: names of the components that use the address.
    """

    def __init__(self, hub: LinkOwner, address: str) -> None:
        """Create a dialler that isn't started."""
        self.address = address
        self.link: Link | None = None
        self.users: set[str] = set()
        self._hub = hub
        self._backoff_s = INITIAL_BACKOFF_S
        self._redial: Timer | None = None
        self._connector: Connector | None = None
        self._stopped = False

    @property
    def open_link(self) -> Link | None:
        """The link, once its peer has sent `Hello`; else None."""
        return self.link if self.link is not None and self.link.open else None

    def start(self) -> None:
        """Dial now."""
        self._redial = None
        if self._stopped:
            return
        host, _, port = self.address.rpartition(":")
        factory = _DialFactory(self._hub, self)
        self._connector = self._hub.reactor.connectTCP(host, int(port), factory, timeout=CONNECT_TIMEOUT_S)

    def stop(self) -> None:
        """Close the link and stop dialling."""
        self._stopped = True
        if self._redial is not None and self._redial.active():
            self._redial.cancel()
        if self.link is not None:
            self.link.close()
        elif self._connector is not None:
            with contextlib.suppress(Exception):  # Twisted raises if the attempt has just ended
                self._connector.stopConnecting()

    def connected(self, link: Link) -> None:
        """Called with a new connection."""
        self.link = link
        if self._stopped:
            link.close()

    def ended(self, *, handshake_completed: bool) -> None:
        """Called when the connection has ended or couldn't be established; dials again after a delay.

        `handshake_completed`: the peer had sent `Hello`, so the back-off is reset.
        """
        self.link = None
        if self._stopped:
            return
        if handshake_completed:
            self._backoff_s = INITIAL_BACKOFF_S
        jitter = MIN_JITTER + JITTER_SPAN * self._hub.random.random()
        delay_s = self._backoff_s * jitter
        self._backoff_s = min(2 * self._backoff_s, MAX_BACKOFF_S)
        self._redial = self._hub.reactor.callLater(delay_s, self.start)


class _DialFactory(Factory):
    """Creates the link of one attempt (Twisted's client factory interface)."""

    noisy = False

    def __init__(self, hub: LinkOwner, dialler: Dialler) -> None:
        self._hub = hub
        self._dialler = dialler

    def buildProtocol(self, addr: Any) -> Link:
        link = self._hub.make_link(self._dialler.address)
        self._dialler.connected(link)
        return link

    def startedConnecting(self, connector: Any) -> None:
        """Required by the interface; the dialler has started the attempt itself."""

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Called when the attempt timed out or was refused."""
        self._dialler.ended(handshake_completed=False)

    def clientConnectionLost(self, connector: Any, reason: Failure) -> None:
        """Required by the interface; the link reports its end to the hub."""
