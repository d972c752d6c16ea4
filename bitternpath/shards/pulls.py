"""Routes pulling workers to shards.

Each worker waits at one shard, if possible one whose owner is in this node's zone, so that jobs rarely cross
zones. A shard that has jobs but no waiting worker notifies a few edge nodes (`WorkAvailable`). Each of them
moves its share of the workers that wait at other shards; if it has too few, its next workers go to the shard.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from twisted.internet.defer import Deferred, succeed

from bitternpath.configuration.placement import shard_group
from bitternpath.net.clock import Clock
from bitternpath.queue.sharding import shard_of_lease
from bitternpath.shards.job_results import outcome_of
from bitternpath.shards.lease_requests import LeaseRequest
from bitternpath.shards.owners import ShardOwners
from bitternpath.shards.reports import AttemptReport, AttemptReporter
from bitternpath.shards.results import LeaseAnswer
from bitternpath.shards.waiting_pulls import PullParameters, UnroutedPull, WaitingPull
from bitternpath.transport.records import AttemptOutcome
from bitternpath.transport.shard_messages import ExtendRequest, WorkAvailable

LEASE_CALL_TIMEOUT_S = 5.0  # maximum time for which a worker's end or extension call waits for an owner
DEMAND_TTL_S = 0.5  # lifetime of a shard's unmet demand; by then it has notified other nodes or repeats it


@dataclass(slots=True)
class _Demand:
    """Workers that a shard requested from this node and that were not available."""

    workers: int
    expires_at: float


class PullRouter:
    """Waiting workers of this node, and calls about the leases that its workers hold."""

    def __init__(
        self, clock: Clock, owners: ShardOwners, reports: AttemptReporter, zone: str, random: Random
    ) -> None:
        self._clock = clock
        self._owners = owners
        self._reports = reports
        self._zone = zone
        self._random = random
        self._waiting: dict[WaitingPull, None] = {}  # in order of arrival; makes seeded runs reproducible
        self._demands: dict[str, dict[str, _Demand]] = {}  # by service and group

    def pull(self, service: str, instance: str, wait_ms: int) -> WaitingPull | UnroutedPull:
        """Wait for a job of a service for at most `wait_ms` milliseconds."""
        group = self._claim_demand(service) or self._random_group()
        owner = self._owners.owner(group)
        if owner is None:
            return UnroutedPull(self._clock, wait_ms / 1000)
        pull = WaitingPull(self._clock, PullParameters(service, instance, wait_ms / 1000), self)
        self._waiting[pull] = None
        pull.wait_at(group, owner)
        return pull

    def work_available(self, work: WorkAvailable) -> None:
        """Move this node's share of workers to a shard at which jobs of a service wait without a worker."""
        owner = self._owners.owner(work.group)
        if owner is None:
            return
        at_other_shards = [
            pull for pull in self._waiting if pull.service == work.service and pull.group != work.group
        ]
        share = max(1, round(work.waiting / max(work.nodes, 1)))
        moved = min(share, len(at_other_shards))
        demand = _Demand(share - moved, self._clock.seconds() + DEMAND_TTL_S)
        self._demands.setdefault(work.service, {})[work.group] = demand
        for pull in self._random.sample(at_other_shards, moved):
            pull.wait_at(work.group, owner)

    def claim_waiting_worker(self, service: str) -> str:
        """Claim a worker of this node that waits for a job of a service, and return its group, or "".

        The caller appends a message of the service there. Each waiting worker is claimed only once.
        """
        for pull in self._waiting:
            if pull.service == service and not pull.claimed:
                pull.claimed = True
                return pull.group
        return ""

    def owner_changed(self, group: str) -> None:
        """Move the workers that wait at a shard to its new owner.

        The previous owner may be stopped or partitioned.
        """
        owner = self._owners.owner(group)
        if owner is None:
            return
        for pull in [pull for pull in self._waiting if pull.group == group]:
            if pull.waits_at_other_node(owner):
                pull.wait_at(group, owner)

    def pull_ended(self, pull: WaitingPull) -> None:
        """Remove a pull that has its result."""
        self._waiting.pop(pull, None)

    def return_job(self, group: str, request_id: str, lease_id: str) -> None:
        """Return a job that was not sent to a worker: report its attempt as not run."""
        self._reports.send(AttemptReport(group, request_id, lease_id, AttemptOutcome.NOT_RUN))

    def end(self, lease_id: str, request_id: str, status: int, stamp: str) -> Deferred[LeaseAnswer]:
        """Report the end of a job with the status and stamp that its worker sent; never fails."""
        shard = shard_of_lease(lease_id)
        if shard is None:
            return succeed(LeaseAnswer.NOT_CURRENT)
        report = AttemptReport(shard_group(shard), request_id, lease_id, outcome_of(status, stamp), stamp)
        return self._reports.send(report, LEASE_CALL_TIMEOUT_S)

    def extend(self, lease_id: str, request_id: str) -> Deferred[LeaseAnswer]:
        """Extend the lease of a worker that is still running its job; never fails."""
        shard = shard_of_lease(lease_id)
        if shard is None:
            return succeed(LeaseAnswer.NOT_CURRENT)
        group = shard_group(shard)

        def make_record(number: int) -> ExtendRequest:
            return ExtendRequest(number, group, request_id, lease_id)

        return LeaseRequest(self._clock, self._owners, group, make_record, LEASE_CALL_TIMEOUT_S).result

    def _random_group(self) -> str:
        """Return a random group with an owner in this zone, else any group with an owner, or ""."""
        groups = self._owners.groups_in_zone(self._zone) or self._owners.owned_groups()
        return self._random.choice(groups) if groups else ""

    def _claim_demand(self, service: str) -> str:
        """Return a group with unmet demand for workers of a service and decrement its demand, or ""."""
        demands = self._demands.get(service, {})
        now = self._clock.seconds()
        for group in list(demands):
            demand = demands[group]
            if demand.workers <= 0 or demand.expires_at < now or self._owners.owner(group) is None:
                del demands[group]
            else:
                demand.workers -= 1
                return group
        return ""
