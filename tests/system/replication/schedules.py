"""A replica group in which the test controls each message delivery and restart."""

from __future__ import annotations

from collections import defaultdict
from random import Random

from bitternpath.replication.consensus import Raft
from bitternpath.replication.messages import Message
from bitternpath.replication.records import (
    Entry,
    MemberRole,
    Members,
    PersistentState,
    Snapshot,
    StorageWrite,
)


class Disk:
    """A member's persistent state, as the journal would read it after a restart."""

    def __init__(self, founders: Members) -> None:
        self.state = PersistentState(snapshot=Snapshot(members=founders))

    def write(self, write: StorageWrite) -> None:
        """Apply one write."""
        entries = [
            entry
            for entry in self.state.entries
            if write.truncate_from is None or entry.index < write.truncate_from
        ]
        self.state = PersistentState(
            write.term,
            write.vote,
            write.snapshot or self.state.snapshot,
            write.compacted_through,
            [*entries, *write.entries],
        )


class ScheduledGroup:
    """The members of a group by name. Time only advances when the test triggers a timeout."""

    def __init__(self, names: str) -> None:
        self.founders = Members(tuple(names))
        self.disks = {name: Disk(self.founders) for name in names}
        self.now = 0.0
        self.members: dict[str, Raft] = {}
        self.committed: dict[int, Entry] = {}  # by index, as applied by the first member
        self.contradictions: list[str] = []
        self._sent: dict[tuple[str, str], list[Message]] = defaultdict(list)
        for name in names:
            self.restart(name)

    def restart(self, name: str) -> None:
        """Restart a member from its disk. Its undelivered messages are lost."""
        self.members[name] = Raft(name, self.disks[name].state, Random(name), self.now)
        for channel in self._sent:
            if channel[0] == name:
                self._sent[channel].clear()

    def run(self, name: str) -> None:
        """Process a member's effects: perform writes, queue messages, and record committed entries."""
        member = self.members[name]
        while True:
            effects = member.take_effects(self.now)
            for receiver, message in effects.messages:
                self._sent[name, receiver].append(message)
            for entry in effects.committed:
                self._commit(name, entry)
            if not effects.writes:
                return
            for write in effects.writes:
                self.disks[name].write(write)
                member.write_completed(self.now, write.number)

    def deliver(self, sender: str, *receivers: str) -> None:
        """Deliver all queued messages of a member to the given receivers."""
        for receiver in receivers:
            messages, self._sent[sender, receiver] = self._sent[sender, receiver], []
            for message in messages:
                self.members[receiver].receive(self.now, sender, message)
            self.run(receiver)

    def send(self, sender: str, receiver: str, message: Message) -> None:
        """Replace a sender's queued messages by one that it could have sent, and deliver it."""
        self._sent[sender, receiver] = [message]
        self.deliver(sender, receiver)

    def exchange(self, name: str, others: str) -> None:
        """Deliver messages between a member and others until none are queued."""
        while any(self._sent[channel] for other in others for channel in ((name, other), (other, name))):
            for other in others:
                self.deliver(name, other)
                self.deliver(other, name)

    def drop_all(self) -> None:
        """Drop all queued messages."""
        self._sent.clear()

    def time_out(self, name: str) -> None:
        """Let a member's election timeout expire, so that it requests pre-votes."""
        self.now += 10 * self.members[name].timing.election_timeout
        self.members[name].tick(self.now)
        self.run(name)

    def advance_to_heartbeat(self, name: str) -> None:
        """Advance to a leader's next heartbeat."""
        self.now += self.members[name].timing.heartbeat_interval
        self.members[name].tick(self.now)
        self.run(name)

    def elect(self, name: str, voters: str) -> None:
        """Elect a member by the votes of `voters`. No message that it sends as leader is delivered."""
        self.time_out(name)
        for _ in ("pre-vote", "vote"):
            for voter in voters:
                self.deliver(name, voter)
            for voter in voters:
                self.deliver(voter, name)
        assert self.members[name].role is MemberRole.LEADER, (name, self.members[name].role)

    def leaders(self, term: int) -> list[str]:
        """The leaders of a term."""
        return [
            name
            for name, member in self.members.items()
            if member.role is MemberRole.LEADER and member.term == term
        ]

    def _commit(self, name: str, entry: Entry) -> None:
        known = self.committed.setdefault(entry.index, entry)
        if known != entry:
            self.contradictions.append(f"{name} committed {entry} where {known} was committed")
