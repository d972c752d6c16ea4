"""Connections out, and how many sockets the node holds against its limit."""

from __future__ import annotations

from socket import MSG_PEEK, SO_REUSEPORT, SOL_SOCKET, socket
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.tcp import Port

# Besides clients and endpoints: standard streams, the poller, the reactor's wakers, the listener and its
# spare descriptor, discovery, and sockets that the system has not let go of yet.
RESERVED = 24
BURST = 8  # connections accepted at a time; as many sockets are kept free for the next ones
ENDPOINT_SHARE = 0.25  # the share of the rest that clients and call-backs leave to endpoint connections
CALLBACK_SHARE = 0.25  # the share of the listener's that requests leave to call-backs


class BurstPort(Port):
    """Accepts a few connections at a time. Twisted's own rule lets that number grow past the socket limit.

    Where two processes of a node share the address (`shared`), either can listen, or both on one socket: then
    its end here must not shut it down there."""

    numberAccepts = property(lambda self: BURST, lambda self, value: None)
    _shouldShutdown = property(lambda self: False, lambda self, value: None)
    shared = False

    @property
    def address(self) -> str:
        """Where it listens, as HOST:PORT; the port may have been left to the system."""
        host = self.getHost()  # type: ignore[no-untyped-call]
        return f"{host.host}:{host.port}"

    def createInternetSocket(self) -> socket:
        created: socket = super().createInternetSocket()  # type: ignore[no-untyped-call]
        if self.shared:
            created.setsockopt(SOL_SOCKET, SO_REUSEPORT, 1)
        return created


class Sockets:
    """Counts sockets by side, so that neither can take the other's last ones."""

    def __init__(self, limit: int) -> None:
        self.clients = self.endpoints = self.reserved = 0
        self.fraction = 1.0
        self.resize(limit)

    def reserve(self, count: int) -> None:
        """Keep so many more for another front, which counts them itself."""
        self.reserved += count
        self.resize(self.limit)

    def set_share(self, fraction: float) -> None:
        """How much of the limit is this process's, where another one of the node lives as well."""
        self.fraction = fraction
        self.resize(self.limit)

    def resize(self, limit: int) -> None:
        self.limit = limit
        self.total = max(int(limit * self.fraction) - RESERVED - self.reserved, 8)
        self.client_limit = int(self.total * (1 - ENDPOINT_SHARE))
        self.request_limit = int(self.client_limit * (1 - CALLBACK_SHARE))  # that may wait at once

    def clients_full(self) -> bool:
        return self.clients >= self.client_limit

    def endpoints_full(self) -> bool:
        return self.endpoints >= self.total - self.client_limit


def peek(transport: Any) -> bytes | None:
    """What has come on a connection and waits to be read: its first byte, b"" for its end, None for
    nothing."""
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
    """Connect `protocol`; fires with it once the connection is up, fails after `timeout` seconds."""
    factory: Any = _SingleProtocolFactory(protocol)
    return TCP4ClientEndpoint(reactor, host, port, timeout).connect(factory)
