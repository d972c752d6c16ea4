"""Which providers there are, from all sources together."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

import structlog

from bitternpath import messages as m

log = structlog.get_logger(part="roster")

DISCOVERY = "discovery"  # the source of the platform's own list


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
    """The list in hand. `tell` hears of every change after it has been taken in."""

    def __init__(self, known: Listing) -> None:
        self.revision = known.revision
        self.providers = {p.id: p for p in known.members}
        self.tell: Callable[[Listing], None] = lambda listing: None

    def take(self, listing: Listing) -> None:
        """A source speaks of its own providers; those of others are not touched, whatever it says."""
        if listing.source == DISCOVERY:
            if not listing.complete and listing.revision <= self.revision:
                return  # an old line that came again
            self.revision = listing.revision
        others = [p for p in self.providers.values() if p.source != listing.source]
        if others:
            held = {p.id for p in others}
            own = tuple(p for p in listing.members if p.id not in held)
            # To the module a whole list is the whole list: it has to name the others' providers too.
            listing = replace(listing, members=(*own, *others) if listing.complete else own)
        if listing.complete:
            self.providers.clear()
        for provider in listing.members:
            if provider.state is m.State.GONE:
                self.providers.pop(provider.id, None)
            else:
                self.providers[provider.id] = provider
        kv: dict[str, object] = {
            "revision": listing.revision,
            "whole": listing.complete,
            "lines": len(listing.members),
        }
        if listing.source != DISCOVERY:
            kv["source"] = listing.source
        log.info("roster", **kv)
        self.tell(listing)

    def listed(self) -> Listing:
        """Discovery's list in hand."""
        members = tuple(p for p in self.providers.values() if p.source == DISCOVERY)
        return Listing(self.revision, True, members)

    def replace(self, listing: Listing) -> None:
        """Begin with another list, before anybody has heard of the first."""
        self.revision = listing.revision
        self.providers = {p.id: p for p in listing.members}

    def serving(self, provider: str) -> Provider | None:
        """The provider, if it takes new calls."""
        found = self.providers.get(provider)
        return found if found is not None and found.state is m.State.SERVING else None
