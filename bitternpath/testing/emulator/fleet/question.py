"""A command of the operator to the processes that keep the fleet's record, over loopback sockets."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from bitternpath.balancer.fleet import messages as m
from bitternpath.balancer.fleet.wire import Wire
from bitternpath.net.sockets import dial

ANSWER_WITHIN = 1.0  # s that a process is waited for before another is asked
AGAIN_AFTER = 0.1  # s before the next one is
OPERATOR = "operator"


class Question:
    """One command, asked of one steward after the other until there is an answer."""

    def __init__(
        self, reactor: Any, command: m.Command, then: Callable[[m.Answer], None], ports: list[int]
    ) -> None:
        self.reactor, self.command, self.then, self.ports = reactor, command, then, ports
        self.wire: Wire | None = None
        self.over = False
        self.tries = 0
        self._alarm: Any = None
        self._ask()

    def _ask(self) -> None:
        self.tries += 1
        wire = self.wire = Wire(
            self.reactor, m.Hello(m.VERSION, "", "command", OPERATOR), self._hear, self._lost
        )
        made = dial(self.reactor, "127.0.0.1", self.ports[self.tries % len(self.ports)], ANSWER_WITHIN, wire)
        made.addErrback(lambda failure: self._lost(wire))
        self._alarm = self.reactor.callLater(ANSWER_WITHIN, self._lost, wire)

    def _hear(self, wire: Wire, said: m.Said) -> None:
        if wire is not self.wire:
            return
        if isinstance(said, m.Hello):
            wire.say(m.Ask(1, self.command))
        elif isinstance(said, m.Answer):
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

    def _lost(self, wire: Wire) -> None:
        if wire is self.wire and not self.over:
            self._let_go()
            self.reactor.callLater(AGAIN_AFTER, self._ask)
