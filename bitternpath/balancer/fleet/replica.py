"""State and helpers shared by the parts of a record replica: consensus, the record, and pending output."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import msgspec

from bitternpath.balancer.fleet import messages as m
from bitternpath.balancer.fleet import plan as p
from bitternpath.balancer.fleet.leadership import Leadership, Route
from bitternpath.replication.consensus import Raft
from bitternpath.replication.member import RaftOptions
from bitternpath.replication.records import EntryKind, Members, PersistentState, RaftTiming


class ReplicaState:
    """A Raft member and the record that results from its log."""

    def __init__(
        self,
        member_id: str,
        persistent_state: PersistentState,
        random: Random,
        now: float,
        wall_clock: Callable[[], float],
        timing: RaftTiming,
    ) -> None:
        self.member_id, self.wall_clock = member_id, wall_clock
        self.record = p.decode_record(persistent_state.snapshot.data)
        self.applied_index = persistent_state.snapshot.index
        self.raft = Raft(member_id, persistent_state, random, now, RaftOptions(timing))
        self.leadership: Leadership | None = None
        self.member_ids: dict[
            str, str
        ] = {}  # member name: its id (name.incarnation) on the present connection
        self._messages: list[tuple[str, m.Consensus | m.ForwardedRequest | m.ForwardedReply]] = []
        self._replies: list[tuple[int, m.ForwardableReply]] = []

    def _reply(self, route: Route, reply: m.ForwardableReply) -> None:
        if route[0] == self.member_id:
            self._replies.append((route[1], reply))
        else:
            self._messages.append((route[0], m.ForwardedReply(route[1], reply)))

    def _reply_to_command(self, route: Route, number: int, error: str, data: Any = None) -> None:
        """Reply to a command; `error` is empty on success."""
        encoded = msgspec.Raw(msgspec.msgpack.encode(data))
        self._reply(route, m.CommandReply(number, not error, error, encoded))

    def _propose(self, now: float, item: p.Item) -> int | None:
        """Return the index of the item's entry, or None if it can't be proposed now."""
        return self.raft.propose(now, EntryKind.COMMAND, p.encode_item(item))

    def _propose_members(self, now: float, members: Members) -> int | None:
        return self.raft.propose(now, EntryKind.MEMBERS, msgspec.msgpack.encode(members))
