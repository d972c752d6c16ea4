"""Subscribers as endpoints: an upstream client that delivers calls, and a source of endpoints. No I/O.

Outcome of a call (docs/design/amqp.md): a delivery that was never submitted to the transport never ran. A
submitted one may have run until its subscriber acknowledges it (served), rejects it (failed) or requeues it;
a requeued one counts as not started only for the classes that the operators list. If the channel closes after
the result was published, the call is served.
"""

from __future__ import annotations

import os
from collections import Counter
from collections.abc import Callable
from typing import Any

from bitternpath.balancer import messages as m
from bitternpath.balancer.amqp.errors import PRECONDITION_FAILED, RESOURCE_ERROR, HardError, SoftError
from bitternpath.balancer.amqp.queues import Channel, Message
from bitternpath.balancer.amqp.send_queue import Entry
from bitternpath.balancer.amqp.translation import delivery_properties, text_of
from bitternpath.balancer.core.broker import Broker
from bitternpath.balancer.core.endpoint_registry import Endpoint, Listing
from bitternpath.balancer.core.requests import UpstreamCall
from bitternpath.balancer.core.statistics import BACKEND_CALLS

SOURCE = PROTOCOL = "amqp"
RESULT_PREFIX = "amq.result."  # routing keys of results, which subscribers publish to the default exchange
MAX_PENDING_RESULT_BYTES = 8 << 20  # bytes of results on one connection without their acks
MAX_ARGUMENT_LENGTH = 64  # characters of the consumer arguments x-site and x-kind


class Subscriber:
    """Consumer of a class queue: an endpoint with as many slots as its prefetch allows."""

    __slots__ = (
        "channel",
        "endpoint",
        "job_class",
        "kind",
        "prefetch",
        "size",
        "state",
        "subscribers",
        "tag",
        "unacked_count",
        "up_since",
        "zone",
    )  # fmt: skip

    def __init__(
        self, subscribers: Subscribers, channel: Channel, tag: str, job_class: str, endpoint: str
    ) -> None:
        self.subscribers, self.channel, self.tag, self.job_class = subscribers, channel, tag, job_class
        self.endpoint, self.state = endpoint, m.WorkerState.SERVING
        self.prefetch, self.unacked_count = channel.prefetch, 0
        self.zone = self.kind = ""
        self.size, self.up_since = 1.0, 0.0

    @property
    def slots(self) -> int:
        """Maximum number of unacknowledged calls."""
        cap = self.subscribers.prefetch_cap
        return min(self.prefetch or cap, self.channel.channel_prefetch or cap, cap)

    def has_capacity(self) -> bool:
        serving = self.state is m.WorkerState.SERVING
        return (
            serving
            and self.unacked_count < self.slots
            and self.channel.has_capacity(self.prefetch, self.unacked_count)
        )

    def to_endpoint(self) -> Endpoint:
        state = self.state
        if state is m.WorkerState.SERVING and not self.channel.flow_active:
            state = m.WorkerState.DRAINING  # while the peer pauses deliveries by channel.flow
        return Endpoint(
            self.endpoint, "", self.zone, self.kind, 0, state, self.size, self.up_since,
            PROTOCOL, SOURCE, frozenset((self.job_class,)), self.slots,
        )  # fmt: skip

    def stop(self) -> None:
        self.subscribers.drain(self)

    def on_channel_closed(self) -> None:
        self.subscribers.remove(self)


class Delivery:
    """Unacknowledged delivery of a call."""

    __slots__ = ("call", "delivery_tag", "entry", "result", "subscriber", "token")

    def __init__(self, call: UpstreamCall, subscriber: Subscriber, delivery_tag: int, token: str) -> None:
        self.call, self.subscriber, self.delivery_tag, self.token = call, subscriber, delivery_tag, token
        self.result: bytes | None = None  # published by the subscriber before its ack
        self.entry: Entry | None = None

    def ack(self) -> None:
        self.subscriber.subscribers.finished(self, m.AttemptOutcome.OK, self.result or b"")

    def reject(self, requeue: bool) -> None:
        self.subscriber.subscribers.rejected(self, requeue)

    def on_channel_closed(self) -> None:
        self.subscriber.subscribers.on_channel_closed(self)


