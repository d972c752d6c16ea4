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
LINE_LIMIT = (
    16 << 20
)  # bytes: a welcome tells of the whole list and of what was learned, a KB or two a worker


class LinkError(Exception):
    """What came over the link cannot be used; the text says why."""


class Hello(Struct, tag="hello"):
    version: int
    listen: str  # the address that both share


class Welcome(Struct, tag="welcome"):
    listing: Listing
    taken: list[str]  # ids of requests that are under way or were of late
    learned: LearnedWeights


class Declined(Struct, tag="declined"):
    why: str


class Ready(Struct, tag="ready"):
    """The newer process serves."""


class Taken(Struct, tag="taken"):
    id: str


class Passed(Struct, tag="passed"):
    """A call-back for a request that the sender does not know."""

    number: int
    report: CallReport = field(name="news")


class Acknowledged(Struct, tag="heard"):
    """The call-back of that number has been taken in."""

    number: int


Message = Hello | Welcome | Declined | Ready | Taken | Passed | Acknowledged

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Message)


def line(message: Message) -> bytes:
    return _encoder.encode(message) + b"\n"


class Lines:
    """Takes messages out of the bytes of one direction."""

    def __init__(self) -> None:
        self._data = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        """The messages that are whole now; LinkError where one cannot be read."""
        self._data += data
        *whole, rest = self._data.split(b"\n")
        self._data = rest
        if len(rest) > LINE_LIMIT:
            raise LinkError(f"a line of more than {LINE_LIMIT} bytes")
        try:
            return [_decoder.decode(part) for part in whole]
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise LinkError(f"not a message of the link: {error}") from error
