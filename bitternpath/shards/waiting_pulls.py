"""One pulling worker that waits for a job (`ingress.interfaces.PendingPull`).

A pull waits at one shard at a time, as one `PullRequest` to the shard's owner. It may move to another shard,
which cancels that request and sends another one. A response that was on its way by then still counts: its
job goes to the worker, and a second job is handed back to its shard as not run.
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

RESPONSE_MARGIN_S = 0.5  # beyond the worker's wait, for the owner's response


@dataclass(frozen=True, slots=True)
class PullParameters:
    """What a worker asks for."""

    service: str
    instance: str  # the worker's incarnation
    wait_s: float


class PullListener(Protocol):
    """What a waiting pull needs of the router that made it; `pulls.PullRouter` is one."""

    def pull_ended(self, pull: WaitingPull) -> None:
        """The pull has its result and waits nowhere any more."""

    def return_job(self, group: str, request_id: str, lease_id: str) -> None:
        """A job has come whose worker has disconnected, or has another one: report it as not run."""


class WaitingPull:
    """A worker that waits at a shard. `result` fires with a job or None, and never fails."""

    def __init__(self, clock: Clock, parameters: PullParameters, listener: PullListener) -> None:
        self.result: Deferred[PulledJob | None] = Deferred()
        self.service = parameters.service
        self.group = ""  # of the shard at which it waits
        self.claimed = False  # a message was sent to that shard for this worker
        self._clock = clock
        self._instance = parameters.instance
        self._listener = listener
        self._deadline = clock.seconds() + parameters.wait_s
        self._owner: Owner | None = None
        self._request_number = 0
        self._generation = (
            0  # counts the shards at which it has waited; tells the last one's response from others
        )
        self._done = False
        self._timer = clock.callLater(parameters.wait_s + RESPONSE_MARGIN_S, self._finish, None)

    def wait_at(self, group: str, owner: Owner) -> None:
        """Wait at this shard from now on, in place of any earlier one."""
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
        """The worker has disconnected; a job that still comes is handed back."""
        if not self._done:
            self._cancel_request()
            self._finish(None)

    def waits_at_other_node(self, owner: Owner) -> bool:
        """Whether it waits at a node other than this owner."""
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
                self._cancel_request()  # it waits at another shard by now
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
    """A worker that waits at no shard, because none has an owner: it gets no job."""

    def __init__(self, clock: Clock, wait_s: float) -> None:
        self.result: Deferred[PulledJob | None] = Deferred()
        self._timer = clock.callLater(wait_s, self.result.callback, None)

    def cancel(self) -> None:
        """The worker has disconnected."""
        if self._timer.active():
            self._timer.cancel()
            self.result.callback(None)
