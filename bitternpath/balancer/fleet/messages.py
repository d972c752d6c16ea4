"""Messages between consensus servers, record clients (nodes) and commands. Does no I/O.

On the wire: four bytes of length (big-endian), then one message in msgpack. Each side's first message is
`Hello`. Another protocol version, another fleet id or malformed bytes close the connection, with one log
line. Tags and field names on the wire are fixed: where a class or field has another name here, its tag
or `name=` keeps the one on the wire. On the wire a consensus server is a "steward", a record client an
"agent".
"""

from __future__ import annotations

import struct

import msgspec
from msgspec import Struct

from bitternpath.balancer.fleet.audit import AuditEntry
from bitternpath.balancer.fleet.plan import AgreedVersion, Change, Plan
from bitternpath.replication import messages as consensus

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 16 << 20  # of one message, without its length
_HEADER = struct.Struct(">I")


class WireError(Exception):
    """A frame is too long or is not a valid message; the text says why. A retry does not help."""


class Hello(Struct, frozen=True, tag="hello"):
    """The first message of each side."""

    version: int
    fleet: str
    role: str  # steward, agent or command
    name: str  # a server's id (name.incarnation), a node process (node#boot), or a command's author


class Refused(Struct, frozen=True, tag="refused"):
    """The peer is rejected (other protocol version, other fleet); the connection is closed after it."""

    reason: str = msgspec.field(name="why")


# ---- between consensus servers


class Consensus(Struct, frozen=True, tag="raft"):
    """A message of the consensus protocol."""

    message: consensus.Message


class ForwardedRequest(Struct, frozen=True, tag="passed"):
    """A request received by a follower, forwarded to the leader."""

    token: int  # of the client's connection at the follower
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


# ---- a record client to its server


class RenewLease(Struct, frozen=True, tag="renew"):
    """A node process requests a lease or renews it, and reports which versions it has and applies."""

    node: str
    boot: str  # random id of this process
    site: str
    release: tuple[int, ...]
    without_lease: str = msgspec.field(name="alone")  # "serve" or "leave"
    sent: float  # s, on the process's own clock
    fencing_token: int = msgspec.field(name="fence")  # of the present lease; 0: none
    applied_version: int = msgspec.field(name="acting")  # 0: none
    validated_version: int = msgspec.field(name="have")  # the last version that passed validation
    digest: bytes  # of the validated version
    rejection: str = msgspec.field(default="", name="refuses")  # why the next version failed validation


class LeaseReleased(Struct, frozen=True, tag="parting"):
    """The process ends, and applies nothing more under that fencing token."""

    node: str
    boot: str
    fencing_token: int = msgspec.field(name="fence")


class AuditEntries(Struct, frozen=True, tag="acts"):
    """Entries of a process's audit log that are not acknowledged yet."""

    node: str
    boot: str
    entries: tuple[AuditEntry, ...] = msgspec.field(name="lines")
    final_count: int = msgspec.field(
        name="final"
    )  # entries in the file of an ended process; 0: the process still runs


# ---- a server to a record client


class Lease(Struct, frozen=True, tag="lease"):
    """A lease granted: it runs `length` s from `sent`, by the clock of the process that sent the request."""

    sent: float
    length: float  # s
    fencing_token: int = msgspec.field(name="fence")
    released: int  # the version to apply now
    digest: bytes


class LeaseRefused(Struct, frozen=True, tag="withheld"):
    """No lease is granted or renewed, with the reason; missing versions are sent separately."""

    sent: float
    reason: str = msgspec.field(name="why")
    retry_elsewhere: bool = msgspec.field(
        default=False, name="elsewhere"
    )  # another server may be able to grant it


class VersionChanges(Struct, frozen=True, tag="changes"):
    """The versions that follow the one that the process has."""

    changes: tuple[AgreedVersion, ...]


class PlanSnapshot(Struct, frozen=True, tag="whole"):
    """The released plan and the later versions, for a process that lags behind the retained changes."""

    plan: Plan
    changes: tuple[AgreedVersion, ...]


class VersionUpdate(Struct, frozen=True, tag="news"):
    """A version was committed or released; the process renews its lease at once."""

    released: int
    latest: int


class AuditAcknowledged(Struct, frozen=True, tag="heard"):
    """The record holds the audit entries of that process up to number `upto`."""

    boot: str
    upto: int


# ---- commands


class Propose(Struct, frozen=True, tag="propose"):
    """Propose a change of the plan; idempotent by `id`."""

    id: str  # a proposal with the same id is the same change
    author: str
    reason: str
    change: Change


class Withdraw(Struct, frozen=True, tag="withdraw"):
    """Turn a version that is not released yet into a no-op."""

    version: int
    author: str
    reason: str


class Query(Struct, frozen=True, tag="look"):
    """Read the record: `status` or `audit`."""

    what: str
    node: str = ""
    version: int = 0
    at: float = 0.0  # Unix s; 0: now
    stale: bool = False  # answer from local state, without a majority


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
    text: str  # the error, in one line
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
ForwardableRequest = (
    RenewLease | LeaseReleased | AuditEntries | CommandRequest
)  # what a follower forwards to the leader
ForwardableReply = (
    Lease | LeaseRefused | VersionChanges | PlanSnapshot | VersionUpdate | AuditAcknowledged | CommandReply
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(FleetMessage)


def encode_frame(message: FleetMessage) -> bytes:
    data = _encoder.encode(message)
    if len(data) > MAX_FRAME_BYTES:
        raise WireError(f"message of {len(data)} bytes; at most {MAX_FRAME_BYTES} are allowed")
    return _HEADER.pack(len(data)) + data


class FrameDecoder:
    """Decodes the messages in the byte stream of one direction."""

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
                raise WireError(f"message of {size} bytes; at most {MAX_FRAME_BYTES} are allowed")
            if len(self._data) - position - _HEADER.size < size:
                break
            position += _HEADER.size
            try:
                messages.append(_decoder.decode(bytes(self._data[position : position + size])))
            except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
                raise WireError(f"not a message of the fleet's protocol: {error}") from error
            position += size
        del self._data[:position]
        return messages
