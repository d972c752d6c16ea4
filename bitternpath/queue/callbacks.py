"""Call-backs that a shard owes: who is told next, and when one is repeated.

A receiver that fails call after call is asked with one call at a time, a probe, until one is taken: then all
that waits for it goes out again. So a receiver that is down costs little, and one that has come back hears
of the first message within a probe's pause and time-out, and of the others right after it.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass, field
from math import inf
from random import Random
from urllib.parse import urlsplit

from bitternpath.queue.actions import SendCallback
from bitternpath.queue.backoff import CALLBACK_BACKOFF
from bitternpath.queue.commands import ConfirmCallbacks
from bitternpath.queue.edges import EdgeTable
from bitternpath.queue.entries import Entry

CALLBACK_TIMEOUT_S = 2.6  # without a report, which an edge node gives after 2 s: it may have gone
MAX_CALLBACKS_PER_RECEIVER = 8  # out at once from one shard: receivers take few connections
FAILURES_BEFORE_PROBING = (
    4  # failures in a row, of whichever messages: from then on the receiver is only probed
)
PROBE_INTERVAL_S = 0.5  # from a failure to the next probe
# Confirmations wait for another command, to share its round of replicas, but no longer than this; an owner
# that is lost meanwhile has its successor call back once more.
CONFIRM_WITHIN_S = 0.5
MOST_CONFIRMED_TOGETHER = 64


@dataclass(slots=True, eq=False)
class _Owed:
    entry: Entry
    receiver: str
    failures: int = 0
    out: bool = False
    serial: int = 0
    taken: bool = False  # only the confirmation has to be applied


@dataclass(slots=True)
class _Receiver:
    """One address that is called back: a few calls out, the others in the order in which they became due."""

    owed: int = 0  # call-backs that aren't confirmed; the receiver is forgotten with the last
    out: int = 0
    failures: int = 0  # in a row
    probe_at: float = 0.0
    probe_planned: float = 0.0  # the time of the last probe that is in the heap
    queue: deque[_Owed] = field(default_factory=deque)

    @property
    def most_out(self) -> int:
        """How many calls may be out at once."""
        return 1 if self.failures >= FAILURES_BEFORE_PROBING else MAX_CALLBACKS_PER_RECEIVER

    def failed(self, now: float) -> None:
        """A call was refused, or nothing was heard of it."""
        self.failures += 1
        if self.failures >= FAILURES_BEFORE_PROBING:
            self.probe_at = now + PROBE_INTERVAL_S

    def took(self) -> None:
        """A call was taken."""
        self.failures = 0
        self.probe_at = 0.0


class CallbackQueue:
    """All call-backs owed and not confirmed. Rebuilt from the state by a new owner."""

    def __init__(self, edges: EdgeTable, random: Random) -> None:
        self._edges = edges
        self._random = random
        self._owed: dict[str, _Owed] = {}
        self._receivers: dict[str, _Receiver] = {}
        self._sendable: dict[str, None] = {}  # receivers for which something may go out
        self._timers: list[tuple[float, str, int]] = []
        self._probes: list[tuple[float, str]] = []  # receivers by the time of their next probe
        self._unconfirmed: list[str] = []  # taken call-backs whose confirmation is to be proposed
        self._confirm_by = inf

    def owe(self, entry: Entry) -> None:
        """A message with a call-back URL has ended."""
        request_id = entry.message.request_id
        if request_id in self._owed:
            return
        owed = _Owed(entry, urlsplit(entry.message.callback_url).netloc)
        self._owed[request_id] = owed
        self._receivers.setdefault(owed.receiver, _Receiver()).owed += 1
        self._enqueue(owed)

    def confirmed(self, request_id: str) -> None:
        """The confirmation has been applied, or the message was forgotten."""
        owed = self._owed.pop(request_id, None)
        if owed is None:
            return
        self._recall(owed)
        owed.taken = True
        owed.serial += 1
        receiver = self._receivers[owed.receiver]
        receiver.owed -= 1
        if not receiver.owed:
            del self._receivers[owed.receiver]
            self._sendable.pop(owed.receiver, None)

    def reopen(self, request_id: str) -> None:
        """Its confirmation got lost before the log: call back again."""
        owed = self._owed.get(request_id)
        if owed is not None and owed.taken:
            owed.taken = False
            owed.serial += 1
            self._enqueue(owed)

    def report(self, now: float, request_id: str, taken: bool) -> None:
        """An edge node tells how a call-back went. It is confirmed by each report that it was taken."""
        owed = self._owed.get(request_id)
        if owed is None:
            return
        if taken:
            self._recall(owed)
            owed.taken = True
            self._receivers[owed.receiver].took()
            self._mark(owed.receiver)
            self._unconfirmed.append(request_id)
            self._confirm_by = min(self._confirm_by, now + CONFIRM_WITHIN_S)
        elif owed.out:
            self._retry_later(now, owed)

    def confirmation(self, now: float, others_go: bool) -> ConfirmCallbacks | None:
        """The command that confirms what was taken: now, where other commands go, time is up or there are
        many; else None."""
        due = others_go or now >= self._confirm_by or len(self._unconfirmed) >= MOST_CONFIRMED_TOGETHER
        if not self._unconfirmed or not due:
            return None
        taken, self._unconfirmed, self._confirm_by = tuple(self._unconfirmed), [], inf
        return ConfirmCallbacks(taken)

    def advance(self, now: float) -> list[SendCallback]:
        """Let timers fire, and send what may go out."""
        while self._timers and self._timers[0][0] <= now:
            self._fire(now, heapq.heappop(self._timers))
        while self._probes and self._probes[0][0] <= now:
            self._mark(heapq.heappop(self._probes)[1])
        actions: list[SendCallback] = []
        for name in list(self._sendable):
            self._send(now, name, actions)
        return actions

    def next_wakeup(self) -> float | None:
        """When a timer fires next."""
        while self._timers and self._lapsed(self._timers[0]):
            heapq.heappop(self._timers)
        times = [heap[0][0] for heap in (self._timers, self._probes) if heap]
        if self._unconfirmed:
            times.append(self._confirm_by)
        return min(times, default=None)

    def _send(self, now: float, name: str, actions: list[SendCallback]) -> None:
        receiver = self._receivers[name]
        while receiver.queue and receiver.out < receiver.most_out:
            owed = receiver.queue[0]
            if owed.taken:
                receiver.queue.popleft()
                continue
            if now < receiver.probe_at:
                self._plan_probe(name, receiver)
                break
            edge = self._edges.choose_for_callback(name, owed.failures)
            if edge is None:
                return
            receiver.queue.popleft()
            actions.append(self._order(now, receiver, owed, edge.name))
        del self._sendable[name]

    def _plan_probe(self, name: str, receiver: _Receiver) -> None:
        if receiver.probe_planned < receiver.probe_at:
            receiver.probe_planned = receiver.probe_at
            heapq.heappush(self._probes, (receiver.probe_at, name))

    def _order(self, now: float, receiver: _Receiver, owed: _Owed, edge: str) -> SendCallback:
        receiver.out += 1
        owed.out = True
        self._set_timer(now + CALLBACK_TIMEOUT_S, owed)
        message, entry = owed.entry.message, owed.entry
        return SendCallback(edge, message.request_id, message.callback_url, entry.state, entry.stamp)

    def _fire(self, now: float, timer: tuple[float, str, int]) -> None:
        if self._lapsed(timer):
            return
        owed = self._owed[timer[1]]
        if owed.out:
            self._retry_later(now, owed)
        else:
            self._enqueue(owed)

    def _retry_later(self, now: float, owed: _Owed) -> None:
        self._receivers[owed.receiver].failed(now)
        self._recall(owed)
        pause = CALLBACK_BACKOFF.pause(owed.failures, self._random)
        owed.failures += 1
        self._set_timer(now + pause, owed)

    def _recall(self, owed: _Owed) -> None:
        if owed.out:
            owed.out = False
            self._receivers[owed.receiver].out -= 1
            self._mark(owed.receiver)

    def _enqueue(self, owed: _Owed) -> None:
        self._receivers[owed.receiver].queue.append(owed)
        self._mark(owed.receiver)

    def _mark(self, name: str) -> None:
        """Something may go out to a receiver."""
        if name in self._receivers:
            self._sendable[name] = None

    def _set_timer(self, when: float, owed: _Owed) -> None:
        owed.serial += 1
        heapq.heappush(self._timers, (when, owed.entry.message.request_id, owed.serial))

    def _lapsed(self, timer: tuple[float, str, int]) -> bool:
        owed = self._owed.get(timer[1])
        return owed is None or owed.taken or owed.serial != timer[2]
