"""Records that nodes send one another. The order in `RECORDS` is the wire's numbering.

Requests carry a `number` that their answer brings back; numbers are the sender's own and rise on a
connection.
Epochs are the terms of a replica group: a higher one is a later owner (fencing token).
"""

from __future__ import annotations

from enum import IntEnum

from msgspec import Struct

from bitternpath.transport.codec import RecordSet
from bitternpath.transport.records import AttemptOutcome, Message, MessageState


class NodeKind(IntEnum):
    """What a process of the system does."""

    EDGE = 0
    STORAGE = 1
    TOOL = 2  # an operator's command: asks, and takes no part


class NodeDescriptor(Struct, frozen=True):
    """What nodes tell one another of a node. (`life`, `beat`) orders what is told of one name."""

    name: str
    address: str  # ip:port of its internal listener
    kind: NodeKind
    zone: str
    counted: bool  # it has a disk and counts for the fault tolerance
    disk: str  # identity of its disk, drawn when the disk was empty; "" without one
    life: int  # milliseconds of the time of day at which its process started
    beat: int  # rises while it lives
    leaving: bool = False  # it is shutting down


class Hello(Struct, frozen=True):
    """First on each connection, from both ends."""

    node: NodeDescriptor


class Ping(Struct, frozen=True):
    """Keeps a connection's silence apart from its end."""

    number: int


class Pong(Struct, frozen=True):
    """Answer to `Ping`."""

    number: int


class ShuffleRequest(Struct, frozen=True):
    """Part of the sender's view of the system; wants part of the receiver's."""

    sender: NodeDescriptor
    nodes: tuple[NodeDescriptor, ...]


class ShuffleReply(Struct, frozen=True):
    """Part of the answering node's view."""

    sender: NodeDescriptor
    nodes: tuple[NodeDescriptor, ...]


# ---- replica groups


class GroupMessage(Struct, frozen=True):
    """A consensus message of one replica group. Its sender and receiver are the members on the disks that the
    link's two ends have named in their greetings."""

    group: str
    body: bytes  # replication.wire


class MemberAddress(Struct, frozen=True):
    """Where a member of a replica group is."""

    member: str
    node: str
    address: str
    zone: str


class GroupPlacement(Struct, frozen=True):
    """A replica group with its desired members; `generation` rises with each change."""

    group: str
    generation: int
    members: tuple[MemberAddress, ...]


class Founding(Struct, frozen=True):
    """The first members of the configuration's replica group, decided once in the life of a system."""

    system: str  # identity of the system, drawn when it was founded
    group: GroupPlacement


class FoundingAnswer(Struct, frozen=True):
    """A founder has it on its disk."""

    member: str


# ---- configuration feed and catalogue


class FeedSubscribe(Struct, frozen=True):
    """Wants the feed from these offsets on; -1: from a snapshot."""

    configuration_version: int
    placement_generation: int
    wants_catalogue: bool


class FeedUpdate(Struct, frozen=True):
    """What changed since the subscriber's offsets; also sent unchanged as a heartbeat.

    `configuration` is the whole document where it changed, packed (`configuration.feed`). `epoch` is the
    sender's term.
    """

    epoch: int
    configuration_version: int
    configuration: bytes | None
    placement_generation: int
    placement: tuple[GroupPlacement, ...] | None
    edge_nodes: int  # how many edge nodes there are, as far as known; for shares of common limits


class FeedRefused(Struct, frozen=True):
    """The asked node does not lead the configuration group."""

    leader_address: str  # "" where it isn't known
    members: tuple[MemberAddress, ...]


class CatalogueEntry(Struct, frozen=True):
    """A worker of the platform's list."""

    instance: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    cold: bool  # started a moment ago, slow still


class CatalogueUpdate(Struct, frozen=True):
    """The platform's list as last read. `age_ms`: since that reading began. `entries` None: as before."""

    epoch: int
    serial: int  # rises with each change of the entries, within an epoch
    age_ms: int
    entries: tuple[CatalogueEntry, ...] | None


class GroupReport(Struct, frozen=True):
    """A shard's owner tells who the shard's members are, as committed: to the configuration's owner, and to a
    replica that asks."""

    group: str
    epoch: int
    members: tuple[str, ...]  # voters and learners
    generation: int  # of the placement that the members follow


class MembersRequest(Struct, frozen=True):
    """A replica that the placement doesn't name asks the group's owner for a `GroupReport`."""

    group: str


class OperatorOrder(Struct, frozen=True):
    """A call of the operator, forwarded to the configuration's owner."""

    number: int
    method: str
    path: str
    if_match: str  # "" where there is none
    body: bytes


class OperatorAnswer(Struct, frozen=True):
    """Its answer, as it goes to the operator. `decided`: False where another node should be asked."""

    number: int
    decided: bool
    status: int
    body: bytes


# ---- queue shards: edge node to owner and back


class Ownership(Struct, frozen=True):
    """A storage node owns a shard, or no longer does."""

    group: str
    epoch: int
    owns: bool


