"""The endpoint list in force: which endpoints there are, from all sources, and which are ejected."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

import structlog

from bitternpath.balancer import messages as m

log = structlog.get_logger(part="registry")

DISCOVERY = "discovery"  # the source of the platform's own list
MAX_LEAVING_REMEMBERED = 4096  # of those that drain or are gone, so many are remembered
BY_OPERATOR = "hand"  # who takes endpoints out: staff at this node's console


@dataclass(slots=True, frozen=True)
class Endpoint:
    """A line of the list."""

    id: str
    host_port: str
    zone: str
    kind: str
    cell: int
    state: m.WorkerState
    size: float
    up_since: float  # Unix ms; 0: long ago
    protocol: str = "http"  # which upstream client carries calls to it
    source: str = DISCOVERY  # who told of it
    serves: frozenset[str] | None = None  # the classes that it takes; None: all that its kind may
    slots: int = 0  # calls that it takes at once; 0: not told


@dataclass(slots=True, frozen=True)
class Listing:
    """A list or the changes to one, from one source. Only discovery's carry a revision (0: none)."""

    revision: int
    complete: bool
    members: tuple[Endpoint, ...]
    source: str = DISCOVERY


class EndpointRegistry:
    """The endpoint list in force: what the sources report, with ejections by operators and the fleet on top.

    `endpoints` is the list in force: an ejected endpoint counts as draining, whatever its source reports.
    `on_change` is called with every change after it has been applied; `on_ejection_change(id, by, ejected)`
    for every ejection and reinstatement, with the party that asked for it.
    """

    def __init__(self, initial: Listing) -> None:
        self.revision = initial.revision
        self.ejected_since: dict[str, float] = {}  # taken out, and since when
        self._ejected_by: dict[str, set[str]] = {}  # who keeps each of them out
        self._reinstated: dict[str, tuple[float, float]] = {}  # called back: out since, back at
        self._reported = {p.id: p for p in initial.members}  # by the sources
        self._leaving_since: dict[
            str, float
        ] = {}  # draining or gone: the start time that was reported with it
        self.endpoints = dict(self._reported)
        self.on_change: Callable[[Listing], None] = _ignore_listing
        self.on_ejection_change: Callable[[str, str, bool], None] = _ignore_ejection

    # ---- out

    def is_known(self, id: str) -> bool:
        """Whether the id is in the list or out by hand."""
        return id in self._reported or id in self.ejected_since

    def ejected_by(self, by: str) -> list[str]:
        """Those that somebody keeps out."""
        return [id for id, sources in self._ejected_by.items() if by in sources]

    def eject(self, id: str, since: float, by: str = BY_OPERATOR) -> None:
        """Nothing new goes there until all who took it out have called it back, whatever is said of it."""
        sources = self._ejected_by.setdefault(id, set())
        if by not in sources:
            sources.add(by)
            self.on_ejection_change(id, by, True)
        if id not in self.ejected_since:
            self.ejected_since[id] = since
            log.info("endpoint_ejected", id=id)
            self._notify(id)

    def reinstate(self, id: str, now: float, by: str = BY_OPERATOR) -> None:
        """What its source says of it holds again, where nobody else keeps it out."""
        sources = self._ejected_by.get(id, set())
        if by not in sources:
            return
        sources.remove(by)
        self.on_ejection_change(id, by, False)
        if not sources:
            del self._ejected_by[id]
            self._reinstated[id] = self.ejected_since.pop(id), now
            log.info("endpoint_reinstated", id=id)
            self._notify(id)

    def _notify(self, id: str) -> None:
        reported = self._reported.get(id)
        if reported is not None:
            self.endpoints[id] = self._effective(reported)
            self.on_change(Listing(0, False, (self.endpoints[id],)))

    def _effective(self, reported: Endpoint) -> Endpoint:
        """What holds of an endpoint. Those who take one out start it anew before they call it back, and its
        source tells of that late: one of which no start since is known may have started at the call back.
        """
        if reported.id in self.ejected_since and reported.state is m.WorkerState.SERVING:
            return replace(reported, state=m.WorkerState.DRAINING)
        return self._with_assumed_start(reported)

    def _with_assumed_start(self, reported: Endpoint) -> Endpoint:
        """With the start that is assumed of one called back, until its source tells of one."""
        ejected_at, reinstated_at = self._reinstated.get(reported.id, (0.0, 0.0))
        return replace(reported, up_since=reinstated_at) if reported.up_since < ejected_at else reported

    # ---- the sources

    def apply(self, listing: Listing, full_resync: bool = False) -> bool:
        """A source speaks of its own endpoints; those of others are not touched, whatever it says.

        False for changes older than the list in hand, which are passed over, unless they are the answer
        (`full_resync`) of a discovery that was asked for all it has.
        """
        if listing.source == DISCOVERY:
            if not (listing.complete or full_resync) and listing.revision <= self.revision:
                return listing.revision == self.revision or not listing.members
            if listing.revision < self.revision:
                listing = self._keep_leaving(listing)
            else:
                self._record_leaving(listing)
            self.revision = listing.revision
        others = [p for p in self._reported.values() if p.source != listing.source]
        if others:
            other_ids = {p.id for p in others}
            own = tuple(p for p in listing.members if p.id not in other_ids)
            # To the module a whole list is the whole list: it has to name the others' endpoints too.
            listing = replace(listing, members=(*own, *others) if listing.complete else own)
        if listing.complete:
            self._reported.clear()
            self.endpoints.clear()
        members = tuple(self._effective(reported) for reported in listing.members)
        for reported, effective in zip(listing.members, members, strict=True):
            if reported.state is m.WorkerState.GONE:
                self._reported.pop(reported.id, None)
                self.endpoints.pop(reported.id, None)
            else:
                self._reported[reported.id], self.endpoints[reported.id] = reported, effective
        listing = replace(listing, members=members)
        fields: dict[str, object] = {
            "revision": listing.revision,
            "complete": listing.complete,
            "endpoints": len(listing.members),
        }
        if listing.source != DISCOVERY:
            fields["source"] = listing.source
        log.info("endpoint_list_applied", **fields)
        self.on_change(listing)
        return True

    def _record_leaving(self, listing: Listing) -> None:
        """Write down who drains and who is gone."""
        if listing.complete:
            for id in self._reported.keys() - {p.id for p in listing.members}:
                self._leaving_since[id] = self._reported[id].up_since
        for reported in listing.members:
            self._leaving_since.pop(reported.id, None)
            if reported.state is not m.WorkerState.SERVING:
                self._leaving_since[reported.id] = reported.up_since
        while len(self._leaving_since) > MAX_LEAVING_REMEMBERED:
            del self._leaving_since[next(iter(self._leaving_since))]

    def _keep_leaving(self, listing: Listing) -> Listing:
        """A whole list older than the one in hand, from a discovery that lags or counts anew: what was told
        of those that drain or are gone stays told, until they start anew or a newer list has them back.
        """
        members = (
            replace(reported, state=m.WorkerState.DRAINING)
            if reported.state is m.WorkerState.SERVING
            and reported.up_since <= self._leaving_since.get(reported.id, -1.0)
            else reported
            for reported in listing.members
        )
        return replace(listing, members=tuple(members))

    def discovery_listing(self) -> Listing:
        """What holds by discovery's word, bans apart."""
        members = tuple(self._with_assumed_start(p) for p in self._reported.values() if p.source == DISCOVERY)
        return Listing(self.revision, True, members)

    def set_initial(self, listing: Listing) -> None:
        """Begin with another list, before anybody has heard of the first."""
        self.revision = listing.revision
        self._reported = {p.id: p for p in listing.members}
        self.endpoints = {id: self._effective(reported) for id, reported in self._reported.items()}

    def serving(self, endpoint: str) -> Endpoint | None:
        """The endpoint, if it takes new calls."""
        found = self.endpoints.get(endpoint)
        return found if found is not None and found.state is m.WorkerState.SERVING else None


def _ignore_listing(_listing: Listing) -> None:
    """Nobody follows the list."""


def _ignore_ejection(_id: str, _by: str, _ejected: bool) -> None:
    """Nobody follows the ejections."""
