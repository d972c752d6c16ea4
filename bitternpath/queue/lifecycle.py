"""The messages of a shard that have not ended, and the events that move them from phase to phase.

`tracked_messages` has the table of phases. An event of one message returns at most one action; messages that
become ready are leased later by `lease_granting`.
"""

from __future__ import annotations

from math import inf
from random import Random

from bitternpath.queue.actions import Action, ProposeCommand
from bitternpath.queue.backoff import backoff_after
from bitternpath.queue.commands import EndAttempt, ExpireMessage, GrantLease
from bitternpath.queue.ended_messages import EndedMessages
from bitternpath.queue.entries import Entry
from bitternpath.queue.lease_table import LeaseTable
from bitternpath.queue.phase_assignment import PhaseAssigner
from bitternpath.queue.results import AttemptEnded, LeaseGranted, MessageAppended, MessageExpired
from bitternpath.queue.state import QueueState
from bitternpath.queue.timers import Timer, TimerKind
from bitternpath.queue.tracked_messages import IDLE_PHASES, MessagePhase, TrackedMessage
from bitternpath.transport.records import AttemptOutcome

UNLIMITED_ATTEMPTS = 2**31 - 1  # `max_attempts` of a message whose route is not in the owner's routing table

# After this many consecutive attempts that were not run or got no response, another edge node is chosen.
RETURNS_BEFORE_EDGE_CHANGE = 2
_RETURNED_OUTCOMES = frozenset({AttemptOutcome.NOT_RUN, AttemptOutcome.UNKNOWN})