class RefusalReason(IntEnum):
    """Why a request did nothing at all."""

    NOT_OWNER = 0
    FULL = 1  # of disk or memory
    NOT_READY = 2


class Refused(Struct, frozen=True):
    """The request did nothing, and never will."""

    number: int
    reason: RefusalReason


class Undecided(Struct, frozen=True):
    """The request may or may not have been done: the owner lost its shard meanwhile."""

    number: int


class AppendRequest(Struct, frozen=True):
    """Keep this message; done once where the same request id comes again."""

    number: int
    group: str
    message: Message


class Appended(Struct, frozen=True):
    """f+1 replicas have it on disk."""

    number: int


class Delivery(Struct, frozen=True):
    """A lease on a message for the receiving edge node. `message.body` is empty where `body_omitted`."""

    group: str
    lease_id: str
    duration_ms: int
    attempts: int  # failed ones before
    body_omitted: bool
    message: Message


class EndRequest(Struct, frozen=True):
    """How a delivery under a lease ended."""

    number: int
    group: str
    request_id: str
    lease_id: str
    outcome: AttemptOutcome
    stamp: str
    retry_after_ms: int


class Ended(Struct, frozen=True):
    """`taken`: the lease was the current one, or this very end was taken before."""

    number: int
    taken: bool


class CallbackOrder(Struct, frozen=True):
    """The receiving edge node is to tell the client's URL that the message has ended."""

    group: str
    request_id: str
    url: str
    state: MessageState
    stamp: str


class CallbackReport(Struct, frozen=True):
    """How that went."""

    group: str
    request_id: str
    taken: bool


class StateRequest(Struct, frozen=True):
    """Asks for a message's state, and its body."""

    number: int
    group: str
    request_id: str
    wants_body: bool


class StateAnswer(Struct, frozen=True):
    """`known` False: the shard has never had it, or has forgotten it."""

    number: int
    known: bool
    state: MessageState
    stamp: str
    body: bytes | None


class PullRequest(Struct, frozen=True):
    """A worker waits for a job of `service` at this node, for so long."""

    number: int
    group: str
    service: str
    instance: str
    wait_ms: int


class PullCancel(Struct, frozen=True):
    """The worker waits no more; a job on its way comes back as not run."""

    number: int
    group: str


class PullAnswer(Struct, frozen=True):
    """A job under a lease, or None: nothing came in time."""

    number: int
    lease_id: str
    message: Message | None


class JobsWaiting(Struct, frozen=True):
    """So many jobs of a service wait at a shard, and no worker does. `nodes`: edge nodes that are told."""

    group: str
    service: str
    waiting: int
    nodes: int


class ExtendRequest(Struct, frozen=True):
    """The worker holds a pulled job still."""

    number: int
    group: str
    request_id: str
    lease_id: str


# ---- what operators are shown


class GroupStatus(Struct, frozen=True):
    """A replica group as one of its members sees it."""

    group: str
    epoch: int
    owns: bool
    owner: str  # member id; "" where it isn't known
    voters: tuple[str, ...]
    learners: tuple[str, ...]
    queued: int  # messages that haven't ended, by the replica's state; 0 for the configuration group
    dead_letters: int
    ended: int  # tombstones, dead letters among them


class StatusRequest(Struct, frozen=True):
    """Asks a node for its status."""

    number: int


class StatusAnswer(Struct, frozen=True):
    """What a node says of itself. Memory is the peak, in MB."""

    number: int
    node: NodeDescriptor
    configuration_version: int
    placement_generation: int
    ready: bool
    memory_mb: float
    groups: tuple[GroupStatus, ...]
    known: tuple[NodeDescriptor, ...]  # its view of the system


class TokenRequest(Struct, frozen=True):
    """A shard wants tokens of a service whose home is `group`."""

    number: int
    group: str
    service: str
    wanted: int


class TokenAnswer(Struct, frozen=True):
    """How many it gets; they lapse `ceilings.LOAN_S` after the request went out."""

    number: int
    tokens: int


RECORDS = RecordSet(
    Hello,
    Ping,
    Pong,
    ShuffleRequest,
    ShuffleReply,
    GroupMessage,
    Founding,
    FoundingAnswer,
    FeedSubscribe,
    FeedUpdate,
    FeedRefused,
    CatalogueUpdate,
    OperatorOrder,
    OperatorAnswer,
    Ownership,
    Refused,
    Undecided,
    AppendRequest,
    Appended,
    Delivery,
    EndRequest,
    Ended,
    CallbackOrder,
    CallbackReport,
    StateRequest,
    StateAnswer,
    PullRequest,
    PullCancel,
    PullAnswer,
    ExtendRequest,
    JobsWaiting,
    StatusRequest,
    StatusAnswer,
    GroupReport,
    MembersRequest,
    TokenRequest,
    TokenAnswer,
)

ANSWER_RECORDS = (
    OperatorAnswer,
    Refused,
    Undecided,
    Appended,
    Ended,
    StateAnswer,
    PullAnswer,
    StatusAnswer,
    TokenAnswer,
)
