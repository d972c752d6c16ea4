"""Invariants across all replicas of a group, and the state machine and listener that report to them.

The invariants: replicas apply the same commands in the same order, each once; a command that was acknowledged
to a client is applied, one that was refused never is; an epoch has one owner, which has applied all that was
acknowledged before.
"""

from __future__ import annotations

from typing import NoReturn

import msgspec

from bitternpath.replication.records import RoleChangeCause


class InvariantViolationError(AssertionError):
    """The program under test violated an invariant."""


class Checker:
    """Invariants across all replicas of one group. Raises `InvariantViolationError`."""

    def __init__(self) -> None:
        self.committed: list[bytes] = []
        self.refused: set[bytes] = set()
        self.acknowledged = 0  # length of the prefix of `committed` that clients may know
        self._positions: dict[bytes, int] = {}
        self._owners: dict[int, str] = {}
        # The first violation, kept because a host may catch the exception.
        self.violation: InvariantViolationError | None = None

    def fail(self, text: str) -> NoReturn:
        """Record a violation and raise it."""
        error = InvariantViolationError(text)
        self.violation = self.violation or error
        raise error

    def applied(self, node: str, position: int, command: bytes) -> None:
        """Check a command that a node applied at `position`, counted from 0."""
        if position < len(self.committed):
            if self.committed[position] != command:
                self.fail(f"{node} applied {command!r} where {self.committed[position]!r} was committed")
            return
        if command in self.refused:
            self.fail(f"{command!r} was refused as not proposed, and {node} applied it")
        if command in self._positions:
            self.fail(f"{node} applied {command!r} twice")
        self._positions[command] = position
        self.committed.append(command)

    def acknowledge(self, command: bytes) -> None:
        """Check the acknowledgement of a command to a client."""
        if command not in self._positions:
            self.fail(f"{command!r} was acknowledged and not applied")
        self.acknowledged = max(self.acknowledged, self._positions[command] + 1)

    def refuse(self, command: bytes) -> None:
        """Check the answer to a client that its command was not proposed."""
        if command in self._positions:
            self.fail(f"{command!r} was applied, and refused as not proposed")
        self.refused.add(command)

    def owns(self, epoch: int, node: str, applied: int) -> None:
        """Check the owner of a new epoch, which has applied `applied` commands."""
        if self._owners.setdefault(epoch, node) != node:
            self.fail(f"{node} and {self._owners[epoch]} own epoch {epoch}")
        if epoch == max(self._owners) and applied < self.acknowledged:
            self.fail(f"{node} owns epoch {epoch} with {applied} of {self.acknowledged} acknowledged")


class CommandLogMachine:
    """A state machine whose state is the list of all commands."""

    def __init__(self, node: str, checker: Checker) -> None:
        self.node = node
        self.checker = checker
        self.commands: list[bytes] = []

    def apply(self, index: int, command: bytes) -> object:
        """Append the command to the list."""
        self.checker.applied(self.node, len(self.commands), command)
        self.commands.append(command)
        return command

    def snapshot(self) -> bytes:
        """Encode the list."""
        return msgspec.msgpack.encode(self.commands)

    def restore(self, data: bytes) -> None:
        """Replace the list by the content of a snapshot."""
        self.commands = msgspec.msgpack.decode(data, type=list[bytes])
        if self.commands != self.checker.committed[: len(self.commands)]:
            self.checker.fail(f"{self.node} got a snapshot of what was not committed")


class Listener:
    """Reports ownership to the checker."""

    def __init__(self, node: str, checker: Checker, state_machine: CommandLogMachine) -> None:
        self.node = node
        self.checker = checker
        self.state_machine = state_machine

    def became_owner(self, epoch: int) -> None:
        """Report the new owner."""
        self.checker.owns(epoch, self.node, len(self.state_machine.commands))

    def lost_ownership(self, cause: RoleChangeCause) -> None:
        """Ignored: only the next owner is checked."""

    def applied(self, index: int, command: bytes, result: object) -> None:
        """Ignored: the state machine reports it."""
