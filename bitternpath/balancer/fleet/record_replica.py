"""A replica of the fleet's record, and what its leader decides: leases, releases, answers. Pure.

A `RecordReplica` is a member of the consensus with the record that follows from it. Requests of record
clients and commands go to the leader, whichever member receives them. The leader alone grants leases
(`leases.py`), releases versions and does what operators ask (`commands.py`); what it needs for that beyond
the record it keeps in a `Leadership`, which ends with its term.

Why two members never grant at odds:

- A lease is granted only once a round has been answered by a majority that began after the request came. Who
  answered had voted for nobody else by then, so the request is older than any later leader's election.
- A node's lease runs from the moment of its asking, by its own clock. For the leader it runs from the moment
  in which the request came, and `LeaseTerms.longest` on: longer, whatever both clocks do within the drift
  stated.
- A new leader takes every holder's lease as granted in the moment of its election.
- A holder leaves the record only after that time, or by its own word; and a version is released only when
  every holder in the record has reported, under its fencing token, that it acts on the one before and has
  taken this one.
"""

from __future__ import annotations

from msgspec import Struct

from bitternpath.balancer.fleet import messages as m
from bitternpath.balancer.fleet import plan as p
from bitternpath.balancer.fleet.commands import Commands
from bitternpath.balancer.fleet.leadership import HolderState, Leadership, PendingRequest, Route
from bitternpath.balancer.fleet.leases import LeaseGrants
from bitternpath.replication.records import Entry, EntryKind, MemberRole, StorageWrite

COMPACT_ENTRIES = 1024  # after which the record is written down whole
KEPT_ENTRIES = 512  # that stay for members that lag


class Effects(Struct):
    """What follows; `agreed` tells of entries that changed the record."""

    send: list[tuple[str, m.Consensus | m.ForwardedRequest | m.ForwardedReply]]  # to other members
    writes: list[StorageWrite]
    replies: list[tuple[int, m.ForwardableReply]]  # on this member's own connections
    agreed: list[tuple[int, p.Item]]
    applied: list[tuple[int, int, bytes]]  # index, term and content of all that was taken for agreed


