"""A fence that was refused is never used again (NEWS-24, "Duty").

The term of a group is the fencing token of its owner: what an owner orders are the requests of a leader.
Once a member has been told of a higher term by a message that makes it step down, it sends no such request of
a lower term any more: not from a queue, by a timer, or after a restart from the same disk.
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
    """The term in whose favour a message makes a member of a lower term step down; 0 where it never does.

    Requests for votes don't count: a member that hears its leader, or is it, ignores them.
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
    """Watches the consensus messages of all members; a member is known by the identity of its disk."""

    def __init__(self, broken: Callable[[str], object]) -> None:
        """`broken` receives a text for each request of a refused term."""
        self._broken = broken
        self._highest_refusing: dict[tuple[str, str], int] = {}  # terms below, by member and group

    def observe(self, member: str, name: str, group: ReplicaGroup) -> None:
        """Watch what an open group receives and sends from now on."""
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
        """A member gets a message of a group in which it takes part."""
        key = member, group
        self._highest_refusing[key] = max(self._highest_refusing.get(key, 0), refusing_term(message))

    def sent(self, member: str, group: str, message: Message) -> None:
        """A member sends a message."""
        refused = self._highest_refusing.get((member, group), 0)
        if isinstance(message, LeaderRequest) and message.term < refused:
            kind = type(message).__name__
            self._broken(
                f"{group}: {member} sent {kind} of term {message.term} after it had heard of {refused}"
            )
