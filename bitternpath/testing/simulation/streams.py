"""One end of a simulated TCP connection: the transport of a Twisted protocol.

The two ends share a `Connection`, which has a `Direction` each way. Packets are delivered in order. While the
path is partitioned or the receiver has no power, they are held back; they are retransmitted once the path is
open. A sender that resets the connection or loses power drops its undelivered packets.
"""

from __future__ import annotations

import errno
import os
import socket
from collections import deque
from typing import Any

from twisted.internet.address import IPv4Address
from twisted.internet.error import ConnectionAborted, ConnectionDone, ConnectionLost
from twisted.internet.interfaces import IConsumer, IHalfCloseableProtocol, IPushProducer, ITCPTransport
from zope.interface import implementer

from bitternpath.testing.simulation.errors import failure
from bitternpath.testing.simulation.interfaces import Packet, StreamConnection
from bitternpath.testing.simulation.reactor import VirtualReactor

WINDOW_BYTES = 256 << 10  # limit of bytes in flight or unread by the peer
BUFFER_BYTES = 64 << 10  # size of the send buffer above which the producer is paused


class VirtualSocket:
    """The socket operations that code under test uses: options, and peeking at unread bytes."""

    def __init__(self, stream: Stream) -> None:
        self._stream = stream

    def setsockopt(self, level: int, option: int, value: int) -> None:
        """Set TCP_USER_TIMEOUT; other options have no effect."""
        if level == socket.IPPROTO_TCP and option == socket.TCP_USER_TIMEOUT:
            self._stream.user_timeout_s = value / 1000

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Peek at unread bytes, as with MSG_PEEK; nothing is consumed."""
        stream = self._stream
        if not stream.connected:
            raise OSError(errno.EBADF, os.strerror(errno.EBADF))
        if stream.incoming:
            return stream.incoming[0][:size]
        if stream.reset_received:
            raise ConnectionResetError(errno.ECONNRESET, os.strerror(errno.ECONNRESET))
        if stream.end_received:
            return b""
        raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))


@implementer(ITCPTransport, IPushProducer, IConsumer)
class Stream:
    """The transport at one end of a connection."""

    def __init__(
        self, connection: StreamConnection, reactor: VirtualReactor, local: Any, remote: Any
    ) -> None:
        self.connection = connection
        self.reactor = reactor
        self.local = local
        self.remote = remote
        self.protocol: Any = None
        self.connector: Any = None  # set at the client end only
        self.peer: Stream = self  # the other end; set by the connection
        self.connected = False
        self.closed = False  # also set if it is given up before it was connected
        self.power_lost = False  # its host lost power: packets of the peer are answered by resets
        self.disconnecting = False
        self.incoming: deque[bytes] = deque()
        self.end_received = self.reset_received = False
        self.user_timeout_s = 0.0
        self._paused = self._aborting = self._read_end_reported = False
        self._write_closing = self._write_closed = False
        self._backlog: list[bytes] = []
        self._backlog_bytes = self._unread = 0
        self._producer: Any = None
        self._streaming = self._producer_paused = False
        self._read_planned = False

    # ---- ITransport

    def write(self, data: bytes) -> None:
        """Send, or buffer until the peer has read more."""
        if not self.connected or self._write_closed or self._aborting or not data:
            return
        self._backlog.append(bytes(data))
        self._backlog_bytes += len(data)
        self._send_backlog()
        if self._producer is not None and self._streaming and self._backlog_bytes > BUFFER_BYTES:
            self._producer_paused = True
            self._producer.pauseProducing()

    def writeSequence(self, data: Any) -> None:
        """Write the concatenation of several byte strings."""
        self.write(b"".join(data))

    def loseConnection(self) -> None:
        """Close after the buffer has been sent; read nothing more."""
        if self.connected and not self.disconnecting and not self._aborting:
            self.disconnecting = True
            self.reactor.callLater(0, self._close_when_sent)

    def abortConnection(self) -> None:
        """Reset the connection."""
        if self.connected and not self._aborting:
            self._aborting = True
            self.reactor.callLater(0, self._close, ConnectionAborted())

    def loseWriteConnection(self) -> None:
        """Send the end of the stream after the buffer; reading continues."""
        if self.connected and not self._write_closing:
            self._write_closing = True
            self.reactor.callLater(0, self._close_writing)

    def getHandle(self) -> VirtualSocket:
        """The virtual socket of this end."""
        return VirtualSocket(self)

    def getPeer(self) -> IPv4Address:
        """Address of the other end."""
        return IPv4Address("TCP", *self.remote)

    def getHost(self) -> IPv4Address:
        """Address of this end."""
        return IPv4Address("TCP", *self.local)

    def getTcpNoDelay(self) -> bool:
        """Packets are never delayed."""
        return True

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Packets are never delayed."""

    def getTcpKeepAlive(self) -> bool:
        """There are no probes."""
        return False

    def setTcpKeepAlive(self, enabled: bool) -> None:
        """There are no probes."""

    # ---- producers

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        """Register a producer, which is paused while the send buffer is over its limit."""
        if self._producer is not None:
            raise RuntimeError("a producer is registered already")
        if self.closed:
            producer.stopProducing()
            return
        self._producer = producer
        self._streaming = streaming
        self._producer_paused = False
        if not streaming:
            producer.resumeProducing()

    def unregisterProducer(self) -> None:
        """Remove the producer."""
        self._producer = None

    def pauseProducing(self) -> None:
        """Stop reading."""
        self._paused = True

    def resumeProducing(self) -> None:
        """Continue reading."""
        if self._paused:
            self._paused = False
            self._plan_read()

    def stopProducing(self) -> None:
        """Close the connection."""
        self.loseConnection()

    # ---- events of the connection

    def start(self, protocol: Any) -> None:
        """Attach the protocol of an established connection; called in a turn of the reactor."""
        self.protocol = protocol
        self.connected = True
        self.reactor.sockets[self] = None
        self.reactor.run(protocol.makeConnection, self)
        self._plan_read()

    def arrived(self, packet: Packet, data: bytes) -> None:
        """Receive a packet, as the host's kernel does; packets come in order."""
        if self.closed or self.reactor.ended:
            self._refuse(packet)
            return
        if packet is Packet.DATA:
            self.incoming.append(data)
        elif packet is Packet.END:
            self.end_received = True
        elif packet is Packet.RESET:
            self.reset_received = True
            self.connection.stop_sending(self)
        if self.protocol is not None and not self._read_planned:
            self._read_planned = True
            self.reactor.read(self._read)

    def consumed(self, size: int) -> None:
        """Open the send window after the peer's process has read `size` bytes."""
        self._unread -= size
        if self._backlog and self.connected:
            self._send_backlog()

    def fail(self, reason: Exception) -> None:
        """Close the connection because of a time-out in the kernel."""
        if self.connected:
            self.connection.stop_sending(self)
            self.reactor.read(lambda: self._close(reason))

    def killed(self, resets: bool) -> None:
        """Close the socket of an ended process, with a reset if `resets` is set or bytes are unread."""
        if not self.closed:
            resets = resets or bool(self.incoming)
            self._release()
            self.connection.send(self, Packet.RESET if resets else Packet.END)

    def lost_power(self) -> None:
        """Close because the host lost power; the peer receives nothing."""
        self._release()
        self.power_lost = True
        self.connection.stop_sending(self)

    # ---- reading

    def _plan_read(self) -> None:
        if not self._read_planned and (self.incoming or self.end_received or self.reset_received):
            self._read_planned = True
            self.reactor.scheduler.push(self.reactor.scheduler.now, self.reactor.read, self._read)

    def _read(self) -> None:
        self._read_planned = False
        while self.connected and self.incoming and not (self._paused or self.disconnecting or self._aborting):
            data = self.incoming[0] if len(self.incoming) == 1 else b"".join(self.incoming)
            self.incoming.clear()
            self.peer.consumed(len(data))
            if not self.reactor.run(self.protocol.dataReceived, data):
                self._close(ConnectionLost("dataReceived raised"))
        if not self.connected or self._aborting:
            return
        if self.reset_received and not self.incoming:
            self._close(ConnectionLost("reset by peer"))
        elif self.end_received and not (self.incoming or self._paused or self.disconnecting):
            self._read_end()

    def _read_end(self) -> None:
        if self._read_end_reported:
            return
        self._read_end_reported = True
        half: Any = IHalfCloseableProtocol(self.protocol, None)
        if half is None or self._write_closed:
            self._close(ConnectionDone())
        elif not self.reactor.run(half.readConnectionLost):
            self._close(ConnectionLost("readConnectionLost raised"))

    # ---- writing and closing

    def _send_backlog(self) -> None:
        while self._backlog and self._unread < WINDOW_BYTES:
            data = self._backlog.pop(0)
            self._backlog_bytes -= len(data)
            self._unread += len(data)
            self.connection.send(self, Packet.DATA, data)
        if not self._backlog:
            self._ask_producer()

    def _ask_producer(self) -> None:
        if self._producer is None:
            return
        if self._producer_paused or not self._streaming:
            self._producer_paused = False
            self.reactor.callLater(0, self._resume_producer)

    def _resume_producer(self) -> None:
        if self._producer is not None and not self._backlog:
            self._producer.resumeProducing()

    def _close_when_sent(self) -> None:
        if not self.connected:
            return
        if self._backlog:
            self.reactor.callLater(0.01, self._close_when_sent)
        else:
            self._close(ConnectionDone())

    def _close_writing(self) -> None:
        if not self.connected or self.disconnecting:
            return
        if self._backlog:
            self.reactor.callLater(0.01, self._close_writing)
            return
        self._write_closed = True
        self.connection.send(self, Packet.END)
        half: Any = IHalfCloseableProtocol(self.protocol, None)
        if half is not None:
            half.writeConnectionLost()

    def _close(self, reason: Exception) -> None:
        """Close the socket, then notify the protocol."""
        if not self.connected:
            return
        aborted = isinstance(reason, ConnectionAborted) or bool(self.incoming)
        ended = self._write_closed
        self._release()
        if aborted:
            self.connection.send(self, Packet.RESET)
        elif not ended:
            self.connection.send(self, Packet.END)
        producer = self._producer
        self._producer = None
        if producer is not None:
            self.reactor.run(producer.stopProducing)
        self.reactor.run(self.protocol.connectionLost, failure(reason))
        if self.connector is not None:
            self.reactor.run(self.connector.connectionLost, failure(reason))

    def _release(self) -> None:
        self.connected = False
        self.closed = True
        self._backlog.clear()
        self._backlog_bytes = 0
        self.reactor.sockets.pop(self, None)
        self.connection.end_closed()

    def _refuse(self, packet: Packet) -> None:
        """Answer a packet for a closed connection by a reset."""
        if packet in (Packet.DATA, Packet.ESTABLISHED) or (self.power_lost and packet is Packet.END):
            self.connection.send(self, Packet.RESET)