class MessageLifecycle:
    """Messages of one shard that have not ended.

    Only this class, `PhaseAssigner`, `LeaseTable` and `LeaseGranter` change their phases.
    """

    def __init__(
        self,
        state: QueueState,
        phase_assigner: PhaseAssigner,
        leases: LeaseTable,
        ended: EndedMessages,
        random: Random,
    ) -> None:
        """Track the messages of `state`; `random` provides the jitter of back-off delays."""
        self._state = state
        self._phase_assigner = phase_assigner
        self._leases = leases
        self._ended_messages = ended
        self._random = random
        self._tracked: dict[str, TrackedMessage] = {}

    # ---- the table

    def find(self, request_id: str) -> TrackedMessage | None:
        """Return a tracked message, or None if it is unknown or has ended."""
        return self._tracked.get(request_id)

    def find_leased(self, request_id: str, lease_id: str) -> TrackedMessage | None:
        """Return the message whose proposed or dispatched lease is `lease_id`, or None."""
        tracked = self._tracked.get(request_id)
        if tracked is None or tracked.lease is None or tracked.lease.lease_id != lease_id:
            return None
        return tracked

    def adopt(self, now: float, entry: Entry) -> Action | None:
        """Track a message accepted under an earlier owner.

        Its lease, if any, restarts now, because the holder may be running the message.
        """
        tracked = TrackedMessage(entry, accepted_by_this_owner=False)
        self._tracked[entry.message.request_id] = tracked
        if entry.lease is None:
            return self.assign_phase(now, tracked)
        self._phase_assigner.assign_route(tracked)
        self._leases.adopt(now, tracked, entry.lease, entry.lease.duration_ms)
        return None

    def add_provisional(self, tracked: TrackedMessage) -> None:
        """Track a message whose append and first lease have been proposed."""
        self._tracked[tracked.request_id] = tracked
        tracked.enter(MessagePhase.GRANTING)

    def remove_provisional(self, request_id: str) -> None:
        """Drop a message whose append is known not to be in the log."""
        tracked = self._tracked.pop(request_id, None)
        if tracked is not None:
            self._leases.drop_pregrant(tracked)
            self._leases.release(tracked)
            self._phase_assigner.remove(tracked)

    def assign_phase(self, now: float, tracked: TrackedMessage) -> Action | None:
        """Assign the phase of a message that is neither leased nor ended."""
        command = self._phase_assigner.assign_phase(now, tracked)
        return None if command is None else ProposeCommand(command)

    def reassign_if_idle(self, now: float, tracked: TrackedMessage) -> Action | None:
        """Assign the phase of a message again if it is in an idle phase."""
        return self.assign_phase(now, tracked) if tracked.phase in IDLE_PHASES else None

    # ---- applied commands

    def message_appended(self, now: float, result: MessageAppended) -> Action | None:
        """Track a message that this owner has accepted."""
        entry = self._state.find(result.command.message.request_id)
        if entry is None or entry.ended:
            return None
        self._state.restart_delay(entry)
        provisional = self._tracked.get(entry.message.request_id)
        if provisional is not None:
            provisional.entry = entry  # the next command in the log grants its lease
            return None
        tracked = TrackedMessage(entry, accepted_by_this_owner=True)
        self._tracked[entry.message.request_id] = tracked
        return self.assign_phase(now, tracked)

    def lease_granted(self, now: float, result: LeaseGranted) -> Action | None:
        """Dispatch a message whose lease is committed; make it idle if the grant had no effect."""
        command = result.command
        tracked = self.find_leased(command.request_id, command.lease_id)
        if tracked is None:
            return None
        if not result.granted:
            return self._make_idle(now, tracked)
        if tracked.pregrant is not None and tracked.pregrant.lease_id == command.lease_id:
            tracked.lease = None
            return self.assign_phase(now, tracked)
        self._leases.start_lease(now, tracked, command.duration_ms)
        action = self._leases.dispatch(now, tracked, command)
        return self._return_unsent(command) if action is None else action

    def attempt_ended(self, now: float, result: AttemptEnded) -> Action | None:
        """End the message or apply its back-off after an attempt under a lease of any owner has ended."""
        command = result.command
        tracked = self._tracked.get(command.request_id)
        if tracked is None:
            return None
        edge = ""
        if tracked.lease is not None and tracked.lease.lease_id == command.lease_id:
            edge = tracked.lease.edge
            self._leases.record_outcome(now, tracked, command.outcome)
            self._leases.release(tracked)
        if result.ended_message:
            return self._end(now, tracked)
        self._back_off(now, tracked, command, edge)
        if tracked.phase in (MessagePhase.GRANTING, MessagePhase.EXPIRING):
            return None
        return self.assign_phase(now, tracked)

    def expiry_applied(self, now: float, result: MessageExpired) -> Action | None:
        """End a message as a dead letter; assign its phase again if the expiry had no effect."""
        tracked = self._tracked.get(result.command.request_id)
        if tracked is None:
            return None
        if result.ended_message:
            return self._end(now, tracked)
        if tracked.phase is MessagePhase.EXPIRING:
            return self.assign_phase(now, tracked)
        return None

    # ---- proposals that are known not to be in the log

    def grant_not_proposed(self, now: float, command: GrantLease) -> Action | None:
        """Make a message idle whose lease was not proposed."""
        tracked = self.find_leased(command.request_id, command.lease_id)
        return None if tracked is None else self._make_idle(now, tracked)

    def expiry_not_proposed(self, now: float, command: ExpireMessage) -> Action | None:
        """Make a message idle whose expiry was not proposed."""
        tracked = self._tracked.get(command.request_id)
        if tracked is None or tracked.phase is not MessagePhase.EXPIRING:
            return None
        return self._make_idle(now, tracked)

    def end_not_proposed(self, command: EndAttempt) -> Action | None:
        """Propose the end of an attempt again unless another lease has been granted."""
        tracked = self.find_leased(command.request_id, command.lease_id)
        return None if tracked is None else ProposeCommand(command)

    # ---- time and edge nodes

    def timer_fired(self, now: float, timer: Timer) -> Action | None:
        """Process the end of a message's delay, back-off, grace period, lease or retention."""
        tracked = timer.tracked
        if timer.kind is TimerKind.RETENTION:
            if timer.when == tracked.retention_timer:
                tracked.retention_timer = inf
            return self.reassign_if_idle(now, tracked)
        if tracked.phase in (MessagePhase.DELAYED, MessagePhase.UNROUTED):
            return self.assign_phase(now, tracked)
        if tracked.phase is not MessagePhase.LEASED:
            return None
        if now < tracked.lease_ends_at:  # the lease was extended
            self._leases.set_timer(tracked)
            return None
        return self._lease_timed_out(now, tracked)

    def edge_process_ended(self, now: float, request_id: str) -> Action | None:
        """Release a lease of an edge node whose process has ended.

        The lease of an ordered message stays until it times out, since a worker may still be running it.
        """
        tracked = self._tracked[request_id]
        if tracked.phase is not MessagePhase.LEASED or tracked.entry.message.order_key:
            return None
        return self._lease_timed_out(now, tracked)

    # ---- reports of holders

    def extend(self, now: float, request_id: str, lease_id: str) -> bool:
        """Extend a pulled lease from now; False if it is not current."""
        tracked = self._tracked.get(request_id)
        lease = None if tracked is None else tracked.entry.lease
        if tracked is None or lease is None or lease.lease_id != lease_id or not lease.pulled:
            return False
        duration_ms = self._leases.pull_duration_ms
        if tracked.phase is MessagePhase.LEASED:
            tracked.lease_ends_at = now + duration_ms / 1000
            return True
        if tracked.phase not in IDLE_PHASES:
            return False
        self._leases.adopt(now, tracked, lease, duration_ms)
        return True

    def end_attempt_command(
        self, request_id: str, lease_id: str, outcome: AttemptOutcome, stamp: str, retry_after_ms: int
    ) -> EndAttempt:
        """Return the command for a holder's report, with the current `max_attempts`."""
        if outcome is AttemptOutcome.ROUTE_GONE:
            outcome = AttemptOutcome.NOT_RUN
        tracked = self._tracked.get(request_id)
        if tracked is not None:
            self._phase_assigner.assign_route(tracked)
        route = None if tracked is None else tracked.route
        max_attempts = UNLIMITED_ATTEMPTS if route is None else route.max_attempts
        return EndAttempt(request_id, lease_id, outcome, stamp, max_attempts, retry_after_ms)

    def _return_unsent(self, grant: GrantLease) -> ProposeCommand:
        command = self.end_attempt_command(
            grant.request_id, grant.lease_id, AttemptOutcome.NOT_RUN, stamp="", retry_after_ms=0
        )
        return ProposeCommand(command)

    def _make_idle(self, now: float, tracked: TrackedMessage) -> Action | None:
        self._leases.drop_pregrant(tracked)
        self._leases.release(tracked)
        return self.assign_phase(now, tracked)

    def _lease_timed_out(self, now: float, tracked: TrackedMessage) -> Action | None:
        """Release a lease whose holder did not report in time.

        It stays current in the replicated state until the next grant.
        """
        if tracked.lease is not None:
            tracked.avoided_edge = tracked.lease.edge
        self._leases.release(tracked)
        return self.assign_phase(now, tracked)

    def _back_off(self, now: float, tracked: TrackedMessage, command: EndAttempt, edge: str) -> None:
        repetitions = tracked.count_repetitions(command.outcome)
        if command.outcome in _RETURNED_OUTCOMES and repetitions + 1 >= RETURNS_BEFORE_EDGE_CHANGE:
            tracked.avoided_edge = edge
        delay = backoff_after(command.outcome, repetitions, command.retry_after_ms, self._random)
        tracked.retry_at = now + delay

    def _end(self, now: float, tracked: TrackedMessage) -> Action | None:
        """Move a message to `EndedMessages` and assign the phase of the next one of its order key."""
        self._leases.drop_pregrant(tracked)
        self._leases.release(tracked)
        tracked.enter(MessagePhase.ENDED)
        del self._tracked[tracked.request_id]
        self._phase_assigner.remove(tracked)
        self._ended_messages.add(tracked.entry)
        key = tracked.entry.message.order_key
        head = self._state.order_head(key) if key else None
        successor = None if head is None else self._tracked.get(head.message.request_id)
        if successor is None or successor.phase is not MessagePhase.BLOCKED:
            return None
        return self.assign_phase(now, successor)
