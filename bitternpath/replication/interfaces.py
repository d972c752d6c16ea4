"""Interfaces a replica group requires of its host program: state machine, journal, listener, transport."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from bitternpath.replication.records import PersistentState, RoleChangeCause, StorageWrite

SendMessage = Callable[[str, str, bytes], None]
"""Sends an encoded message: group, receiver, body. May lose it; keeps the order of those that it doesn't."""


def _no_op() -> None:
    """Nothing is to be done after a turn."""


@dataclass(frozen=True, slots=True)
class MessageTransport:
    """Sends consensus messages. `turn_ended` is called once all messages of a reactor turn were sent."""

    send: SendMessage
    turn_ended: Callable[[], None] = _no_op


class StateMachine(Protocol):
    """The replicated state of a group. The same commands in the same order give the same state."""

    def apply(self, index: int, command: bytes) -> object:
        """Apply a committed command; the result goes to whoever proposed it here."""

    def snapshot(self) -> bytes:
        """The state after the last applied command."""

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot."""


class GroupJournal(Protocol):
    """Persistent state of the groups of a process; implemented by `storage.journal`."""

    def groups(self) -> tuple[str, ...]:
        """The groups that the disk held at the start and that nobody has taken yet."""

    def on_corrupt_snapshot(self, corrupted: Callable[[str], None]) -> None:
        """Have `corrupted` called with a group whose snapshot was found corrupt on disk."""

    def take_persistent_state(self, group: str) -> PersistentState | None:
        """What the disk held of a group at the start; None if it held none. Given once."""

    def tombstone_generation(self, group: str) -> int | None:
        """Generation of the membership at which this disk gave the group up; None where it never did."""

    def bootstrap_group(self, group: str, state: PersistentState) -> None:
        """Write the state with which a group begins here."""

    def write(self, group: str, write: StorageWrite, done: Callable[[], None]) -> None:
        """Write a batch after those before it; `done` is called once it is synced."""

    def remove_group(self, group: str, generation: int) -> None:
        """Remove all that is kept of a group, given up at that generation of its members."""


class GroupListener(Protocol):
    """Is notified of what happens to a group on this replica. Called inside of a flush of the group."""

    def became_owner(self, epoch: int) -> None:
        """This replica leads and has applied all that was committed before; `epoch` is its term."""

    def lost_ownership(self, cause: RoleChangeCause) -> None:
        """This replica no longer owns the group (also called on close, with `CLOSED`)."""

    def applied(self, index: int, command: bytes, result: object) -> None:
        """A command was applied; on each replica."""
