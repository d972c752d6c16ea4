"""Call-backs that a shard owes: who is told next, and when one is repeated."""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass, field
from random import Random
from urllib.parse import urlsplit

from bitternpath.queue.actions import ProposeCommand, SendCallback
from bitternpath.queue.backoff import CALLBACK_BACKOFF
from bitternpath.queue.commands import ConfirmCallback
from bitternpath.queue.edges import EdgeTable
from bitternpath.queue.entries import Entry

CALLBACK_TIMEOUT_S = 2.6  # without a report, which an edge node gives after 2 s: it may have gone
MAX_CALLBACKS_PER_RECEIVER = 16  # out at once from one shard: receivers take few connections


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

    out: int = 0
    queue: deque[_Owed] = field(default_factory=deque)


class CallbackQueue:
    """All call-backs owed and not confirmed. Rebuilt from the state by a new owner."""

    def __init__(self, edges: EdgeTable, random: Random) -> None:
        self._edges = edges
        self._random = random
        self._owed: dict[str, _Owed] = {}
        self._receivers: dict[str, _Receiver] = {}
        self._sendable: dict[str, None] = {}  # receivers for which something may go out
        self._timers: list[tuple[float, str, int]] = []

    def owe(self, entry: Entry) -> None:
        """A message with a call-back URL has ended."""
        request_id = entry.message.request_id
        if request_id in self._owed:
            return
        owed = _Owed(entry, urlsplit(entry.message.callback_url).netloc)
        self._owed[request_id] = owed
        self._enqueue(owed)

    def confirmed(self, request_id: str) -> None:
        """The confirmation has been applied, or the message was forgotten."""
        owed = self._owed.pop(request_id, None)
        if owed is None:
            return
        self._recall(owed)
        owed.taken = True
        owed.serial += 1

    def reopen(self, request_id: str) -> None:
        """Its confirmation got lost before the log: call back again."""
        owed = self._owed.get(request_id)
        if owed is not None and owed.taken:
            owed.taken = False
            owed.serial += 1
            self._enqueue(owed)

    def report(self, now: float, request_id: str, taken: bool) -> list[ProposeCommand]:
        """An edge node tells how a call-back went. It is confirmed by each report that it was taken."""
        owed = self._owed.get(request_id)
        if owed is None:
            return []
        if taken:
            self._recall(owed)
            owed.taken = True
            return [ProposeCommand(ConfirmCallback(request_id))]
        if owed.out:
            self._retry_later(now, owed)
        return []

    def advance(self, now: float) -> list[SendCallback]:
        """Let timers fire, and send what may go out."""
        while self._timers and self._timers[0][0] <= now:
            self._fire(now, heapq.heappop(self._timers))
        actions: list[SendCallback] = []
        for name in list(self._sendable):
            self._send(now, name, actions)
        return actions

    def next_wakeup(self) -> float | None:
        """When a timer fires next."""
        while self._timers and self._lapsed(self._timers[0]):
            heapq.heappop(self._timers)
        return self._timers[0][0] if self._timers else None

    def _send(self, now: float, name: str, actions: list[SendCallback]) -> None:
        receiver = self._receivers[name]
        while receiver.queue and receiver.out < MAX_CALLBACKS_PER_RECEIVER:
            owed = receiver.queue[0]
            if owed.taken:
                receiver.queue.popleft()
                continue
            edge = self._edges.choose_for_callback(name, owed.failures)
            if edge is None:
                return
            receiver.queue.popleft()
            receiver.out += 1
            owed.out = True
            self._set_timer(now + CALLBACK_TIMEOUT_S, owed)
            message, entry = owed.entry.message, owed.entry
            action = SendCallback(
                edge.name, message.request_id, message.callback_url, entry.state, entry.stamp
            )
            actions.append(action)
        del self._sendable[name]
        if not receiver.queue and not receiver.out:
            del self._receivers[name]

    def _fire(self, now: float, timer: tuple[float, str, int]) -> None:
        if self._lapsed(timer):
            return
        owed = self._owed[timer[1]]
        if owed.out:
            self._retry_later(now, owed)
        else:
            self._enqueue(owed)

    def _retry_later(self, now: float, owed: _Owed) -> None:
        self._recall(owed)
        pause = CALLBACK_BACKOFF.pause(owed.failures, self._random)
        owed.failures += 1
        self._set_timer(now + pause, owed)

    def _recall(self, owed: _Owed) -> None:
        if owed.out:
            owed.out = False
            self._receivers[owed.receiver].out -= 1
            self._sendable[owed.receiver] = None

    def _enqueue(self, owed: _Owed) -> None:
        self._receivers.setdefault(owed.receiver, _Receiver()).queue.append(owed)
        self._sendable[owed.receiver] = None

    def _set_timer(self, when: float, owed: _Owed) -> None:
        owed.serial += 1
        heapq.heappush(self._timers, (when, owed.entry.message.request_id, owed.serial))

    def _lapsed(self, timer: tuple[float, str, int]) -> bool:
        owed = self._owed.get(timer[1])
        return owed is None or owed.taken or owed.serial != timer[2]
