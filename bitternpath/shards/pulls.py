"""Workers that pull: each waits at one shard whose owner is in this node's zone, where there is one.

So jobs rarely cross zones. A shard where jobs wait and no worker does tells a few edge nodes. Each moves its
share of the workers that wait elsewhere, or where it has too few, sends those there that come next. A job
that comes from a shard that the worker has left still goes to the worker; a second one is handed back.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from bitternpath.configuration.placement import shard_group
from bitternpath.ingress.interfaces import LeaseAnswer, PulledJob
from bitternpath.queue.sharding import shard_of_lease
from bitternpath.shards.owners import Owner, ShardOwners
from bitternpath.shards.reports import AttemptReport, AttemptReporter
from bitternpath.transport.records import AttemptOutcome
from bitternpath.transport.shard_messages import (
    EndAttemptResponse,
    ExtendRequest,
    PullCancel,
    PullRequest,
    PullResponse,
    WorkAvailable,
)

ANSWER_MARGIN_S = 0.5  # beyond the worker's wait, for the owner's answer
END_PATIENCE_S = 5.0  # an end or an extension waits so long for an owner
EXTEND_RETRY_S = 0.1
WANTED_S = 0.5  # workers that come so soon go to a shard that has asked; then it has asked others, or anew

# What a pulling worker's status means (PROTOCOL, "Workers").
SUCCESS_STATUSES = range(200, 300)
NOT_RUN_STATUSES = (400, 429, 503)
FAILED_STATUS, REJECTED_STATUS = 500, 422


def outcome_of(status: int, stamp: str) -> AttemptOutcome:
    """The outcome that a worker's `X-Job-Status` stands for."""
    if status in SUCCESS_STATUSES and stamp:
        return AttemptOutcome.SUCCEEDED
    if status == FAILED_STATUS:
        return AttemptOutcome.FAILED
    if status == REJECTED_STATUS:
        return AttemptOutcome.REJECTED
    if status in NOT_RUN_STATUSES:
        return AttemptOutcome.NOT_RUN
    return AttemptOutcome.UNKNOWN


class Ticket:
    """One waiting worker (see `ingress.service.PendingPull`). It may move to another shard while it waits."""

    def __init__(self, pulls: PullRouter, number: int, service: str, instance: str, wait_s: float) -> None:
        self.result: Deferred[PulledJob | None] = Deferred()
        self.number, self.service = number, service
        self.group = ""
        self._pulls, self._instance = pulls, instance
        self._ends_at = pulls.reactor.seconds() + wait_s
        self._owner: Owner | None = None
        self._request = 0
        self._attempt = 0  # shards that it has waited at
        self._done = False
        self.promised = False  # a message was sent to the shard where it waits
        self._timer = pulls.reactor.callLater(wait_s + ANSWER_MARGIN_S, self._finish, None)

    def wait_at(self, group: str, owner: Owner) -> None:
        """Wait at a shard from now on."""
        self._leave()
        wait_ms = int((self._ends_at - self._pulls.reactor.seconds()) * 1000)
        if wait_ms <= 0:
            self._finish(None)
            return
        self.group, self._owner = group, owner

        def make(number: int) -> PullRequest:
            self._request = number
            return PullRequest(number, group, self.service, self._instance, wait_ms)

        self._attempt += 1
        self.promised = False
        request = owner.link.request(make)
        request.addCallbacks(
            self._answered, self._lost, callbackArgs=(group, self._attempt), errbackArgs=(self._attempt,)
        )

    def cancel(self) -> None:
        """The worker has gone."""
        if not self._done:
            self._leave()
            self._finish(None)

    def waits_at_another(self, owner: Owner) -> bool:
        """Whether the node at which it waits is not this owner."""
        return self._owner is not None and self._owner.link is not owner.link

    def _leave(self) -> None:
        if self._owner is not None:
            self._owner.link.send(PullCancel(self._request, self.group))
            self._owner = None

    def _answered(self, record: Any, group: str, attempt: int) -> None:
        job = record if isinstance(record, PullResponse) and record.message is not None else None
        if job is not None and job.message is not None and self._done:
            self._pulls.hand_back(group, job.message.request_id, job.lease_id)
        elif job is not None and job.message is not None:
            if attempt != self._attempt:
                self._leave()  # it waits elsewhere by now
            self._finish(PulledJob(job.lease_id, job.message))
        elif attempt == self._attempt:
            self._finish(None)

    def _lost(self, failure: Failure, attempt: int) -> None:
        if attempt == self._attempt:
            self._finish(None)

    def _finish(self, job: PulledJob | None) -> None:
        if self._done:
            return
        self._done = True
        if self._timer.active():
            self._timer.cancel()
        self._pulls.ended(self)
        self.result.callback(job)


class EmptyTicket:
    """For a worker that can't wait anywhere: no shard has an owner."""

    def __init__(self, reactor: Any, wait_s: float) -> None:
        self.result: Deferred[PulledJob | None] = Deferred()
        self._timer = reactor.callLater(wait_s, self.result.callback, None)

    def cancel(self) -> None:
        """The worker has gone."""
        if self._timer.active():
            self._timer.cancel()
            self.result.callback(None)


@dataclass(slots=True)
class _Wanted:
    """Workers that a shard has asked this node for and that it did not have."""

    workers: int
    until: float


