"""State machine of the server side of an AMQP 0-9-1 connection and its channels. No I/O.

Implements sections 2.2.4, 2.2.5 and 4.2 of the specification. `feed` accepts received bytes. `next` returns
one event at a time, and None until more bytes are fed. Protocol replies (start, tune, open-ok, close-ok,
errors) are added to the send queue. Callers never set a phase; they call `login`, `refuse_login`, `fail`,
`close_channel` and `close`.

Invariants:
- CONNECTION_TRANSITIONS and CHANNEL_TRANSITIONS list all legal inputs by phase. Any other input raises the
  error that the specification assigns to it, and changes no state.
- A soft error closes its channel: channel.close is sent, and all frames on the channel are discarded until
  close-ok arrives, content included. A hard error closes the connection in the same way.
- After the peer's close, or its close-ok to ours, nothing more is read.
"""

from __future__ import annotations

from enum import Enum
from typing import Any

from msgspec import Struct
from pamqp import commands as c
from pamqp.base import Frame as Method

from bitternpath.balancer.amqp import errors as e
from bitternpath.balancer.amqp import frames as f
from bitternpath.balancer.amqp.send_queue import SendQueue
from bitternpath.net.buffer import Buffer

MAX_BODY_SIZE = 64 * 1024  # bytes of a message body; the same limit as over HTTP
# Bytes of partially received messages, on all channels of a connection together.
MAX_INCOMPLETE_BYTES = 1 << 20


class Phase(Enum):
    """Phase of a connection. The values are part of the texts of connection.close."""

    HEADER = "the protocol header has not come"
    START = "start sent, start-ok awaited"
    LOGIN = "start-ok has come and is being looked at"
    TUNE = "tune sent, tune-ok awaited"
    OPENING = "open awaited"
    OPEN = "open"
    CLOSING = "close sent, close-ok awaited"
    CLOSED = "over"


# The methods that are legal on channel 0 in each phase, and the phase that follows.
CONNECTION_TRANSITIONS: dict[tuple[Phase, type[Method]], Phase] = {
    (Phase.START, c.Connection.StartOk): Phase.LOGIN,
    (Phase.TUNE, c.Connection.TuneOk): Phase.OPENING,
    (Phase.OPENING, c.Connection.Open): Phase.OPEN,
    (Phase.START, c.Connection.Close): Phase.CLOSED,
    (Phase.TUNE, c.Connection.Close): Phase.CLOSED,
    (Phase.OPENING, c.Connection.Close): Phase.CLOSED,
    (Phase.OPEN, c.Connection.Close): Phase.CLOSED,
    (Phase.CLOSING, c.Connection.Close): Phase.CLOSED,
    (Phase.CLOSING, c.Connection.CloseOk): Phase.CLOSED,
}


class ChannelPhase(Enum):
    """Phase of a channel."""

    CLOSED = "not open"
    OPEN = "open"
    HEADER = "publish received, content header awaited"
    BODY = "body frame awaited"
    CLOSING = "close sent, close-ok awaited"


class ChannelInput(Enum):
    """Kind of a frame or method on a channel. The values are part of the texts of connection.close."""

    OPEN = "channel.open"
    CLOSE = "channel.close"
    CLOSE_OK = "channel.close-ok"
    PUBLISH = "basic.publish"
    METHOD = "any other method that a client may send"
    HEADER = "a content header"
    BODY = "a content body"