class Subscribers:
    """All subscribers of all connections."""

    broker: Broker

    def __init__(
        self,
        clock: Callable[[], float],
        apply_listing: Callable[[Listing], object],
        prefetch_cap: int,
        requeue_unstarted: frozenset[str],
    ) -> None:
        self.clock, self.apply_listing, self.prefetch_cap = clock, apply_listing, prefetch_cap
        self.requeue_unstarted = requeue_unstarted
        self.by_endpoint: dict[str, Subscriber] = {}
        self.counts: Counter[str] = Counter()
        self._by_token: dict[str, Delivery] = {}
        self._subscriber_count = 0

    def count_of_class(self, job_class: str) -> int:
        return sum(s.job_class == job_class for s in self.by_endpoint.values())

    # ---- source of endpoints

    def add(self, channel: Channel, tag: str, job_class: str, arguments: dict[str, Any]) -> Subscriber:
        """Add a subscriber; SoftError 406 if its arguments are invalid."""
        self._subscriber_count += 1
        subscriber = Subscriber(self, channel, tag, job_class, f"amqp-{self._subscriber_count}")
        subscriber.zone = self._text_argument(arguments, "x-site")
        subscriber.kind = self._text_argument(arguments, "x-kind")
        subscriber.size = self._number_argument(arguments, "x-size", 1.0)
        subscriber.up_since = self._number_argument(arguments, "x-up-since-ms", 0.0)
        self.by_endpoint[subscriber.endpoint] = subscriber
        channel.session.active_work += 1
        self.update_endpoint(subscriber)
        return subscriber

    @staticmethod
    def _text_argument(arguments: dict[str, Any], key: str) -> str:
        value = text_of(arguments.get(key) or "")
        if len(value) > MAX_ARGUMENT_LENGTH:
            raise SoftError(
                PRECONDITION_FAILED, f"{key}: at most {MAX_ARGUMENT_LENGTH} characters are allowed"
            )
        return value

    @staticmethod
    def _number_argument(arguments: dict[str, Any], key: str, default: float) -> float:
        value = arguments.get(key, default)
        try:
            number = float(value)
        except (TypeError, ValueError):
            number = -1.0
        if not 0.0 <= number < 1e15 or (key == "x-size" and number == 0.0):
            raise SoftError(PRECONDITION_FAILED, f"{key} = {value!r:.40}: a number above 0 is allowed")
        return number

    def update_endpoint(self, subscriber: Subscriber) -> None:
        """Report the state of a subscriber to the endpoint registry."""
        self.apply_listing(Listing(0, False, (subscriber.to_endpoint(),), SOURCE))

    def drain(self, subscriber: Subscriber) -> None:
        """End new deliveries; unacknowledged ones may still be acknowledged."""
        if subscriber.state is not m.WorkerState.SERVING:
            return
        subscriber.state = m.WorkerState.DRAINING
        self.update_endpoint(subscriber)
        self.withdraw_unsent(subscriber)
        self._remove_if_drained(subscriber)

    def withdraw_unsent(self, subscriber: Subscriber) -> None:
        """Withdraw deliveries that were not submitted yet; their calls end as never sent."""
        unacked = list(subscriber.channel.unacked.values())
        for delivery in [d for d in unacked if isinstance(d, Delivery) and d.subscriber is subscriber]:
            if self._withdraw(delivery):
                self.broker.call_ended(delivery.call, m.AttemptOutcome.NO_CONNECTION)

    def remove(self, subscriber: Subscriber) -> None:
        """Remove a subscriber; deliveries on a closed channel are settled by `on_channel_closed`."""
        if subscriber.state is not m.WorkerState.GONE:
            subscriber.state = m.WorkerState.GONE
            subscriber.channel.session.active_work -= 1
            self.by_endpoint.pop(subscriber.endpoint, None)
            self.update_endpoint(subscriber)

    def _remove_if_drained(self, subscriber: Subscriber) -> None:
        if subscriber.state is m.WorkerState.DRAINING and not subscriber.unacked_count:
            self.remove(subscriber)

    # ---- upstream client

    def start(self, call: UpstreamCall, endpoint: Endpoint) -> None:
        subscriber = self.by_endpoint.get(endpoint.id)
        if subscriber is None:
            self.broker.call_ended(call, m.AttemptOutcome.NO_CONNECTION)
            return
        if not subscriber.has_capacity():  # the module decided before the last change of capacity
            self.counts["no_room_at_subscriber"] += 1
            self.broker.call_ended(call, m.AttemptOutcome.FULL)
            return
        channel, delivery_tag = subscriber.channel, subscriber.channel.next_delivery_tag()
        token = os.urandom(12).hex()  # unguessable for other publishers
        delivery = Delivery(call, subscriber, delivery_tag, token)
        call.transport_state = delivery
        request = call.request
        remaining = call.expires - self.clock()
        properties = delivery_properties(
            request.payload, call.id, subscriber.job_class, remaining, RESULT_PREFIX + token
        )
        redelivered = any(earlier.may_have_run for earlier in request.calls[: call.number])
        message = Message("", subscriber.job_class, properties, request.payload.body, redelivered)
        delivery.entry = channel.session.deliver(channel, subscriber.tag, delivery_tag, message, delivery)
        channel.unacked[delivery_tag] = delivery
        subscriber.unacked_count += 1
        channel.session.active_work += 1
        self._by_token[token] = delivery
        self.counts["deliveries"] += 1

    def cancel(self, call: UpstreamCall) -> None:
        """Withdraw an unsent delivery; a submitted one occupies its slot until it is acknowledged."""
        delivery = call.transport_state
        if isinstance(delivery, Delivery) and self._by_token.get(delivery.token) is delivery:
            self._withdraw(delivery)

    def _withdraw(self, delivery: Delivery) -> bool:
        """Remove a delivery from the send queue; True if it was not submitted yet, and so never ran."""
        subscriber, entry = delivery.subscriber, delivery.entry
        if entry is None or not subscriber.channel.session.send_queue.withdraw(entry):
            return False
        subscriber.channel.unacked.pop(delivery.delivery_tag, None)
        self._release(delivery)
        return True

    def _release(self, delivery: Delivery) -> None:
        """Free the slot of a delivery, and accept no further result for it."""
        if self._by_token.pop(delivery.token, None) is not None:
            delivery.subscriber.unacked_count -= 1
            delivery.subscriber.channel.session.active_work -= 1
            delivery.subscriber.channel.session.pending_result_bytes -= len(delivery.result or b"")

    # ---- results and acknowledgements

    def delivery_written(self, delivery: Delivery) -> None:
        """Count a delivery as started: it was written to the transport, within the prefetch."""
        self.broker.statistics.count(BACKEND_CALLS)
        self.broker.call_started(delivery.call)

    def result(self, token: str, correlation: str | None, body: bytes) -> bool:
        """Store a published result until its ack; False if no delivery waits for it."""
        delivery = self._by_token.get(token)
        unexpected = delivery is None or delivery.call.finished or delivery.result is not None
        if unexpected or (correlation and correlation != delivery.call.id):  # type: ignore[union-attr]
            self.counts["results_dropped"] += 1
            return False
        assert delivery is not None
        session = delivery.subscriber.channel.session
        if session.pending_result_bytes + len(body) > MAX_PENDING_RESULT_BYTES:
            raise HardError(
                RESOURCE_ERROR, f"more than {MAX_PENDING_RESULT_BYTES} bytes of results without their acks"
            )
        session.pending_result_bytes += len(body)
        delivery.result = body
        return True

    def finished(self, delivery: Delivery, outcome: m.AttemptOutcome, result: bytes = b"") -> None:
        self._release(delivery)
        if delivery.call.finished:
            self.counts["late_acks"] += 1
        self.broker.call_ended(delivery.call, outcome, result)
        self._remove_if_drained(delivery.subscriber)

    def rejected(self, delivery: Delivery, requeue: bool) -> None:
        unstarted = delivery.subscriber.job_class in self.requeue_unstarted and delivery.result is None
        if not requeue:
            self.finished(delivery, m.AttemptOutcome.ERROR)
        else:
            self.finished(delivery, m.AttemptOutcome.FULL if unstarted else m.AttemptOutcome.RESET)

    def on_channel_closed(self, delivery: Delivery) -> None:
        """Settle a delivery whose channel or connection is closed."""
        entry = delivery.entry
        if entry is not None and delivery.subscriber.channel.session.send_queue.withdraw(entry):
            self.finished(delivery, m.AttemptOutcome.NO_CONNECTION)  # never submitted to the transport
        elif delivery.result is not None:
            self.finished(delivery, m.AttemptOutcome.OK, delivery.result)
        else:
            self.finished(delivery, m.AttemptOutcome.RESET)
