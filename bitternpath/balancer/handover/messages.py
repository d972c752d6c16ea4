"""What goes over the link between two processes of one node: one JSON object a line. Pure.

The newer process says `Hello`; the older one answers `Welcome`, and sends its listening descriptor with it,
or `Declined`. From then on both tell the ids that they take and pass call-backs on that are not theirs; the
newer one says `Ready` once it serves. There is no goodbye: the end of the connection says all.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct, field

from bitternpath.balancer.core.endpoint_registry import Listing
from bitternpath.balancer.core.requests import CallReport
from bitternpath.balancer.handover.learned_weights import LearnedWeights

VERSION = 1  # of these messages; two processes that differ in it serve side by side without a link
MAX_LINE_SIZE = (
    16 << 20
)  # bytes: a welcome tells of the whole list and of what was learned, a KB or two a worker


class LinkError(Exception):
    """What came over the link cannot be used; the text says why."""


class Hello(Struct, tag="hello"):
    version: int
    listen: str  # the address that both share


class Welcome(Struct, tag="welcome"):
    listing: Listing
    request_ids: list[str] = field(name="taken")  # ids of requests that are under way or were of late
    learned: LearnedWeights


class Declined(Struct, tag="declined"):
    reason: str = field(name="why")


class Ready(Struct, tag="ready"):
    """The newer process serves."""


class RequestAccepted(Struct, tag="taken"):
    id: str


class CallbackRelayed(Struct, tag="passed"):
    """A call-back for a request that the sender does not know."""

    number: int
    report: CallReport = field(name="news")


class Acknowledged(Struct, tag="heard"):
    """The call-back of that number has been taken in."""

    number: int


Message = Hello | Welcome | Declined | Ready | RequestAccepted | CallbackRelayed | Acknowledged

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Message)


def encode_message(message: Message) -> bytes:
    return _encoder.encode(message) + b"\n"


class MessageDecoder:
    """Takes messages out of the bytes of one direction."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        """The messages that are whole now; LinkError where one cannot be read."""
        self._buffer += data
        *complete, incomplete = self._buffer.split(b"\n")
        self._buffer = incomplete
        if len(incomplete) > MAX_LINE_SIZE:
            raise LinkError(f"a line of more than {MAX_LINE_SIZE} bytes")
        try:
            return [_decoder.decode(encoded) for encoded in complete]
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise LinkError(f"not a message of the link: {error}") from error