# The legal inputs of a channel in each phase, and the phase that follows. By the body size in the content
# header, an incomplete body stays in BODY, and the header of an empty message leads to OPEN at once.
CHANNEL_TRANSITIONS: dict[tuple[ChannelPhase, ChannelInput], ChannelPhase] = {
    (ChannelPhase.CLOSED, ChannelInput.OPEN): ChannelPhase.OPEN,
    (ChannelPhase.OPEN, ChannelInput.METHOD): ChannelPhase.OPEN,
    (ChannelPhase.OPEN, ChannelInput.PUBLISH): ChannelPhase.HEADER,
    (ChannelPhase.HEADER, ChannelInput.HEADER): ChannelPhase.BODY,
    (ChannelPhase.BODY, ChannelInput.BODY): ChannelPhase.OPEN,
    (ChannelPhase.OPEN, ChannelInput.CLOSE): ChannelPhase.CLOSED,
    (ChannelPhase.CLOSING, ChannelInput.CLOSE): ChannelPhase.CLOSED,
    (ChannelPhase.CLOSING, ChannelInput.CLOSE_OK): ChannelPhase.CLOSED,
}
# The error for any other input, by phase. In CLOSING other inputs are discarded instead.
PHASE_ERRORS = {
    ChannelPhase.CLOSED: (e.CHANNEL_ERROR, "the channel is not open"),
    ChannelPhase.OPEN: (e.UNEXPECTED_FRAME, "not expected on an open channel"),
    ChannelPhase.HEADER: (e.UNEXPECTED_FRAME, "a content header is awaited"),
    ChannelPhase.BODY: (e.UNEXPECTED_FRAME, "a content body is awaited"),
}

_METHOD_INPUTS: dict[type[Method], ChannelInput] = {
    c.Channel.Open: ChannelInput.OPEN,
    c.Channel.Close: ChannelInput.CLOSE,
    c.Channel.CloseOk: ChannelInput.CLOSE_OK,
    c.Basic.Publish: ChannelInput.PUBLISH,
}
# Methods that a client may send on an open channel. Others are for servers only (503) or unsupported (540).
CLIENT_METHODS = frozenset(
    (
        c.Channel.Flow, c.Channel.FlowOk, c.Exchange.Declare, c.Exchange.Delete, c.Queue.Declare,
        c.Queue.Bind, c.Queue.Unbind, c.Queue.Purge, c.Queue.Delete, c.Basic.Qos, c.Basic.Consume,
        c.Basic.Cancel, c.Basic.CancelOk, c.Basic.Get, c.Basic.Ack, c.Basic.Nack, c.Basic.Reject,
        c.Basic.Recover, c.Basic.RecoverAsync, c.Confirm.Select,
    )
)  # fmt: skip
UNSUPPORTED_METHODS = frozenset(
    (c.Tx.Select, c.Tx.Commit, c.Tx.Rollback, c.Exchange.Bind, c.Exchange.Unbind, c.Connection.UpdateSecret)
)


class LoginRequested(Struct):
    """start-ok was received: answer with `login` or `refuse_login` of the state machine."""

    mechanism: str
    response: bytes
    properties: dict[str, Any]


class ConnectionOpened(Struct):
    """The connection is open on this virtual host, which the user may access."""

    vhost: str


class ChannelOpened(Struct):
    channel: int


class ChannelClosed(Struct):
    """The channel was closed by the peer or by an error: its unacknowledged deliveries are lost."""

    channel: int


class MethodReceived(Struct):
    """A method on an open channel."""

    channel: int
    method: Method


class MessagePublished(Struct):
    """A complete message was published."""

    channel: int
    method: c.Basic.Publish
    properties: Any
    body: bytes


class ConnectionClosed(Struct):
    """The connection was closed by the protocol; `reason` is the text of the peer's close."""

    reason: str


Event = (
    LoginRequested
    | ConnectionOpened
    | ChannelOpened
    | ChannelClosed
    | MethodReceived
    | MessagePublished
    | ConnectionClosed
)


class _Channel:
    """Phase of a channel, and the message that is being received on it."""

    __slots__ = ("chunks", "phase", "properties", "publish", "received", "remaining")

    def __init__(self) -> None:
        self.phase = ChannelPhase.OPEN
        self.publish: c.Basic.Publish | None = None
        self.properties: Any = None
        self.chunks: list[bytes] = []
        self.remaining = self.received = 0


class Limits(Struct, frozen=True):
    """Limits and virtual hosts that the server offers."""

    channel_max: int = 64
    frame_max: int = 131072
    heartbeat: int = 60  # seconds
    vhosts: tuple[str, ...] = ("/",)


SERVER_PROPERTIES: dict[str, Any] = {
    "product": "bitternpath",
    "capabilities": {
        "publisher_confirms": True,
        "basic.nack": True,
        "consumer_cancel_notify": True,
        "connection.blocked": True,
        "authentication_failure_close": True,
        "per_consumer_qos": True,
        "direct_reply_to": True,
        "exchange_exchange_bindings": False,
    },
}
MECHANISMS = ("PLAIN", "AMQPLAIN")


