"""Messages between consensus servers, record clients (nodes) and commands. Pure.

On the wire: four bytes of length (big-endian), then one message in msgpack. Each side's first message is
`Hello`. A different protocol version, a different fleet id or bytes that are no message close the connection,
with one log line. Tags and field names on the wire are fixed; where a class or field has another name here,
its tag or `name=` keeps the one on the wire.
"""

from __future__ import annotations

import struct

import msgspec
from msgspec import Struct

from bitternpath.balancer.fleet.audit import AuditEntry
from bitternpath.balancer.fleet.plan import AgreedVersion, Change, Plan
from bitternpath.replication import messages as consensus

PROTOCOL_VERSION = 1  # of these messages
MAX_FRAME_BYTES = 16 << 20  # bytes of one message
_HEADER = struct.Struct(">I")


class WireError(Exception):
    """The peer sent bytes that are no valid message; the text says why. A retry does not help."""


class Hello(Struct, frozen=True, tag="hello"):
    """The first message of each side."""

    version: int
    fleet: str
    role: str  # steward, agent or command
    name: str  # a steward's, with its incarnation; a process of a node; or whoever types


class Refused(Struct, frozen=True, tag="refused"):
    """The peer is rejected (`why`: protocol version, fleet); the connection closes after it."""

    reason: str = msgspec.field(name="why")


# ---- between stewards


class Consensus(Struct, frozen=True, tag="raft"):
    """A message of the consensus protocol."""

    message: consensus.Message


class ForwardedRequest(Struct, frozen=True, tag="passed"):
    """A request received by a follower, forwarded to the leader."""

    token: int  # the connection there
    request: RenewLease | LeaseReleased | AuditEntries | CommandRequest = msgspec.field(name="said")


class ForwardedReply(Struct, frozen=True, tag="back"):
    """The leader's reply, to be returned on the follower's connection `token`."""

    token: int
    reply: (
        Lease
        | LeaseRefused
        | VersionChanges
        | PlanSnapshot
        | VersionUpdate
        | AuditAcknowledged
        | CommandReply
    ) = msgspec.field(name="said")


# ---- an agent to its steward


class RenewLease(Struct, frozen=True, tag="renew"):
    """A node process requests a lease or renews it, and reports which versions it has and applies."""

    node: str
    boot: str  # of this process
    site: str
    release: tuple[int, ...]
    without_lease: str = msgspec.field(name="alone")  # what it does without a lease: serve or leave
    sent: float  # s on its own clock
    fencing_token: int = msgspec.field(name="fence")  # of the lease in hand; 0: none
    applied_version: int = msgspec.field(name="acting")  # the version it acts on; 0: none
    validated_version: int = msgspec.field(name="have")  # the last version that it has taken
    digest: bytes  # of that one
    rejection: str = msgspec.field(default="", name="refuses")  # why it cannot take the next one


class LeaseReleased(Struct, frozen=True, tag="parting"):
    """The process ends, and applies nothing more under that fencing token."""

    node: str
    boot: str
    fencing_token: int = msgspec.field(name="fence")


class AuditEntries(Struct, frozen=True, tag="acts"):
    """Lines of a process's audit log that are not acknowledged yet."""

    node: str
    boot: str
    entries: tuple[AuditEntry, ...] = msgspec.field(name="lines")
    final_count: int = msgspec.field(
        name="final"
    )  # of one that has ended: how many lines its file has; 0: more may come


# ---- a steward to an agent


class Lease(Struct, frozen=True, tag="lease"):
    """A lease granted: it runs `length` s from `sent`, by the clock of the process that sent the request."""

    sent: float
    length: float  # s
    fencing_token: int = msgspec.field(name="fence")
    released: int  # to be acted on now
    digest: bytes


class LeaseRefused(Struct, frozen=True, tag="withheld"):
    """No lease is granted or renewed, with the reason; missing versions are sent separately."""

    sent: float
    reason: str = msgspec.field(name="why")
    retry_elsewhere: bool = msgspec.field(default=False, name="elsewhere")  # another steward may know more


