"""All records that nodes exchange: the sets that number them on the wire.

The order in `RECORDS` determines the numbers on the wire, so new records are added at its end. Requests carry
a `number` that their response repeats; numbers are chosen by the sender and increase on a connection. Epochs
are the terms of a replica group: a higher epoch belongs to a later owner (fencing token).
"""

from __future__ import annotations

from typing import get_args

from bitternpath.transport.codec import RecordSet
from bitternpath.transport.feed_messages import (
    CatalogueUpdate,
    FeedRefused,
    FeedSubscribe,
    FeedUpdate,
)
from bitternpath.transport.group_messages import (
    BootstrapDecision,
    BootstrapDecisionStored,
    GroupMessage,
    MembershipReport,
    MembershipRequest,
)
from bitternpath.transport.node_messages import (
    Hello,
    Ping,
    Pong,
    ShuffleRequest,
    ShuffleResponse,
)
from bitternpath.transport.operator_messages import (
    EventCountsRequest,
    EventCountsResponse,
    OperatorRequest,
    OperatorResponse,
    StatusRequest,
    StatusResponse,
)
from bitternpath.transport.quota_messages import TokenRequest, TokenResponse
from bitternpath.transport.shard_messages import (
    AppendRequest,
    AppendResponse,
    CallbackReport,
    CallbackRequest,
    EndAttemptRequest,
    EndAttemptResponse,
    ExtendRequest,
    LeaseGrant,
    Ownership,
    PullCancel,
    PullRequest,
    PullResponse,
    Refused,
    RequestOutcomeUnknown,
    StateRequest,
    StateResponse,
    WorkAvailable,
)

# All records that a link carries; the position of a class is its number on the wire.
Record = (
    Hello
    | Ping
    | Pong
    | ShuffleRequest
    | ShuffleResponse
    | GroupMessage
    | BootstrapDecision
    | BootstrapDecisionStored
    | FeedSubscribe
    | FeedUpdate
    | FeedRefused
    | CatalogueUpdate
    | OperatorRequest
    | OperatorResponse
    | Ownership
    | Refused
    | RequestOutcomeUnknown
    | AppendRequest
    | AppendResponse
    | LeaseGrant
    | EndAttemptRequest
    | EndAttemptResponse
    | CallbackRequest
    | CallbackReport
    | StateRequest
    | StateResponse
    | PullRequest
    | PullCancel
    | PullResponse
    | ExtendRequest
    | WorkAvailable
    | StatusRequest
    | StatusResponse
    | MembershipReport
    | MembershipRequest
    | TokenRequest
    | TokenResponse
    | EventCountsRequest
    | EventCountsResponse
)
RECORDS = RecordSet(*get_args(Record))

# Records that a `Link` matches with the request of the same `number`.
Response = (
    OperatorResponse
    | Refused
    | RequestOutcomeUnknown
    | AppendResponse
    | EndAttemptResponse
    | StateResponse
    | PullResponse
    | StatusResponse
    | TokenResponse
    | EventCountsResponse
)
RESPONSE_RECORDS: frozenset[type] = frozenset(get_args(Response))
