"""The current endpoint list: the endpoints reported by all sources, and which of them are ejected."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

import structlog

from bitternpath.balancer import messages as m

log = structlog.get_logger(part="registry")

DISCOVERY = "discovery"  # the source name of the platform's own list
MAX_LEAVING_REMEMBERED = 4096  # endpoints that drain or are gone
BY_OPERATOR = "hand"  # the ejecting party: operators at this node's console


@dataclass(slots=True, frozen=True)
class Endpoint:
    """An entry of the list."""

    id: str
    host_port: str
    zone: str
    kind: str
    cell: int
    state: m.WorkerState
    size: float
    up_since: float  # Unix ms; 0: unknown, long ago
    protocol: str = "http"  # selects the upstream client for calls to it
    source: str = DISCOVERY  # the source that reported it
    serves: frozenset[str] | None = None  # the classes that it runs; None: all that its kind runs
    slots: int = 0  # calls that it runs at the same time; 0: not stated


@dataclass(slots=True, frozen=True)
class Listing:
    """A list or changes to one, from one source. Only lists of discovery have a revision (0: none)."""

    revision: int
    complete: bool
    members: tuple[Endpoint, ...]
    source: str = DISCOVERY


class EndpointRegistry:
    """The endpoints that the sources report, overridden by ejections of operators and the fleet.

    `endpoints` is the resulting list: an ejected endpoint counts as draining, whatever its source reports.
    `on_change` is called after each change; `on_ejection_change(id, by, ejected)` for each ejection and
    reinstatement, with the party that asked for it.
    """

    def __init__(self, initial: Listing) -> None:
        self.revision = initial.revision
        self.ejected_since: dict[str, float] = {}  # by endpoint, when it was first ejected
        self._ejected_by: dict[str, set[str]] = {}  # by endpoint, the parties that eject it
        self._reinstated: dict[str, tuple[float, float]] = {}  # by endpoint, when ejected and when reinstated
        self._reported = {endpoint.id: endpoint for endpoint in initial.members}  # by the sources
        # Endpoints that drain or are gone, by id, with the start time reported then.
        self._leaving_since: dict[str, float] = {}
        self.endpoints = dict(self._reported)
        self.on_change: Callable[[Listing], None] = _ignore_listing
        self.on_ejection_change: Callable[[str, str, bool], None] = _ignore_ejection

    # ---- ejections

    def is_known(self, id: str) -> bool:
        """Whether the endpoint is listed or ejected."""
        return id in self._reported or id in self.ejected_since

    def ejected_by(self, by: str) -> list[str]:
        """The endpoints that a party has ejected."""
        return [id for id, parties in self._ejected_by.items() if by in parties]

    def eject(self, id: str, since: float, by: str = BY_OPERATOR) -> None:
        """Send no new calls to an endpoint until every party that ejected it has reinstated it."""
        parties = self._ejected_by.setdefault(id, set())
        if by not in parties:
            parties.add(by)
            self.on_ejection_change(id, by, True)
        if id not in self.ejected_since:
            self.ejected_since[id] = since
            log.info("endpoint_ejected", id=id)
            self._notify(id)

    def reinstate(self, id: str, now: float, by: str = BY_OPERATOR) -> None:
        """Return an endpoint to the state its source reports, unless another party still ejects it."""
        parties = self._ejected_by.get(id, set())
        if by not in parties:
            return
        parties.remove(by)
        self.on_ejection_change(id, by, False)
        if not parties:
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
        """The entry in force for a reported one: draining if it is ejected."""
        if reported.id in self.ejected_since and reported.state is m.WorkerState.SERVING:
            return replace(reported, state=m.WorkerState.DRAINING)
        return self._with_assumed_start(reported)

    def _with_assumed_start(self, reported: Endpoint) -> Endpoint:
        """The entry of a reinstated endpoint with its assumed start time.

        Operators restart an endpoint before they reinstate it, and its source reports the new start late.
        Until then it is assumed to have started when it was reinstated.
        """
        ejected_at, reinstated_at = self._reinstated.get(reported.id, (0.0, 0.0))
        return replace(reported, up_since=reinstated_at) if reported.up_since < ejected_at else reported

    # ---- sources

    def apply(self, listing: Listing, full_resync: bool = False) -> bool:
        """Apply a list or changes from a source; endpoints of other sources stay as they are.

        Changes of discovery that are older than the current revision are ignored and return False, unless
        they answer a request for a complete list (`full_resync`).
        """
        if listing.source == DISCOVERY:
            if not (listing.complete or full_resync) and listing.revision <= self.revision:
                return listing.revision == self.revision or not listing.members
            if listing.revision < self.revision:
                listing = self._keep_leaving(listing)
            else:
                self._record_leaving(listing)
            self.revision = listing.revision
        others = [endpoint for endpoint in self._reported.values() if endpoint.source != listing.source]
        if others:
            other_ids = {endpoint.id for endpoint in others}
            own = tuple(endpoint for endpoint in listing.members if endpoint.id not in other_ids)
            # A complete list for the module has to include the endpoints of other sources.
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
        """Record which endpoints drain and which are gone."""
        if listing.complete:
            for id in self._reported.keys() - {endpoint.id for endpoint in listing.members}:
                self._leaving_since[id] = self._reported[id].up_since
        for reported in listing.members:
            self._leaving_since.pop(reported.id, None)
            if reported.state is not m.WorkerState.SERVING:
                self._leaving_since[reported.id] = reported.up_since
        while len(self._leaving_since) > MAX_LEAVING_REMEMBERED:
            del self._leaving_since[next(iter(self._leaving_since))]

    def _keep_leaving(self, listing: Listing) -> Listing:
        """A list older than the current revision, with endpoints known to be leaving set to draining.

        Discovery may lag behind or have restarted its numbering. Endpoints that drain or are gone stay so
        until they restart, or until a newer list has them in service.
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
        """The list as discovery reports it, without ejections."""
        members = tuple(
            self._with_assumed_start(endpoint)
            for endpoint in self._reported.values()
            if endpoint.source == DISCOVERY
        )
        return Listing(self.revision, True, members)

    def set_initial(self, listing: Listing) -> None:
        """Replace the initial list, before any listener has been called."""
        self.revision = listing.revision
        self._reported = {endpoint.id: endpoint for endpoint in listing.members}
        self.endpoints = {id: self._effective(reported) for id, reported in self._reported.items()}

    def serving(self, endpoint: str) -> Endpoint | None:
        """Return an endpoint if it accepts new calls."""
        found = self.endpoints.get(endpoint)
        return found if found is not None and found.state is m.WorkerState.SERVING else None


def _ignore_listing(_listing: Listing) -> None:
    """Default of `on_change`."""


def _ignore_ejection(_id: str, _by: str, _ejected: bool) -> None:
    """Default of `on_ejection_change`."""
