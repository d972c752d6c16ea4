"""Private queues (exclusive, bounded, in memory), and the state of channels and their consumers. No I/O.

Class queues hold no messages: a message published to one becomes a request of the core. A private queue
belongs to one connection, which uses it for replies.
"""

from __future__ import annotations

from collections import deque
from typing import Any, Protocol

from msgspec import Struct

MAX_UNACKED = 4096  # unacknowledged deliveries per channel


class Message(Struct):
    """A message to be delivered or returned."""

    exchange: str
    routing_key: str
    properties: Any
    body: bytes
    redelivered: bool = False

    @property
    def size(self) -> int:
        """Bytes that the message counts for in a queue."""
        return len(self.body) + 256  # an estimate of short properties; their size is bounded elsewhere


class Unacked(Protocol):
    """An unacknowledged delivery."""

    def ack(self) -> None: ...

    def reject(self, requeue: bool) -> None: ...

    def on_channel_closed(self) -> None:
        """Settle the delivery: its channel is closed."""


class Consumer(Protocol):
    """A consumer on a channel: of a class queue or of a private queue."""

    tag: str
    unacked_count: int  # deliveries without an acknowledgement

    def stop(self) -> None:
        """End new deliveries: the consumer was cancelled."""

    def on_channel_closed(self) -> None:
        """Remove the consumer: its channel is closed."""


class Channel:
    """State of an open channel. `session` is the session of its connection."""

    __slots__ = (
        "channel_prefetch",
        "confirm_mode",
        "consumers",
        "flow_active",
        "last_declared_queue",
        "last_delivery_tag",
        "number",
        "open",
        "prefetch",
        "publish_count",
        "reply_consumer_tag",
        "session",
        "unacked",
    )  # fmt: skip

    def __init__(self, session: Any, number: int) -> None:
        self.session, self.number, self.open = session, number, True
        self.confirm_mode = False
        self.publish_count = 0  # messages published since confirm.select
        self.last_delivery_tag = 0  # tags start at 1
        self.unacked: dict[int, Unacked] = {}
        self.consumers: dict[str, Consumer] = {}
        self.prefetch = self.channel_prefetch = 0  # limits of a new consumer and of the channel; 0: no limit
        self.flow_active = True  # False: the peer paused deliveries by channel.flow
        self.reply_consumer_tag: str | None = None  # the consumer of amq.rabbitmq.reply-to
        self.last_declared_queue = ""

    def next_delivery_tag(self) -> int:
        self.last_delivery_tag += 1
        return self.last_delivery_tag

    def has_capacity(self, prefetch: int, unacked_count: int) -> bool:
        """Whether a consumer with this prefetch and unacked count may get one more delivery."""
        if not self.open or not self.flow_active:
            return False
        if len(self.unacked) >= min(self.channel_prefetch or MAX_UNACKED, MAX_UNACKED):
            return False
        return not prefetch or unacked_count < prefetch


class PrivateQueue:
    """Queue of messages for the connection that declared it."""

    __slots__ = ("bytes", "consumers", "max_bytes", "messages", "name", "session")

    def __init__(self, name: str, session: Any, max_bytes: int) -> None:
        self.name, self.session, self.max_bytes = name, session, max_bytes
        self.messages: deque[Message] = deque()
        self.bytes = 0
        self.consumers: deque[QueueConsumer] = deque()  # in round-robin order

    def put(self, message: Message) -> bool:
        """Append a message and deliver it if a consumer has capacity; False if the queue is full."""
        if self.bytes + message.size > self.max_bytes:
            return False
        self.messages.append(message)
        self.bytes += message.size
        self.deliver_waiting()
        return True

    def requeue(self, message: Message) -> None:
        """Put a delivered message back at the head. The size limit does not apply to it."""
        message.redelivered = True
        self.messages.appendleft(message)
        self.bytes += message.size

    def get(self) -> Message | None:
        if not self.messages:
            return None
        message = self.messages.popleft()
        self.bytes -= message.size
        return message

    def deliver_waiting(self) -> None:
        """Deliver waiting messages to consumers with capacity, in turn."""
        for _ in range(len(self.consumers)):
            while self.messages and self.consumers[0].has_capacity():
                message = self.get()
                assert message is not None
                self.consumers[0].deliver(message)
            if not self.messages:
                return
            self.consumers.rotate(-1)

    def purge(self) -> int:
        count = len(self.messages)
        self.messages.clear()
        self.bytes = 0
        return count


class QueueConsumer:
    """A consumer of a private queue."""

    __slots__ = ("channel", "no_ack", "prefetch", "queue", "tag", "unacked_count")

    def __init__(self, channel: Channel, tag: str, queue: PrivateQueue, no_ack: bool) -> None:
        self.channel, self.tag, self.queue, self.no_ack = channel, tag, queue, no_ack
        self.prefetch, self.unacked_count = channel.prefetch, 0

    def has_capacity(self) -> bool:
        if self.no_ack:
            return self.channel.open and self.channel.flow_active
        return self.channel.has_capacity(self.prefetch, self.unacked_count)

    def deliver(self, message: Message) -> None:
        delivery_tag = self.channel.next_delivery_tag()
        if not self.no_ack:
            self.unacked_count += 1
            self.channel.unacked[delivery_tag] = UnackedMessage(self, message)
        self.channel.session.deliver(self.channel, self.tag, delivery_tag, message)

    def stop(self) -> None:
        if self in self.queue.consumers:
            self.queue.consumers.remove(self)

    def on_channel_closed(self) -> None:
        self.stop()


class UnackedMessage:
    """Unacknowledged message of a private queue. `consumer` is None after basic.get."""

    __slots__ = ("consumer", "message", "queue")

    def __init__(
        self, consumer: QueueConsumer | None, message: Message, queue: PrivateQueue | None = None
    ) -> None:
        self.consumer, self.message = consumer, message
        self.queue = consumer.queue if consumer is not None else queue

    def _release(self) -> None:
        if self.consumer is not None:
            self.consumer.unacked_count -= 1

    def ack(self) -> None:
        self._release()
        if self.queue is not None:
            self.queue.deliver_waiting()

    def reject(self, requeue: bool) -> None:
        self._release()
        if requeue and self.queue is not None:
            self.queue.requeue(self.message)
        if self.queue is not None:
            self.queue.deliver_waiting()

    def on_channel_closed(self) -> None:
        self._release()
        if self.queue is not None:
            self.queue.requeue(self.message)


class Queues:
    """All private queues, by virtual host and name."""

    def __init__(self) -> None:
        self._by_name: dict[tuple[str, str], PrivateQueue] = {}

    def find(self, vhost: str, name: str) -> PrivateQueue | None:
        return self._by_name.get((vhost, name))

    def add(self, vhost: str, queue: PrivateQueue) -> None:
        self._by_name[vhost, queue.name] = queue

    def remove(self, vhost: str, queue: PrivateQueue) -> None:
        self._by_name.pop((vhost, queue.name), None)
