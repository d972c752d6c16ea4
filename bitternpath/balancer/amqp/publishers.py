"""Publishers as clients of the core: a message to a class queue is a request with exactly one answer. No I/O.

The answer has two forms: a message to `reply-to`, and in confirm mode an ack (served) or a nack (rejected,
failed). Requests of a disconnected publisher still run; their answers are dropped.
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
from bitternpath.balancer.amqp.frames import Properties, method_ids
from bitternpath.balancer.amqp.queues import Channel, Message, Queues
from bitternpath.balancer.amqp.state_machine import MessagePublished
from bitternpath.balancer.amqp.subscribers import RESULT_PREFIX, Subscribers
from bitternpath.balancer.amqp.translation import (
    InvalidMessage,
    budget_from,
    payload_from,
    request_id_from,
    route_key_from,
)
from bitternpath.balancer.core.broker import RECENT_ID_MS, Broker
from bitternpath.balancer.core.requests import AcceptedRequest, parse_call_info

JOBS = "jobs"  # the direct exchange to which every class queue is bound by its name
EXCHANGES = ("", JOBS)
REPLY_TO = "amq.rabbitmq.reply-to"  # RabbitMQ's direct reply-to
OUTCOME, RETRY_AFTER, REASON = "x-outcome", "x-retry-after-ms", "x-reason"


class PublisherClient:
    """Client (`core.requests.Client`) of one published message.

    `confirm_tag` is the delivery tag of its publisher confirm; 0: the channel is not in confirm mode.
    """

    __slots__ = ("channel", "confirm_tag", "correlation", "id", "publishers", "reply_to")

    def __init__(
        self, publishers: Publishers, channel: Channel, confirm_tag: int, properties: Any, id: str
    ) -> None:
        self.publishers, self.channel, self.confirm_tag, self.id = publishers, channel, confirm_tag, id
        self.reply_to, self.correlation = properties.reply_to, properties.correlation_id

    def served(self, result: bytes) -> None:
        self.publishers.complete(self, "served", result)

    def rejected(self, retry_after: float) -> None:
        self.publishers.complete(self, "refused", b"", {RETRY_AFTER: math.ceil(max(retry_after, 0.0))})

    def failed(self) -> None:
        self.publishers.complete(self, "failed", b"")

    def disconnected(self) -> bool:
        return False  # replies go through a queue, which may outlive its connection


class Publishers:
    """Processes published messages of all connections."""

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
        self.waiting = 0  # requests without an answer
        self.stopping = False
        self.counts: Counter[str] = Counter()
        self._generated_ids, self._run_id = 0, os.urandom(6).hex()

    @property
    def full(self) -> bool:
        return self.waiting >= self.max_waiting

    # ---- published messages

    def publish(self, channel: Channel, event: MessagePublished) -> None:
        """Process a published message; raises SoftError or HardError if it must not be published."""
        method, properties = event.method, event.properties
        if method.immediate:
            raise e.HardError(e.NOT_IMPLEMENTED, "immediate is not implemented", method_ids(method))
        if method.exchange not in EXCHANGES:
            raise e.SoftError(e.NOT_FOUND, f"no exchange {method.exchange!r:.80}", method_ids(method))
        if properties.reply_to == REPLY_TO and channel.reply_consumer_tag is None:
            raise e.SoftError(
                e.PRECONDITION_FAILED, f"no consumer of {REPLY_TO} on this channel", method_ids(method)
            )
        confirm_tag = 0
        if channel.confirm_mode:
            channel.publish_count += 1
            confirm_tag = channel.publish_count
        key = str(method.routing_key)
        if key in self.classes:
            self._submit(channel, confirm_tag, key, properties, event.body)
        elif method.exchange == "" and key.startswith(RESULT_PREFIX):
            self.subscribers.result(key[len(RESULT_PREFIX) :], properties.correlation_id, event.body)
            self._confirm(channel, confirm_tag, True)
        else:
            self._confirm(channel, confirm_tag, self._route_to_queue(channel, method, event, key))

    def _route_to_queue(
        self, channel: Channel, method: c.Basic.Publish, event: MessagePublished, key: str
    ) -> bool:
        """Route to a private queue, or return an unroutable mandatory message; False if the queue is full."""
        queue = self.queues.find(channel.session.vhost, key) if method.exchange == "" else None
        if queue is not None:
            accepted = queue.put(Message(str(method.exchange), key, event.properties, event.body))
            self.counts["queues_full"] += not accepted
            return accepted
        self.counts["unroutable"] += 1
        if method.mandatory:
            message = Message(str(method.exchange), key, event.properties, event.body)
            channel.session.return_message(channel, e.NO_ROUTE, e.REPLY_CODE_NAMES[e.NO_ROUTE], message)
        return True

    def _submit(self, channel: Channel, confirm_tag: int, name: str, properties: Any, body: bytes) -> None:
        spec, now = self.classes[name], self.clock()
        try:
            id = request_id_from(properties)
            if id is None:
                self._generated_ids += 1
                id = f"amqp-{self._run_id}-{self._generated_ids:x}"
            client = PublisherClient(self, channel, confirm_tag, properties, id)
            budget = budget_from(properties)
            payload = payload_from(name, properties, body)
        except InvalidMessage as error:
            self.counts["malformed"] += 1
            client = PublisherClient(self, channel, confirm_tag, properties, properties.message_id or "")
            self._send_outcome(client, "failed", b"", {REASON: str(error)})
            return
        if self.broker.has_seen(id):
            # This message did not run, but the first one with its id may: retry once that id is forgotten.
            self._refuse(client, RECENT_ID_MS, "message-id in use")
        elif self.stopping or self.full:
            self._refuse(client, self.retry_after(name), "draining" if self.stopping else "full")
        else:
            info = parse_call_info(payload.headers.get(b"x-call-info", b""))
            self.waiting += 1
            channel.session.waiting += 1
            self.counts["published"] += 1
            self.broker.submit(
                AcceptedRequest(
                    id,
                    name,
                    now + (spec.max_deadline if budget is None else budget),
                    client,
                    payload,
                    route_key_from(payload.headers),
                    info.get("work"),
                    info.get("slots", 1.0),
                    info.get("mem", 0.0),
                    payload.headers.get(b"x-again") == b"1",
                )
            )

    # ---- answers

    def _refuse(self, client: PublisherClient, retry_after: float, reason: str) -> None:
        self.counts["refused_untaken"] += 1
        headers = {RETRY_AFTER: math.ceil(max(retry_after, 0.0)), REASON: reason}
        self._send_outcome(client, "refused", b"", headers)

    def complete(
        self, client: PublisherClient, outcome: str, result: bytes, headers: dict[str, Any] | None = None
    ) -> None:
        """Send the final answer of an accepted request."""
        self.waiting -= 1
        client.channel.session.waiting -= 1
        self._send_outcome(client, outcome, result, headers or {})
        client.channel.session.on_change()

    def _send_outcome(
        self, client: PublisherClient, outcome: str, result: bytes, headers: dict[str, Any]
    ) -> None:
        channel = client.channel
        if client.reply_to:
            properties = Properties()
            properties.headers = {OUTCOME: outcome, **headers}
            properties.correlation_id = client.correlation
            properties.message_id = client.id or None
            message = Message("", client.reply_to, properties, result)
            if not self._send_reply(channel, message):
                self.counts["answers_dropped"] += 1
        elif not channel.open:
            self.counts["answers_dropped"] += 1
        self._confirm(channel, client.confirm_tag, outcome == "served")

    def _send_reply(self, channel: Channel, message: Message) -> bool:
        """Route a reply to its direct reply-to consumer or private queue; False if there is none."""
        if message.routing_key == REPLY_TO:
            if not channel.open or channel.reply_consumer_tag is None:
                return False
            channel.session.deliver(channel, channel.reply_consumer_tag, channel.next_delivery_tag(), message)
            return True
        queue = self.queues.find(channel.session.vhost, message.routing_key)
        return queue is not None and queue.put(message)

    @staticmethod
    def _confirm(channel: Channel, confirm_tag: int, served: bool) -> None:
        if confirm_tag and channel.open:
            confirm: Any = (
                c.Basic.Ack(confirm_tag, False) if served else c.Basic.Nack(confirm_tag, False, False)
            )
            channel.session.send_method(channel.number, confirm)
