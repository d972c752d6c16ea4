"""Link between two processes of a node: a Unix stream socket under `$TMPDIR`."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

import structlog
from twisted.internet.interfaces import IAddress, IFileDescriptorReceiver
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.internet.tcp import Port as TcpPort
from twisted.internet.unix import Port
from twisted.python.failure import Failure
from zope.interface import implementer

from bitternpath.balancer.handover.messages import LinkError, Message, MessageDecoder, encode_message

log = structlog.get_logger(part="handover")

MAX_SOCKET_PATH = 100  # bytes; a little below the limit of the system for addresses of Unix sockets


@implementer(IFileDescriptorReceiver)
class Link(Protocol):
    """One end of a link. `on_message` is called with each message, `on_lost` once at its end."""

    transport: Any

    def __init__(self, on_message: Callable[[Link, Message], None], on_lost: Callable[[Link], None]) -> None:
        self.on_message = on_message
        self.on_lost = on_lost
        self.decoder = MessageDecoder()
        self.descriptor: int | None = None  # received, not taken yet
        self.open = False

    def connectionMade(self) -> None:
        self.open = True

    def fileDescriptorReceived(self, descriptor: int) -> None:
        self._close_descriptor()
        self.descriptor = descriptor

    def dataReceived(self, data: bytes) -> None:
        try:
            for message in self.decoder.feed(data):
                if self.open:
                    self.on_message(self, message)
        except LinkError as error:
            log.warning("handover_link_failed", why=error)
            self.open = False  # ignores messages that were received after it
            self.close()

    def send(self, message: Message, descriptor: int | None = None) -> None:
        if self.open:
            if descriptor is not None:
                self.transport.sendFileDescriptor(descriptor)
            self.transport.write(encode_message(message))

    def take_descriptor(self) -> int | None:
        descriptor, self.descriptor = self.descriptor, None
        return descriptor

    def _close_descriptor(self) -> None:
        descriptor = self.take_descriptor()
        if descriptor is not None:
            os.close(descriptor)

    def close(self) -> None:
        self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.open = False
        self._close_descriptor()
        self.on_lost(self)


class LinkFactory(Factory):
    noisy = False

    def __init__(self, create_link: Callable[[], Link]) -> None:
        self.create_link = create_link

    def buildProtocol(self, addr: IAddress | None) -> Protocol:
        return self.create_link()


class UpgradePort(Port):
    """Unix port that does not remove its socket file at its close, as Twisted's does.

    By then the file belongs to another process.
    """

    def connectionLost(self, reason: Failure) -> None:
        TcpPort.connectionLost(self, reason)  # type: ignore[no-untyped-call]


class UpgradeSocket:
    """Socket file through which the next process of this node connects to this one.

    The file atomically replaces that of an earlier process. It is never removed: connecting to a stale file
    fails.
    """

    def __init__(self, reactor: Any, directory: Path, name: str) -> None:
        self.reactor, self.path = reactor, directory / name
        self._port: Any = None
        # Open descriptor of the directory, if the path of the socket is too long for an address.
        self._directory_descriptor: int | None = None

    def address(self, name: str) -> str:
        path = str(self.path.with_name(name))
        if len(os.fsencode(path)) <= MAX_SOCKET_PATH:
            return path
        if self._directory_descriptor is None:
            self._directory_descriptor = os.open(
                self.path.parent, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC
            )
        return f"/proc/self/fd/{self._directory_descriptor}/{name}"

    def open(self, create_link: Callable[[], Link]) -> None:
        """Listen, and replace the file of an earlier process. Raises OSError or CannotListenError."""
        if self._port is not None:
            self._port.stopListening()
        temporary_name = f"{self.path.name}.{os.getpid()}"
        self.path.with_name(temporary_name).unlink(missing_ok=True)
        factory: Any = LinkFactory(create_link)
        self._port = UpgradePort(
            os.fsencode(self.address(temporary_name)), factory, mode=0o600, reactor=self.reactor
        )
        self._port.startListening()
        os.replace(self.path.with_name(temporary_name), self.path)
