"""The leader's volatile state for one term, in addition to the replicated record."""

from __future__ import annotations

from msgspec import Struct

from bitternpath.balancer.fleet import messages as m

Route = tuple[str, int]  # the member that has the client's connection, and the connection's token there


class HolderState:
    """What the leader knows about a lease holder."""

    __slots__ = (
        "applied_version", "behind_since", "digest", "end_proposed", "expires_at", "last_heard_at",
        "last_sent_at", "rejection", "route", "validated_version",
    )  # fmt: skip

    def __init__(self, expires_at: float) -> None:
        self.expires_at = expires_at  # until then the holder may consider its lease valid
        self.last_heard_at = 0.0
        self.last_sent_at = float("-inf")  # of the last request, on the holder's clock
        self.applied_version = self.validated_version = -1  # not reported yet
        self.digest = b""
        self.rejection = ""
        self.route: Route | None = None
        self.behind_since: float | None = None
        self.end_proposed = False  # the end of its lease is in the log, maybe not committed yet

    def update(self, now: float, route: Route, request: m.RenewLease) -> None:
        """Take over what the holder reports in its request."""
        self.last_heard_at, self.route, self.last_sent_at = now, route, request.sent
        self.applied_version, self.validated_version = request.applied_version, request.validated_version
        self.digest, self.rejection = request.digest, request.rejection


class PendingRequest(Struct):
    """A request that waits for a heartbeat round, or for an entry to be committed."""

    awaited: int  # number of the round, or index of the entry
    received_at: float  # s, on the leader's clock
    route: Route
    request: m.RenewLease | m.AuditEntries | m.CommandRequest


class Leadership:
    """A term in which this member is the leader."""

    def __init__(self, term: int, elected_at: float) -> None:
        self.term, self.elected_at = term, elected_at
        self.holders: dict[str, HolderState] = {}  # by process (node#boot)
        self.awaiting_round: list[PendingRequest] = []
        self.awaiting_entry: dict[int, PendingRequest] = {}  # by index
        self.proposed_starts: dict[str, int] = {}  # process: index of its proposed LeaseStarted
        self.release_index = 0  # index of the last proposed release
        self.ready = False  # all entries of earlier leaders are applied

    def half_reject(self) -> bool:
        """Whether half of the holders reject a change: then the change is wrong, not the holders."""
        rejecting = sum(bool(holder.rejection) for holder in self.holders.values())
        return 2 * rejecting >= len(self.holders)
