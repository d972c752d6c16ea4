"""Messages of the link between two processes of a node: one JSON object per line. No I/O.

The newer process sends `Hello`. The older one answers with `Welcome` and its listening descriptor, or with
`Declined`. From then on both announce the ids of requests that they accept, and relay callbacks for requests
that they do not know. The newer process sends `Ready` once it serves. Closing the connection ends the link;
there is no message for it. Tags and names of fields are read by processes of other releases.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct, field

from bitternpath.balancer.core.endpoint_registry import Listing
from bitternpath.balancer.core.requests import CallReport
from bitternpath.balancer.handover.learned_weights import LearnedWeights

VERSION = 1  # version of the messages; two processes of different versions serve side by side without a link
# Bytes of a message: Welcome has the endpoint list and the learned weights, one or two KB per worker.
MAX_LINE_SIZE = 16 << 20


class LinkError(Exception):
    """Received data is no valid message."""


class Hello(Struct, tag="hello"):
    version: int
    listen: str  # address that both processes listen on


class Welcome(Struct, tag="welcome"):
    listing: Listing
    request_ids: list[str] = field(name="taken")  # ids of current and recent requests
    learned: LearnedWeights


class Declined(Struct, tag="declined"):
    reason: str = field(name="why")


class Ready(Struct, tag="ready"):
    """The newer process is serving."""


class RequestAccepted(Struct, tag="taken"):
    id: str


class CallbackRelayed(Struct, tag="passed"):
    """Callback for a request that the sender does not know."""

    number: int
    report: CallReport = field(name="news")


class Acknowledged(Struct, tag="heard"):
    """The callback of that number was processed."""

    number: int


Message = Hello | Welcome | Declined | Ready | RequestAccepted | CallbackRelayed | Acknowledged

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Message)


def encode_message(message: Message) -> bytes:
    return _encoder.encode(message) + b"\n"


class MessageDecoder:
    """Decodes the byte stream of one direction into messages."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        """Return the messages that are complete; LinkError if one is invalid or too long."""
        self._buffer += data
        *complete, incomplete = self._buffer.split(b"\n")
        self._buffer = incomplete
        if len(incomplete) > MAX_LINE_SIZE:
            raise LinkError(f"message of more than {MAX_LINE_SIZE} bytes")
        try:
            return [_decoder.decode(encoded) for encoded in complete]
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise LinkError(f"invalid message: {error}") from error
