"""Publishers as clients of the core: a message on a class queue is a request, owed one answer. No I/O.

The answer is sent in two forms: a message to `reply-to`, and in confirm mode an ack (served) or a nack
(rejected, failed). Requests of a publisher that has disconnected still run; their answers are dropped.
"""

from __future__ import annotations

import math
import os
from collections import Counter
from collections.abc import Callable
from typing import Any

from pamqp import commands as c

from bitternpath.balancer import messages as m
from bitternpath.balancer.amqp import errors as e
from bitternpath.balancer.amqp.frames import Properties, ids
from bitternpath.balancer.amqp.machine import Published
from bitternpath.balancer.amqp.queues import Channel, Message, Queues
from bitternpath.balancer.amqp.subscribers import RESULT_PREFIX, Subscribers
from bitternpath.balancer.amqp.translation import Untranslatable, budget_from, id_from, key_from, work_from
from bitternpath.balancer.core.broker import RECENT_ID_MS, Broker
from bitternpath.balancer.core.requests import AcceptedRequest, parse_call_info

JOBS = "jobs"  # the direct exchange to which every class queue is bound by its name
EXCHANGES = ("", JOBS)
REPLY_TO = "amq.rabbitmq.reply-to"  # RabbitMQ's direct reply-to
OUTCOME, RETRY_AFTER, REASON = "x-outcome", "x-retry-after-ms", "x-reason"


class Answer:
    """The client (`core.requests.Client`) of one published message."""

    __slots__ = ("channel", "correlation", "id", "number", "publishers", "reply_to")

    def __init__(
        self, publishers: Publishers, channel: Channel, number: int, properties: Any, id: str
    ) -> None:
        self.publishers, self.channel, self.number, self.id = publishers, channel, number, id
        self.reply_to, self.correlation = properties.reply_to, properties.correlation_id

    def served(self, result: bytes) -> None:
        self.publishers.answer(self, "served", result)

    def rejected(self, retry_after: float) -> None:
        self.publishers.answer(self, "refused", b"", {RETRY_AFTER: math.ceil(max(retry_after, 0.0))})

    def failed(self) -> None:
        self.publishers.answer(self, "failed", b"")

    def disconnected(self) -> bool:
        return False  # a publisher is told through a queue, which may outlive its connection


