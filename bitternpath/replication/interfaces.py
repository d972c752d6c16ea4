"""What a replica group asks of the program around it, and the errors that it answers with."""

from __future__ import annotations

from typing import Protocol


class NotOwner(Exception):
    """This replica doesn't own the group. Nothing was proposed, and nothing will come of the request."""


class FateOpen(Exception):
    """Ownership was lost after the command was proposed: it may or may not be committed."""


class StateMachine(Protocol):
    """The replicated state of a group. The same commands in the same order give the same state."""

    def apply(self, index: int, command: bytes) -> object:
        """Apply a committed command; the result goes to who proposed it here."""

    def snapshot(self) -> bytes:
        """The state after the last applied command."""

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot's."""


class GroupListener(Protocol):
    """Is told of a group's course on this replica."""

    def became_owner(self, epoch: int) -> None:
        """This replica leads, and has applied all that was committed before."""

    def lost_ownership(self) -> None:
        """It no longer does."""

    def applied(self, index: int, command: bytes, result: object) -> None:
        """A command was applied; on each replica."""
