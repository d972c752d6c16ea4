"""Leases on the leader's side: grants, lagging holders, and the release of the next version. Does no I/O."""

from __future__ import annotations

from bitternpath.balancer.fleet import messages as m
from bitternpath.balancer.fleet import plan as p
from bitternpath.balancer.fleet.leadership import HolderState, Leadership, PendingRequest, Route
from bitternpath.balancer.fleet.replica import ReplicaState


class LeaseGrants(ReplicaState):
    """The part of a replica that grants leases to node processes while it is the leader."""

    def _handle_lease_request(
        self, now: float, leadership: Leadership, route: Route, request: m.RenewLease
    ) -> None:
        holder = self.record.holders.get(f"{request.node}#{request.boot}")
        if holder is not None and request.sent < leadership.holders[holder.key].last_sent_at:
            return  # delayed: a newer request has been handled already
        if holder is not None and holder.fencing_token == request.fencing_token:
            self._renew(now, leadership, leadership.holders[holder.key], route, request)
        else:
            self._start_lease(now, leadership, route, request)

    def _renew(
        self, now: float, leadership: Leadership, state: HolderState, route: Route, request: m.RenewLease
    ) -> None:
        state.update(now, route, request)
        up_to_date = request.applied_version >= self.record.released.version
        if up_to_date and self._has_validated(state, self.record.latest.version):
            state.behind_since = None
        else:
            if state.behind_since is None:
                state.behind_since = now
            self._send_missing_versions(route, request)
            if self._lags_too_long(now, leadership, state):
                reason = (
                    state.rejection
                    or f"it applies {request.applied_version} and has {request.validated_version}"
                )
                lag = f"straggler for more than {self.record.terms.catch_up:g} s"
                self._reply(route, m.LeaseRefused(request.sent, f"{lag}: {reason}"))
                return
        leadership.awaiting_round.append(
            PendingRequest(self.raft.request_heartbeat_round(), now, route, request)
        )

    def _lags_too_long(self, now: float, leadership: Leadership, state: HolderState) -> bool:
        since = state.behind_since or now
        excused = bool(state.rejection) and leadership.half_reject()
        return now > since + self.record.terms.catch_up and not excused

    def _has_validated(self, state: HolderState, version: int) -> bool:
        """Whether a holder has validated `version` with its present content."""
        return (
            state.validated_version >= version
            and self.record.digest_of(state.validated_version) == state.digest
        )

    def _send_missing_versions(self, route: Route, request: m.RenewLease) -> None:
        """Send the versions that a process lacks; the whole plan where they are no longer kept."""
        changes_since = self.record.changes_since(request.validated_version, request.digest)
        if changes_since is None:
            self._reply(route, m.PlanSnapshot(self.record.released, tuple(self.record.unreleased)))
        elif changes := tuple(changes_since):
            self._reply(route, m.VersionChanges(changes))

    def _start_lease(self, now: float, leadership: Leadership, route: Route, request: m.RenewLease) -> None:
        same_plan = self.record.digest_of(request.validated_version) == request.digest
        too_old = request.release < self.record.latest.least_release
        if not too_old and not (same_plan and request.validated_version >= self.record.latest.version):
            self._send_missing_versions(route, request)
        refusal = self._start_refusal(leadership, request)
        if refusal:
            self._reply(route, m.LeaseRefused(request.sent, refusal))
        else:
            self._propose_lease_start(now, leadership, route, request)

    def _start_refusal(self, leadership: Leadership, request: m.RenewLease) -> str:
        """Return why a process can't get a lease now, or an empty string if it can."""
        record = self.record
        if request.release < record.latest.least_release:
            least_release = ".".join(map(str, record.latest.least_release))
            return f"its release is older than {least_release}, the least allowed"
        if (
            request.validated_version < record.released.version
            or record.digest_of(request.validated_version) != request.digest
        ):
            return (
                request.rejection
                or f"it has {request.validated_version}, {record.released.version} is released"
            )
        if (
            request.rejection
            and request.validated_version < record.latest.version
            and not leadership.half_reject()
        ):
            return request.rejection  # as a holder it would block the release for all others
        return ""

    def _propose_lease_start(
        self, now: float, leadership: Leadership, route: Route, request: m.RenewLease
    ) -> None:
        key = f"{request.node}#{request.boot}"
        if leadership.proposed_starts.get(key, 0) > self.applied_index:
            return
        item = p.LeaseStarted(
            request.node, request.boot, request.site, request.release, request.without_lease,
            request.validated_version, request.digest, self.wall_clock(),
        )  # fmt: skip
        index = self._propose(now, item)
        if index is not None:
            leadership.proposed_starts[key] = index
            leadership.awaiting_entry[index] = PendingRequest(index, now, route, request)

    def _lease_started(
        self, now: float, leadership: Leadership, key: str, pending: PendingRequest | None
    ) -> None:
        """Grant the lease: the entry that makes the process a holder is committed."""
        if key not in self.record.holders:
            return
        # This leader proposed it: entries of earlier leaders were applied before this leadership was ready.
        assert pending is not None and isinstance(pending.request, m.RenewLease)
        state = HolderState(pending.received_at + self.record.terms.max_duration)
        leadership.holders[key] = state
        state.update(now, pending.route, pending.request)
        self._grant(now, leadership, pending)

    def _grant(self, now: float, leadership: Leadership, pending: PendingRequest) -> None:
        """Grant a lease once the request's heartbeat round is answered or its entry is committed."""
        request = pending.request
        assert isinstance(request, m.RenewLease)
        holder = self.record.holders.get(f"{request.node}#{request.boot}")
        state = leadership.holders.get(holder.key) if holder is not None else None
        if holder is None or state is None or state.end_proposed:
            return
        state.expires_at = max(state.expires_at, pending.received_at + self.record.terms.max_duration)
        released, length = self.record.released, self.record.terms.lease
        lease = m.Lease(request.sent, length, holder.fencing_token, released.version, released.digest)
        self._reply(pending.route, lease)

    def _lease_released(self, leadership: Leadership, message: m.LeaseReleased) -> None:
        """Handle a process that releases its lease."""
        holder = self.record.holders.get(f"{message.node}#{message.boot}")
        if holder is not None and holder.fencing_token == message.fencing_token:
            self._propose_lease_end(leadership, holder, "it ended")

    def _propose_lease_end(self, leadership: Leadership, holder: p.Holder, reason: str) -> None:
        state = leadership.holders[holder.key]
        if not state.end_proposed:
            item = p.LeaseEnded(holder.node, holder.boot, holder.fencing_token, reason, self.wall_clock())
            state.end_proposed = self._propose(self.raft.now, item) is not None

    def _end_expired_leases(self, now: float, leadership: Leadership) -> None:
        for key, state in leadership.holders.items():
            if now > state.expires_at and not state.end_proposed:
                self._propose_lease_end(leadership, self.record.holders[key], "its lease is over")

    def _release_next(self, now: float, leadership: Leadership) -> None:
        """Release the next version once every holder has validated it and applies the one before."""
        released = self.record.released.version
        if self.record.latest.version <= released or leadership.release_index > self.applied_index:
            return
        states = leadership.holders.values()
        if all(
            state.applied_version >= released and self._has_validated(state, released + 1) for state in states
        ):
            leadership.release_index = self._propose(now, p.Release(released + 1, self.wall_clock())) or 0

    def _send_version_update(self, leadership: Leadership) -> None:
        """Notify all holders of the released and the latest version."""
        update = m.VersionUpdate(self.record.released.version, self.record.latest.version)
        for state in leadership.holders.values():
            if state.route is not None:
                self._reply(state.route, update)
