"""Pending call-backs of a shard: which receiver is notified next, and when a call is repeated.

A receiver with several consecutive failures gets one call at a time, as a probe, until it acknowledges one;
then all its pending call-backs are sent again. A receiver that is down therefore costs few calls, and a
recovered receiver gets its first call-back within a probe interval plus a time-out, and the others
immediately after it.

The states of a call-back, from the end of the message to the commit of `ConfirmCallbacks`:

    ============  =====================================================  ===============================
    state         meaning                                                goes on to
    ============  =====================================================  ===============================
    queued        due, in its receiver's queue                           in flight
    in flight     sent to an edge node                                   acknowledged; backing off after
                                                                         a failure or a missing report
    backing off   failed, waits for a timer                              queued; acknowledged
    acknowledged  the confirmation is about to be proposed or is         removed; queued if the
                  proposed                                               confirmation was not proposed
    ============  =====================================================  ===============================
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass, field
from math import inf
from random import Random
from urllib.parse import urlsplit

from msgspec import Struct

from bitternpath.queue.actions import SendCallback
from bitternpath.queue.backoff import CALLBACK_BACKOFF
from bitternpath.queue.commands import ConfirmCallbacks
from bitternpath.queue.edge_nodes import EdgeNodeTable
from bitternpath.queue.entries import Entry

CALLBACK_TIMEOUT_S = 2.6  # edge nodes report after 2 s at the latest; without a report the node may be down
MAX_CALLBACKS_PER_RECEIVER = 8  # in flight from one shard; receivers accept few connections
FAILURES_BEFORE_PROBING = 4  # consecutive failures of any messages after which a receiver is only probed
PROBE_INTERVAL_S = 0.5  # from a failure to the next probe
# A confirmation waits up to this long for another command whose replication round it can share. If the owner
# fails meanwhile, its successor repeats the call-back.
MAX_CONFIRMATION_DELAY_S = 0.5
CONFIRMATION_BATCH_SIZE = 64  # this many confirmations are proposed without waiting


@dataclass(slots=True, eq=False)
class _PendingCallback:
    """A call-back that is not confirmed yet. A timer with an older `serial` is stale."""

    entry: Entry
    receiver: str
    failures: int = 0
    in_flight: bool = False
    serial: int = 0
    acknowledged: bool = False  # the receiver has acknowledged it; the confirmation is not applied yet


class _Timer(Struct, frozen=True, order=True):
    """End of a call-back's time-out or back-off; ordered by time."""

    when: float
    request_id: str
    serial: int


@dataclass(slots=True)
class _Receiver:
    """One receiver's address: a bounded number of calls in flight, the other call-backs in due order."""

    pending: int = 0  # call-backs without an applied confirmation; the receiver is removed with the last one
    in_flight: int = 0
    failures: int = 0  # consecutive failures
    probe_at: float = 0.0
    scheduled_probe_at: float = 0.0  # time of the latest probe in the heap
    queue: deque[_PendingCallback] = field(default_factory=deque)

    @property
    def max_in_flight(self) -> int:
        """Maximum number of calls in flight."""
        return 1 if self.failures >= FAILURES_BEFORE_PROBING else MAX_CALLBACKS_PER_RECEIVER

    def record_failure(self, now: float) -> None:
        """Count a call that failed or for which no report arrived."""
        self.failures += 1
        if self.failures >= FAILURES_BEFORE_PROBING:
            self.probe_at = now + PROBE_INTERVAL_S

    def record_success(self) -> None:
        """Count a call that was acknowledged."""
        self.failures = 0
        self.probe_at = 0.0


