"""A state machine and listener for tests that only concern consensus."""

from __future__ import annotations

from bitternpath.replication.records import RoleChangeCause


class StatelessMachine:
    """A state machine without state, which is also a listener that ignores events."""

    def apply(self, index: int, command: bytes) -> object:
        return None

    def snapshot(self) -> bytes:
        return b"state"

    def restore(self, data: bytes) -> None:
        """Do nothing, since there is no state."""

    def became_owner(self, epoch: int) -> None:
        """Ignored."""

    def lost_ownership(self, cause: RoleChangeCause) -> None:
        """Ignored."""

    def applied(self, index: int, command: bytes, result: object) -> None:
        """Ignored."""
