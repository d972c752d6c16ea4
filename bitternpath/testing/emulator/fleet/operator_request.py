"""A command of the operator to the processes that keep the fleet's record, over loopback sockets."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from bitternpath.balancer.fleet import messages as m
from bitternpath.balancer.fleet.connection import FleetConnection
from bitternpath.net.sockets import dial

ANSWER_WITHIN = 1.0  # s that a process is waited for before another is asked
AGAIN_AFTER = 0.1  # s before the next one is
OPERATOR = "operator"


class OperatorRequest:
    """One command, asked of one steward after the other until there is an answer."""

    def __init__(
        self, reactor: Any, command: m.Command, then: Callable[[m.CommandReply], None], ports: list[int]
    ) -> None:
        self.reactor, self.command, self.then, self.ports = reactor, command, then, ports
        self.wire: FleetConnection | None = None
        self.over = False
        self.tries = 0
        self._alarm: Any = None
        self._ask()

    def _ask(self) -> None:
        self.tries += 1
        wire = self.wire = FleetConnection(
            self.reactor, m.Hello(m.PROTOCOL_VERSION, "", "command", OPERATOR), self._receive, self._lost
        )
        made = dial(self.reactor, "127.0.0.1", self.ports[self.tries % len(self.ports)], ANSWER_WITHIN, wire)
        made.addErrback(lambda failure: self._lost(wire))
        self._alarm = self.reactor.callLater(ANSWER_WITHIN, self._lost, wire)

    def _receive(self, wire: FleetConnection, said: m.FleetMessage) -> None:
        if wire is not self.wire:
            return
        if isinstance(said, m.Hello):
            wire.send(m.CommandRequest(1, self.command))
        elif isinstance(said, m.CommandReply):
            if not said.ok and ("leader" in said.text or "again" in said.text):
                self._lost(wire)
                return
            self.over = True
            self._let_go()
            self.then(said)

    def _let_go(self) -> None:
        if self._alarm.active():
            self._alarm.cancel()
        wire, self.wire = self.wire, None
        if wire is not None:
            wire.close()

    def _lost(self, wire: FleetConnection) -> None:
        if wire is self.wire and not self.over:
            self._let_go()
            self.reactor.callLater(AGAIN_AFTER, self._ask)