class Publishers:
    """Takes what is published, on all connections."""

    def __init__(
        self,
        clock: Callable[[], float],
        broker: Broker,
        queues: Queues,
        subscribers: Subscribers,
        classes: tuple[m.JobClass, ...],
        retry_after: Callable[[str], float],
        max_waiting: int,
    ) -> None:
        self.clock, self.broker, self.queues, self.subscribers = clock, broker, queues, subscribers
        self.classes = {spec.name: spec for spec in classes}
        self.retry_after, self.max_waiting = retry_after, max_waiting
        self.waiting = 0  # requests that wait for their answers
        self.stopping = False
        self.counts: Counter[str] = Counter()
        self._made, self._run = 0, os.urandom(6).hex()

    @property
    def full(self) -> bool:
        return self.waiting >= self.max_waiting

    # ---- what comes

    def publish(self, channel: Channel, told: Published) -> None:
        """A message; SoftError or HardError where it may not be published so."""
        method, properties = told.method, told.properties
        if method.immediate:
            raise e.HardError(e.NOT_IMPLEMENTED, "immediate is not implemented", ids(method))
        if method.exchange not in EXCHANGES:
            raise e.SoftError(e.NOT_FOUND, f"no exchange {method.exchange!r:.80}", ids(method))
        if properties.reply_to == REPLY_TO and channel.reply_tag is None:
            raise e.SoftError(
                e.PRECONDITION_FAILED, f"no consumer of {REPLY_TO} on this channel", ids(method)
            )
        number = 0
        if channel.confirming:
            channel.published += 1
            number = channel.published
        key = str(method.routing_key)
        if key in self.classes:
            self._submit(channel, number, key, properties, told.body)
        elif method.exchange == "" and key.startswith(RESULT_PREFIX):
            self.subscribers.result(key[len(RESULT_PREFIX) :], properties.correlation_id, told.body)
            self._confirm(channel, number, True)
        else:
            self._confirm(channel, number, self._to_queue(channel, method, told, key))

    def _to_queue(self, channel: Channel, method: c.Basic.Publish, told: Published, key: str) -> bool:
        """Into a private queue, or back to the publisher; False where the queue is full."""
        queue = self.queues.find(channel.session.vhost, key) if method.exchange == "" else None
        if queue is not None:
            kept = queue.put(Message(str(method.exchange), key, told.properties, told.body))
            self.counts["queues_full"] += not kept
            return kept
        self.counts["unroutable"] += 1
        if method.mandatory:
            message = Message(str(method.exchange), key, told.properties, told.body)
            channel.session.give_back(channel, e.NO_ROUTE, e.NAMES[e.NO_ROUTE], message)
        return True

    def _submit(self, channel: Channel, number: int, name: str, properties: Any, body: bytes) -> None:
        spec, now = self.classes[name], self.clock()
        try:
            id = id_from(properties)
            if id is None:
                self._made += 1
                id = f"amqp-{self._run}-{self._made:x}"
            answer = Answer(self, channel, number, properties, id)
            budget = budget_from(properties)
            work = work_from(name, properties, body)
        except Untranslatable as error:
            self.counts["malformed"] += 1
            answer = Answer(self, channel, number, properties, properties.message_id or "")
            self._say(answer, "failed", b"", {REASON: str(error)})
            return
        if self.broker.has_seen(id):
            # Nothing of this message ran, but the first of that id may: not before that is forgotten.
            self._refuse(answer, RECENT_ID_MS, "message-id in use")
        elif self.stopping or self.full:
            self._refuse(answer, self.retry_after(name), "draining" if self.stopping else "full")
        else:
            info = parse_call_info(work.headers.get(b"x-call-info", b""))
            self.waiting += 1
            channel.session.waiting += 1
            self.counts["published"] += 1
            self.broker.submit(
                AcceptedRequest(
                    id,
                    name,
                    now + (spec.max_deadline if budget is None else budget),
                    answer,
                    work,
                    key_from(work.headers),
                    info.get("work"),
                    info.get("slots", 1.0),
                    info.get("mem", 0.0),
                    work.headers.get(b"x-again") == b"1",
                )
            )

    # ---- what goes back

    def _refuse(self, answer: Answer, retry_after: float, why: str) -> None:
        self.counts["refused_untaken"] += 1
        more = {RETRY_AFTER: math.ceil(max(retry_after, 0.0)), REASON: why}
        self._say(answer, "refused", b"", more)

    def answer(self, answer: Answer, outcome: str, result: bytes, more: dict[str, Any] | None = None) -> None:
        """The one final answer of a request."""
        self.waiting -= 1
        answer.channel.session.waiting -= 1
        self._say(answer, outcome, result, more or {})
        answer.channel.session.changed()

    def _say(self, answer: Answer, outcome: str, result: bytes, more: dict[str, Any]) -> None:
        channel = answer.channel
        if answer.reply_to:
            properties = Properties()
            properties.headers = {OUTCOME: outcome, **more}
            properties.correlation_id = answer.correlation
            properties.message_id = answer.id or None
            message = Message("", answer.reply_to, properties, result)
            if not self._reply(channel, message):
                self.counts["answers_dropped"] += 1
        elif not channel.open:
            self.counts["answers_dropped"] += 1
        self._confirm(channel, answer.number, outcome == "served")

    def _reply(self, channel: Channel, message: Message) -> bool:
        """Hand an answer to whoever waits for it; False where nobody does."""
        if message.routing_key == REPLY_TO:
            if not channel.open or channel.reply_tag is None:
                return False
            channel.session.deliver(channel, channel.reply_tag, channel.next_tag(), message)
            return True
        queue = self.queues.find(channel.session.vhost, message.routing_key)
        return queue is not None and queue.put(message)

    @staticmethod
    def _confirm(channel: Channel, number: int, well: bool) -> None:
        if number and channel.open:
            done: Any = c.Basic.Ack(number, False) if well else c.Basic.Nack(number, False, False)
            channel.session.say(channel.number, done)
