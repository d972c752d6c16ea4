"""Checks that a refused fencing token is never used again (NEWS-24, "Duty").

The term of a group is the fencing token of its owner, and the requests of a leader are the orders that carry
it. After a member has received a higher term in a message that makes it step down, it sends no leader request
of a lower term: not from a queue, by a timer, or after a restart from the same disk.
"""

from __future__ import annotations

from collections.abc import Callable

from bitternpath.replication.group import GroupEffects, ReplicaGroup
from bitternpath.replication.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    InstallSnapshotResponse,
    LeaderRequest,
    Message,
    RequestVoteResponse,
)


def refusing_term(message: Message) -> int:
    """The term of a message that makes members of lower terms step down; 0 if the message never does.

    Requests for votes don't count: a leader, or a member in contact with its leader, ignores them.
    """
    match message:
        case RequestVoteResponse(term=term, pre_vote=pre_vote, granted=granted):
            return 0 if pre_vote and granted else term
        case AppendEntriesResponse(term=term) | InstallSnapshotResponse(term=term):
            return term
        case AppendEntries(term=term) | InstallSnapshot(term=term):
            return term
    return 0


class RefusedTermChecker:
    """Observes the consensus messages of all members; a member is identified by its disk."""

    def __init__(self, report: Callable[[str], object]) -> None:
        """Create a checker that passes a description of each request of a refused term to `report`."""
        self._report = report
        self._highest_refusing: dict[tuple[str, str], int] = {}  # by member and group

    def observe(self, member: str, name: str, group: ReplicaGroup) -> None:
        """Observe the messages that an open group receives and sends."""
        receive = group.receive
        flush = group.flush

        def received(now: float, sender: str, message: Message) -> None:
            self.received(member, name, message)
            receive(now, sender, message)

        def flushed(now: float) -> GroupEffects:
            effects = flush(now)
            for _, message in effects.messages:
                self.sent(member, name, message)
            return effects

        group.receive = received  # type: ignore[method-assign]
        group.flush = flushed  # type: ignore[method-assign]

    def received(self, member: str, group: str, message: Message) -> None:
        """Record a message that a member received."""
        key = member, group
        self._highest_refusing[key] = max(self._highest_refusing.get(key, 0), refusing_term(message))

    def sent(self, member: str, group: str, message: Message) -> None:
        """Check a message that a member sends."""
        refused = self._highest_refusing.get((member, group), 0)
        if isinstance(message, LeaderRequest) and message.term < refused:
            kind = type(message).__name__
            self._report(
                f"{group}: {member} sent {kind} of term {message.term} after it received term {refused}"
            )