class VersionChanges(Struct, frozen=True, tag="changes"):
    """The versions that follow the one the process has."""

    changes: tuple[AgreedVersion, ...]


class PlanSnapshot(Struct, frozen=True, tag="whole"):
    """The released plan and what follows, for a process whose next changes are no longer kept."""

    plan: Plan
    changes: tuple[AgreedVersion, ...]


class VersionUpdate(Struct, frozen=True, tag="news"):
    """A version was committed or released: renew at once."""

    released: int
    latest: int


class AuditAcknowledged(Struct, frozen=True, tag="heard"):
    """The record holds the audit lines of that process up to line `upto`."""

    boot: str
    upto: int


# ---- commands


class Propose(Struct, frozen=True, tag="propose"):
    """Propose a change of the plan; idempotent by `id`."""

    id: str  # the same one again is the same change
    author: str
    reason: str
    change: Change


class Withdraw(Struct, frozen=True, tag="withdraw"):
    """Make a version that is not released yet a no-op."""

    version: int
    author: str
    reason: str


class Query(Struct, frozen=True, tag="look"):
    """Read the record: `status` or `audit`."""

    what: str
    node: str = ""
    version: int = 0
    at: float = 0.0  # Unix s; 0: now
    stale: bool = False  # what this steward knows by itself, however old


class ChangeMembers(Struct, frozen=True, tag="members"):
    """Add a server as a learner, or remove a member; exactly one of the two."""

    add: str = ""
    remove: str = ""


class TransferLeadership(Struct, frozen=True, tag="pass on"):
    """Transfer leadership to the voter named."""

    to: str


Command = Propose | Withdraw | Query | ChangeMembers | TransferLeadership


class CommandRequest(Struct, frozen=True, tag="ask"):
    """A command, numbered by its sender."""

    number: int
    command: Command


class CommandReply(Struct, frozen=True, tag="answer"):
    """The reply to the command of that number; `data` is msgpack."""

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
    | AuditEntries
    | Lease
    | LeaseRefused
    | VersionChanges
    | PlanSnapshot
    | VersionUpdate
    | AuditAcknowledged
    | CommandRequest
    | CommandReply
)

ClientMessage = RenewLease | LeaseReleased | AuditEntries
ForwardableRequest = RenewLease | LeaseReleased | AuditEntries | CommandRequest  # what a steward passes on
ForwardableReply = (
    Lease | LeaseRefused | VersionChanges | PlanSnapshot | VersionUpdate | AuditAcknowledged | CommandReply
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(FleetMessage)


def encode_frame(message: FleetMessage) -> bytes:
    data = _encoder.encode(message)
    if len(data) > MAX_FRAME_BYTES:
        raise WireError(f"a message of {len(data)} bytes; at most {MAX_FRAME_BYTES} are allowed")
    return _HEADER.pack(len(data)) + data


class FrameDecoder:
    """Takes messages out of the bytes of one direction."""

    def __init__(self) -> None:
        self._data = bytearray()

    def feed(self, data: bytes) -> list[FleetMessage]:
        """Return the messages completed by `data`; raise WireError if one can't be decoded."""
        self._data += data
        messages: list[FleetMessage] = []
        position = 0
        while len(self._data) - position >= _HEADER.size:
            (size,) = _HEADER.unpack_from(self._data, position)
            if size > MAX_FRAME_BYTES:
                raise WireError(f"a message of {size} bytes; at most {MAX_FRAME_BYTES} are allowed")
            if len(self._data) - position - _HEADER.size < size:
                break
            position += _HEADER.size
            try:
                messages.append(_decoder.decode(bytes(self._data[position : position + size])))
            except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
                raise WireError(f"not a message of the fleet: {error}") from error
            position += size
        del self._data[:position]
        return messages
