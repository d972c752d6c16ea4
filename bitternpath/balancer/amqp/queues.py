"""Private queues: exclusive, bounded, in memory; and what a channel knows of its consumers. Pure.

Class queues are no queues: what is published there is a request, and the core holds it. A private
queue is one connection's, for answers."""

from __future__ import annotations

from collections import deque
from typing import Any, Protocol

from msgspec import Struct

UNACKED_LIMIT = 4096  # deliveries of a channel that wait to be acknowledged


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

    def lost(self) -> None:
        """Its channel is gone."""


class Consuming(Protocol):
    """A consumer on a channel, of either kind."""

    tag: str
    out: int  # deliveries not acknowledged

    def stop(self) -> None:
        """Cancelled: nothing new."""

    def gone(self) -> None:
        """Its channel is gone."""


class Channel:
    """What a channel has going. `session` is the connection's."""

    __slots__ = (
        "confirming", "consumers", "flowing", "last_queue", "last_tag", "number", "open", "prefetch",
        "prefetch_all", "published", "reply_tag", "session", "unacked",
    )  # fmt: skip

    def __init__(self, session: Any, number: int) -> None:
        self.session, self.number, self.open = session, number, True
        self.confirming = False
        self.published = 0  # messages since confirm.select
        self.last_tag = 0  # delivery tag
        self.unacked: dict[int, Unacked] = {}
        self.consumers: dict[str, Consuming] = {}
        self.prefetch = self.prefetch_all = 0  # of each new consumer, of all together; 0: no limit
        self.flowing = True  # the peer has not asked for a pause
        self.reply_tag: str | None = None  # the consumer of amq.rabbitmq.reply-to
        self.last_queue = ""

    def next_tag(self) -> int:
        self.last_tag += 1
        return self.last_tag

    def has_room(self, prefetch: int, out: int) -> bool:
        """Whether one more may be delivered to a consumer with that prefetch and so many out."""
        if not self.open or not self.flowing:
            return False
        if len(self.unacked) >= min(self.prefetch_all or UNACKED_LIMIT, UNACKED_LIMIT):
            return False
        return not prefetch or out < prefetch


class PrivateQueue:
    """Messages for whoever declared the queue."""

    __slots__ = ("bytes", "limit", "messages", "name", "session", "takers")

    def __init__(self, name: str, session: Any, limit: int) -> None:
        self.name, self.session, self.limit = name, session, limit
        self.messages: deque[Message] = deque()
        self.bytes = 0
        self.takers: deque[Taker] = deque()  # the next one in turn first

    def put(self, message: Message) -> bool:
        """Take a message in; False where the queue is full."""
        if self.bytes + message.size > self.limit:
            return False
        self.messages.append(message)
        self.bytes += message.size
        self.pump()
        return True

    def put_back(self, message: Message) -> None:
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

    def pump(self) -> None:
        """Deliver what there is to those that have room, in turn."""
        for _ in range(len(self.takers)):
            while self.messages and self.takers[0].has_room():
                message = self.get()
                assert message is not None
                self.takers[0].deliver(message)
            if not self.messages:
                return
            self.takers.rotate(-1)

    def purge(self) -> int:
        many = len(self.messages)
        self.messages.clear()
        self.bytes = 0
        return many


class Taker:
    """A consumer of a private queue."""

    __slots__ = ("channel", "no_ack", "out", "prefetch", "queue", "tag")

    def __init__(self, channel: Channel, tag: str, queue: PrivateQueue, no_ack: bool) -> None:
        self.channel, self.tag, self.queue, self.no_ack = channel, tag, queue, no_ack
        self.prefetch, self.out = channel.prefetch, 0

    def has_room(self) -> bool:
        if self.no_ack:
            return self.channel.open and self.channel.flowing
        return self.channel.has_room(self.prefetch, self.out)

    def deliver(self, message: Message) -> None:
        tag = self.channel.next_tag()
        if not self.no_ack:
            self.out += 1
            self.channel.unacked[tag] = Kept(self, message)
        self.channel.session.deliver(self.channel, self.tag, tag, message)

    def stop(self) -> None:
        if self in self.queue.takers:
            self.queue.takers.remove(self)

    def gone(self) -> None:
        self.stop()


class Kept:
    """A private message that was delivered and not acknowledged. `taker` is None after basic.get."""

    __slots__ = ("message", "queue", "taker")

    def __init__(self, taker: Taker | None, message: Message, queue: PrivateQueue | None = None) -> None:
        self.taker, self.message = taker, message
        self.queue = taker.queue if taker is not None else queue

    def _settled(self) -> None:
        if self.taker is not None:
            self.taker.out -= 1

    def ack(self) -> None:
        self._settled()
        if self.queue is not None:
            self.queue.pump()

    def reject(self, requeue: bool) -> None:
        self._settled()
        if requeue and self.queue is not None:
            self.queue.put_back(self.message)
        if self.queue is not None:
            self.queue.pump()

    def lost(self) -> None:
        self._settled()
        if self.queue is not None:
            self.queue.put_back(self.message)


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
