"""What must hold on all replicas of a group together, and the state machine that shows it. For tests."""

from __future__ import annotations

from typing import NoReturn

import msgspec


class InvariantViolationError(AssertionError):
    """A property does not hold."""


class Checker:
    """What must hold on all replicas together."""

    def __init__(self) -> None:
        self.committed: list[bytes] = []
        self.refused: set[bytes] = set()
        self.acknowledged = 0  # how many of the committed ones, from the first on, a client may know of
        self._places: dict[bytes, int] = {}
        self._owners: dict[int, str] = {}
        self.violation: InvariantViolationError | None = (
            None  # the first; a host may have caught the exception
        )

    def fail(self, text: str) -> NoReturn:
        """A property does not hold."""
        error = InvariantViolationError(text)
        self.violation = self.violation or error
        raise error

    def applied(self, node: str, place: int, command: bytes) -> None:
        """A node's `place`-th command, from 0 on."""
        if place < len(self.committed):
            if self.committed[place] != command:
                self.fail(f"{node} applied {command!r} where {self.committed[place]!r} was committed")
            return
        if command in self.refused:
            self.fail(f"{command!r} was refused as not proposed, and {node} applied it")
        if command in self._places:
            self.fail(f"{node} applied {command!r} twice")
        self._places[command] = place
        self.committed.append(command)

    def acknowledge(self, command: bytes) -> None:
        """A client has heard that its command is committed."""
        if command not in self._places:
            self.fail(f"{command!r} was acknowledged and not applied")
        self.acknowledged = max(self.acknowledged, self._places[command] + 1)

    def refuse(self, command: bytes) -> None:
        """A client has heard that its command was not proposed."""
        if command in self._places:
            self.fail(f"{command!r} was applied, and refused as not proposed")
        self.refused.add(command)

    def owns(self, epoch: int, node: str, applied: int) -> None:
        """A node became owner, with so many commands applied."""
        if self._owners.setdefault(epoch, node) != node:
            self.fail(f"{node} and {self._owners[epoch]} own epoch {epoch}")
        if epoch == max(self._owners) and applied < self.acknowledged:
            self.fail(f"{node} owns epoch {epoch} with {applied} of {self.acknowledged} acknowledged")


class CommandLogMachine:
    """State machine: the list of all commands."""

    def __init__(self, node: str, checker: Checker) -> None:
        self.node = node
        self.checker = checker
        self.commands: list[bytes] = []

    def apply(self, index: int, command: bytes) -> object:
        """Add it."""
        self.checker.applied(self.node, len(self.commands), command)
        self.commands.append(command)
        return command

    def snapshot(self) -> bytes:
        """The list."""
        return msgspec.msgpack.encode(self.commands)

    def restore(self, data: bytes) -> None:
        """Take a list in place of this one."""
        self.commands = msgspec.msgpack.decode(data, type=list[bytes])
        if self.commands != self.checker.committed[: len(self.commands)]:
            self.checker.fail(f"{self.node} got a snapshot of what was not committed")


class Listener:
    """Tells the checker who owns."""

    def __init__(self, node: str, checker: Checker, register: CommandLogMachine) -> None:
        self.node = node
        self.checker = checker
        self.register = register

    def became_owner(self, epoch: int) -> None:
        """Only one may, in an epoch, and with all that was acknowledged before."""
        self.checker.owns(epoch, self.node, len(self.register.commands))

    def lost_ownership(self) -> None:
        """No matter."""

    def applied(self, index: int, command: bytes, result: object) -> None:
        """The state machine has told the checker."""
