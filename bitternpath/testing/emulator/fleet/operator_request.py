"""An operator's command to the consensus servers, over loopback sockets."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from bitternpath.balancer.fleet import messages as m
from bitternpath.balancer.fleet.connection import FleetConnection
from bitternpath.net.sockets import dial

REPLY_TIMEOUT = 1.0  # s to wait for a server before another is asked
RETRY_DELAY = 0.1  # s before the next server is asked
OPERATOR = "operator"


class OperatorRequest:
    """One command, sent to one server after the other until one replies."""

    def __init__(
        self, reactor: Any, command: m.Command, on_reply: Callable[[m.CommandReply], None], ports: list[int]
    ) -> None:
        self.reactor, self.command, self.on_reply, self.ports = reactor, command, on_reply, ports
        self.connection: FleetConnection | None = None
        self.finished = False
        self.attempts = 0
        self._timeout: Any = None
        self._send()

    def _send(self) -> None:
        self.attempts += 1
        connection = self.connection = FleetConnection(
            self.reactor,
            m.Hello(m.PROTOCOL_VERSION, "", "command", OPERATOR),
            self._receive,
            self._connection_lost,
        )
        dialing = dial(
            self.reactor, "127.0.0.1", self.ports[self.attempts % len(self.ports)], REPLY_TIMEOUT, connection
        )
        dialing.addErrback(lambda failure: self._connection_lost(connection))
        self._timeout = self.reactor.callLater(REPLY_TIMEOUT, self._connection_lost, connection)

    def _receive(self, connection: FleetConnection, message: m.FleetMessage) -> None:
        if connection is not self.connection:
            return
        if isinstance(message, m.Hello):
            connection.send(m.CommandRequest(1, self.command))
        elif isinstance(message, m.CommandReply):
            if not message.ok and ("leader" in message.text or "again" in message.text):
                self._connection_lost(connection)
                return
            self.finished = True
            self._close()
            self.on_reply(message)

    def _close(self) -> None:
        if self._timeout.active():
            self._timeout.cancel()
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.close()

    def _connection_lost(self, connection: FleetConnection) -> None:
        if connection is self.connection and not self.finished:
            self._close()
            self.reactor.callLater(RETRY_DELAY, self._send)
