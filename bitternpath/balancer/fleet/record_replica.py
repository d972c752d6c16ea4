"""A replica of the fleet's record, with the leader's decisions: leases, releases, replies. Does no I/O.

A `RecordReplica` is a Raft member together with the record that results from its log. A member that receives
a request from a record client or a command forwards it to the leader. Only the leader grants leases
(`leases.py`), releases versions and executes operators' commands (`commands.py`). The volatile state it needs
for this is a `Leadership`, which is discarded at the end of the term.

Why two members never make conflicting grants:

- A lease is granted only after a majority has answered a heartbeat round that began after the request
  arrived. No member of that majority had voted in a later term when it answered, so the request arrived
  before any later leader was elected.
- A node counts its lease from the moment it sent the request, by its own clock. The leader counts it from the
  arrival of the request, for `LeaseTerms.max_duration`, which is the longer time as long as both clocks stay
  within the configured drift.
- A new leader treats every holder's lease as granted at the moment of its own election.
- A holder is removed from the record only after that time, or once it has released its lease. A version is
  released only when every holder in the record has reported, under its fencing token, that it applies the
  previous version and has validated this one.
"""

from __future__ import annotations

from msgspec import Struct

from bitternpath.balancer.fleet import messages as m
from bitternpath.balancer.fleet import plan as p
from bitternpath.balancer.fleet.commands import Commands
from bitternpath.balancer.fleet.leadership import HolderState, Leadership, PendingRequest, Route
from bitternpath.balancer.fleet.leases import LeaseGrants
from bitternpath.replication.records import Entry, EntryKind, MemberRole, StorageWrite

ENTRIES_PER_COMPACTION = 1024  # entries applied since the last snapshot before the next is taken
RETAINED_ENTRIES = 512  # entries before the snapshot that stay in the log for lagging members


class Effects(Struct):
    """What the caller must do after the input handled so far."""

    messages: list[tuple[str, m.Consensus | m.ForwardedRequest | m.ForwardedReply]]  # to other members
    writes: list[StorageWrite]
    replies: list[tuple[int, m.ForwardableReply]]  # on this member's own connections
    items: list[tuple[int, p.Item]]  # entries that changed the record, by index
    committed: list[tuple[int, int, bytes]]  # index, term and data of every committed entry


