"""Which providers there are, from all sources together."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

import structlog

from bitternpath.balancer import messages as m

log = structlog.get_logger(part="roster")

DISCOVERY = "discovery"  # the source of the platform's own list
MOST_LEFT = 4096  # of those that drain or are gone, so many are remembered
BY_HAND = "hand"  # who takes providers out: staff at this node's console


@dataclass(slots=True, frozen=True)
class Provider:
    """A line of the list."""

    id: str
    host_port: str
    zone: str
    kind: str
    cell: int
    state: m.State
    size: float
    up_since: float  # Unix ms; 0: long ago
    protocol: str = "http"  # which invoker carries calls to it
    source: str = DISCOVERY  # who told of it
    serves: frozenset[str] | None = None  # the classes that it takes; None: all that its kind may
    slots: int = 0  # calls that it takes at once; 0: not told


@dataclass(slots=True, frozen=True)
class Listing:
    """A list or the changes to one, from one source. Only discovery's carry a revision (0: none)."""

    revision: int
    complete: bool
    members: tuple[Provider, ...]
    source: str = DISCOVERY


class Roster:
    """The list in hand: what the sources say, and who is taken out, by hand or by others who may.

    `providers` is what holds: one that is out drains, whatever its source says of it. `tell` hears of every
    change after it has been taken in, `noted` of who takes whom out and back."""

    def __init__(self, known: Listing) -> None:
        self.revision = known.revision
        self.out: dict[str, float] = {}  # taken out, and since when
        self._by: dict[str, set[str]] = {}  # who keeps each of them out
        self._back: dict[str, tuple[float, float]] = {}  # called back: out since, back at
        self._said = {p.id: p for p in known.members}  # by the sources
        self._left: dict[str, float] = {}  # told to drain or to be gone, and the start of which that was told
        self.providers = dict(self._said)
        self.tell: Callable[[Listing], None] = lambda listing: None
        self.noted: Callable[[str, str, bool], None] = lambda id, by, out: None

    # ---- out

    def knows(self, id: str) -> bool:
        """Whether the id is in the list or out by hand."""
        return id in self._said or id in self.out

    def kept_out(self, by: str) -> list[str]:
        """Those that somebody keeps out."""
        return [id for id, whom in self._by.items() if by in whom]

    def take_out(self, id: str, since: float, by: str = BY_HAND) -> None:
        """Nothing new goes there until all who took it out have called it back, whatever is said of it."""
        whom = self._by.setdefault(id, set())
        if by not in whom:
            whom.add(by)
            self.noted(id, by, True)
        if id not in self.out:
            self.out[id] = since
            log.info("taken out", id=id)
            self._changed(id)

    def call_back(self, id: str, now: float, by: str = BY_HAND) -> None:
        """What its source says of it holds again, where nobody else keeps it out."""
        whom = self._by.get(id, set())
        if by not in whom:
            return
        whom.remove(by)
        self.noted(id, by, False)
        if not whom:
            del self._by[id]
            self._back[id] = self.out.pop(id), now
            log.info("called back", id=id)
            self._changed(id)

    def _changed(self, id: str) -> None:
        said = self._said.get(id)
        if said is not None:
            self.providers[id] = self._holds(said)
            self.tell(Listing(0, False, (self.providers[id],)))

    def _holds(self, said: Provider) -> Provider:
        """What holds of a provider. Those who take one out start it anew before they call it back, and its
        source tells of that late: one of which no start since is known may have started at the call back."""
        if said.id in self.out and said.state is m.State.SERVING:
            return replace(said, state=m.State.DRAINING)
        return self._started(said)

    def _started(self, said: Provider) -> Provider:
        """With the start that is assumed of one called back, until its source tells of one."""
        since, at = self._back.get(said.id, (0.0, 0.0))
        return replace(said, up_since=at) if said.up_since < since else said

    # ---- the sources

    def take(self, listing: Listing, anew: bool = False) -> bool:
        """A source speaks of its own providers; those of others are not touched, whatever it says.

        False for changes older than the list in hand, which are passed over, unless they are the answer
        (`anew`) of a discovery that was asked for all it has."""
        if listing.source == DISCOVERY:
            if not (listing.complete or anew) and listing.revision <= self.revision:
                return listing.revision == self.revision or not listing.members
            listing = self._lagging(listing) if listing.revision < self.revision else self._leaving(listing)
            self.revision = listing.revision
        others = [p for p in self._said.values() if p.source != listing.source]
        if others:
            held = {p.id for p in others}
            own = tuple(p for p in listing.members if p.id not in held)
            # To the module a whole list is the whole list: it has to name the others' providers too.
            listing = replace(listing, members=(*own, *others) if listing.complete else own)
        if listing.complete:
            self._said.clear()
            self.providers.clear()
        told = tuple(self._holds(said) for said in listing.members)
        for said, holds in zip(listing.members, told, strict=True):
            if said.state is m.State.GONE:
                self._said.pop(said.id, None)
                self.providers.pop(said.id, None)
            else:
                self._said[said.id], self.providers[said.id] = said, holds
        listing = replace(listing, members=told)
        kv: dict[str, object] = {
            "revision": listing.revision,
            "whole": listing.complete,
            "lines": len(listing.members),
        }
        if listing.source != DISCOVERY:
            kv["source"] = listing.source
        log.info("roster", **kv)
        self.tell(listing)
        return True

    def _leaving(self, listing: Listing) -> Listing:
        """Write down who drains and who is gone."""
        if listing.complete:
            for id in self._said.keys() - {p.id for p in listing.members}:
                self._left[id] = self._said[id].up_since
        for said in listing.members:
            self._left.pop(said.id, None)
            if said.state is not m.State.SERVING:
                self._left[said.id] = said.up_since
        while len(self._left) > MOST_LEFT:
            del self._left[next(iter(self._left))]
        return listing

    def _lagging(self, listing: Listing) -> Listing:
        """A whole list older than the one in hand, from a discovery that lags or counts anew: what was told
        of those that drain or are gone stays told, until they start anew or a newer list has them back."""
        members = (
            replace(said, state=m.State.DRAINING)
            if said.state is m.State.SERVING and said.up_since <= self._left.get(said.id, -1.0)
            else said
            for said in listing.members
        )
        return replace(listing, members=tuple(members))

    def listed(self) -> Listing:
        """What holds by discovery's word, bans apart."""
        members = tuple(self._started(p) for p in self._said.values() if p.source == DISCOVERY)
        return Listing(self.revision, True, members)

    def begin_with(self, listing: Listing) -> None:
        """Begin with another list, before anybody has heard of the first."""
        self.revision = listing.revision
        self._said = {p.id: p for p in listing.members}
        self.providers = {id: self._holds(said) for id, said in self._said.items()}

    def serving(self, provider: str) -> Provider | None:
        """The provider, if it takes new calls."""
        found = self.providers.get(provider)
        return found if found is not None and found.state is m.State.SERVING else None
