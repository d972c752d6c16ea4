"""What a leader of the fleet's record keeps for one term, beyond the record itself."""

from __future__ import annotations

from msgspec import Struct

from bitternpath.balancer.fleet import messages as m

Route = tuple[str, int]  # the member whose connection it is, and its number there


class HolderState:
    """What the leader knows of the holder of a lease."""

    __slots__ = (
        "acting", "behind_since", "digest", "ending", "have", "heard", "refuses", "route", "sent", "until",
    )  # fmt: skip

    def __init__(self, until: float) -> None:
        self.until = until  # its lease may hold until then
        self.heard = 0.0
        self.sent = float("-inf")  # by the holder's clock, of the last request heard
        self.acting = self.have = -1  # not told yet
        self.digest = b""
        self.refuses = ""
        self.route: Route | None = None
        self.behind_since: float | None = None
        self.ending = False  # its end is in the log

    def update(self, now: float, route: Route, renew: m.RenewLease) -> None:
        """A request of the holder has come."""
        self.heard, self.route, self.sent = now, route, renew.sent
        self.acting, self.have = renew.acting, renew.have
        self.digest, self.refuses = renew.digest, renew.refuses


class PendingRequest(Struct):
    """A request that waits for a round, or for an entry to be committed."""

    awaited: int  # the round, or the entry's index
    received: float  # by the leader's clock, s
    route: Route
    request: m.RenewLease | m.AuditLines | m.CommandRequest


class Leadership:
    """One term in which this member leads."""

    def __init__(self, term: int, since: float) -> None:
        self.term, self.since = term, since
        self.holders: dict[str, HolderState] = {}  # by process
        self.awaiting_round: list[PendingRequest] = []
        self.awaiting_entry: dict[int, PendingRequest] = {}  # by index
        self.joining: dict[str, int] = {}  # process: the index of its entry
        self.release_index = 0  # of a release that is not committed yet
        self.ready = False  # the record is that of the leaders before

    def half_refuse(self) -> bool:
        """Where half of the holders refuse a change, it is the change that is wrong."""
        refusing = sum(bool(holder.refuses) for holder in self.holders.values())
        return 2 * refusing >= len(self.holders)
