"""Errors of replication: one tree, each saying whose fault it is and whether a retry helps.

ReplicationError
├── NotOwnerError              nobody's fault; retriable, elsewhere: nothing was proposed
├── OutcomeUnknownError        nobody's fault; retriable only if the command is idempotent
├── GroupAlreadyOpenError      fault of the calling code; a retry doesn't help
└── CommittedEntryConflictError  fault of this program or of a disk; a retry doesn't help
"""

from __future__ import annotations

from typing import ClassVar


class ReplicationError(Exception):
    """Base of all errors of this package.

    `retriable`: whether the same request may succeed later or at another replica without the risk that it is
    carried out twice.
    """

    retriable: ClassVar[bool] = False


class NotOwnerError(ReplicationError):
    """This replica doesn't own the group. Nothing was proposed, so a retry at the owner is safe."""

    retriable = True


class OutcomeUnknownError(ReplicationError):
    """Ownership was lost after the command was proposed: it may or may not be committed.

    A retry is safe only where the state machine recognises a command that it has already applied.
    """


class GroupAlreadyOpenError(ReplicationError, ValueError):
    """The caller opened a group twice on one host."""

    def __init__(self, group: str) -> None:
        """`group`: the one that is open."""
        super().__init__(f"group {group} is already open")
        self.group = group


class CommittedEntryConflictError(ReplicationError, AssertionError):
    """A leader's entry contradicts one that is committed here.

    State Machine Safety (fig. 3 of the Raft paper) excludes this: the program or a disk is at fault. The host
    stops the group.
    """

    def __init__(self, member_id: str, index: int) -> None:
        """`index`: of the committed entry; `member_id`: the member that holds it."""
        super().__init__(f"{member_id}: entry {index} is committed and would be truncated")
        self.member_id = member_id
        self.index = index
