"""Clients: they send messages of all kinds, retry after a promise, and ask for states at the end."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from twisted.internet.defer import Deferred, DeferredSemaphore, gatherResults
from twisted.internet.task import deferLater

from bitternpath.testing.fault_injection.load_balancer import LoadBalancer
from bitternpath.testing.fault_injection.plan import HOSTS, PREFIXES, SHARES, Port, Reachable
from bitternpath.testing.fault_injection.plumbing import Call, Reply, Unanswered, send_call
from bitternpath.testing.fault_injection.records import Clock, Found, History, Kind, Send, SendOutcome

DEADLINE_MS = 1_500
MAX_SEND_ATTEMPTS = 3
MAX_RETRY_AFTER_S = 1.0  # of `Retry-After`, as the deadline is near
ORDER_KEYS = 12
DELAYED_SHARE, MAX_DELAY_S = 0.2, 2.0  # of pulled messages
BODY_BYTES = {Kind.LISTED: 600, Kind.ENDPOINT: 1_200, Kind.PULLED: 2_500}
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
STATE_TIMEOUT_S = 2.0
STATE_RETRY_DELAY_S = 0.3
MAX_STATE_READS = 15
CONCURRENT_STATE_READS = 16  # questions under way at once


@dataclass(frozen=True, slots=True)
class MessageSpec:
    """A message that a client wants done; each try gets an id of its own."""

    kind: Kind
    body: bytes
    order_key: str = ""
    delay_s: float = 0.0
    zone: str = ""  # of the client


def draw_message(random: Random) -> MessageSpec:
    """A message of any kind."""
    kind = random.choices(list(SHARES), list(SHARES.values()))[0]
    body = random.randbytes(BODY_BYTES[kind])
    key = f"key-{random.randrange(ORDER_KEYS)}" if kind is Kind.ENDPOINT else ""
    delayed = kind is Kind.PULLED and random.random() < DELAYED_SHARE
    delay_s = round(random.uniform(0.2, MAX_DELAY_S), 3) if delayed else 0.0
    return MessageSpec(kind, body, key, delay_s)


class Clients:
    """Sends messages: given ones, or drawn ones at a mean rate with exponential gaps."""

    def __init__(
        self, reactor: Any, clock: Clock, history: History, entry: LoadBalancer, callback_url: str
    ) -> None:
        self._reactor, self._clock, self._history = reactor, clock, history
        self._entry, self._callback_url = entry, callback_url
        self.open = 0  # messages whose client still waits or will try again

    def run(self, until: float, rate: float, random: Random, failed: Callable[[Any], None]) -> None:
        """Send drawn ones until then; `failed` hears an error in the rehearsal itself."""
        Deferred.fromCoroutine(self._send_all(until, rate, random, failed)).addErrback(failed)

    async def _send_all(
        self, until: float, rate: float, random: Random, failed: Callable[[Any], None]
    ) -> None:
        while self._clock() < until:
            await deferLater(self._reactor, random.expovariate(rate))
            Deferred.fromCoroutine(self.send(draw_message(random), random)).addErrback(failed)

    async def send(self, spec: MessageSpec, random: Random) -> Send:
        """One message: tries until it is taken, its fate is open, or its time is up; the last try."""
        self.open += 1
        give_up_at = self._clock() + DEADLINE_MS / 1000
        for _ in range(MAX_SEND_ATTEMPTS):
            node = self._entry.choose(spec.zone)
            send = self._prepare(spec, node, random)
            pause = await self._try(send, node, give_up_at)
            if pause is None or self._clock() + pause >= give_up_at:
                break
            await deferLater(self._reactor, pause)
        self.open -= 1
        return send

    def _prepare(self, spec: MessageSpec, node: Reachable, random: Random) -> Send:
        request_id = f"{random.getrandbits(64):016x}"
        target = f"{PREFIXES[spec.kind]}{random.getrandbits(24):06x}/x?n={random.getrandbits(16)}"
        send = Send(
            request_id,
            self._clock(),
            node.name,
            spec.kind,
            target,
            spec.body,
            spec.order_key,
            spec.delay_s,
            wants_callback=spec.kind is not Kind.LISTED,
        )
        self._history.sends[request_id] = send
        return send

    async def _try(self, send: Send, node: Reachable, give_up_at: float) -> float | None:
        """Send it; the pause before the next try, None where there is none."""
        left = max(give_up_at - self._clock(), 0.05)
        answer = await send_call(self._reactor, node.address(Port.FRONT), self._call(send, left), left)
        send.ended_at = self._clock()
        if isinstance(answer, Unanswered):
            send.outcome = SendOutcome.UNCLEAR
            send.connection_closed = answer is Unanswered.CLOSED
            if answer is Unanswered.NO_CONNECTION:
                send.outcome = SendOutcome.NOT_SENT
                return 0.05
            return None
        send.status = answer.status
        send.outcome = _outcome(answer.status)
        send.message_id = answer.headers.get("x-message-id", send.request_id)
        if send.outcome is SendOutcome.NOT_EXECUTED:
            return min(float(answer.headers.get("retry-after", "0")), MAX_RETRY_AFTER_S)
        return None

    def _call(self, send: Send, left: float) -> Call:
        headers = {
            "Host": HOSTS[send.kind],
            "X-Request-Id": send.request_id,
            "X-Deadline-Ms": str(int(left * 1000)),
        }
        if send.order_key:
            headers["X-Order-Key"] = send.order_key
        if send.delay_s:
            headers["X-Delay-Ms"] = str(int(send.delay_s * 1000))
        if send.wants_callback:
            headers["X-Callback-Url"] = self._callback_url
        return Call("POST", send.target, headers, send.body)


def _outcome(status: int) -> SendOutcome:
    if status == 202:
        return SendOutcome.ACCEPTED
    if status in NOT_EXECUTED_STATUSES:
        return SendOutcome.NOT_EXECUTED
    return SendOutcome.UNCLEAR if status >= 500 else SendOutcome.REJECTED


class StateReaders:
    """Ask for the state of messages, and for the bytes of those that aren't done."""

    def __init__(self, reactor: Any, clock: Clock, history: History, entry: LoadBalancer) -> None:
        self._reactor, self._clock, self._history, self._entry = reactor, clock, history, entry
        self._read_slots = DeferredSemaphore(CONCURRENT_STATE_READS)

    async def read_all(self, sends: list[Send]) -> None:
        """Ask for each of them."""
        await gatherResults([self._read_slots.run(self._ask, send) for send in sends])

    async def _ask(self, send: Send) -> None:
        found = Found(send.request_id, self._clock(), "")
        told = await self._get(send, "message")
        if told is not None:
            document = json.loads(told.body)
            state, stamp = str(document.get("state", "")), str(document.get("stamp", ""))
            asked_at = self._clock()
            kept = await self._get(send, "message-body") if state != "done" else None
            found = Found(send.request_id, asked_at, state, stamp, kept.body if kept is not None else None)
        self._history.found[send.request_id] = found

    async def _get(self, send: Send, what: str) -> Reply | None:
        """The answer with 200; None where none comes though any node is asked again and again."""
        call = Call("GET", f"/{what}/{send.message_id}", {"Host": HOSTS[send.kind]})
        for _ in range(MAX_STATE_READS):
            address = self._entry.choose().address(Port.FRONT)
            answer = await send_call(self._reactor, address, call, STATE_TIMEOUT_S)
            if isinstance(answer, Reply) and answer.status == 200:
                return answer
            await deferLater(self._reactor, STATE_RETRY_DELAY_S)
        return None
