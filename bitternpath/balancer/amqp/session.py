"""Session of a connection: its channels, queues and consumers, and the handlers of AMQP methods. No I/O.

`Session.handle` accepts the events of the state machine in order. A soft error closes its channel and a hard
error its connection; other channels and connections are not affected.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any

from pamqp import commands as c
from pamqp.base import Frame as Method

from bitternpath.balancer.amqp import errors as e
from bitternpath.balancer.amqp import state_machine as sm
from bitternpath.balancer.amqp.frames import encode_message, method_ids
from bitternpath.balancer.amqp.publishers import EXCHANGES, JOBS, REPLY_TO, Publishers
from bitternpath.balancer.amqp.queues import (
    MAX_UNACKED,
    Channel,
    Message,
    PrivateQueue,
    QueueConsumer,
    Queues,
    UnackedMessage,
)
from bitternpath.balancer.amqp.send_queue import Entry, SendQueue
from bitternpath.balancer.amqp.subscribers import Subscriber, Subscribers

_QUEUE_NAME = re.compile(r"[a-zA-Z0-9\-_.:]{1,127}")  # specification 1.2, 'queue-name'


class SessionLimits:
    """Limits of one connection, from the operator file."""

    __slots__ = ("queue_bytes", "queues", "subscribers")

    def __init__(self, subscribers: int, queues: int, queue_bytes: int) -> None:
        self.subscribers, self.queues, self.queue_bytes = subscribers, queues, queue_bytes


class Session:
    """State of one connection above the protocol.

    `machine` is its protocol state; `send_queue` holds the bytes that wait to be written.
    """

    def __init__(
        self,
        number: int,
        machine: sm.ConnectionStateMachine,
        send_queue: SendQueue,
        publishers: Publishers,
        subscribers: Subscribers,
        queues: Queues,
        limits: SessionLimits,
        on_change: Callable[[], None],
    ) -> None:
        self.number, self.machine, self.send_queue = number, machine, send_queue
        self.publishers, self.subscribers, self.queues, self.limits = publishers, subscribers, queues, limits
        self.on_change = on_change  # called when bytes wait to be written, or a request was answered
        self.vhost = ""
        self.waiting = 0  # published requests without an answer
        self.active_work = 0  # consumers of class queues and their unacknowledged deliveries
        self.pending_result_bytes = 0  # bytes of results whose deliveries are not acknowledged yet
        self.has_published = False  # whether the connection has published a message
        self.channels: dict[int, Channel] = {}
        self.own_queues: dict[str, PrivateQueue] = {}  # private queues that this connection declared
        self._generated_names = 0

    @property
    def has_active_work(self) -> bool:
        """Whether the peer has or may get deliveries: it must be read, or acknowledgements would stall."""
        return self.active_work > 0

    # ---- sent methods

    def send_method(self, channel: int, method: Method) -> None:
        if self.machine.is_open(channel):
            self.machine.send_method(channel, method)
            self.on_change()

    def deliver(
        self, channel: Channel, consumer_tag: str, delivery_tag: int, message: Message, context: Any = None
    ) -> Entry:
        """Queue basic.deliver with its content; the returned entry can be withdrawn until it is submitted."""
        method = c.Basic.Deliver(
            consumer_tag, delivery_tag, message.redelivered, message.exchange, message.routing_key
        )
        return self._content(channel, method, message, context)

    def return_message(self, channel: Channel, code: int, text: str, message: Message) -> None:
        """Queue basic.return for a mandatory message that is unroutable."""
        self._content(channel, c.Basic.Return(code, text, message.exchange, message.routing_key), message)

    def _content(self, channel: Channel, method: Method, message: Message, context: Any = None) -> Entry:
        data = encode_message(
            channel.number, method, message.properties, message.body, self.machine.frame_max
        )
        entry = self.send_queue.add(data, context)
        self.on_change()
        return entry

    # ---- received events

    def handle(self, event: sm.Event) -> None:
        """Process one event of the state machine."""
        if isinstance(event, sm.MessagePublished):
            self._handle_with_errors(event.channel, event.method, self._publish, event)
        elif isinstance(event, sm.MethodReceived):
            self._handle_with_errors(event.channel, event.method, self._command, event)
        elif isinstance(event, sm.ChannelOpened):
            self.channels[event.channel] = Channel(self, event.channel)
        elif isinstance(event, sm.ChannelClosed):
            self._close_channel(event.channel)
        elif isinstance(event, sm.ConnectionOpened):
            self.vhost = event.vhost

    def _handle_with_errors(
        self, channel_number: int, method: Method, handler: Callable[[Channel, Any], None], event: Any
    ) -> None:
        channel = self.channels[channel_number]
        try:
            handler(channel, event)
        except e.SoftError as error:
            error.method = method_ids(method)
            self.machine.close_channel(channel_number, error)
            self._close_channel(channel_number)
        except e.HardError as error:
            error.method = method_ids(method)
            self.machine.fail(error)

    def _publish(self, channel: Channel, event: sm.MessagePublished) -> None:
        self.has_published = True
        self.publishers.publish(channel, event)

    def _command(self, channel: Channel, event: sm.MethodReceived) -> None:
        HANDLERS[type(event.method)](self, channel, event.method)

    def _close_channel(self, channel_number: int) -> None:
        """Drop a closed channel: end its consumers and endpoints, and settle its unacked deliveries."""
        channel = self.channels.pop(channel_number, None)
        if channel is None:
            return
        channel.open = False
        # Consumers first, so that nothing is delivered here again.
        for consumer in channel.consumers.values():
            consumer.on_channel_closed()
        for unacked in reversed(channel.unacked.values()):  # requeued messages keep their order
            unacked.on_channel_closed()
        channel.unacked.clear()
        channel.consumers.clear()
        self.on_change()

    def end(self) -> None:
        """Drop all channels and private queues: the connection is closed."""
        for channel_number in list(self.channels):
            self._close_channel(channel_number)
        for queue in self.own_queues.values():
            queue.purge()
            self.queues.remove(self.vhost, queue)
        self.own_queues.clear()

    def cancel_subscribers(self) -> None:
        """Stop all subscribers for a shutdown; basic.cancel goes to peers with `consumer_cancel_notify`."""
        for channel in self.channels.values():
            for tag, consumer in list(channel.consumers.items()):
                if isinstance(consumer, Subscriber):
                    if self.machine.capabilities.get("consumer_cancel_notify"):
                        self.send_method(channel.number, c.Basic.Cancel(tag, True))
                    del channel.consumers[tag]
                    consumer.stop()

    # ---- channel, confirm, qos

    def _flow(self, channel: Channel, method: c.Channel.Flow) -> None:
        channel.flow_active = bool(method.active)
        if not channel.flow_active:
            for consumer in channel.consumers.values():
                if isinstance(consumer, Subscriber):
                    self.subscribers.withdraw_unsent(consumer)
        self.send_method(channel.number, c.Channel.FlowOk(channel.flow_active))
        self._capacity_changed(channel)

    def _flow_ok(self, channel: Channel, method: c.Channel.FlowOk) -> None:
        """Ignore flow-ok: legal, though this side never sends channel.flow."""

    def _confirm_select(self, channel: Channel, method: c.Confirm.Select) -> None:
        channel.confirm_mode = True
        if not method.nowait:
            self.send_method(channel.number, c.Confirm.SelectOk())

    def _qos(self, channel: Channel, method: c.Basic.Qos) -> None:
        """Set the prefetch with RabbitMQ's semantics.

        With `global`, the limit applies to the whole channel and at once; otherwise to each consumer that
        starts later.
        """
        if method.prefetch_size:
            raise e.HardError(e.NOT_IMPLEMENTED, f"prefetch-size {method.prefetch_size}; 0 is allowed")
        if method.global_:
            channel.channel_prefetch = method.prefetch_count or 0
        else:
            channel.prefetch = method.prefetch_count or 0
        self.send_method(channel.number, c.Basic.QosOk())
        if method.global_:
            self._capacity_changed(channel)

    def _capacity_changed(self, channel: Channel) -> None:
        for consumer in list(channel.consumers.values()):
            if isinstance(consumer, Subscriber):
                self.subscribers.update_endpoint(consumer)
            elif isinstance(consumer, QueueConsumer):
                consumer.queue.deliver_waiting()

    # ---- exchanges and queues

    def _exchange_declare(self, channel: Channel, method: c.Exchange.Declare) -> None:
        if method.exchange != JOBS:
            if method.passive and method.exchange:
                raise e.SoftError(e.NOT_FOUND, f"no exchange {method.exchange!r:.80}")
            raise e.SoftError(e.ACCESS_REFUSED, f"exchanges are {JOBS!r} and the default; none can be made")
        if not method.passive and method.exchange_type != "direct":
            raise e.SoftError(e.PRECONDITION_FAILED, f"exchange {JOBS!r} is of type direct")
        if not method.nowait:
            self.send_method(channel.number, c.Exchange.DeclareOk())

    def _exchange_delete(self, channel: Channel, method: c.Exchange.Delete) -> None:
        if method.exchange in EXCHANGES:
            raise e.SoftError(e.ACCESS_REFUSED, f"exchange {method.exchange!r} cannot be deleted")
        if not method.nowait:
            self.send_method(channel.number, c.Exchange.DeleteOk())

    def _queue_declare(self, channel: Channel, method: c.Queue.Declare) -> None:
        name = str(method.queue or "")
        if name in self.publishers.classes:
            count, consumers = 0, self.subscribers.count_of_class(name)
        else:
            queue = self._find_queue(name, any_owner=method.passive) if name else None
            if queue is None:
                if method.passive:
                    raise e.SoftError(e.NOT_FOUND, f"no queue {name!r:.80}")
                queue = self._make_queue(name, bool(method.exclusive))
            name, count, consumers = queue.name, len(queue.messages), len(queue.consumers)
        channel.last_declared_queue = name
        if not method.nowait:
            self.send_method(channel.number, c.Queue.DeclareOk(name, count, consumers))

    def _make_queue(self, name: str, exclusive: bool) -> PrivateQueue:
        if not exclusive:
            classes = ", ".join(self.publishers.classes)
            raise e.SoftError(e.ACCESS_REFUSED, f"queues are {classes:.120} and exclusive ones")
        if name and (name.startswith("amq.") or not _QUEUE_NAME.fullmatch(name)):
            raise e.SoftError(
                e.ACCESS_REFUSED, "letters, digits and -_.: are allowed, and no name from 'amq.'"
            )
        if len(self.own_queues) >= self.limits.queues:
            raise e.SoftError(e.PRECONDITION_FAILED, f"at most {self.limits.queues} queues a connection")
        if not name:
            self._generated_names += 1
            name = f"amq.gen-{self.number:x}-{self._generated_names:x}"
        queue = PrivateQueue(name, self, self.limits.queue_bytes)
        self.own_queues[name] = queue
        self.queues.add(self.vhost, queue)
        return queue

    def _find_queue(self, name: str, any_owner: bool = False) -> PrivateQueue | None:
        """Return a private queue, or None; SoftError 405 if another connection owns it."""
        queue = self.queues.find(self.vhost, name)
        if queue is not None and queue.session is not self:
            raise e.SoftError(e.RESOURCE_LOCKED, f"queue {name!r:.80} is exclusive to another connection")
        return queue

    def _queue_name(self, channel: Channel, name: str | None) -> str:
        """Resolve an empty name to the last queue declared on the channel (specification 1.7.2.3)."""
        return str(name or channel.last_declared_queue)

    def _queue_bind(self, channel: Channel, method: c.Queue.Bind) -> None:
        name = self._queue_name(channel, method.queue)
        self._check_binding(name, method.exchange, method.routing_key)
        if not method.nowait:
            self.send_method(channel.number, c.Queue.BindOk())

    def _queue_unbind(self, channel: Channel, method: c.Queue.Unbind) -> None:
        name = self._queue_name(channel, method.queue)
        if name in self.publishers.classes:
            raise e.SoftError(e.ACCESS_REFUSED, f"queue {name!r} stays bound to {JOBS!r}")
        self._check_binding(name, method.exchange, method.routing_key)
        self.send_method(channel.number, c.Queue.UnbindOk())

    def _check_binding(self, name: str, exchange: str | None, key: str | None) -> None:
        """Check that the binding exists: only class queues are bound, to `jobs` by their names."""
        is_class = name in self.publishers.classes
        if not is_class and self._find_queue(name) is None:
            raise e.SoftError(e.NOT_FOUND, f"no queue {name!r:.80}")
        if exchange not in EXCHANGES:
            raise e.SoftError(e.NOT_FOUND, f"no exchange {exchange!r:.80}")
        if not is_class or exchange != JOBS or key != name:
            raise e.SoftError(
                e.ACCESS_REFUSED, f"classes are bound to {JOBS!r} by their names, and nothing else"
            )

    def _queue_purge(self, channel: Channel, method: c.Queue.Purge) -> None:
        queue = self._private_queue(channel, method.queue)
        count = queue.purge()
        if not method.nowait:
            self.send_method(channel.number, c.Queue.PurgeOk(count))

    def _queue_delete(self, channel: Channel, method: c.Queue.Delete) -> None:
        name, count = self._queue_name(channel, method.queue), 0
        if name in self.publishers.classes:
            raise e.SoftError(e.ACCESS_REFUSED, f"queue {name!r} is a class's")
        queue = self._find_queue(name)
        if queue is not None:
            if (method.if_unused and queue.consumers) or (method.if_empty and queue.messages):
                raise e.SoftError(e.PRECONDITION_FAILED, f"queue {name!r} is in use or not empty")
            count = queue.purge()
            self._delete(queue)
        if not method.nowait:
            self.send_method(channel.number, c.Queue.DeleteOk(count))

    def _delete(self, queue: PrivateQueue) -> None:
        self.own_queues.pop(queue.name, None)
        self.queues.remove(self.vhost, queue)
        for consumer in list(queue.consumers):
            consumer.channel.consumers.pop(consumer.tag, None)
            consumer.stop()
            if self.machine.capabilities.get("consumer_cancel_notify"):
                self.send_method(consumer.channel.number, c.Basic.Cancel(consumer.tag, True))

    def _private_queue(self, channel: Channel, name: str | None) -> PrivateQueue:
        """Return a private queue by name; SoftError 403 for a class queue, 404 for an unknown name."""
        queue_name = self._queue_name(channel, name)
        if queue_name in self.publishers.classes:
            raise e.SoftError(
                e.ACCESS_REFUSED, f"queue {queue_name!r} is a class's: work is handed out by consume"
            )
        queue = self._find_queue(queue_name)
        if queue is None:
            raise e.SoftError(e.NOT_FOUND, f"no queue {queue_name!r:.80}")
        return queue

    # ---- consumers

    def _consume(self, channel: Channel, method: c.Basic.Consume) -> None:
        name, tag = self._queue_name(channel, method.queue), str(method.consumer_tag or "")
        if not tag:
            self._generated_names += 1
            tag = f"amq.ctag-{self.number:x}-{self._generated_names:x}"
        if tag in channel.consumers or tag == channel.reply_consumer_tag:
            raise e.HardError(e.NOT_ALLOWED, f"consumer tag {tag!r:.80} is in use on this channel")
        if sum(len(ch.consumers) for ch in self.channels.values()) >= self.limits.subscribers:
            raise e.SoftError(
                e.PRECONDITION_FAILED, f"at most {self.limits.subscribers} consumers a connection"
            )
        if name == REPLY_TO:
            if not method.no_ack:
                raise e.SoftError(e.PRECONDITION_FAILED, f"{REPLY_TO} is consumed with no-ack")
            if channel.reply_consumer_tag is not None:
                raise e.SoftError(e.PRECONDITION_FAILED, f"{REPLY_TO} has a consumer on this channel")
            channel.reply_consumer_tag = tag
        elif name in self.publishers.classes:
            self._subscribe(channel, method, name, tag)
        else:
            queue = self._private_queue(channel, name)
            consumer = QueueConsumer(channel, tag, queue, bool(method.no_ack))
            channel.consumers[tag] = consumer
            queue.consumers.append(consumer)
        if not method.nowait:
            self.send_method(channel.number, c.Basic.ConsumeOk(tag))
        started = channel.consumers.get(tag)
        if isinstance(started, QueueConsumer):
            started.queue.deliver_waiting()

    def _subscribe(self, channel: Channel, method: c.Basic.Consume, name: str, tag: str) -> None:
        if method.no_ack:
            raise e.SoftError(
                e.PRECONDITION_FAILED, f"queue {name!r} needs acknowledgements: an ack is the answer"
            )
        if method.exclusive:
            raise e.SoftError(e.ACCESS_REFUSED, f"queue {name!r} is shared")
        if self.publishers.stopping:
            raise e.SoftError(e.ACCESS_REFUSED, "the node is ending")
        arguments: dict[str, Any] = dict(method.arguments or {})
        channel.consumers[tag] = self.subscribers.add(channel, tag, name, arguments)

    def _cancel(self, channel: Channel, method: c.Basic.Cancel) -> None:
        tag = str(method.consumer_tag)
        if tag == channel.reply_consumer_tag:
            channel.reply_consumer_tag = None
        consumer = channel.consumers.pop(tag, None)
        if consumer is not None:
            consumer.stop()
        if not method.nowait:
            self.send_method(channel.number, c.Basic.CancelOk(tag))

    def _cancel_ok(self, channel: Channel, method: c.Basic.CancelOk) -> None:
        """Ignore cancel-ok: some clients reply to the server's cancel, which is sent with no-wait."""

    def _get(self, channel: Channel, method: c.Basic.Get) -> None:
        queue = self._private_queue(channel, method.queue)
        if len(channel.unacked) >= MAX_UNACKED:
            raise e.SoftError(e.PRECONDITION_FAILED, f"at most {MAX_UNACKED} unacknowledged on a channel")
        message = queue.get()
        if message is None:
            self.send_method(channel.number, c.Basic.GetEmpty())
            return
        delivery_tag = channel.next_delivery_tag()
        if not method.no_ack:
            channel.unacked[delivery_tag] = UnackedMessage(None, message, queue)
        ok = c.Basic.GetOk(
            delivery_tag, message.redelivered, message.exchange, message.routing_key, len(queue.messages)
        )
        self._content(channel, ok, message)

    # ---- acknowledgements

    def _ack(self, channel: Channel, method: c.Basic.Ack) -> None:
        for unacked in self._take_unacked(channel, method.delivery_tag, bool(method.multiple)):
            unacked.ack()

    def _nack(self, channel: Channel, method: c.Basic.Nack) -> None:
        for unacked in reversed(self._take_unacked(channel, method.delivery_tag, bool(method.multiple))):
            unacked.reject(bool(method.requeue))

    def _reject(self, channel: Channel, method: c.Basic.Reject) -> None:
        for unacked in self._take_unacked(channel, method.delivery_tag, False):
            unacked.reject(bool(method.requeue))

    def _take_unacked(self, channel: Channel, delivery_tag: int | None, multiple: bool) -> list[Any]:
        """Remove and return the delivery with a tag; with `multiple` all up to the tag, or all for tag 0."""
        delivery_tag = delivery_tag or 0
        if not multiple:
            unacked = channel.unacked.pop(delivery_tag, None)
            if unacked is None:
                raise e.SoftError(e.PRECONDITION_FAILED, f"unknown delivery tag {delivery_tag}")
            return [unacked]
        if delivery_tag > channel.last_delivery_tag:
            raise e.SoftError(e.PRECONDITION_FAILED, f"unknown delivery tag {delivery_tag}")
        tags = [tag for tag in channel.unacked if tag <= delivery_tag or delivery_tag == 0]
        return [channel.unacked.pop(tag) for tag in tags]

    def _recover(self, channel: Channel, method: c.Basic.Recover) -> None:
        self._requeue_all(channel, method.requeue)
        self.send_method(channel.number, c.Basic.RecoverOk())

    def _recover_async(self, channel: Channel, method: c.Basic.RecoverAsync) -> None:
        self._requeue_all(channel, method.requeue)

    def _requeue_all(self, channel: Channel, requeue: bool | None) -> None:
        if not requeue:
            raise e.HardError(e.NOT_IMPLEMENTED, "recover without requeue is not implemented")
        for unacked in reversed(self._take_unacked(channel, 0, True)):
            unacked.reject(True)


HANDLERS: dict[type[Method], Callable[[Session, Channel, Any], None]] = {
    c.Channel.Flow: Session._flow,
    c.Channel.FlowOk: Session._flow_ok,
    c.Confirm.Select: Session._confirm_select,
    c.Basic.Qos: Session._qos,
    c.Exchange.Declare: Session._exchange_declare,
    c.Exchange.Delete: Session._exchange_delete,
    c.Queue.Declare: Session._queue_declare,
    c.Queue.Bind: Session._queue_bind,
    c.Queue.Unbind: Session._queue_unbind,
    c.Queue.Purge: Session._queue_purge,
    c.Queue.Delete: Session._queue_delete,
    c.Basic.Consume: Session._consume,
    c.Basic.Cancel: Session._cancel,
    c.Basic.CancelOk: Session._cancel_ok,
    c.Basic.Get: Session._get,
    c.Basic.Ack: Session._ack,
    c.Basic.Nack: Session._nack,
    c.Basic.Reject: Session._reject,
    c.Basic.Recover: Session._recover,
    c.Basic.RecoverAsync: Session._recover_async,
}
