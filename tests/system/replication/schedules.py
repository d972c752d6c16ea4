"""A replica group whose messages and restarts a test orders one by one."""

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
    """What a member has written, as the journal would read it back."""

    def __init__(self, founders: Members) -> None:
        self.state = PersistentState(snapshot=Snapshot(members=founders))

    def write(self, write: StorageWrite) -> None:
        """Do one write."""
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
    """Members by name; time stands still but for elections that a test begins."""

    def __init__(self, names: str) -> None:
        self.founders = Members(tuple(names))
        self.disks = {name: Disk(self.founders) for name in names}
        self.now = 0.0
        self.members: dict[str, Raft] = {}
        self.committed: dict[int, Entry] = {}  # by index, as the first member has applied it
        self.contradictions: list[str] = []
        self._sent: dict[tuple[str, str], list[Message]] = defaultdict(list)
        for name in names:
            self.restart(name)

    def restart(self, name: str) -> None:
        """Start a member from its disk; what it had sent is lost."""
        self.members[name] = Raft(name, self.disks[name].state, Random(name), self.now)
        for channel in self._sent:
            if channel[0] == name:
                self._sent[channel].clear()

    def run(self, name: str) -> None:
        """Do what follows from a member's inputs: writes, messages to be delivered, commits."""
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
        """Deliver all that a member has sent to some others."""
        for receiver in receivers:
            messages, self._sent[sender, receiver] = self._sent[sender, receiver], []
            for message in messages:
                self.members[receiver].receive(self.now, sender, message)
            self.run(receiver)

    def send(self, sender: str, receiver: str, message: Message) -> None:
        """Deliver a message that the sender could have sent, in place of what it did."""
        self._sent[sender, receiver] = [message]
        self.deliver(sender, receiver)

    def exchange(self, name: str, others: str) -> None:
        """Deliver between one member and others until nothing is left."""
        while any(self._sent[channel] for other in others for channel in ((name, other), (other, name))):
            for other in others:
                self.deliver(name, other)
                self.deliver(other, name)

    def drop_all(self) -> None:
        """Lose all messages that are under way."""
        self._sent.clear()

    def time_out(self, name: str) -> None:
        """Let a member's election timeout pass; it asks for pre-votes."""
        self.now += 10 * self.members[name].timing.election_timeout
        self.members[name].tick(self.now)
        self.run(name)

    def advance_to_heartbeat(self, name: str) -> None:
        """Let a leader's heartbeat fall due."""
        self.now += self.members[name].timing.heartbeat_interval
        self.members[name].tick(self.now)
        self.run(name)

    def elect(self, name: str, voters: str) -> None:
        """Make a member the leader by the votes of others; nothing that it sends as leader is delivered."""
        self.time_out(name)
        for _ in ("pre-vote", "vote"):
            for voter in voters:
                self.deliver(name, voter)
            for voter in voters:
                self.deliver(voter, name)
        assert self.members[name].role is MemberRole.LEADER, (name, self.members[name].role)

    def leaders(self, term: int) -> list[str]:
        """The members that lead in a term."""
        return [
            name
            for name, member in self.members.items()
            if member.role is MemberRole.LEADER and member.term == term
        ]

    def _commit(self, name: str, entry: Entry) -> None:
        known = self.committed.setdefault(entry.index, entry)
        if known != entry:
            self.contradictions.append(f"{name} committed {entry} where {known} was committed")
