"""A replica host whose peers are scripted by the test."""

from __future__ import annotations

from random import Random

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from bitternpath.replication.compaction import CompactionBounds
from bitternpath.replication.host import SYSTEM_TIMING, HostOptions, ReplicaHost
from bitternpath.replication.interfaces import MessageTransport
from bitternpath.replication.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    InstallSnapshotResponse,
    Message,
    RequestVote,
    RequestVoteResponse,
)
from bitternpath.replication.records import Members, RoleChangeCause
from bitternpath.replication.wire import decode_message, encode_message
from bitternpath.storage.journal import Journal
from bitternpath.storage.segments import SegmentLog
from bitternpath.testing.simulation.file_system import SimulatedFileSystem
from bitternpath.testing.simulation.journal_writer import VirtualTimeJournalWriter

SYNC_SECONDS = 0.002


class RecordingMachine:
    """Records commands. The command `fail` raises an exception."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []

    def apply(self, index: int, command: bytes) -> object:
        if command == b"fail":
            raise RuntimeError("cannot be applied")
        self.commands.append(command)
        return b"did " + command

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode(self.commands)

    def restore(self, data: bytes) -> None:
        self.commands = msgspec.msgpack.decode(data, type=list[bytes])


class RecordingListener:
    """A listener that records its events."""

    def __init__(self) -> None:
        self.events_seen: list[tuple[object, ...]] = []

    def became_owner(self, epoch: int) -> None:
        self.events_seen.append(("owner", epoch))

    def lost_ownership(self, cause: RoleChangeCause) -> None:
        self.events_seen.append(("lost",))

    def applied(self, index: int, command: bytes, result: object) -> None:
        self.events_seen.append(("applied", index, command, result))


class ScriptedHost:
    """A host to which the test sends the messages of its peers."""

    def __init__(
        self, name: str, disk: SimulatedFileSystem | None = None, bounds: CompactionBounds | None = None
    ) -> None:
        self.clock, self.disk = Clock(), disk or SimulatedFileSystem()
        self.machine, self.events = RecordingMachine(), RecordingListener()
        self.journal_writer = VirtualTimeJournalWriter(self.clock, self.disk, SYNC_SECONDS)
        self.journal = Journal(SegmentLog(self.disk, lambda: 1, 1 << 20), self.journal_writer)
        self.sent: list[tuple[str, Message]] = []
        options = HostOptions(Random(1), SYSTEM_TIMING, bounds or CompactionBounds())
        self.host = ReplicaHost(self.clock, name, self.journal, MessageTransport(self._send), options)

    def _send(self, group: str, receiver: str, body: bytes) -> None:
        self.sent.append((receiver, decode_message(body)))

    def open(self, founders: Members | None) -> None:
        self.host.open_group("g", self.machine, founders, self.events)

    def run(self, seconds: float) -> list[tuple[str, Message]]:
        """Advance the clock and return the messages sent."""
        before = len(self.sent)
        for _ in range(round(seconds / 0.001)):
            self.clock.advance(0.001)
        return self.sent[before:]

    def turn(self) -> list[tuple[str, Message]]:
        """End the reactor turn and return the messages sent."""
        before = len(self.sent)
        self.clock.advance(0)
        return self.sent[before:]

    def receive(self, sender: str, message: Message) -> None:
        self.host.receive("g", sender, encode_message(message))

    def lead(self) -> None:
        """Run until the host is elected by `b`, which confirms all entries."""
        while not self.host.is_owner("g"):
            self.answer("b", self.run(0.01))

    def answer(self, peer: str, messages: list[tuple[str, Message]]) -> None:
        """Respond as a follower that grants and confirms everything."""
        for receiver, message in messages:
            if receiver != peer:
                continue
            match message:
                case RequestVote():
                    self.receive(peer, RequestVoteResponse(message.term, message.pre_vote, True))
                case AppendEntries():
                    match_index = message.previous_index + len(message.entries)
                    self.receive(
                        peer, AppendEntriesResponse(message.term, True, match_index, message.heartbeat_round)
                    )
                case InstallSnapshot():
                    received = message.offset + len(message.chunk)
                    stored = received >= message.size
                    self.receive(
                        peer,
                        InstallSnapshotResponse(
                            message.term, message.index, received, stored, message.heartbeat_round
                        ),
                    )


TRIO = Members(("a", "b", "c"))


def result_of(deferred: Deferred[object]) -> object:
    """The result of a Deferred, the class of its error, or None if it hasn't fired."""
    results: list[object] = []
    deferred.addCallbacks(results.append, lambda failure: results.append(failure.type))
    return results[0] if results else None
