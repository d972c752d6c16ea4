"""What a replica group asks of the program around it, and the errors that it answers with."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from bitternpath.replication.records import PersistentState, StorageWrite


class NotOwnerError(Exception):
    """This replica doesn't own the group. Nothing was proposed, and nothing will come of the request."""


class OutcomeUnknownError(Exception):
    """Ownership was lost after the command was proposed: it may or may not be committed."""


class StateMachine(Protocol):
    """The replicated state of a group. The same commands in the same order give the same state."""

    def apply(self, index: int, command: bytes) -> object:
        """Apply a committed command; the result goes to who proposed it here."""

    def snapshot(self) -> bytes:
        """The state after the last applied command."""

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot's."""


class GroupJournal(Protocol):
    """Where the groups of a process are kept; `storage/journal.py` has it."""

    def groups(self) -> tuple[str, ...]:
        """The groups that the disk held at the start and that nobody has taken yet."""

    def on_corrupt_snapshot(self, damaged: Callable[[str], None]) -> None:
        """`damaged` is told a group whose snapshot was found damaged on disk."""

    def take_persistent_state(self, group: str) -> PersistentState | None:
        """What the disk held of a group at the start; given once."""

    def tombstone_generation(self, group: str) -> int | None:
        """The generation of the members at which this disk gave the group up; None where it never did."""

    def found(self, group: str, kept: PersistentState) -> None:
        """Write the state with which a group begins here."""

    def write(self, group: str, write: StorageWrite, done: Callable[[], None]) -> None:
        """Write a batch after those before it; `done` is called once it is synced."""

    def forget(self, group: str, generation: int) -> None:
        """Remove all that is kept of a group, given up at that generation of its members."""


class GroupListener(Protocol):
    """Is told of a group's course on this replica."""

    def became_owner(self, epoch: int) -> None:
        """This replica leads, and has applied all that was committed before."""

    def lost_ownership(self) -> None:
        """It no longer does."""

    def applied(self, index: int, command: bytes, result: object) -> None:
        """A command was applied; on each replica."""
