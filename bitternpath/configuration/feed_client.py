"""The feed by which all nodes follow the configuration group: a snapshot, then what changes.

The group's owner serves it (`FeedServer`); each node follows it (`FeedClient`). Offsets are the version of
the document and the generation of the placement. Updates are also sent unchanged as heartbeats, but only
while the owner has heard a majority lately: a follower that hears none looks for another owner, and so leaves
one that is cut off and can't know of its successor. Offsets never go back in a process's life, and an update
of an older epoch is passed over.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, Protocol

import logbook

from bitternpath.configuration.feed_documents import unpack_document
from bitternpath.configuration.routing_table import RoutingTable
from bitternpath.configuration.validation import parse_configuration
from bitternpath.transport.feed_messages import CatalogueUpdate, FeedRefused, FeedSubscribe, FeedUpdate
from bitternpath.transport.group_messages import GroupPlacement, MemberAddress
from bitternpath.transport.hub import NodeHub
from bitternpath.transport.links import ASK_SOON_AFTER_S, Link

log = logbook.Logger("feed")
SILENCE_S = 1.3  # three heartbeats
LOOK_S = 0.15  # how often a follower without an owner looks on
REFUSED_PAUSE_S = 0.03  # before the next one is asked: soon, but not in a loop
ATTEMPT_S = 0.45  # so long one candidate is asked alone: a connection and an answer, far away
MOST_ASKED = 3  # candidates at once: those that say nothing hold nobody up
HINT_AGAIN_S = 0.3  # a node that was asked so lately isn't asked again because another one names it
FEED_USER = "feed"


class FeedListener(Protocol):
    """Who hears what the feed brings."""

    def configuration_changed(self, table: RoutingTable) -> None:
        """Another version is in force."""

    def placement_changed(self, generation: int, groups: tuple[GroupPlacement, ...]) -> None:
        """Shards have other members."""

    def catalogue_updated(self, update: CatalogueUpdate) -> None:
        """The platform's list, as the owner has read it."""


