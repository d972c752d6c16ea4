"""A state machine and listener for groups of which only the consensus matters."""

from __future__ import annotations

from bitternpath.replication.records import RoleChangeCause


class StatelessMachine:
    """A state machine without a state, and a listener."""

    def apply(self, index: int, command: bytes) -> object:
        return None

    def snapshot(self) -> bytes:
        return b"state"

    def restore(self, data: bytes) -> None:
        """There is no state."""

    def became_owner(self, epoch: int) -> None:
        """Ignored."""

    def lost_ownership(self, cause: RoleChangeCause) -> None:
        """Ignored."""

    def applied(self, index: int, command: bytes, result: object) -> None:
        """Ignored."""