class PullRouter:
    """Waiting workers, and the leases they hold."""

    def __init__(
        self, reactor: Any, owners: ShardOwners, reports: AttemptReporter, zone: str, random: Random
    ) -> None:
        self.reactor, self.owners, self.reports = reactor, owners, reports
        self.zone, self.random = zone, random
        self._tickets: dict[int, Ticket] = {}  # by number: an order that a seed repeats
        self._tickets_counted = 0
        self._wanted: dict[str, dict[str, _Wanted]] = {}  # by service and group

    def pull(self, service: str, instance: str, wait_ms: int) -> Ticket | EmptyTicket:
        """Wait for a job of a service."""
        group = self._take_wanted(service) or self._any_group()
        owner = self.owners.owner(group)
        if owner is None:
            return EmptyTicket(self.reactor, wait_ms / 1000)
        self._tickets_counted += 1
        ticket = Ticket(self, self._tickets_counted, service, instance, wait_ms / 1000)
        self._tickets[ticket.number] = ticket
        ticket.wait_at(group, owner)
        return ticket

    def work_available(self, told: WorkAvailable) -> None:
        """Jobs of a service wait at a shard: this node's share of its workers goes there."""
        owner = self.owners.owner(told.group)
        if owner is None:
            return
        elsewhere = [
            ticket
            for ticket in self._tickets.values()
            if ticket.service == told.service and ticket.group != told.group
        ]
        share = max(1, round(told.waiting / max(told.nodes, 1)))
        moved = min(share, len(elsewhere))
        until = self.reactor.seconds() + WANTED_S
        self._wanted.setdefault(told.service, {})[told.group] = _Wanted(share - moved, until)
        for ticket in self.random.sample(elsewhere, moved):
            ticket.wait_at(told.group, owner)

    def _any_group(self) -> str:
        """A shard at random whose owner is near, or any."""
        groups = self.owners.groups_near(self.zone) or self.owners.owned_groups()
        return self.random.choice(groups) if groups else ""

    def _take_wanted(self, service: str) -> str:
        """A shard that has asked for a worker of this service lately; "" where none has."""
        wanted = self._wanted.get(service, {})
        now = self.reactor.seconds()
        for group in list(wanted):
            asked = wanted[group]
            if asked.workers <= 0 or asked.until < now or self.owners.owner(group) is None:
                del wanted[group]
            else:
                asked.workers -= 1
                return group
        return ""

    def claim_waiting_worker(self, service: str) -> str:
        """The group of a shard at which a worker of this node waits for a job of a service, for a message
        that goes there now; "" where none does. Each waiting worker is promised one."""
        for ticket in self._tickets.values():
            if ticket.service == service and not ticket.promised:
                ticket.promised = True
                return ticket.group
        return ""

    def owner_changed(self, group: str) -> None:
        """Workers that wait at a shard wait at its new owner: the earlier one may be stopped or cut off."""
        owner = self.owners.owner(group)
        if owner is None:
            return
        for ticket in [ticket for ticket in self._tickets.values() if ticket.group == group]:
            if ticket.waits_at_another(owner):
                ticket.wait_at(group, owner)

    def ended(self, ticket: Ticket) -> None:
        """A ticket has its result."""
        self._tickets.pop(ticket.number, None)

    def cancel_all(self) -> None:
        """The node shuts down: nobody waits here any more."""
        for ticket in list(self._tickets.values()):
            ticket.cancel()

    def hand_back(self, group: str, request_id: str, lease_id: str) -> None:
        """A job that reached nobody goes back, not run."""
        self.reports.send(AttemptReport(group, request_id, lease_id, AttemptOutcome.NOT_RUN))

    def end(self, lease_id: str, request_id: str, status: int, stamp: str) -> Deferred[LeaseAnswer]:
        """A worker's word on its job."""
        shard = shard_of_lease(lease_id)
        if shard is None:
            return _answer(LeaseAnswer.GONE)
        report = AttemptReport(shard_group(shard), request_id, lease_id, outcome_of(status, stamp), stamp)
        return self.reports.send(report, END_PATIENCE_S).addCallback(_lease_answer)

    def extend(self, lease_id: str, request_id: str) -> Deferred[LeaseAnswer]:
        """A worker holds its job still."""
        shard = shard_of_lease(lease_id)
        if shard is None:
            return _answer(LeaseAnswer.GONE)
        return _Extension(self, shard_group(shard), lease_id, request_id).answer


class _Extension:
    """One extension, repeated until an owner answers."""

    def __init__(self, pulls: PullRouter, group: str, lease_id: str, request_id: str) -> None:
        self.pulls, self.group, self.lease_id, self.request_id = pulls, group, lease_id, request_id
        self.answer: Deferred[LeaseAnswer] = Deferred()
        self._give_up_at = pulls.reactor.seconds() + END_PATIENCE_S
        self._try()

    def _try(self) -> None:
        if self.pulls.reactor.seconds() >= self._give_up_at:
            self.answer.callback(LeaseAnswer.UNAVAILABLE)
            return
        request = self.pulls.owners.ask(
            self.group, lambda number: ExtendRequest(number, self.group, self.request_id, self.lease_id)
        )
        if request is None:
            self._later()
        else:
            request.addCallbacks(self._answered, lambda _: self._later())

    def _answered(self, record: Any) -> None:
        if isinstance(record, EndAttemptResponse):
            self.answer.callback(LeaseAnswer.ACKNOWLEDGED if record.taken else LeaseAnswer.GONE)
        else:
            self._later()

    def _later(self) -> None:
        self.pulls.reactor.callLater(EXTEND_RETRY_S, self._try)


def _answer(answer: LeaseAnswer) -> Deferred[LeaseAnswer]:
    done: Deferred[LeaseAnswer] = Deferred()
    done.callback(answer)
    return done


def _lease_answer(taken: bool | None) -> LeaseAnswer:
    if taken is None:
        return LeaseAnswer.UNAVAILABLE
    return LeaseAnswer.ACKNOWLEDGED if taken else LeaseAnswer.GONE
