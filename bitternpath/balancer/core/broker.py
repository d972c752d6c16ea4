"""The core: requests, their calls, and the traffic with the decision module.

It knows no protocol and decides nothing about workers, retries or refusals. Whatever happens is appended to a
batch; the first event of a batch schedules one drain, which hands the batch to the module in one go and
then carries out all that came back.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable
from functools import partial

import structlog
from msgspec import Struct

from bitternpath.balancer import messages as m
from bitternpath.balancer.core.clock import Later
from bitternpath.balancer.core.endpoint_registry import Endpoint, EndpointRegistry, Listing
from bitternpath.balancer.core.requests import (
    CALLS_BACK,
    AcceptedRequest,
    CallReport,
    CallState,
    UpstreamCall,
    UpstreamClients,
)
from bitternpath.balancer.core.statistics import Statistics

log = structlog.get_logger(part="broker")

ANSWER_AHEAD = 10.0  # ms before the client's deadline at which its calls time out
REMEMBERED = 10_000.0  # ms for which the id of a request is not taken again: longer than any runs
LAST_MOMENT = 4.0  # ms before the deadline at which the broker answers where the module has not


ENDS = {
    CallState.DONE: m.How.OK,
    CallState.FAILED: m.How.ERROR,
    CallState.RETURNED: m.How.FULL,
    CallState.LOST: m.How.RESET,
}


class Arrived(Struct):
    request: AcceptedRequest


class Left(Struct):
    request: AcceptedRequest


class Ended(Struct):
    call: UpstreamCall
    how: m.How
    result: bytes = b""


class Unusable(Struct):
    call: UpstreamCall


class Noted(Struct):
    call: UpstreamCall
    share: float | None


class Listed(Struct):
    listing: Listing
    kind: m.ListKind


class Due(Struct):
    label: str


class Changed(Struct):
    settings: m.Settings


Event = Arrived | Left | Ended | Unusable | Noted | Listed | Due | Changed


class Broker:
    """Between clients, endpoints and the module."""

    def __init__(
        self,
        later: Later,
        clock: Callable[[], float],
        registry: EndpointRegistry,
        upstream_clients: UpstreamClients,
        handle: Callable[[float, m.Event], list[m.Action]],
    ) -> None:
        self.later, self.clock, self.registry, self.handle = later, clock, registry, handle
        self.upstream_clients = upstream_clients
        self.live: dict[str, AcceptedRequest] = {}  # unanswered, or answered with calls still out
        self._taken: OrderedDict[str, float] = OrderedDict()  # when, the oldest first
        self.answer_by = float("inf")  # what arrives from now on is answered by then, whatever its deadline
        self.waiting = 0  # requests that are owed an answer
        self.counts: Counter[str] = Counter()
        self.statistics = Statistics()
        self.took: Callable[[str], None] | None = None  # hears of each request taken, where somebody asks
        # Asked before a request of that class is taken, where somebody has a say: None, or the ms after
        # which it may come again.
        self.gate: Callable[[str], float | None] | None = None
        self.idle: Callable[[], None] = lambda: None  # called whenever nothing is owed any more
        self.ask: Callable[[], None] = lambda: None  # has the source watch discovery, from the revision held
        self._batch: list[Event] = []
        self._scheduled = False

    # ---- what the sides tell

    def knows(self, request: str) -> bool:
        """Whether a request of that id is under way or was of late."""
        return request in self.live or request in self._taken

    def taken(self) -> list[str]:
        """The ids that are under way or were of late."""
        return [*self._taken, *(id for id in self.live if id not in self._taken)]

    def remember(self, id: str) -> None:
        """A request of that id was taken, here or by another process of this node."""
        now = self.clock()
        while self._taken and next(iter(self._taken.values())) < now - REMEMBERED:
            self._taken.popitem(last=False)
        self._taken[id] = now

    def submit(self, request: AcceptedRequest) -> None:
        if self.gate is not None and (wait := self.gate(request.job_class)) is not None:
            self.counts["turned_away"] += 1
            self.statistics.ended(request.job_class, "rejected")
            request.client.rejected(wait)
            return
        now = self.clock()
        self.remember(request.id)
        if self.took is not None:
            self.took(request.id)
        self.live[request.id] = request
        self.waiting += 1
        # Where next to nothing is left, the module still has its say first.
        last = min(request.deadline, self.answer_by) - LAST_MOMENT
        left = max(last - now, LAST_MOMENT)
        request.timer = self.later.callLater(left / 1000.0, self._last_moment, request)
        self._append(Arrived(request))

    def withdraw(self, request: AcceptedRequest) -> None:
        """The client has gone: nobody waits for an answer."""
        if not request.answered:
            self._append(Left(request))

    def wanted(self, call: UpstreamCall) -> bool:
        """Whether a call that has not begun may begin: somebody still waits for what it would bring.

        Guards against a client that left while the call waited for a connection, or while this process did
        not come to look: what begins then is work for nobody."""
        request = call.request
        if call.over or request.answered:
            return False
        if request.client.gone():
            self.withdraw(request)
            return False
        return True

    def ended(self, call: UpstreamCall, how: m.How, result: bytes = b"") -> None:
        """The end of a call; the first one told counts."""
        if not call.over:
            self._append(Ended(call, how, result))

    def unusable(self, call: UpstreamCall) -> None:
        """An endpoint can make nothing of the request: that is the client's fault, and no other could."""
        if not call.over:
            self._append(Unusable(call))

    def call_reported(self, report: CallReport) -> bool:
        """What an endpoint reports by a call-back, in any order, perhaps again, perhaps of one unknown here;
        whether the request is under way here.

        Only endpoints that discovery names call back; others tell of their calls where they carry them."""
        found, state = self.live.get(report.id), report.state
        tried = found.calls if found else []
        calls = [c for c in tried if c.endpoint == report.endpoint and c.protocol == CALLS_BACK]
        if not calls or calls[-1].over:
            return found is not None
        call = calls[-1]
        call.accepted = True
        if state is CallState.STARTED or state is CallState.RUNNING:
            self._append(Noted(call, report.share if state is CallState.RUNNING else None))
            return True
        how = ENDS[state]
        if state is CallState.RETURNED:
            # The report that an earlier call there was handed back may have come again: it proves nothing.
            # This one may be running, and is called off: another may not be out beside it.
            if any(c.returned for c in calls[:-1]):
                how = m.How.RESET
                self.upstream_clients[call.protocol].give_up(call)
            call.returned = True
        self._append(Ended(call, how, report.result))
        return True

    def started(self, call: UpstreamCall) -> None:
        """An upstream client's word that a call has reached a free place at its endpoint."""
        if not call.over:
            self._append(Noted(call, None))

    def listed(self, listing: Listing, at_start: bool = False) -> None:
        whole = m.ListKind.WHOLE if listing.complete else m.ListKind.CHANGES
        self._append(Listed(listing, m.ListKind.AT_START if at_start else whole))

    def settings(self, settings: m.Settings) -> None:
        """Others hold for what is submitted from now on."""
        self._append(Changed(settings))

    def asked_in_vain(self) -> None:
        """Discovery did not grant what was asked for, or has ended it."""
        self._append(Listed(Listing(0, False, ()), m.ListKind.FAILED))

    # ---- the loop

    def _append(self, event: Event) -> None:
        self._batch.append(event)
        if not self._scheduled:
            self._scheduled = True
            self.later.callLater(0, self.drain)

    def drain(self) -> None:
        """Hand the gathered batch to the module, then carry out all its actions."""
        batch, self._batch, self._scheduled = self._batch, [], False
        now, actions = self.clock(), list[m.Action]()
        for event in batch:
            try:
                told = self._translate(event, now)
                if told is not None:
                    actions += self.handle(now, told)
            except Exception:
                log.exception("event failed", kind=type(event).__name__)
                self.counts["exceptions"] += 1
                self._abandon(event)
        for action in actions:
            try:
                self._carry_out(action)
            except Exception:
                log.exception("action failed", kind=type(action).__name__)
                self.counts["exceptions"] += 1
        if not self.waiting and not self._batch:
            self.idle()

    def _abandon(self, event: Event) -> None:
        """An event could not be handled: nobody may wait in vain for what it concerned."""
        request: AcceptedRequest | None = None
        if isinstance(event, Arrived | Left):
            request = event.request
        elif isinstance(event, Ended | Unusable | Noted):
            request = event.call.request
        elif isinstance(event, Due):
            # The module sets its alarms anew when they ring; one that failed has to ring again all the same.
            self.later.callLater(0.1, self._append, Due(event.label))
        if request is not None and not request.answered:
            self._answer(request, request.client.failed, "failed")
            self._append(Left(request))

    def _translate(self, event: Event, now: float) -> m.Event | None:
        """The event in the module's words; None where it has become void."""
        match event:
            case Arrived(i):
                remaining = max(i.deadline - ANSWER_AHEAD - now, 1.0)
                return m.Request(
                    i.id, i.job_class, remaining, None, i.key, i.hint, i.slots, i.memory, i.repeat
                )
            case Left(i):
                self._close(i)
                return m.Withdrawn(i.id)
            case Ended(call, how, result):
                return self._call_over(call, how, result, now)
            case Unusable(call):
                if not call.over and not call.request.answered:
                    self._answer(call.request, call.request.client.failed, "failed")
                # To the module it is as if the client had gone: the endpoint did nothing wrong.
                return self._call_over(call, m.How.CANCELLED, b"", now)
            case Noted(call, share):
                return None if call.over else m.JobNote(call.id, call.number, call.endpoint, share)
            case Listed(listing, kind):
                return m.WorkerList(kind, [_entry(p) for p in listing.members])
            case Due(label):
                return m.Alarm(label)
            case Changed(settings):
                return m.NewSettings(settings)

    def _call_over(self, call: UpstreamCall, how: m.How, result: bytes, now: float) -> m.Event | None:
        if call.over:
            return None
        self._finish(call)
        call.ran = how not in m.NEVER_RAN
        self.counts[how.value] += 1
        request = call.request
        if how is m.How.OK and not request.answered:
            self._answer(request, partial(request.client.served, result), "served")
        final = request.answered
        self._forget(request)
        return m.Outcome(call.id, call.number, call.endpoint, how, now - call.sent, final)

    def _finish(self, call: UpstreamCall) -> None:
        call.over = True
        if call.timer is not None and call.timer.active():
            call.timer.cancel()
        call.timer = None

    def _close(self, request: AcceptedRequest) -> None:
        """Nothing is owed any more."""
        if not request.answered:
            request.answered = True
            self.waiting -= 1
        if request.timer is not None and request.timer.active():
            request.timer.cancel()
        request.timer = None
        self._forget(request)

    def _forget(self, request: AcceptedRequest) -> None:
        if request.answered and all(call.over for call in request.calls):
            self.live.pop(request.id, None)

    def _answer(self, request: AcceptedRequest, how: Callable[[], None], word: str) -> None:
        self._close(request)
        self.counts[word] += 1
        self.statistics.ended(request.job_class, word)
        how()

    def _last_moment(self, request: AcceptedRequest) -> None:
        """The module should have answered by now."""
        if not request.answered:
            calls = [f"{c.endpoint}:{'over' if c.over else 'out'}" for c in request.calls]
            kv = {"id": request.id, "class": request.job_class, "calls": ",".join(calls)}
            kv["late"] = f"{self.clock() - request.deadline + LAST_MOMENT:.1f}"
            log.warning("answered without the module", **kv)
            self._answer(request, request.client.failed, "failed")
            self._append(Left(request))

    # ---- actions

    def _carry_out(self, action: m.Action) -> None:
        match action:
            case m.Send(id, worker, timeout, within):
                self._send(id, worker, timeout, within)
            case m.Refuse(id, retry_after):
                if (owed := self._owed(id)) is not None:
                    self._answer(owed, partial(owed.client.rejected, retry_after), "rejected")
            case m.Fail(id):
                if (owed := self._owed(id)) is not None:
                    self._answer(owed, owed.client.failed, "failed")
            case m.Cancel(id, number):
                request = self.live.get(id)
                if request is not None and number < len(request.calls):
                    call = request.calls[number]
                    if not call.over:
                        self.upstream_clients[call.protocol].give_up(call)
                        self._append(Ended(call, m.How.CANCELLED))
            case m.Watch():
                self.ask()
            case m.Wake(label, delay):
                self.later.callLater(delay / 1000.0, self._append, Due(label))
            case _:
                log.debug("not possible here", action=type(action).__name__)

    def _owed(self, id: str) -> AcceptedRequest | None:
        request = self.live.get(id)
        return request if request is not None and not request.answered else None

    def _send(self, id: str, worker: str, timeout: float, within: float) -> None:
        request = self.live.get(id)
        if request is None:
            return
        now = self.clock()
        until = request.deadline - ANSWER_AHEAD
        expires = min(now + timeout, until) if timeout > 0 else until
        call = UpstreamCall(request, len(request.calls), worker, now, expires, now + within)
        request.calls.append(call)
        endpoint = self.registry.serving(worker)
        if request.answered or timeout < 0 or endpoint is None:
            self._append(Ended(call, m.How.NOT_SENT))
            return
        if not self.wanted(call):
            self._append(Ended(call, m.How.CANCELLED))
            return
        call.protocol = endpoint.protocol
        self.counts["calls"] += 1
        call.timer = self.later.callLater(max(expires - now, 0.0) / 1000.0, self._expired, call)
        try:
            self.upstream_clients[call.protocol].start(call, endpoint)
        except Exception:
            log.exception("call failed to start", id=id, endpoint=worker)
            self.counts["exceptions"] += 1
            self._append(Ended(call, m.How.RESET))  # how far it got is not known

    def _expired(self, call: UpstreamCall) -> None:
        call.timer = None
        if not call.over:
            self.upstream_clients[call.protocol].give_up(call)
            self._append(Ended(call, m.How.TIMEOUT))


def _entry(endpoint: Endpoint) -> m.Entry:
    return m.Entry(
        endpoint.id,
        endpoint.zone,
        endpoint.kind,
        endpoint.cell,
        endpoint.state,
        endpoint.size,
        endpoint.up_since,
        endpoint.serves,
        endpoint.slots,
    )
