"""Outgoing connections, and the accounting of sockets against the node's limit."""

from __future__ import annotations

from socket import MSG_PEEK, SO_REUSEPORT, SOL_SOCKET, socket
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.tcp import Port

# Descriptors besides client and endpoint sockets: standard streams, the poller, the reactor's wakers, the
# listener and its spare descriptor, discovery, and sockets that the system has not released yet.
RESERVED = 24
BURST = 8  # connections accepted per reactor turn; as many sockets are kept free for the next ones
ENDPOINT_SHARE = 0.25  # fraction of the remaining sockets reserved for endpoint connections
CALLBACK_SHARE = 0.25  # fraction of the listener's sockets reserved for call-backs


class BurstPort(Port):
    """Accepts a fixed number of connections per turn; Twisted's default can exceed the socket limit.

    If two processes of a node share the address (`shared`), they listen on separate sockets or on one that
    both have open, so closing the port here must not shut the socket down.
    """

    numberAccepts = property(lambda self: BURST, lambda self, value: None)
    _shouldShutdown = property(lambda self: False, lambda self, value: None)
    shared = False

    @property
    def address(self) -> str:
        """The bound address as HOST:PORT; the system may have chosen the port."""
        host = self.getHost()  # type: ignore[no-untyped-call]
        return f"{host.host}:{host.port}"

    def createInternetSocket(self) -> socket:
        created: socket = super().createInternetSocket()  # type: ignore[no-untyped-call]
        if self.shared:
            created.setsockopt(SOL_SOCKET, SO_REUSEPORT, 1)
        return created


class Sockets:
    """Counts client and endpoint sockets separately, so that neither side can exhaust the other's."""

    def __init__(self, limit: int) -> None:
        self.clients = self.endpoints = self.reserved = 0
        self.fraction = 1.0
        self.resize(limit)

    def reserve(self, count: int) -> None:
        """Reserve `count` more sockets for another listener, which counts them itself."""
        self.reserved += count
        self.resize(self.limit)

    def set_share(self, fraction: float) -> None:
        """Set the fraction of the limit for this process while other processes of the node run."""
        self.fraction = fraction
        self.resize(self.limit)

    def resize(self, limit: int) -> None:
        self.limit = limit
        self.total = max(int(limit * self.fraction) - RESERVED - self.reserved, 8)
        self.client_limit = int(self.total * (1 - ENDPOINT_SHARE))
        self.request_limit = int(self.client_limit * (1 - CALLBACK_SHARE))  # concurrent requests

    def clients_full(self) -> bool:
        return self.clients >= self.client_limit

    def endpoints_full(self) -> bool:
        return self.endpoints >= self.total - self.client_limit


def peek(transport: Any) -> bytes | None:
    """Return the first unread byte of a connection: b"" at end of input, None if there is no input."""
    try:
        first_byte: bytes = transport.getHandle().recv(1, MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b""
    return first_byte


class _SingleProtocolFactory(Factory):
    noisy = False

    def __init__(self, protocol: Protocol) -> None:
        self.protocol_instance = protocol

    def buildProtocol(self, addr: IAddress | None) -> Protocol:
        return self.protocol_instance


def dial(reactor: Any, host: str, port: int, timeout: float, protocol: Protocol) -> Deferred[Any]:
    """Connect `protocol`; the Deferred fires with it once connected, and fails after `timeout` seconds."""
    factory: Any = _SingleProtocolFactory(protocol)
    return TCP4ClientEndpoint(reactor, host, port, timeout).connect(factory)
