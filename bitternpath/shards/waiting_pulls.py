"""Pulls of workers that wait for a job (implementations of `ingress.interfaces.PendingPull`).

A pull waits at one shard at a time, as one `PullRequest` to the shard's owner. Moving to another shard
cancels that request and sends a new one. If a response to the cancelled request still arrives, its job goes
to the worker, and a second job is returned to its shard as not run.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from bitternpath.net.clock import Clock, cancel_if_active
from bitternpath.shards.owners import Owner
from bitternpath.shards.results import PulledJob
from bitternpath.transport.messages import Response
from bitternpath.transport.shard_messages import PullCancel, PullRequest, PullResponse

RESPONSE_MARGIN_S = 0.5  # added to the worker's wait for the owner's response to arrive


@dataclass(frozen=True, slots=True)
class PullParameters:
    """Parameters of a worker's pull."""

    service: str
    instance: str  # id of the worker's instance
    wait_s: float


class PullListener(Protocol):
    """Interface that a waiting pull requires of its router, implemented by `pulls.PullRouter`."""

    def pull_ended(self, pull: WaitingPull) -> None:
        """Called when the pull has its result and no longer waits."""

    def return_job(self, group: str, request_id: str, lease_id: str) -> None:
        """Called for a job whose worker has disconnected or has another job; reports it as not run."""


class WaitingPull:
    """A worker that waits at a shard. `result` fires with a job or None and never fails."""

    def __init__(self, clock: Clock, parameters: PullParameters, listener: PullListener) -> None:
        self.result: Deferred[PulledJob | None] = Deferred()
        self.service = parameters.service
        self.group = ""  # group of the shard at which it waits
        self.claimed = False  # whether a message was appended to that shard for this worker
        self._clock = clock
        self._instance = parameters.instance
        self._listener = listener
        self._deadline = clock.seconds() + parameters.wait_s
        self._owner: Owner | None = None
        self._request_number = 0
        self._generation = 0  # number of shards at which it has waited; identifies stale responses
        self._done = False
        self._timer = clock.callLater(parameters.wait_s + RESPONSE_MARGIN_S, self._finish, None)

    def wait_at(self, group: str, owner: Owner) -> None:
        """Wait at this shard and no longer at any previous one."""
        self._cancel_request()
        wait_ms = int((self._deadline - self._clock.seconds()) * 1000)
        if wait_ms <= 0:
            self._finish(None)
            return
        self.group = group
        self._owner = owner

        def make_record(number: int) -> PullRequest:
            self._request_number = number
            return PullRequest(number, group, self.service, self._instance, wait_ms)

        self._generation += 1
        self.claimed = False
        response = owner.link.request(make_record)
        response.addCallbacks(
            self._responded,
            self._response_lost,
            callbackArgs=(group, self._generation),
            errbackArgs=(self._generation,),
        )

    def cancel(self) -> None:
        """End the pull because the worker has disconnected; a job that still arrives is returned."""
        if not self._done:
            self._cancel_request()
            self._finish(None)

    def waits_at_other_node(self, owner: Owner) -> bool:
        """Whether it waits at another node than this owner's."""
        return self._owner is not None and self._owner.link is not owner.link

    def _cancel_request(self) -> None:
        if self._owner is not None:
            self._owner.link.send(PullCancel(self._request_number, self.group))
            self._owner = None

    def _responded(self, record: Response, group: str, generation: int) -> None:
        if isinstance(record, PullResponse) and record.message is not None:
            job = PulledJob(record.lease_id, record.message)
            if self._done:
                self._listener.return_job(group, job.message.request_id, job.lease_id)
                return
            if generation != self._generation:
                self._cancel_request()  # the pull has moved to another shard
            self._finish(job)
        elif generation == self._generation:
            self._finish(None)

    def _response_lost(self, _: Failure, generation: int) -> None:
        if generation == self._generation:
            self._finish(None)

    def _finish(self, job: PulledJob | None) -> None:
        if self._done:
            return
        self._done = True
        cancel_if_active(self._timer)
        self._listener.pull_ended(self)
        self.result.callback(job)


class UnroutedPull:
    """A worker that waits without a job because no shard has an owner."""

    def __init__(self, clock: Clock, wait_s: float) -> None:
        self.result: Deferred[PulledJob | None] = Deferred()
        self._timer = clock.callLater(wait_s, self.result.callback, None)

    def cancel(self) -> None:
        """End the pull because the worker has disconnected."""
        if self._timer.active():
            self._timer.cancel()
            self.result.callback(None)
