"""Outgoing connections: one address is dialled, with back-off, for as long as it is wanted."""

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
MIN_JITTER = 0.7  # a pause is the back-off times a random factor from here
JITTER_SPAN = 0.6  # to here above it


class Dialler:
    """Keeps a link to one address open for as long as it is wanted.

    Attributes:
        address: ip:port.
        link: the connection, also before its peer has greeted; None between connections.
        users: names of the parts of the program that want the address.
    """

    def __init__(self, hub: LinkOwner, address: str) -> None:
        """Not started yet."""
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
        """The link, once its peer has greeted."""
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
        """Close the link and dial no more."""
        self._stopped = True
        if self._redial is not None and self._redial.active():
            self._redial.cancel()
        if self.link is not None:
            self.link.close()
        elif self._connector is not None:
            with contextlib.suppress(Exception):  # Twisted raises where the attempt has just ended
                self._connector.stopConnecting()

    def connected(self, link: Link) -> None:
        """Take a new connection over."""
        self.link = link
        if self._stopped:
            link.close()

    def ended(self, *, handshake_completed: bool) -> None:
        """The connection ended, or couldn't be made: dial again after a pause.

        `handshake_completed`: the peer had greeted, so the back-off begins anew.
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
    """Makes the link of one attempt (Twisted's client factory interface)."""

    noisy = False

    def __init__(self, hub: LinkOwner, dialler: Dialler) -> None:
        self._hub = hub
        self._dialler = dialler

    def buildProtocol(self, addr: Any) -> Link:
        link = self._hub.make_link(self._dialler.address)
        self._dialler.connected(link)
        return link

    def startedConnecting(self, connector: Any) -> None:
        """Part of the interface; the dialler knows."""

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Nobody answered, or the port is closed."""
        self._dialler.ended(handshake_completed=False)

    def clientConnectionLost(self, connector: Any, reason: Failure) -> None:
        """Part of the interface; the link reports it to its hub."""