class RecordReplica(LeaseGrants, Commands):
    """One member."""

    # ---- inputs

    @property
    def alarm(self) -> float:
        """When `tick` is wanted next."""
        return self.raft.next_timeout_at

    def tick(self, now: float) -> None:
        """Time has passed."""
        self.raft.tick(now)

    def stored(self, now: float, number: int) -> None:
        """That write and those before it are on disk."""
        self.raft.write_completed(now, number)

    def receive(
        self, now: float, sender: str, message: m.Consensus | m.ForwardedRequest | m.ForwardedReply
    ) -> None:
        """Receive a message of another member."""
        match message:
            case m.Consensus(inner):
                self.raft.receive(now, sender, inner)
            case m.ForwardedRequest(token, request):
                self._take_request(now, (sender, token), request, passed=True)
            case m.ForwardedReply(token, answer):
                self._replies.append((token, answer))

    def receive_request(self, now: float, token: int, request: m.ForwardableRequest) -> None:
        """Receive a request on one of this member's own connections."""
        self._take_request(now, (self.me, token), request, passed=False)

    def met(self, id: str) -> None:
        """A member has said who it is: its name, a dot, and its incarnation."""
        self.member_ids[id.partition(".")[0]] = id

    def take(self, now: float) -> Effects:
        """Return the effects of all input so far."""
        effects = Effects([], [], [], [], [])
        self._keep_leadership()
        while True:
            out = self.raft.take_effects(now)
            effects.send += [(to, m.Consensus(message)) for to, message in out.messages]
            effects.writes += out.writes
            if out.restore is not None:
                self.record, self.applied = p.record_from(out.restore.data), out.restore.index
            for entry in out.committed:
                self._apply(now, entry, effects)
            before = self.raft.last_index, self.raft.heartbeat_round_requested
            self._lead(now)
            if (self.raft.last_index, self.raft.heartbeat_round_requested) == before:
                break
        self._compact()
        effects.send += self._send
        effects.replies = self._replies
        self._send, self._replies = [], []
        return effects

    # ---- requests

    def _take_request(self, now: float, route: Route, request: m.ForwardableRequest, passed: bool) -> None:
        raft = self.raft
        if (
            isinstance(request, m.CommandRequest)
            and isinstance(request.command, m.Query)
            and request.command.stale
        ):
            self._answer_status(now, route, request)
        elif raft.role is MemberRole.LEADER:
            if self.leadership is not None and self.leadership.ready:
                self._lead_request(now, self.leadership, route, request)
            else:
                self._reject(route, request, "the leader is new and does not know the record yet")
        elif raft.leader and not passed:
            self._send.append((raft.leader, m.ForwardedRequest(route[1], request)))
        else:
            self._reject(route, request, "no leader is known here")

    def _reject(self, route: Route, request: m.ForwardableRequest, why: str) -> None:
        if isinstance(request, m.RenewLease):
            self._reply(route, m.LeaseRefused(request.sent, why, elsewhere=True))
        elif isinstance(request, m.CommandRequest):
            self._reply(route, m.CommandReply(request.number, False, why))

    def _lead_request(
        self, now: float, leadership: Leadership, route: Route, request: m.ForwardableRequest
    ) -> None:
        match request:
            case m.RenewLease():
                self._lease_requested(now, leadership, route, request)
            case m.LeaseReleased():
                self._parting(leadership, request)
            case m.AuditLines():
                self._take_audit_lines(now, leadership, route, request)
            case m.CommandRequest():
                self._command(now, leadership, route, request)

    def _take_audit_lines(
        self, now: float, leadership: Leadership, route: Route, request: m.AuditLines
    ) -> None:
        """Lines are acknowledged once the record has them."""
        account = self.record.accounts.get(f"{request.node}#{request.boot}")
        upto = account.upto if account is not None else 0
        fresh = any(line.number > upto for line in request.lines)
        ends_here = 0 < request.final < upto
        if not fresh and not ends_here and account is not None and account.agrees(request.lines):
            self._reply(route, m.AuditAcknowledged(request.boot, upto))
            return
        item = p.AuditRecorded(request.node, request.boot, request.lines, request.final, self.wall())
        index = self._propose(now, item)
        if index is not None:
            leadership.awaiting_entry[index] = PendingRequest(index, now, route, request)

    # ---- leading

    def _lead(self, now: float) -> None:
        self._keep_leadership()
        raft, leadership = self.raft, self.leadership
        if leadership is None or not raft.has_committed_in_term or self.applied < raft.term_start_index:
            return
        if not leadership.ready:
            leadership.ready = True
            until = leadership.since + self.record.terms.longest
            leadership.holders = {key: HolderState(until) for key in self.record.holders}
        self._answer_rounds(now, leadership)
        self._end_old_leases(now, leadership)
        self._release_next(now, leadership)
        self._promote_learner(now)

    def _answer_rounds(self, now: float, leadership: Leadership) -> None:
        """A majority has answered a round: what waited for it is answered."""
        confirmed = self.raft.confirmed_round
        due = [pending for pending in leadership.awaiting_round if pending.awaited <= confirmed]
        later = [pending for pending in leadership.awaiting_round if pending.awaited > confirmed]
        leadership.awaiting_round = later
        for pending in due:
            if isinstance(pending.request, m.CommandRequest):
                self._answer_status(now, pending.route, pending.request)
            else:
                self._grant(now, leadership, pending)

    def _keep_leadership(self) -> None:
        """A leadership is one term's."""
        leadership, leads = self.leadership, self.raft.role is MemberRole.LEADER
        if leadership is not None and not (leads and leadership.term == self.raft.term):
            self._step_down(leadership)
        if self.leadership is None and leads:
            self.leadership = Leadership(self.raft.term, self.raft.elected_at)

    def _step_down(self, leadership: Leadership) -> None:
        self.leadership = None
        for pending in [*leadership.awaiting_round, *leadership.awaiting_entry.values()]:
            self._reject(pending.route, pending.request, "the leader has changed; ask again")

    # ---- the record

    def _apply(self, now: float, entry: Entry, effects: Effects) -> None:
        self.applied = entry.index
        effects.applied.append((entry.index, entry.term, entry.data))
        leadership, pending = self.leadership, None
        if leadership is not None and leadership.term == entry.term:
            pending = leadership.awaiting_entry.pop(entry.index, None)
        if entry.kind != EntryKind.COMMAND:
            if pending is not None and isinstance(pending.request, m.CommandRequest):
                self._reply(pending.route, m.CommandReply(pending.request.number, True, ""))
            return
        item = p.item_from(entry.data)
        why_not = self.record.apply(entry.index, item)
        if not why_not:
            effects.agreed.append((entry.index, item))
        if leadership is None or not leadership.ready:
            return
        if not why_not:
            self._record_changed(now, leadership, item, pending)
        if pending is not None:
            self._answer_entry(item, why_not, pending)

    def _record_changed(
        self, now: float, leadership: Leadership, item: p.Item, pending: PendingRequest | None
    ) -> None:
        match item:
            case p.LeaseStarted(node, boot):
                self._joined(now, leadership, f"{node}#{boot}", pending)
            case p.LeaseEnded(node, boot):
                leadership.holders.pop(f"{node}#{boot}", None)
            case p.AgreeChange() | p.WithdrawVersion() | p.Release():
                self._send_version_update(leadership)

    def _answer_entry(self, item: p.Item, why_not: str, pending: PendingRequest) -> None:
        """An entry that somebody waited for is applied."""
        if isinstance(item, p.AuditRecorded):
            account = self.record.accounts[f"{item.node}#{item.boot}"]
            self._reply(pending.route, m.AuditAcknowledged(item.boot, account.upto))
        if isinstance(pending.request, m.CommandRequest):
            data = {"version": self.record.ids.get(item.id, 0)} if isinstance(item, p.AgreeChange) else None
            self._answer(pending.route, pending.request.number, why_not, data)

    def _compact(self) -> None:
        if self.applied - self.raft.snapshot.index >= COMPACT_ENTRIES:
            self.raft.compact(self.applied, p.record_bytes(self.record), KEPT_ENTRIES)