class RecordReplica(LeaseGrants, Commands):
    """One member of the record's Raft group."""

    # ---- input

    @property
    def next_timeout_at(self) -> float:
        """The time at which `tick` must be called next."""
        return self.raft.next_timeout_at

    def tick(self, now: float) -> None:
        """Handle timeouts that are due."""
        self.raft.tick(now)

    def write_completed(self, now: float, number: int) -> None:
        """Handle that the write `number` and all before it are on disk."""
        self.raft.write_completed(now, number)

    def receive(
        self, now: float, sender: str, message: m.Consensus | m.ForwardedRequest | m.ForwardedReply
    ) -> None:
        """Handle a message from another member."""
        match message:
            case m.Consensus(inner):
                self.raft.receive(now, sender, inner)
            case m.ForwardedRequest(token, request):
                self._handle_request(now, (sender, token), request, forwarded=True)
            case m.ForwardedReply(token, reply):
                self._replies.append((token, reply))

    def receive_request(self, now: float, token: int, request: m.ForwardableRequest) -> None:
        """Handle a request received on one of this member's own connections."""
        self._handle_request(now, (self.member_id, token), request, forwarded=False)

    def identify_member(self, member_id: str) -> None:
        """Register the id of a connected member: its name, a dot, and its incarnation."""
        self.member_ids[member_id.partition(".")[0]] = member_id

    def take_effects(self, now: float) -> Effects:
        """Return the effects of all input so far."""
        effects = Effects([], [], [], [], [])
        self._update_leadership()
        while True:
            raft_effects = self.raft.take_effects(now)
            effects.messages += [(to, m.Consensus(message)) for to, message in raft_effects.messages]
            effects.writes += raft_effects.writes
            if raft_effects.restore is not None:
                self.record, self.applied_index = (
                    p.decode_record(raft_effects.restore.data),
                    raft_effects.restore.index,
                )
            for entry in raft_effects.committed:
                self._apply(now, entry, effects)
            before = self.raft.last_index, self.raft.heartbeat_round_requested
            self._advance_leadership(now)
            if (self.raft.last_index, self.raft.heartbeat_round_requested) == before:
                break
        self._compact()
        effects.messages += self._messages
        effects.replies = self._replies
        self._messages, self._replies = [], []
        return effects

    # ---- requests

    def _handle_request(
        self, now: float, route: Route, request: m.ForwardableRequest, forwarded: bool
    ) -> None:
        raft = self.raft
        if (
            isinstance(request, m.CommandRequest)
            and isinstance(request.command, m.Query)
            and request.command.stale
        ):
            self._reply_with_status(now, route, request)
        elif raft.role is MemberRole.LEADER:
            if self.leadership is not None and self.leadership.ready:
                self._handle_as_leader(now, self.leadership, route, request)
            else:
                self._reject(route, request, "the leader is new and has not applied the whole record yet")
        elif raft.leader and not forwarded:
            self._messages.append((raft.leader, m.ForwardedRequest(route[1], request)))
        else:
            self._reject(route, request, "this server knows no leader")

    def _reject(self, route: Route, request: m.ForwardableRequest, reason: str) -> None:
        if isinstance(request, m.RenewLease):
            self._reply(route, m.LeaseRefused(request.sent, reason, retry_elsewhere=True))
        elif isinstance(request, m.CommandRequest):
            self._reply(route, m.CommandReply(request.number, False, reason))

    def _handle_as_leader(
        self, now: float, leadership: Leadership, route: Route, request: m.ForwardableRequest
    ) -> None:
        match request:
            case m.RenewLease():
                self._handle_lease_request(now, leadership, route, request)
            case m.LeaseReleased():
                self._lease_released(leadership, request)
            case m.AuditEntries():
                self._handle_audit_entries(now, leadership, route, request)
            case m.CommandRequest():
                self._handle_command(now, leadership, route, request)

    def _handle_audit_entries(
        self, now: float, leadership: Leadership, route: Route, request: m.AuditEntries
    ) -> None:
        """Propose audit entries for the record; they are acknowledged once committed."""
        process_audit = self.record.process_audits.get(f"{request.node}#{request.boot}")
        upto = process_audit.upto if process_audit is not None else 0
        has_new = any(entry.number > upto for entry in request.entries)
        truncated = 0 < request.final_count < upto
        if (
            not has_new
            and not truncated
            and process_audit is not None
            and process_audit.matches_recorded(request.entries)
        ):
            self._reply(route, m.AuditAcknowledged(request.boot, upto))
            return
        item = p.AuditRecorded(
            request.node, request.boot, request.entries, request.final_count, self.wall_clock()
        )
        index = self._propose(now, item)
        if index is not None:
            leadership.awaiting_entry[index] = PendingRequest(index, now, route, request)

    # ---- leadership

    def _advance_leadership(self, now: float) -> None:
        self._update_leadership()
        raft, leadership = self.raft, self.leadership
        if leadership is None or not raft.has_committed_in_term or self.applied_index < raft.term_start_index:
            return
        if not leadership.ready:
            leadership.ready = True
            expires_at = leadership.elected_at + self.record.terms.max_duration
            leadership.holders = {key: HolderState(expires_at) for key in self.record.holders}
        self._complete_rounds(now, leadership)
        self._end_expired_leases(now, leadership)
        self._release_next(now, leadership)
        self._promote_learner(now)

    def _complete_rounds(self, now: float, leadership: Leadership) -> None:
        """Answer the requests whose heartbeat round a majority has answered."""
        confirmed = self.raft.confirmed_round
        due = [pending for pending in leadership.awaiting_round if pending.awaited <= confirmed]
        still_waiting = [pending for pending in leadership.awaiting_round if pending.awaited > confirmed]
        leadership.awaiting_round = still_waiting
        for pending in due:
            if isinstance(pending.request, m.CommandRequest):
                self._reply_with_status(now, pending.route, pending.request)
            else:
                self._grant(now, leadership, pending)

    def _update_leadership(self) -> None:
        """Begin or end the `Leadership` when this member's role or term has changed."""
        leadership, is_leader = self.leadership, self.raft.role is MemberRole.LEADER
        if leadership is not None and not (is_leader and leadership.term == self.raft.term):
            self._step_down(leadership)
        if self.leadership is None and is_leader:
            self.leadership = Leadership(self.raft.term, self.raft.elected_at)

    def _step_down(self, leadership: Leadership) -> None:
        self.leadership = None
        for pending in [*leadership.awaiting_round, *leadership.awaiting_entry.values()]:
            self._reject(pending.route, pending.request, "the leader has changed; ask again")

    # ---- the record

    def _apply(self, now: float, entry: Entry, effects: Effects) -> None:
        self.applied_index = entry.index
        effects.committed.append((entry.index, entry.term, entry.data))
        leadership, pending = self.leadership, None
        if leadership is not None and leadership.term == entry.term:
            pending = leadership.awaiting_entry.pop(entry.index, None)
        if entry.kind != EntryKind.COMMAND:
            if pending is not None and isinstance(pending.request, m.CommandRequest):
                self._reply(pending.route, m.CommandReply(pending.request.number, True, ""))
            return
        item = p.decode_item(entry.data)
        error = self.record.apply(entry.index, item)
        if not error:
            effects.items.append((entry.index, item))
        if leadership is None or not leadership.ready:
            return
        if not error:
            self._record_changed(now, leadership, item, pending)
        if pending is not None:
            self._reply_to_proposer(item, error, pending)

    def _record_changed(
        self, now: float, leadership: Leadership, item: p.Item, pending: PendingRequest | None
    ) -> None:
        match item:
            case p.LeaseStarted(node, boot):
                self._lease_started(now, leadership, f"{node}#{boot}", pending)
            case p.LeaseEnded(node, boot):
                leadership.holders.pop(f"{node}#{boot}", None)
            case p.AgreeChange() | p.WithdrawVersion() | p.Release():
                self._send_version_update(leadership)

    def _reply_to_proposer(self, item: p.Item, error: str, pending: PendingRequest) -> None:
        """Answer the request whose proposed entry has been applied."""
        if isinstance(item, p.AuditRecorded):
            process_audit = self.record.process_audits[f"{item.node}#{item.boot}"]
            self._reply(pending.route, m.AuditAcknowledged(item.boot, process_audit.upto))
        if isinstance(pending.request, m.CommandRequest):
            data = (
                {"version": self.record.change_versions.get(item.id, 0)}
                if isinstance(item, p.AgreeChange)
                else None
            )
            self._reply_to_command(pending.route, pending.request.number, error, data)

    def _compact(self) -> None:
        if self.applied_index - self.raft.snapshot.index >= ENTRIES_PER_COMPACTION:
            self.raft.compact(self.applied_index, p.encode_record(self.record), RETAINED_ENTRIES)
