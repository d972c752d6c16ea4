"""Private queues: exclusive, bounded, in memory; and what a channel knows of its consumers. Pure.

Class queues are no queues: what is published there is a request, and the core holds it. A private
queue is one connection's, for answers."""

from __future__ import annotations

from collections import deque
from typing import Any, Protocol

from msgspec import Struct

MAX_UNACKED = 4096  # deliveries of a channel that wait to be acknowledged


class Message(Struct):
    """A message on its way to somebody."""

    exchange: str
    routing_key: str
    properties: Any
    body: bytes
    redelivered: bool = False

    @property
    def size(self) -> int:
        """Bytes that it counts for."""
        return len(self.body) + 256  # properties are bounded; this is what short ones take


class Unacked(Protocol):
    """What was delivered and has not been acknowledged."""

    def ack(self) -> None: ...

    def reject(self, requeue: bool) -> None: ...

    def on_channel_closed(self) -> None:
        """Its channel is gone."""


class Consumer(Protocol):
    """A consumer on a channel, of either kind."""

    tag: str
    unacked_count: int  # deliveries not acknowledged

    def stop(self) -> None:
        """Cancelled: nothing new."""

    def on_channel_closed(self) -> None:
        """Its channel is gone."""


class Channel:
    """What a channel has going. `session` is the connection's."""

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
        self.publish_count = 0  # messages since confirm.select
        self.last_delivery_tag = 0  # delivery tag
        self.unacked: dict[int, Unacked] = {}
        self.consumers: dict[str, Consumer] = {}
        self.prefetch = self.channel_prefetch = 0  # of each new consumer, of all together; 0: no limit
        self.flow_active = True  # the peer has not asked for a pause
        self.reply_consumer_tag: str | None = None  # the consumer of amq.rabbitmq.reply-to
        self.last_declared_queue = ""

    def next_delivery_tag(self) -> int:
        self.last_delivery_tag += 1
        return self.last_delivery_tag

    def has_capacity(self, prefetch: int, unacked_count: int) -> bool:
        """Whether one more may be delivered to a consumer with that prefetch and so many out."""
        if not self.open or not self.flow_active:
            return False
        if len(self.unacked) >= min(self.channel_prefetch or MAX_UNACKED, MAX_UNACKED):
            return False
        return not prefetch or unacked_count < prefetch


class PrivateQueue:
    """Messages for whoever declared the queue."""

    __slots__ = ("bytes", "consumers", "max_bytes", "messages", "name", "session")

    def __init__(self, name: str, session: Any, max_bytes: int) -> None:
        self.name, self.session, self.max_bytes = name, session, max_bytes
        self.messages: deque[Message] = deque()
        self.bytes = 0
        self.consumers: deque[QueueConsumer] = deque()  # the next one in turn first

    def put(self, message: Message) -> bool:
        """Take a message in; False where the queue is full."""
        if self.bytes + message.size > self.max_bytes:
            return False
        self.messages.append(message)
        self.bytes += message.size
        self.deliver_waiting()
        return True

    def requeue(self, message: Message) -> None:
        """It was delivered before and comes first again. It had its place: the bound does not keep it out."""
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
        """Deliver what there is to those that have room, in turn."""
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
        tag = self.channel.next_delivery_tag()
        if not self.no_ack:
            self.unacked_count += 1
            self.channel.unacked[tag] = UnackedMessage(self, message)
        self.channel.session.deliver(self.channel, self.tag, tag, message)

    def stop(self) -> None:
        if self in self.queue.consumers:
            self.queue.consumers.remove(self)

    def on_channel_closed(self) -> None:
        self.stop()


class UnackedMessage:
    """A private message that was delivered and not acknowledged. `taker` is None after basic.get."""

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