class CallbackQueue:
    """All call-backs that are not confirmed. A new owner rebuilds it from the state."""

    def __init__(self, edges: EdgeNodeTable, random: Random) -> None:
        """Send through the edge nodes of `edges`; `random` provides the jitter of back-off delays."""
        self._edges = edges
        self._random = random
        self._pending: dict[str, _PendingCallback] = {}  # by request id
        self._receivers: dict[str, _Receiver] = {}  # by address
        self._sendable: dict[str, None] = {}  # receivers that may accept another call now
        self._timers: list[_Timer] = []
        self._probes: list[tuple[float, str]] = []  # receivers by the time of their next probe
        self._unconfirmed: list[str] = []  # acknowledged request ids whose confirmation is not proposed yet
        self._confirm_by = inf

    def add(self, entry: Entry) -> None:
        """Queue the call-back of an ended message that has a call-back URL."""
        request_id = entry.message.request_id
        if request_id in self._pending:
            return
        pending = _PendingCallback(entry, urlsplit(entry.message.callback_url).netloc)
        self._pending[request_id] = pending
        self._receivers.setdefault(pending.receiver, _Receiver()).pending += 1
        self._enqueue(pending)

    def remove(self, request_id: str) -> None:
        """Remove a call-back whose confirmation has been applied or whose tombstone was removed."""
        pending = self._pending.pop(request_id, None)
        if pending is None:
            return
        self._clear_in_flight(pending)
        pending.acknowledged = True
        pending.serial += 1
        receiver = self._receivers[pending.receiver]
        receiver.pending -= 1
        if not receiver.pending:
            del self._receivers[pending.receiver]
            self._sendable.pop(pending.receiver, None)

    def confirmation_failed(self, request_id: str) -> None:
        """Queue a call-back again whose confirmation was not proposed."""
        pending = self._pending.get(request_id)
        if pending is not None and pending.acknowledged:
            pending.acknowledged = False
            pending.serial += 1
            self._enqueue(pending)

    def report(self, now: float, request_id: str, *, acknowledged: bool) -> None:
        """Process an edge node's report.

        A report of an acknowledgement counts in every state; a failure counts only while a call is in flight.
        """
        pending = self._pending.get(request_id)
        if pending is None:
            return
        if acknowledged:
            self._clear_in_flight(pending)
            pending.acknowledged = True
            self._receivers[pending.receiver].record_success()
            self._mark_sendable(pending.receiver)
            self._unconfirmed.append(request_id)
            self._confirm_by = min(self._confirm_by, now + MAX_CONFIRMATION_DELAY_S)
        elif pending.in_flight:
            self._back_off(now, pending)

    def pop_confirmation(self, now: float, *, others_proposed: bool) -> ConfirmCallbacks | None:
        """Return the command that confirms the acknowledged call-backs, or None while it may still wait.

        It is returned when other commands are proposed, when the maximum delay has passed, or when the batch
        is full.
        """
        is_due = (
            others_proposed or now >= self._confirm_by or len(self._unconfirmed) >= CONFIRMATION_BATCH_SIZE
        )
        if not self._unconfirmed or not is_due:
            return None
        request_ids = tuple(self._unconfirmed)
        self._unconfirmed = []
        self._confirm_by = inf
        return ConfirmCallbacks(request_ids)

    def advance(self, now: float) -> list[SendCallback]:
        """Fire the due timers; returns the calls to send."""
        while self._timers and self._timers[0].when <= now:
            self._fire(now, heapq.heappop(self._timers))
        while self._probes and self._probes[0][0] <= now:
            self._mark_sendable(heapq.heappop(self._probes)[1])
        actions: list[SendCallback] = []
        for name in list(self._sendable):
            self._send(now, name, actions)
        return actions

    def next_wakeup(self) -> float | None:
        """Return when to call `advance` or `pop_confirmation` next; None if no timer is set."""
        while self._timers and self._is_stale(self._timers[0]):
            heapq.heappop(self._timers)
        times = []
        if self._timers:
            times.append(self._timers[0].when)
        if self._probes:
            times.append(self._probes[0][0])
        if self._unconfirmed:
            times.append(self._confirm_by)
        return min(times, default=None)

    def _send(self, now: float, name: str, actions: list[SendCallback]) -> None:
        receiver = self._receivers[name]
        while receiver.queue and receiver.in_flight < receiver.max_in_flight:
            pending = receiver.queue[0]
            if pending.acknowledged:
                receiver.queue.popleft()
                continue
            if now < receiver.probe_at:
                self._schedule_probe(name, receiver)
                break
            edge = self._edges.choose_for_callback(name, pending.failures)
            if edge is None:
                return
            receiver.queue.popleft()
            actions.append(self._call(now, receiver, pending, edge.name))
        del self._sendable[name]

    def _schedule_probe(self, name: str, receiver: _Receiver) -> None:
        if receiver.scheduled_probe_at < receiver.probe_at:
            receiver.scheduled_probe_at = receiver.probe_at
            heapq.heappush(self._probes, (receiver.probe_at, name))

    def _call(self, now: float, receiver: _Receiver, pending: _PendingCallback, edge: str) -> SendCallback:
        receiver.in_flight += 1
        pending.in_flight = True
        self._set_timer(now + CALLBACK_TIMEOUT_S, pending)
        entry = pending.entry
        message = entry.message
        return SendCallback(edge, message.request_id, message.callback_url, entry.state, entry.stamp)

    def _fire(self, now: float, timer: _Timer) -> None:
        if self._is_stale(timer):
            return
        pending = self._pending[timer.request_id]
        if pending.in_flight:
            self._back_off(now, pending)
        else:
            self._enqueue(pending)

    def _back_off(self, now: float, pending: _PendingCallback) -> None:
        self._receivers[pending.receiver].record_failure(now)
        self._clear_in_flight(pending)
        delay = CALLBACK_BACKOFF.delay(pending.failures, self._random)
        pending.failures += 1
        self._set_timer(now + delay, pending)

    def _clear_in_flight(self, pending: _PendingCallback) -> None:
        if pending.in_flight:
            pending.in_flight = False
            self._receivers[pending.receiver].in_flight -= 1
            self._mark_sendable(pending.receiver)

    def _enqueue(self, pending: _PendingCallback) -> None:
        self._receivers[pending.receiver].queue.append(pending)
        self._mark_sendable(pending.receiver)

    def _mark_sendable(self, name: str) -> None:
        if name in self._receivers:
            self._sendable[name] = None

    def _set_timer(self, when: float, pending: _PendingCallback) -> None:
        pending.serial += 1
        heapq.heappush(self._timers, _Timer(when, pending.entry.message.request_id, pending.serial))

    def _is_stale(self, timer: _Timer) -> bool:
        pending = self._pending.get(timer.request_id)
        return pending is None or pending.acknowledged or pending.serial != timer.serial
