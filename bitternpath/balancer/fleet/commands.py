"""Operators' commands on the leader: changes, membership, leadership transfer, status. Does no I/O."""

from __future__ import annotations

from typing import Any

import msgspec

from bitternpath.balancer.fleet import messages as m
from bitternpath.balancer.fleet import plan as p
from bitternpath.balancer.fleet.leadership import HolderState, Leadership, PendingRequest, Route
from bitternpath.balancer.fleet.replica import ReplicaState
from bitternpath.replication.records import MemberRole, Members

MAX_LEARNER_LAG = 64  # entries by which a learner may lag behind the commit index to become a voter
CHANGE_IN_PROGRESS = "leadership or membership is changing; ask again"


class Commands(ReplicaState):
    """The part of a replica that executes commands as the leader; status queries as any member."""

    def _handle_command(
        self, now: float, leadership: Leadership, route: Route, request: m.CommandRequest
    ) -> None:
        match request.command:
            case m.Query():
                pending = PendingRequest(self.raft.request_heartbeat_round(), now, route, request)
                leadership.awaiting_round.append(pending)
            case m.Propose():
                self._propose_change(now, leadership, route, request, request.command)
            case m.Withdraw(version, author, reason):
                index = self._propose(now, p.WithdrawVersion(version, author, reason))
                self._reply_when_committed(now, leadership, route, request, index)
            case m.ChangeMembers():
                self._change_members(now, leadership, route, request, request.command)
            case m.TransferLeadership(to):
                to = self._voter_id(to)
                accepted = self.raft.transfer_leadership(now, to)
                self._reply_to_command(
                    route, request.number, "" if accepted else f"{to} is not another voter"
                )

    def _propose_change(
        self, now: float, leadership: Leadership, route: Route, request: m.CommandRequest, command: m.Propose
    ) -> None:
        if command.id in self.record.change_versions:  # a retry of a committed change
            self._reply_to_command(
                route, request.number, "", {"version": self.record.change_versions[command.id]}
            )
            return
        item = p.AgreeChange(command.id, command.author, command.reason, self.wall_clock(), command.change)
        self._reply_when_committed(now, leadership, route, request, self._propose(now, item))

    def _change_members(
        self,
        now: float,
        leadership: Leadership,
        route: Route,
        request: m.CommandRequest,
        command: m.ChangeMembers,
    ) -> None:
        if command.add and command.add not in self.member_ids:
            self._reply_to_command(route, request.number, f"{command.add} is not connected; does it run?")
            return
        members = self.raft.members
        add = self.member_ids.get(command.add, "")
        remove = next((id for id in members.all if id.partition(".")[0] == command.remove), command.remove)
        error = self._membership_error(add, remove)
        if error:
            self._reply_to_command(route, request.number, error)
            return
        voters = tuple(name for name in members.voters if name != remove)
        learners = tuple(name for name in members.learners if name != remove)
        index = self._propose_members(now, Members(voters, (*learners, add) if add else learners))
        self._reply_when_committed(now, leadership, route, request, index)

    def _reply_when_committed(
        self, now: float, leadership: Leadership, route: Route, request: m.CommandRequest, index: int | None
    ) -> None:
        if index is None:
            self._reply_to_command(route, request.number, CHANGE_IN_PROGRESS)
        else:
            leadership.awaiting_entry[index] = PendingRequest(index, now, route, request)

    def _voter_id(self, name: str) -> str:
        return next((id for id in self.raft.members.voters if id.partition(".")[0] == name), name)

    def _membership_error(self, add: str, remove: str) -> str:
        members = self.raft.members
        if bool(add) == bool(remove):
            return "exactly one server can be added or removed at a time"
        if not self.raft.may_change_members or (members.learners and add):
            return "another membership change is in progress; ask again"
        if add in members.all:
            return f"{add} is already a member"
        if remove and remove not in members.all:
            return f"{remove} is not a member; members are {', '.join(members.all)}"
        if remove and members.voters == (remove,):
            return f"{remove} is the last voter"
        return ""

    def _promote_learner(self, now: float) -> None:
        """Make a learner a voter once it has nearly all committed entries."""
        members, raft = self.raft.members, self.raft
        if not members.learners or not raft.may_change_members:
            return
        for name in members.learners:
            peer = raft.peers.get(name)
            least_index = raft.commit_index - MAX_LEARNER_LAG
            if peer is not None and peer.match_index and peer.match_index >= least_index:
                learners = tuple(other for other in members.learners if other != name)
                self._propose_members(now, Members((*members.voters, name), learners))
                return

    # ---- status

    def _reply_with_status(self, now: float, route: Route, request: m.CommandRequest) -> None:
        status = self._status(now)
        if isinstance(request.command, m.Query) and request.command.what == "audit":
            status |= self._audit_status()
        self._reply_to_command(route, request.number, "", status)

    def _status(self, now: float) -> dict[str, Any]:
        """Return what this member knows. Times are in s; those of holders are ages on the leader's clock."""
        record, raft = self.record, self.raft
        states = self.leadership.holders if self.leadership is not None else {}
        applied_versions = (state.applied_version for state in states.values())
        return {
            "steward": self.member_id,
            "applied": self.applied_index,
            "terms": record.terms,
            "leader": raft.leader,
            "term": raft.term,
            "voters": raft.members.voters,
            "learners": raft.members.learners,
            "heard": now - raft.last_contact if raft.role is not MemberRole.LEADER else 0.0,
            "released": record.released.version,
            "latest": record.latest.version,
            "in_effect": min(applied_versions, default=record.released.version),
            "plan": record.released,
            "waiting": record.unreleased,
            "changes": record.changes,
            "release_times": record.release_times,
            "holders": [
                holder_status(now, holder, states.get(key)) for key, holder in record.holders.items()
            ],
        }

    def _audit_status(self) -> dict[str, Any]:
        record = self.record
        audits = [
            msgspec.to_builtins(process_audit)
            | {"unheard": process_audit.missing_entries(key in record.holders)}
            for key, process_audit in record.process_audits.items()
        ]
        return {"ids": record.change_versions, "accounts": audits}


def holder_status(now: float, holder: p.Holder, state: HolderState | None) -> dict[str, Any]:
    """Return a holder as the record has it, with what the leader knows about it."""
    status: dict[str, Any] = msgspec.to_builtins(holder)
    if state is not None:
        status |= {
            "acting": state.applied_version,
            "have": state.validated_version,
            "heard": now - state.last_heard_at if state.route is not None else None,
            "until": state.expires_at - now,
            "refuses": state.rejection,
            "behind": now - state.behind_since if state.behind_since is not None else 0.0,
        }
    return status