class ConnectionStateMachine:
    """Protocol state of one connection, from the server's side."""

    def __init__(self, limits: Limits, send_queue: SendQueue) -> None:
        self.limits, self.phase, self.send_queue = limits, Phase.HEADER, send_queue
        self.buffer = Buffer()
        self.reader = f.FrameReader(self.buffer)
        self.channels: dict[int, _Channel] = {}
        self.channel_max, self.heartbeat = limits.channel_max, limits.heartbeat
        self.capabilities: dict[str, Any] = {}  # announced by the peer
        self.error: e.HardError | None = None  # the error for which this side closed the connection
        self.vhosts = limits.vhosts
        self._incomplete_bytes = 0  # bytes of partially received messages

    @property
    def frame_max(self) -> int:
        return self.reader.frame_max

    @property
    def authenticated(self) -> bool:
        return self.phase not in (Phase.HEADER, Phase.START, Phase.LOGIN)

    def feed(self, data: bytes) -> None:
        if self.phase is not Phase.CLOSED and not self.reader.desynchronized:
            self.buffer.append(data)

    def next(self) -> Event | None:
        """Return the next event; None until more bytes are fed, or while a login is being checked."""
        while self.phase not in (Phase.LOGIN, Phase.CLOSED) and not self.reader.desynchronized:
            try:
                if self.phase is Phase.HEADER:
                    if not self._protocol_header():
                        return None
                    continue
                raw = self.reader.next()
                if raw is None:
                    return None
                event = self._frame(raw)
            except e.SoftError as error:
                raise AssertionError("soft errors are closed where they arise") from error
            except e.HardError as error:
                self.fail(error)
                return None
            if event is not None:
                return event
        return None

    # ---- actions of the caller

    def send_method(self, channel: int, method: Method) -> None:
        self.send_queue.add(f.encode_method(channel, method))

    def login(self, vhosts: tuple[str, ...]) -> None:
        """Accept the login for these virtual hosts, and send tune."""
        self.vhosts = vhosts
        self.phase = Phase.TUNE
        offer = self.limits
        self.send_method(0, c.Connection.Tune(offer.channel_max, offer.frame_max, offer.heartbeat))

    def refuse_login(self) -> None:
        """Close the connection; with a 403 where the peer announced `authentication_failure_close`."""
        if self.capabilities.get("authentication_failure_close"):
            self.fail(e.HardError(e.ACCESS_REFUSED, "login refused", f.method_ids(c.Connection.StartOk)))
        else:
            self.phase = Phase.CLOSED

    def fail(self, error: e.HardError) -> None:
        """Close the connection with an error."""
        if self.phase in (Phase.CLOSING, Phase.CLOSED):
            self.phase = Phase.CLOSED  # a second error sends no second close
            return
        self.error = error
        if self.phase is Phase.HEADER:
            self.phase = Phase.CLOSED
        else:
            self.close(error.code, error.text, error.method)

    def close(self, code: int, text: str, method: tuple[int, int] = (0, 0)) -> None:
        if self.phase not in (Phase.CLOSING, Phase.CLOSED):
            self.send_method(0, c.Connection.Close(code, text, *method))
            self.phase = Phase.CLOSING
            self.channels.clear()
            self._incomplete_bytes = 0

    def close_channel(self, number: int, error: e.SoftError) -> None:
        """Close one channel with an error. The caller must drop its own state of the channel at once."""
        channel = self.channels.get(number)
        if channel is not None and channel.phase is not ChannelPhase.CLOSING:
            self.send_method(number, c.Channel.Close(error.code, error.text, *error.method))
            self._discard_content(channel)
            channel.phase = ChannelPhase.CLOSING

    def is_open(self, number: int) -> bool:
        """Whether methods may be sent on the channel."""
        channel = self.channels.get(number)
        return channel is not None and channel.phase is not ChannelPhase.CLOSING

    # ---- received frames

    def _protocol_header(self) -> bool:
        length = min(len(self.buffer), len(f.PROTOCOL_HEADER))
        received = self.buffer.peek(length)
        if received != f.PROTOCOL_HEADER[:length]:
            # Specification 4.2.2: answer with the supported protocol header, and close.
            self.send_queue.add(f.PROTOCOL_HEADER)
            raise e.HardError(e.NOT_IMPLEMENTED, f"protocol header {received!r}; AMQP 0-9-1 is spoken here")
        if length < len(f.PROTOCOL_HEADER):
            return False
        self.buffer.take(length)
        self.phase = Phase.START
        self.send_method(0, c.Connection.Start(0, 9, SERVER_PROPERTIES, " ".join(MECHANISMS), "en_US"))
        return True

    def _frame(self, raw: f.RawFrame) -> Event | None:
        if raw.kind == f.HEARTBEAT:
            if raw.channel:
                raise e.HardError(e.FRAME_ERROR, f"heartbeat on channel {raw.channel}; 0 is allowed")
            return None
        if self.phase is Phase.CLOSING and (raw.channel or raw.kind != f.METHOD):
            return None
        if raw.channel == 0:
            if raw.kind != f.METHOD:
                raise e.HardError(e.COMMAND_INVALID, "content on channel 0")
            return self._on_connection(f.parse_method(raw.payload))
        if self.phase is not Phase.OPEN:
            raise e.HardError(e.CHANNEL_ERROR, f"channel {raw.channel} before the connection is open")
        if raw.channel > self.channel_max:
            raise e.HardError(
                e.CHANNEL_ERROR, f"channel {raw.channel}; at most {self.channel_max} is allowed"
            )
        return self._on_channel(raw)

    def _on_connection(self, method: Method) -> Event | None:
        kind = type(method)
        next_phase = CONNECTION_TRANSITIONS.get((self.phase, kind))
        if next_phase is None:
            if self.phase is Phase.CLOSING:
                return None
            code = e.NOT_IMPLEMENTED if kind in UNSUPPORTED_METHODS else e.COMMAND_INVALID
            raise e.HardError(code, f"{method.name} while {self.phase.value}", f.method_ids(method))
        if isinstance(method, c.Connection.StartOk):
            self.phase = next_phase
            properties = method.client_properties or {}
            capabilities = properties.get("capabilities")
            self.capabilities = capabilities if isinstance(capabilities, dict) else {}
            response = method.response
            data = (
                response
                if isinstance(response, bytes)
                else str(response or "").encode("utf-8", "surrogateescape")
            )
            return LoginRequested(str(method.mechanism), data, properties)
        if isinstance(method, c.Connection.TuneOk):
            self._apply_tune(method)
        elif isinstance(method, c.Connection.Open):
            if method.virtual_host not in self.vhosts:
                reason = f"no virtual host {method.virtual_host!r} for this user"
                raise e.HardError(e.NOT_ALLOWED, reason, f.method_ids(method))
            self.send_method(0, c.Connection.OpenOk())
            self.phase = next_phase
            return ConnectionOpened(str(method.virtual_host))
        elif isinstance(method, c.Connection.Close):
            self.send_method(0, c.Connection.CloseOk())
            self.phase = next_phase
            return ConnectionClosed(f"{method.reply_code} {method.reply_text}")
        self.phase = next_phase
        return ConnectionClosed("closed") if next_phase is Phase.CLOSED else None

    def _apply_tune(self, method: c.Connection.TuneOk) -> None:
        """Apply tune-ok (specification 1.4.2.6): at most the offered limits; 0 selects the offer.

        A heartbeat of 0 disables heartbeats.
        """
        offer = self.limits
        channels = method.channel_max or offer.channel_max
        size = method.frame_max or offer.frame_max
        if channels > offer.channel_max or not 4096 <= size <= offer.frame_max:
            allowed = f"at most {offer.channel_max} and 4096 to {offer.frame_max} are allowed"
            reason = f"channel-max {channels}, frame-max {size}; {allowed}"
            raise e.HardError(e.NOT_ALLOWED, reason, f.method_ids(method))
        self.channel_max, self.reader.frame_max = channels, size
        self.heartbeat = method.heartbeat or 0

    def _on_channel(self, raw: f.RawFrame) -> Event | None:
        channel = self.channels.get(raw.channel)
        phase = channel.phase if channel is not None else ChannelPhase.CLOSED
        method: Method | None = None
        if raw.kind == f.METHOD:
            method = f.parse_method(raw.payload)
            kind = _METHOD_INPUTS.get(type(method), ChannelInput.METHOD)
        else:
            kind = ChannelInput.HEADER if raw.kind == f.HEADER else ChannelInput.BODY
        next_phase = CHANNEL_TRANSITIONS.get((phase, kind))
        if next_phase is None:
            if phase is ChannelPhase.CLOSING:
                return None  # discarded until close-ok arrives
            code, reason = PHASE_ERRORS[phase]
            name = method.name if method is not None else kind.value
            raise e.HardError(
                code, f"{name} on channel {raw.channel}: {reason}", f.method_ids(method) if method else (0, 0)
            )
        if channel is None:
            self.channels[raw.channel] = _Channel()
            self.send_method(raw.channel, c.Channel.OpenOk())
            return ChannelOpened(raw.channel)
        if next_phase is ChannelPhase.CLOSED:
            del self.channels[raw.channel]
            if kind is ChannelInput.CLOSE:
                self.send_method(raw.channel, c.Channel.CloseOk())
            return ChannelClosed(raw.channel) if phase is ChannelPhase.OPEN else None
        if kind is ChannelInput.METHOD:
            assert method is not None
            if type(method) in UNSUPPORTED_METHODS:
                raise e.HardError(
                    e.NOT_IMPLEMENTED, f"{method.name} is not implemented", f.method_ids(method)
                )
            if type(method) not in CLIENT_METHODS:
                raise e.HardError(
                    e.COMMAND_INVALID, f"{method.name} is not for clients", f.method_ids(method)
                )
            return MethodReceived(raw.channel, method)
        return self._content(raw, channel, method, next_phase)

    def _content(
        self, raw: f.RawFrame, channel: _Channel, method: Method | None, next_phase: ChannelPhase
    ) -> Event | None:
        """Process basic.publish, a content header or a body frame that is legal in the current phase."""
        if isinstance(method, c.Basic.Publish):
            channel.publish, channel.phase = method, next_phase
            return None
        publish = channel.publish
        assert publish is not None
        if raw.kind == f.HEADER:
            content_header = f.parse_content_header(raw.payload)
            if content_header.class_id != c.Basic.frame_id:
                raise e.HardError(
                    e.SYNTAX_ERROR,
                    f"content of class {content_header.class_id}; 60 is allowed",
                    f.method_ids(publish),
                )
            if content_header.size > MAX_BODY_SIZE:
                reason = f"message of {content_header.size} bytes; at most {MAX_BODY_SIZE} are allowed"
                self.close_channel(
                    raw.channel, e.SoftError(e.CONTENT_TOO_LARGE, reason, f.method_ids(publish))
                )
                return ChannelClosed(raw.channel)
            channel.properties, channel.remaining = content_header.properties, content_header.size
        else:
            data = raw.payload
            if len(data) > channel.remaining:
                reason = (
                    f"body of {channel.received + len(data)} bytes; "
                    f"its header says {channel.received + channel.remaining}"
                )
                raise e.HardError(e.UNEXPECTED_FRAME, reason, f.method_ids(publish))
            channel.chunks.append(data)
            channel.remaining -= len(data)
            channel.received += len(data)
            self._incomplete_bytes += len(data)
            if self._incomplete_bytes > MAX_INCOMPLETE_BYTES:
                reason = f"more than {MAX_INCOMPLETE_BYTES} bytes of messages that have come in part"
                raise e.HardError(e.RESOURCE_ERROR, reason, f.method_ids(publish))
        if channel.remaining:
            channel.phase = ChannelPhase.BODY
            return None
        chunks, properties = channel.chunks, channel.properties
        body = chunks[0] if len(chunks) == 1 else b"".join(chunks)
        self._discard_content(channel)
        channel.phase = ChannelPhase.OPEN
        return MessagePublished(raw.channel, publish, properties, body)

    def _discard_content(self, channel: _Channel) -> None:
        self._incomplete_bytes -= channel.received
        channel.publish = channel.properties = None
        channel.chunks, channel.remaining, channel.received = [], 0, 0
