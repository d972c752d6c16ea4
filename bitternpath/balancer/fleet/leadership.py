"""What a leader of the fleet's record keeps for one term, beyond the record itself."""

from __future__ import annotations

from msgspec import Struct

from bitternpath.balancer.fleet import messages as m

Route = tuple[str, int]  # the member whose connection it is, and its number there


class HolderState:
    """What the leader knows of the holder of a lease."""

    __slots__ = (
        "applied_version", "behind_since", "digest", "end_proposed", "expires_at", "last_heard_at",
        "last_sent_at", "rejection", "route", "validated_version",
    )  # fmt: skip

    def __init__(self, expires_at: float) -> None:
        self.expires_at = expires_at  # its lease may hold until then
        self.last_heard_at = 0.0
        self.last_sent_at = float("-inf")  # by the holder's clock, of the last request heard
        self.applied_version = self.validated_version = -1  # not told yet
        self.digest = b""
        self.rejection = ""
        self.route: Route | None = None
        self.behind_since: float | None = None
        self.end_proposed = False  # its end is in the log

    def update(self, now: float, route: Route, request: m.RenewLease) -> None:
        """A request of the holder has come."""
        self.last_heard_at, self.route, self.last_sent_at = now, route, request.sent
        self.applied_version, self.validated_version = request.applied_version, request.validated_version
        self.digest, self.rejection = request.digest, request.rejection


class PendingRequest(Struct):
    """A request that waits for a round, or for an entry to be committed."""

    awaited: int  # the round, or the entry's index
    received_at: float  # by the leader's clock, s
    route: Route
    request: m.RenewLease | m.AuditEntries | m.CommandRequest


class Leadership:
    """One term in which this member leads."""

    def __init__(self, term: int, elected_at: float) -> None:
        self.term, self.elected_at = term, elected_at
        self.holders: dict[str, HolderState] = {}  # by process
        self.awaiting_round: list[PendingRequest] = []
        self.awaiting_entry: dict[int, PendingRequest] = {}  # by index
        self.proposed_starts: dict[str, int] = {}  # process: the index of its entry
        self.release_index = 0  # of a release that is not committed yet
        self.ready = False  # the record is that of the leaders before

    def half_reject(self) -> bool:
        """Where half of the holders refuse a change, it is the change that is wrong."""
        rejecting = sum(bool(holder.rejection) for holder in self.holders.values())
        return 2 * rejecting >= len(self.holders)