class FeedClient:
    """Follows the feed: finds the owner, subscribes, and looks on when it falls silent.

    A search asks one candidate after the other, those that say nothing beside the next ones; whichever sends
    an update first is followed. The owner followed before stays one of those asked, as it may have been
    silent for a moment only.
    """

    def __init__(
        self,
        reactor: Any,
        hub: NodeHub,
        listener: FeedListener,
        candidates: Callable[[], list[str]],
        wants_catalogue: bool,
    ) -> None:
        self.reactor, self.hub, self.listener = reactor, hub, listener
        self._candidates, self._wants_catalogue = candidates, wants_catalogue
        self.table: RoutingTable | None = None
        self.document: dict[str, Any] = {}
        self.placement_generation = 0
        self.groups: tuple[GroupPlacement, ...] = ()
        self.members: tuple[MemberAddress, ...] = ()
        self.edge_node_count = 1
        self.heard_at = float("-inf")
        self.epoch = 0
        self._address = ""
        self._link: Link | None = None  # followed, while its owner is
        self._asked: dict[str, Link | None] = {}  # by address: where it has been subscribed, if anywhere
        self._tried: dict[str, float] = {}  # in this search, and when
        self._asked_at = float("-inf")
        self._timer: Any = None

    @property
    def version(self) -> int:
        """Of the configuration in force here; 0 before the first."""
        return self.table.version if self.table else 0

    @property
    def owner_address(self) -> str:
        """The address that the feed is followed from, or was looked for at last."""
        return self._address

    def owner_link(self) -> Link | None:
        """The link to the owner, while the feed is alive."""
        return self._link if self._alive() else None

    def _alive(self) -> bool:
        heard = self.reactor.seconds() - self.heard_at < SILENCE_S
        return heard and self._link is not None and self._link.open

    def start(self) -> None:
        """Begin to look for the owner."""
        self._look()

    def stop(self) -> None:
        """Follow no more."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def updated(self, link: Link, update: FeedUpdate) -> None:
        """An owner's word."""
        if update.epoch < self.epoch or not self._follow(link):
            return
        self.epoch = update.epoch
        self.heard_at = self.reactor.seconds()
        self._end_search()
        self.edge_node_count = update.edge_node_count
        self._take(update)

    def restore(self, update: FeedUpdate) -> None:
        """Begin from what an earlier process of this node had heard."""
        self._take(update)

    def _take(self, update: FeedUpdate) -> None:
        if update.placement is not None and update.placement_generation > self.placement_generation:
            self.placement_generation, self.groups = update.placement_generation, update.placement
            self.listener.placement_changed(self.placement_generation, self.groups)
        if update.configuration and update.configuration_version > self.version:
            self.document = json.loads(unpack_document(update.configuration))
            self.table = RoutingTable(parse_configuration(self.document))
            log.info("event=configuration_in_force version={}", self.table.version)
            self.listener.configuration_changed(self.table)

    def _follow(self, link: Link) -> bool:
        """Whether a link was asked for the feed; it is followed from now on."""
        address = self._address_of(link)
        if not address:
            return False
        self._link, self._address = link, address
        link.ask_after_s = ASK_SOON_AFTER_S
        return True

    def _address_of(self, link: Link) -> str:
        return next((address for address, asked in self._asked.items() if asked is link), "")

    def _end_search(self) -> None:
        """The owner is known: nobody else is asked any more."""
        self._tried = {self._address: self.reactor.seconds()}
        for other in [other for other in self._asked if other != self._address]:
            self._leave(other)

    def refused(self, link: Link, refusal: FeedRefused) -> None:
        """An asked node doesn't own the group."""
        address = self._address_of(link)
        if not address:
            return
        self.members = refusal.members or self.members
        self._leave(address)
        self._tried[address] = self.reactor.seconds()
        if refusal.leader_address and not self._tried_lately(refusal.leader_address):
            self._ask(refusal.leader_address)
        else:
            self._asked_at = float("-inf")  # the next look asks another one
            self._look_within(REFUSED_PAUSE_S)

    def _tried_lately(self, address: str) -> bool:
        return bool(self.reactor.seconds() - self._tried.get(address, float("-inf")) < HINT_AGAIN_S)

    def closed(self, link: Link) -> None:
        """A link has ended."""
        if link is self._link:
            self._link = None
            self._asked_at = float("-inf")
        for address, asked in self._asked.items():
            if asked is link:
                self._asked[address] = None  # subscribed again if it is dialled again

    def _look_within(self, seconds: float) -> None:
        if self._timer is not None and self._timer.active():
            due = self.reactor.seconds() + seconds
            if self._timer.getTime() > due:
                self._timer.reset(seconds)

    def _look(self) -> None:
        self._timer = self.reactor.callLater(LOOK_S, self._look)
        if not self._alive() and self.reactor.seconds() - self._asked_at >= ATTEMPT_S:
            self._ask(self._next_candidate())
        self._subscribe()

    def _ask(self, address: str) -> None:
        if not address:
            return
        self._tried[address] = self.reactor.seconds()
        self._address = address
        self._asked_at = self.reactor.seconds()
        self._asked.setdefault(address, None)
        for oldest in list(self._asked)[:-MOST_ASKED]:
            self._leave(oldest)
        self.hub.dial(address, FEED_USER)
        self._subscribe()

    def _leave(self, address: str) -> None:
        left = self._asked.pop(address, None)
        if left is self._link:
            self._link = None
        self.hub.release(address, FEED_USER)

    def _subscribe(self) -> None:
        for address, asked in self._asked.items():
            link = self.hub.link_to(address)
            if link is not None and link is not asked:
                self._asked[address] = link
                link.send(FeedSubscribe(self.version, self.placement_generation, self._wants_catalogue))

    def _next_candidate(self) -> str:
        """One that wasn't tried in this search; when all were, the search begins anew."""
        addresses = dict.fromkeys([*(member.address for member in self.members), *self._candidates()])
        left = [address for address in addresses if address not in self._tried]
        if not left:
            self._tried.clear()
            left = [address for address in addresses if address not in self._asked] or list(addresses)
        return str(self.hub.random.choice(left)) if left else ""
