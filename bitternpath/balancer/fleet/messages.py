"""What stewards, agents and commands say to one another. Pure.

On the wire: four bytes of length, then one message in msgpack. Each side's first message is `Hello`; another
version of these messages, another fleet or rubbish ends the connection with one line that says so.
"""

from __future__ import annotations

import struct

import msgspec
from msgspec import Struct

from bitternpath.balancer.fleet.audit import Line
from bitternpath.balancer.fleet.plan import AgreedVersion, Change, Plan
from bitternpath.replication import messages as consensus

VERSION = 1  # of these messages
FRAME_LIMIT = 16 << 20  # bytes of one message
_HEAD = struct.Struct(">I")


class WireError(Exception):
    """What came cannot be used; the text says why."""


class Hello(Struct, frozen=True, tag="hello"):
    version: int
    fleet: str
    role: str  # steward, agent or command
    name: str  # a steward's, with its incarnation; a process of a node; or whoever types


class Refused(Struct, frozen=True, tag="refused"):
    """The other side cannot be spoken to."""

    why: str


# ---- between stewards


class Consensus(Struct, frozen=True, tag="raft"):
    message: consensus.Message


class ForwardedRequest(Struct, frozen=True, tag="passed"):
    """What somebody connected to the sender said, for the leader."""

    token: int  # the connection there
    said: RenewLease | LeaseReleased | AuditLines | CommandRequest


class ForwardedReply(Struct, frozen=True, tag="back"):
    """The leader's answer to it."""

    token: int
    said: (
        Lease
        | LeaseRefused
        | VersionChanges
        | PlanSnapshot
        | VersionUpdate
        | AuditAcknowledged
        | CommandReply
    )


# ---- an agent to its steward


class RenewLease(Struct, frozen=True, tag="renew"):
    """A process of a node asks for its lease: the first one, or on. Also its report."""

    node: str
    boot: str  # of this process
    site: str
    release: tuple[int, ...]
    alone: str  # what it does without a lease: serve or leave
    sent: float  # s on its own clock
    fencing_token: int = msgspec.field(name="fence")  # of the lease in hand; 0: none
    acting: int  # the version it acts on; 0: none
    have: int  # the last version that it has taken
    digest: bytes  # of that one
    refuses: str = ""  # why it cannot take the next one


class LeaseReleased(Struct, frozen=True, tag="parting"):
    """It ends, and acts no more under that fence."""

    node: str
    boot: str
    fencing_token: int = msgspec.field(name="fence")


class AuditLines(Struct, frozen=True, tag="acts"):
    """Lines of a process's audit that are not acknowledged yet."""

    node: str
    boot: str
    lines: tuple[Line, ...]
    final: int  # of one that has ended: how many lines its file has; 0: more may come


# ---- a steward to an agent


class Lease(Struct, frozen=True, tag="lease"):
    """The lease runs from `sent`, by the clock of the one who sent it."""

    sent: float
    length: float  # s
    fencing_token: int = msgspec.field(name="fence")
    released: int  # to be acted on now
    digest: bytes


class LeaseRefused(Struct, frozen=True, tag="withheld"):
    """No lease, or none for longer; what it lacks comes beside."""

    sent: float
    why: str
    elsewhere: bool = False  # another steward may know more


class VersionChanges(Struct, frozen=True, tag="changes"):
    """What follows the version it has."""

    changes: tuple[AgreedVersion, ...]


class PlanSnapshot(Struct, frozen=True, tag="whole"):
    """Where the changes since are not kept any more: the plan as released, and what follows."""

    plan: Plan
    changes: tuple[AgreedVersion, ...]


class VersionUpdate(Struct, frozen=True, tag="news"):
    """There is something to take or to act on: renew at once."""

    released: int
    latest: int


class AuditAcknowledged(Struct, frozen=True, tag="heard"):
    """The record has the lines of that process up to this one."""

    boot: str
    upto: int


# ---- commands


class Propose(Struct, frozen=True, tag="propose"):
    id: str  # the same one again is the same change
    author: str
    reason: str
    change: Change


class Withdraw(Struct, frozen=True, tag="withdraw"):
    """A version that is not released yet shall change nothing."""

    version: int
    author: str
    reason: str


class Query(Struct, frozen=True, tag="look"):
    """What is known: `status`, `versions`, `explain`, `audit` or `members`."""

    what: str
    node: str = ""
    version: int = 0
    at: float = 0.0  # Unix s; 0: now
    stale: bool = False  # what this steward knows by itself, however old


class ChangeMembers(Struct, frozen=True, tag="members"):
    add: str = ""
    remove: str = ""


class TransferLeadership(Struct, frozen=True, tag="pass on"):
    """Another steward shall lead."""

    to: str


Command = Propose | Withdraw | Query | ChangeMembers | TransferLeadership


class CommandRequest(Struct, frozen=True, tag="ask"):
    number: int
    command: Command


class CommandReply(Struct, frozen=True, tag="answer"):
    number: int
    ok: bool
    text: str  # what went wrong, in one line
    data: msgspec.Raw = msgspec.Raw(b"\xc0")


FleetMessage = (
    Hello
    | Refused
    | Consensus
    | ForwardedRequest
    | ForwardedReply
    | RenewLease
    | LeaseReleased
    | AuditLines
    | Lease
    | LeaseRefused
    | VersionChanges
    | PlanSnapshot
    | VersionUpdate
    | AuditAcknowledged
    | CommandRequest
    | CommandReply
)

ClientMessage = RenewLease | LeaseReleased | AuditLines
ForwardableRequest = RenewLease | LeaseReleased | AuditLines | CommandRequest  # what a steward passes on
ForwardableReply = (
    Lease | LeaseRefused | VersionChanges | PlanSnapshot | VersionUpdate | AuditAcknowledged | CommandReply
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(FleetMessage)


def frame(said: FleetMessage) -> bytes:
    data = _encoder.encode(said)
    if len(data) > FRAME_LIMIT:
        raise WireError(f"a message of {len(data)} bytes; at most {FRAME_LIMIT} are allowed")
    return _HEAD.pack(len(data)) + data


class Frames:
    """Takes messages out of the bytes of one direction."""

    def __init__(self) -> None:
        self._data = bytearray()

    def feed(self, data: bytes) -> list[FleetMessage]:
        """The messages that are whole now; WireError where one cannot be read."""
        self._data += data
        found: list[FleetMessage] = []
        at = 0
        while len(self._data) - at >= _HEAD.size:
            (size,) = _HEAD.unpack_from(self._data, at)
            if size > FRAME_LIMIT:
                raise WireError(f"a message of {size} bytes; at most {FRAME_LIMIT} are allowed")
            if len(self._data) - at - _HEAD.size < size:
                break
            at += _HEAD.size
            try:
                found.append(_decoder.decode(bytes(self._data[at : at + size])))
            except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
                raise WireError(f"not a message of the fleet: {error}") from error
            at += size
        del self._data[:at]
        return found
