"""Interfaces that a replica group requires: state machine, journal, listener, and transport."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from bitternpath.replication.records import PersistentState, RoleChangeCause, StorageWrite

SendMessage = Callable[[str, str, bytes], None]
"""Sends an encoded message (group, receiver, body). Messages may be lost, but are delivered in order."""


def _no_op() -> None:
    """Do nothing at the end of a turn."""


@dataclass(frozen=True, slots=True)
class MessageTransport:
    """Sends consensus messages. `turn_ended` is called after all messages of a reactor turn were sent."""

    send: SendMessage
    turn_ended: Callable[[], None] = _no_op


class StateMachine(Protocol):
    """The replicated state of a group, determined only by the commands and their order."""

    def apply(self, index: int, command: bytes) -> object:
        """Apply a committed command. The result is returned to the local proposer, if any."""

    def snapshot(self) -> bytes:
        """The state after the last applied command."""

    def restore(self, data: bytes) -> None:
        """Replace the state with that of a snapshot."""


class GroupJournal(Protocol):
    """Persistent state of a process's groups; implemented by `storage.journal`."""

    def groups(self) -> tuple[str, ...]:
        """The groups that were on disk at start and whose state hasn't been taken yet."""

    def on_corrupt_snapshot(self, corrupted: Callable[[str], None]) -> None:
        """Register a callback, called with the name of a group whose snapshot on disk is corrupt."""

    def take_persistent_state(self, group: str) -> PersistentState | None:
        """The state of a group that was on disk at start; None if there was none. Can be taken only once."""

    def tombstone_generation(self, group: str) -> int | None:
        """Membership generation at which the group was removed from this disk; None if it never was."""

    def bootstrap_group(self, group: str, state: PersistentState) -> None:
        """Write the initial state of a group."""

    def write(self, group: str, write: StorageWrite, done: Callable[[], None]) -> None:
        """Write a batch after all earlier ones. `done` is called once it is synced."""

    def remove_group(self, group: str, generation: int) -> None:
        """Remove a group's state; `generation` is the membership generation at which it is removed."""


class GroupListener(Protocol):
    """Receives the events of a group on this replica. Called during a flush of the group."""

    def became_owner(self, epoch: int) -> None:
        """This replica leads and has applied all entries of earlier terms; `epoch` is its term."""

    def lost_ownership(self, cause: RoleChangeCause) -> None:
        """This replica no longer owns the group. Also called on close, with the cause `CLOSED`."""

    def applied(self, index: int, command: bytes, result: object) -> None:
        """A command was applied. Called on every replica."""
