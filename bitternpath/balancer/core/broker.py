"""The broker between servers, upstream clients and the decision module.

It is independent of protocols, and leaves decisions on workers, retries and rejections to the module. Events
are appended to a batch. The first event of a batch schedules one `process_batch`, which passes the whole
batch to the module and then executes the actions that it returned. Times are milliseconds on the node's
clock.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable
from functools import partial
from math import inf

import structlog

from bitternpath.balancer import messages as m
from bitternpath.balancer.core.clock import TimerScheduler
from bitternpath.balancer.core.endpoint_registry import EndpointRegistry, Listing
from bitternpath.balancer.core.events import (
    CallEnded,
    CallProgress,
    CallUnusable,
    ClientLeft,
    EndpointsChanged,
    Event,
    RequestArrived,
    SettingsChanged,
    TimerExpired,
)
from bitternpath.balancer.core.module_events import module_event
from bitternpath.balancer.core.requests import (
    CALLBACK_PROTOCOL,
    AcceptedRequest,
    CallReport,
    CallState,
    UpstreamCall,
    UpstreamClients,
)
from bitternpath.balancer.core.statistics import Statistics

log = structlog.get_logger(part="broker")

ANSWER_MARGIN_MS = 10.0  # calls time out this long before the client's deadline
RECENT_ID_MS = 10_000.0  # an id is not accepted again for this time, longer than any request runs
FALLBACK_MARGIN_MS = 4.0  # the broker answers this long before the deadline if the module has not

OUTCOME_OF_REPORT = {
    CallState.DONE: m.AttemptOutcome.OK,
    CallState.FAILED: m.AttemptOutcome.ERROR,
    CallState.RETURNED: m.AttemptOutcome.FULL,
    CallState.LOST: m.AttemptOutcome.RESET,
}


class Broker:
    """Owns the requests in progress and their calls, and executes what the decision module decides.

    Args:
        scheduler: sets timers (the reactor, or the emulator's scheduler).
        clock: the node's clock, in ms.
        registry: the current endpoint list.
        upstream_clients: the clients that carry calls to endpoints, by protocol.
        handle: the decision module; takes the time in ms and an event, returns actions.

    Other components set these callbacks: `on_accepted(id)` is called for each accepted request;
    `admission(job_class)` before one is accepted, and returns None, or the ms after which to retry;
    `on_idle()` whenever no request is unanswered; `subscribe()` opens the subscription to discovery from the
    current revision.
    """

    def __init__(
        self,
        scheduler: TimerScheduler,
        clock: Callable[[], float],
        registry: EndpointRegistry,
        upstream_clients: UpstreamClients,
        handle: Callable[[float, m.Event], list[m.Action]],
    ) -> None:
        self.scheduler = scheduler
        self.clock = clock
        self.registry = registry
        self.handle = handle
        self.upstream_clients = upstream_clients
        self.in_progress: dict[str, AcceptedRequest] = {}  # unanswered, or with calls in flight
        self._recent_ids: OrderedDict[str, float] = OrderedDict()  # by id, when it was accepted; oldest first
        self.answer_deadline = inf  # requests are answered by then, if their own deadline is later
        self.unanswered = 0  # number of requests
        self.counts: Counter[str] = Counter()
        self.statistics = Statistics()
        self.on_accepted: Callable[[str], None] | None = None
        self.admission: Callable[[str], float | None] | None = None
        self.on_idle: Callable[[], None] = lambda: None
        self.subscribe: Callable[[], None] = lambda: None
        self._batch: list[Event] = []
        self._scheduled = False

    # ---- reports of servers, upstream clients and the node

    def has_seen(self, request: str) -> bool:
        """Whether a request with this id is in progress or was accepted recently."""
        return request in self.in_progress or request in self._recent_ids

    def recent_request_ids(self) -> list[str]:
        """The ids of requests that are in progress or were accepted recently."""
        return [*self._recent_ids, *(id for id in self.in_progress if id not in self._recent_ids)]

    def record_request_id(self, id: str) -> None:
        """Record that a request with this id was accepted, here or by another process of this node."""
        now = self.clock()
        while self._recent_ids and next(iter(self._recent_ids.values())) < now - RECENT_ID_MS:
            self._recent_ids.popitem(last=False)
        self._recent_ids[id] = now

    def submit(self, request: AcceptedRequest) -> None:
        """Accept a request; its client gets exactly one answer, unless it disconnects first."""
        if self.admission is not None and (wait := self.admission(request.job_class)) is not None:
            self.counts["turned_away"] += 1
            self.statistics.count_outcome(request.job_class, "rejected")
            request.client.rejected(wait)
            return
        now = self.clock()
        self.record_request_id(request.id)
        if self.on_accepted is not None:
            self.on_accepted(request.id)
        self.in_progress[request.id] = request
        self.unanswered += 1
        # Even with almost no time left, the module gets the request before the fallback answers it.
        fallback_at = min(request.deadline, self.answer_deadline) - FALLBACK_MARGIN_MS
        delay_ms = max(fallback_at - now, FALLBACK_MARGIN_MS)
        request.timer = self.scheduler.callLater(delay_ms / 1000.0, self._answer_without_module, request)
        self._append(RequestArrived(request))

    def withdraw(self, request: AcceptedRequest) -> None:
        """Withdraw a request whose client has disconnected and needs no answer."""
        if not request.answered:
            self._append(ClientLeft(request))

    def may_start(self, call: UpstreamCall) -> bool:
        """Whether a call may be sent: its client still waits for the answer.

        The client may have disconnected while the call waited for a connection, or while this process was
        suspended.
        """
        request = call.request
        if call.finished or request.answered:
            return False
        if request.client.disconnected():
            self.withdraw(request)
            return False
        return True

    def call_ended(self, call: UpstreamCall, outcome: m.AttemptOutcome, result: bytes = b"") -> None:
        """Report the outcome of a call; only the first report counts."""
        if not call.finished:
            self._append(CallEnded(call, outcome, result))

    def call_unusable(self, call: UpstreamCall) -> None:
        """Report that an endpoint rejected the request itself (4xx): a retry elsewhere would be useless."""
        if not call.finished:
            self._append(CallUnusable(call))

    def call_reported(self, report: CallReport) -> bool:
        """Process a call-back of an endpoint; it may be out of order, a duplicate, or of an unknown request.

        Returns whether the request is in progress here. Only endpoints listed by discovery send call-backs;
        other protocols report on the connection that carries the call.
        """
        request = self.in_progress.get(report.id)
        state = report.state
        all_calls = request.calls if request else []
        calls = [c for c in all_calls if c.endpoint == report.endpoint and c.protocol == CALLBACK_PROTOCOL]
        if not calls or calls[-1].finished:
            return request is not None
        call = calls[-1]
        call.accepted = True
        if state is CallState.STARTED or state is CallState.RUNNING:
            self._append(CallProgress(call, report.share if state is CallState.RUNNING else None))
            return True
        outcome = OUTCOME_OF_REPORT[state]
        if state is CallState.RETURNED:
            # This may be a duplicate of the report that an earlier call to this endpoint was returned. The
            # present call may be running then, so it counts as reset and is cancelled before any other.
            if any(c.returned for c in calls[:-1]):
                outcome = m.AttemptOutcome.RESET
                self.upstream_clients[call.protocol].cancel(call)
            call.returned = True
        self._append(CallEnded(call, outcome, report.result))
        return True

    def call_started(self, call: UpstreamCall) -> None:
        """Report that a call has got a free slot of its endpoint (called by upstream clients)."""
        if not call.finished:
            self._append(CallProgress(call, None))

    def endpoints_changed(self, listing: Listing, *, at_start: bool = False) -> None:
        """Report a change of the registry's list; `at_start`: it is the list that the process starts with."""
        kind = m.ListKind.COMPLETE if listing.complete else m.ListKind.CHANGES
        self._append(EndpointsChanged(listing, m.ListKind.INITIAL if at_start else kind))

    def settings_changed(self, settings: m.Settings) -> None:
        """Report new settings for requests that are submitted from now on."""
        self._append(SettingsChanged(settings))

    def subscription_failed(self) -> None:
        """Report that discovery refused a subscription, or ended it."""
        self._append(EndpointsChanged(Listing(0, False, ()), m.ListKind.FAILED))

    # ---- batches

    def _append(self, event: Event) -> None:
        self._batch.append(event)
        if not self._scheduled:
            self._scheduled = True
            self.scheduler.callLater(0, self.process_batch)

    def process_batch(self) -> None:
        """Pass the batch to the module, then execute the actions that it returned."""
        batch = self._batch
        self._batch = []
        self._scheduled = False
        now = self.clock()
        actions: list[m.Action] = []
        for event in batch:
            try:
                translated = self._translate(event, now)
                if translated is not None:
                    actions += self.handle(now, translated)
            except Exception:
                log.exception("event_handling_failed", kind=type(event).__name__)
                self.counts["exceptions"] += 1
                self._fail_after_exception(event)
        for action in actions:
            try:
                self._execute(action)
            except Exception:
                log.exception("action_failed", kind=type(action).__name__)
                self.counts["exceptions"] += 1
        if not self.unanswered and not self._batch:
            self.on_idle()

    def _fail_after_exception(self, event: Event) -> None:
        """Fail the request of an event that raised an exception, so that its client does not wait in vain."""
        request: AcceptedRequest | None = None
        if isinstance(event, RequestArrived | ClientLeft):
            request = event.request
        elif isinstance(event, CallEnded | CallUnusable | CallProgress):
            request = event.call.request
        elif isinstance(event, TimerExpired):
            # The module restarts its timers when they expire, but not this one: let it expire again.
            self.scheduler.callLater(0.1, self._append, TimerExpired(event.label))
        if request is not None and not request.answered:
            self._answer(request, request.client.failed, "failed")
            self._append(ClientLeft(request))

    def _translate(self, event: Event, now: float) -> m.Event | None:
        """The module's event for an event of the batch; None if it no longer applies."""
        match event:
            case RequestArrived(request):
                remaining = max(request.deadline - ANSWER_MARGIN_MS - now, 1.0)
                return m.Request(
                    request.id,
                    request.job_class,
                    remaining,
                    None,
                    request.key,
                    request.hint,
                    request.slots,
                    request.memory,
                    request.repeat,
                )
            case ClientLeft(request):
                self._close(request)
                return m.Withdrawn(request.id)
            case CallEnded(call, outcome, result):
                return self._end_call(call, outcome, result, now)
            case CallUnusable(call):
                return self._end_unusable_call(call, now)
            case CallProgress(call, share):
                return None if call.finished else m.JobProgress(call.id, call.number, call.endpoint, share)
        return module_event(event)

    def _end_unusable_call(self, call: UpstreamCall, now: float) -> m.Event | None:
        if not call.finished and not call.request.answered:
            self._answer(call.request, call.request.client.failed, "failed")
        # The module sees a cancelled call, so that it does not hold the failure against the endpoint.
        return self._end_call(call, m.AttemptOutcome.CANCELLED, b"", now)

    def _end_call(
        self, call: UpstreamCall, outcome: m.AttemptOutcome, result: bytes, now: float
    ) -> m.Event | None:
        if call.finished:
            return None
        self._finish(call)
        call.may_have_run = outcome not in m.NOT_EXECUTED
        self.counts[outcome.value] += 1
        request = call.request
        if outcome is m.AttemptOutcome.OK and not request.answered:
            self._answer(request, partial(request.client.served, result), "served")
        final = request.answered
        self._remove_if_finished(request)
        return m.AttemptEnded(call.id, call.number, call.endpoint, outcome, now - call.sent, final)

    def _finish(self, call: UpstreamCall) -> None:
        call.finished = True
        if call.timer is not None and call.timer.active():
            call.timer.cancel()
        call.timer = None

    def _close(self, request: AcceptedRequest) -> None:
        """Mark a request as answered and stop its timer."""
        if not request.answered:
            request.answered = True
            self.unanswered -= 1
        if request.timer is not None and request.timer.active():
            request.timer.cancel()
        request.timer = None
        self._remove_if_finished(request)

    def _remove_if_finished(self, request: AcceptedRequest) -> None:
        if request.answered and all(call.finished for call in request.calls):
            self.in_progress.pop(request.id, None)

    def _answer(self, request: AcceptedRequest, send_answer: Callable[[], None], outcome: str) -> None:
        self._close(request)
        self.counts[outcome] += 1
        self.statistics.count_outcome(request.job_class, outcome)
        send_answer()

    def _answer_without_module(self, request: AcceptedRequest) -> None:
        """Fail a request that the module has not answered shortly before its deadline."""
        if not request.answered:
            calls = [f"{c.endpoint}:{'over' if c.finished else 'out'}" for c in request.calls]
            fields = {"id": request.id, "class": request.job_class, "calls": ",".join(calls)}
            fields["late"] = f"{self.clock() - request.deadline + FALLBACK_MARGIN_MS:.1f}"
            log.warning("answered_without_module", **fields)
            self._answer(request, request.client.failed, "failed")
            self._append(ClientLeft(request))

    # ---- actions

    def _execute(self, action: m.Action) -> None:
        match action:
            case m.Send(id, worker, timeout, within):
                self._send(id, worker, timeout, within)
            case m.Refuse(id, retry_after):
                if (request := self._find_unanswered(id)) is not None:
                    self._answer(request, partial(request.client.rejected, retry_after), "rejected")
            case m.Fail(id):
                if (request := self._find_unanswered(id)) is not None:
                    self._answer(request, request.client.failed, "failed")
            case m.Cancel(id, number):
                self._cancel(id, number)
            case m.SubscribeToWorkers():
                self.subscribe()
            case m.StartTimer(label, delay):
                self.scheduler.callLater(delay / 1000.0, self._append, TimerExpired(label))
            case _:
                log.debug("action_not_supported", action=type(action).__name__)

    def _cancel(self, id: str, number: int) -> None:
        """Cancel one attempt at a request, if it is still in flight."""
        request = self.in_progress.get(id)
        if request is None or number >= len(request.calls):
            return
        call = request.calls[number]
        if not call.finished:
            self.upstream_clients[call.protocol].cancel(call)
            self._append(CallEnded(call, m.AttemptOutcome.CANCELLED))

    def _find_unanswered(self, id: str) -> AcceptedRequest | None:
        request = self.in_progress.get(id)
        return request if request is not None and not request.answered else None

    def _send(self, id: str, worker: str, timeout: float, within: float) -> None:
        request = self.in_progress.get(id)
        if request is None:
            return
        now = self.clock()
        answer_by = request.deadline - ANSWER_MARGIN_MS
        expires = min(now + timeout, answer_by) if timeout > 0 else answer_by
        call = UpstreamCall(request, len(request.calls), worker, now, expires, now + within)
        request.calls.append(call)
        endpoint = self.registry.serving(worker)
        if request.answered or timeout < 0 or endpoint is None:
            self._append(CallEnded(call, m.AttemptOutcome.NOT_SENT))
            return
        if not self.may_start(call):
            self._append(CallEnded(call, m.AttemptOutcome.CANCELLED))
            return
        call.protocol = endpoint.protocol
        self.counts["calls"] += 1
        call.timer = self.scheduler.callLater(max(expires - now, 0.0) / 1000.0, self._call_timed_out, call)
        try:
            self.upstream_clients[call.protocol].start(call, endpoint)
        except Exception:
            log.exception("call_start_failed", id=id, endpoint=worker)
            self.counts["exceptions"] += 1
            self._append(CallEnded(call, m.AttemptOutcome.RESET))  # it is unknown whether anything was sent

    def _call_timed_out(self, call: UpstreamCall) -> None:
        call.timer = None
        if not call.finished:
            self.upstream_clients[call.protocol].cancel(call)
            self._append(CallEnded(call, m.AttemptOutcome.TIMEOUT))
