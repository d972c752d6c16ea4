"""Exception hierarchy of replication, with the responsible party and whether a retry helps.

ReplicationError
├── NotOwnerError                expected in operation; retriable at the owner, since nothing was proposed
├── OutcomeUnknownError          expected in operation; retriable only if the command is idempotent
├── GroupAlreadyOpenError        fault of the calling code; a retry doesn't help
└── CommittedEntryConflictError  fault of this program or of a disk; a retry doesn't help
"""

from __future__ import annotations

from typing import ClassVar


class ReplicationError(Exception):
    """Base class of all errors of this package.

    `retriable` tells whether the same request may succeed later or at another replica without the risk of
    being executed twice.
    """

    retriable: ClassVar[bool] = False


class NotOwnerError(ReplicationError):
    """This replica doesn't own the group. Nothing was proposed, so it is safe to retry at the owner."""

    retriable = True


class OutcomeUnknownError(ReplicationError):
    """Ownership was lost after the command was proposed: it may or may not be committed.

    A retry is only safe if the state machine recognises a command that it has already applied.
    """


class GroupAlreadyOpenError(ReplicationError, ValueError):
    """The caller opened a group that is already open on this host."""

    def __init__(self, group: str) -> None:
        """`group` is the name of the open group."""
        super().__init__(f"group {group} is already open")
        self.group = group


class CommittedEntryConflictError(ReplicationError, AssertionError):
    """An entry of a leader conflicts with an entry that is committed here.

    State Machine Safety (fig. 3 of the Raft paper) excludes this, so it indicates a fault of the program or
    of a disk. The host stops the group.
    """

    def __init__(self, member_id: str, index: int) -> None:
        """`index` is that of the committed entry; `member_id` is the member whose log contains it."""
        super().__init__(f"{member_id}: entry {index} is committed and would be truncated")
        self.member_id = member_id
        self.index = index
