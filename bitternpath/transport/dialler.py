"""Outgoing connections: dialling an address with back-off for as long as it is wanted."""

from __future__ import annotations

import contextlib
from typing import Any

from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from bitternpath.transport.links import Link, LinkOwner

CONNECT_TIMEOUT_S = 1.0
RECONNECT_FIRST_S, RECONNECT_MOST_S = 0.05, 1.0


class Dialler:
    """Keeps a link to one address for as long as it is wanted."""

    def __init__(self, hub: LinkOwner, address: str) -> None:
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


class _DialFactory(Factory):
    noisy = False

    def __init__(self, dialler: Dialler) -> None:
        self.dialler = dialler

    def buildProtocol(self, addr: Any) -> Link:
        link = self.dialler.hub.make_link(self.dialler.address)
        self.dialler.connected(link)
        return link

    def startedConnecting(self, connector: Any) -> None:
        """Part of Twisted's client factory interface."""

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Nobody answered, or the port is closed."""
        self.dialler.ended(False)

    def clientConnectionLost(self, connector: Any, reason: Failure) -> None:
        """The link itself has seen to it."""
