"""Test rig for the AMQP server without sockets: scripted peers on simulated connections and one clock.

The core, the decision module and all of `amqp/` are the real ones. A `Wire` replaces a TCP connection: bytes
arrive in order, and a test can break it after any byte, so that submitted bytes may or may not arrive.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

from pamqp import body, commands, frame, header
from pamqp.heartbeat import Heartbeat
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.task import Clock as Reactor
from twisted.python.failure import Failure

from bitternpath.balancer import messages as m
from bitternpath.balancer.amqp.publishers import Publishers
from bitternpath.balancer.amqp.queues import Queues
from bitternpath.balancer.amqp.server import AmqpConnection, AmqpServer
from bitternpath.balancer.amqp.subscribers import Subscribers
from bitternpath.balancer.config.operator import Amqp
from bitternpath.balancer.core.broker import Broker
from bitternpath.balancer.core.endpoint_registry import Endpoint, EndpointRegistry, Listing
from bitternpath.balancer.core.requests import AcceptedRequest, UpstreamCall
from bitternpath.balancer.dispatch.dispatcher import Dispatcher

c = commands
GUEST = "\x00guest\x00guest"
CAPABILITIES = {
    "consumer_cancel_notify": True,
    "connection.blocked": True,
    "authentication_failure_close": True,
}


class Wire:
    """Transport of the node's end of a connection.

    It breaks after `out_limit` more bytes from the node, or `in_limit` more bytes to it.
    """

    def __init__(self, rig: AmqpRig, peer: Peer) -> None:
        self.rig, self.peer = rig, peer
        self.out_limit: float = float("inf")
        self.in_limit: float = float("inf")
        self.bytes_out = self.bytes_in = 0
        self.protocol: AmqpConnection = rig.server.buildProtocol(SimpleNamespace(host="127.0.0.1"))  # type: ignore
        self.pending = bytearray()
        self.incoming: deque[bytes] = deque()  # from the peer
        self.producer: Any = None
        self.connected, self.paused, self.closing, self.stalled = True, False, False, False
        self.protocol.makeConnection(self)  # type: ignore[arg-type]

    # called by the protocol

    def setTcpNoDelay(self, on: bool) -> None: ...

    def write(self, data: bytes) -> None:
        self.pending += data

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        assert not streaming and self.producer is None
        self.producer = producer
        producer.resumeProducing()

    def unregisterProducer(self) -> None:
        self.producer = None

    def pauseProducing(self) -> None:
        self.paused = True

    def resumeProducing(self) -> None:
        self.paused = False

    def loseConnection(self) -> None:
        self.closing = True

    def abortConnection(self) -> None:
        self.disconnect(ConnectionLost())

    # called by the rig

    def transfer(self) -> bool:
        """Transfer pending bytes in both directions; returns whether there was any progress."""
        if not self.connected:
            return False
        progressed = False
        if self.pending and not self.stalled:
            data, self.pending = bytes(self.pending), bytearray()
            delivered = data[: int(min(self.out_limit, len(data)))]
            self.out_limit -= len(delivered)
            self.bytes_out += len(delivered)
            self.peer.feed(delivered)
            if len(delivered) < len(data) or self.out_limit == 0:
                self.disconnect(ConnectionLost())
                return True
            progressed = True
        if self.connected and not self.pending and self.producer is not None and not self.stalled:
            self.producer.resumeProducing()
            progressed = True
        while self.connected and self.incoming and not self.paused:
            data = self.incoming.popleft()
            delivered = data[: int(min(self.in_limit, len(data)))]
            self.in_limit -= len(delivered)
            self.bytes_in += len(delivered)
            if delivered:
                self.protocol.dataReceived(delivered)
            if len(delivered) < len(data) or self.in_limit == 0:
                self.disconnect(ConnectionLost())
                return True
            progressed = True
        if self.connected and self.closing and not self.pending and self.producer is None:
            self.disconnect(ConnectionDone())
            progressed = True
        return progressed

    def disconnect(self, reason: Exception) -> None:
        if self.connected:
            self.connected = False
            self.pending.clear()
            self.incoming.clear()
            self.protocol.connectionLost(Failure(reason))


class ReceivedMessage:
    """A method that a peer received, with its content if it has one."""

    def __init__(self, channel: int, method: Any) -> None:
        self.channel, self.method = channel, method
        self.properties: Any = None
        self.body = b""
        self.size: int | None = None

    @property
    def outcome(self) -> tuple[Any, ...]:
        headers = self.properties.headers or {}
        return headers.get("x-outcome"), self.properties.correlation_id, self.body


class Peer:
    """A scripted client."""

    def __init__(
        self, rig: AmqpRig, capabilities: dict[str, Any] | None = None, unsplit: bool = True
    ) -> None:
        self.rig, self.unsplit = rig, unsplit
        self.capabilities = CAPABILITIES if capabilities is None else capabilities
        self.received: list[ReceivedMessage] = []
        self.heartbeats = 0
        self.handlers: dict[type, Callable[[ReceivedMessage], None]] = {}
        self._buffer = b""
        self._content: ReceivedMessage | None = None
        self.tune: Any = None
        self.wire = Wire(rig, self)
        rig.peers.append(self)

    # sending

    def raw(self, data: bytes) -> None:
        if self.wire.connected:
            chunks = [data] if self.unsplit else [data[k : k + 1] for k in range(len(data))]
            self.wire.incoming.extend(chunks)

    def send(self, method: Any, channel: int = 1) -> None:
        self.raw(frame.marshal(method, channel))

    def publish(
        self, key: str, data: bytes = b"", channel: int = 1, exchange: str = "", **options: Any
    ) -> None:
        mandatory = options.pop("mandatory", False)
        self.send(c.Basic.Publish(0, exchange, key, mandatory), channel)
        self.raw(frame.marshal(header.ContentHeader(0, len(data), c.Basic.Properties(**options)), channel))
        if data:
            self.raw(frame.marshal(body.ContentBody(data), channel))

    def open(self, *channels: int, mechanism: str = "PLAIN", response: str = GUEST, vhost: str = "/") -> Peer:
        """Log in and open channels."""
        self.raw(header.ProtocolHeader().marshal())
        self.send(c.Connection.StartOk({"capabilities": self.capabilities}, mechanism, response), 0)
        self.rig.run_until_idle()
        if self.tune is not None:
            self.send(c.Connection.TuneOk(self.tune.channel_max, self.tune.frame_max, self.tune.heartbeat), 0)
            self.send(c.Connection.Open(vhost), 0)
        for channel in channels:
            self.send(c.Channel.Open(), channel)
        self.rig.run_until_idle()
        return self

    def subscribe(
        self, queue: str, prefetch: int = 4, tag: str = "t", channel: int = 1, **arguments: Any
    ) -> Peer:
        self.send(c.Basic.Qos(0, prefetch, False), channel)
        self.send(c.Basic.Consume(queue=queue, consumer_tag=tag, arguments=arguments), channel)
        self.rig.run_until_idle()
        return self

    # receiving

    def feed(self, data: bytes) -> None:
        self._buffer += data
        while len(self._buffer) >= 8:
            if self._buffer.startswith(b"AMQP"):
                self.received.append(ReceivedMessage(0, header.ProtocolHeader()))
                self._buffer = self._buffer[8:]
                continue
            _, _, size = frame.frame_parts(self._buffer)
            if len(self._buffer) < (size or 0) + 8:
                return
            frame_size, channel, received_frame = frame.unmarshal(self._buffer)
            self._buffer = self._buffer[frame_size:]
            self._receive(channel, received_frame)

    def _receive(self, channel: int, received_frame: Any) -> None:
        if isinstance(received_frame, Heartbeat):
            self.heartbeats += 1
        elif isinstance(received_frame, header.ContentHeader):
            assert self._content is not None
            self._content.properties, self._content.size = received_frame.properties, received_frame.body_size
            self._finish_content()
        elif isinstance(received_frame, body.ContentBody):
            assert self._content is not None
            self._content.body += received_frame.value or b""
            self._finish_content()
        else:
            message = ReceivedMessage(channel, received_frame)
            if isinstance(received_frame, c.Basic.Deliver | c.Basic.Return | c.Basic.GetOk):
                self._content = message
            else:
                self._complete(message)

    def _finish_content(self) -> None:
        message = self._content
        if message is not None and len(message.body) == message.size:
            self._content = None
            self._complete(message)

    def _complete(self, message: ReceivedMessage) -> None:
        self.received.append(message)
        if isinstance(message.method, c.Connection.Tune):
            self.tune = message.method
        if isinstance(message.method, c.Connection.Close):
            self.send(c.Connection.CloseOk(), 0)
        handler = self.handlers.get(type(message.method))
        if handler is not None:
            handler(message)

    def all(self, kind: type) -> list[Any]:
        return [message for message in self.received if isinstance(message.method, kind)]

    def methods(self, kind: type) -> list[Any]:
        return [message.method for message in self.all(kind)]

    def answers(self) -> list[tuple[Any, ...]]:
        """Outcome, correlation and body of each answer."""
        return [
            message.outcome
            for message in self.all(c.Basic.Deliver)
            if "x-outcome" in (message.properties.headers or {})
        ]

    def confirms(self) -> list[tuple[str, int]]:
        confirmations = []
        for message in self.received:
            if isinstance(message.method, c.Basic.Ack | c.Basic.Nack):
                confirmations.append((message.method.name.lower().split(".")[1], message.method.delivery_tag))
        return confirmations

    def deliveries(self) -> list[ReceivedMessage]:
        """Jobs that were delivered to this peer."""
        return [
            message
            for message in self.all(c.Basic.Deliver)
            if "x-outcome" not in (message.properties.headers or {})
        ]


def run_jobs(peer: Peer, run_counts: Counter[str], action: str = "ack") -> None:
    """Make a peer run delivered jobs: publish a result, then acknowledge. `run_counts` counts runs by id."""

    def run(message: ReceivedMessage) -> None:
        properties = message.properties
        if "x-outcome" in (properties.headers or {}):
            return  # an answer, not a job
        run_counts[properties.message_id] += 1
        if action in ("ack", "result"):
            peer.publish(
                properties.reply_to, b"ran", message.channel, correlation_id=properties.correlation_id
            )
        if action == "ack":
            peer.send(c.Basic.Ack(message.method.delivery_tag), message.channel)
        elif action in ("nack", "requeue"):
            peer.send(c.Basic.Nack(message.method.delivery_tag, False, action == "requeue"), message.channel)

    peer.handlers[c.Basic.Deliver] = run


class RecordingHttpClient:
    """Upstream client for HTTP endpoints that records calls; tests end them."""

    def __init__(self) -> None:
        self.calls: list[UpstreamCall] = []
        self.cancelled: list[UpstreamCall] = []

    def start(self, call: UpstreamCall, endpoint: Endpoint) -> None:
        self.calls.append(call)

    def cancel(self, call: UpstreamCall) -> None:
        self.cancelled.append(call)


class RecordingCaller:
    """Client of an HTTP request that records its answers."""

    def __init__(self) -> None:
        self.answers: list[tuple[Any, ...]] = []
        self.disconnected_early = False

    def served(self, result: bytes) -> None:
        self.answers.append(("served", result))

    def rejected(self, retry_after: float) -> None:
        self.answers.append(("rejected", retry_after))

    def failed(self) -> None:
        self.answers.append(("failed",))

    def disconnected(self) -> bool:
        return self.disconnected_early


class AmqpRig:
    """Core of a node with its AMQP server, on a simulated clock."""

    def __init__(self, http_endpoints: int = 0, **settings: Any) -> None:
        self.reactor = Reactor()
        self.peers: list[Peer] = []
        rows = (
            Endpoint(f"s{k}", f"h:{k}", "z", "k", 0, m.WorkerState.SERVING, 1.0, 0.0)
            for k in range(http_endpoints)
        )
        listing = Listing(1, True, tuple(rows))
        self.classes = (
            m.JobClass("lookup", m.Effect.SAFE, 5000.0, 9000.0, late_value_share=0.5),
            m.JobClass("reminder", m.Effect.UNSAFE, 5000.0, 9000.0, late_value_share=0.5),
        )
        module_settings = m.Settings(
            self.classes,
            second_copies=True,
            try_limit=6,
            reports_start=True,
            max_retry_after=2000.0,
            tick=2.0,
        )
        self.module = Dispatcher(module_settings, 1, self.now())
        self.registry = EndpointRegistry(listing)
        self.http = RecordingHttpClient()
        upstream_clients: dict[str, Any] = {"http": self.http}
        later: Any = self.reactor
        self.broker = Broker(later, self.now, self.registry, upstream_clients, self.module.handle)
        self.registry.on_change = self.broker.endpoints_changed
        amqp = Amqp(listen="h:0", **settings)
        self.subscribers = Subscribers(
            self.now, self.registry.apply, amqp.prefetch_cap, frozenset(amqp.requeue_unstarted)
        )
        self.subscribers.broker = self.broker
        upstream_clients["amqp"] = self.subscribers
        self.publishers = Publishers(
            self.now, self.broker, Queues(), self.subscribers, self.classes,
            lambda name: self.module.retry_after(self.module.class_states[name]), amqp.max_waiting,
        )  # fmt: skip
        self.server = AmqpServer(
            self.reactor, self.now, amqp, self.publishers, self.subscribers, self.broker, lambda: 100_000
        )
        self.server.port = SimpleNamespace(stopListening=lambda: None)
        self.server._check_connections()
        self.broker.endpoints_changed(listing, at_start=True)
        self.run_until_idle()

    def now(self) -> float:
        return float(self.reactor.seconds() * 1000.0 + 1e6)

    def run_until_idle(self) -> None:
        """Process all events that are due without advancing the clock."""
        for _ in range(10_000):
            progressed = False
            due = [
                call for call in self.reactor.getDelayedCalls() if call.getTime() <= self.reactor.seconds()
            ]
            if due:
                self.reactor.advance(0)
                progressed = True
            for peer in list(self.peers):
                progressed = peer.wire.transfer() or progressed
            if not progressed:
                return
        raise AssertionError("events do not end")

    def advance(self, ms: float, step: float = 5.0) -> None:
        """Advance the clock in steps."""
        self.run_until_idle()
        for _ in range(int(ms / step)):
            self.reactor.advance(step / 1000.0)
            self.run_until_idle()

    def peer(self, *channels: int, **options: Any) -> Peer:
        return Peer(self, **options).open(*(channels or (1,)))

    def publisher(self, **options: Any) -> Peer:
        """Return a peer in confirm mode that consumes direct replies."""
        peer = self.peer(**options)
        peer.send(c.Confirm.Select())
        peer.send(c.Basic.Consume(queue="amq.rabbitmq.reply-to", consumer_tag="replies", no_ack=True))
        self.run_until_idle()
        return peer

    def publish_request(self, peer: Peer, id: str, key: str = "reminder", **options: Any) -> None:
        properties = {"reply_to": "amq.rabbitmq.reply-to", "message_id": id, "correlation_id": "c-" + id}
        peer.publish(key, b"body of " + id.encode(), **(properties | options))

    def submit(self, id: str, job_class: str = "reminder", budget: float = 9000.0) -> RecordingCaller:
        """Submit a request as the HTTP server does."""
        from bitternpath.balancer.core.requests import RequestPayload

        caller = RecordingCaller()
        headers = {
            b"x-call-class": job_class.encode(),
            b"x-route-hash": b"7f",
            b"content-type": b"text/plain",
        }
        work = RequestPayload(b"POST", f"/{job_class}/x?y=1".encode(), headers, b"by http")
        self.broker.submit(AcceptedRequest(id, job_class, self.now() + budget, caller, work))
        return caller

    def is_idle(self) -> bool:
        """Whether no request is in progress or unanswered."""
        return not self.broker.in_progress and not self.broker.unanswered and not self.publishers.waiting
