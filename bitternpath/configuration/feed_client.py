"""Client of the configuration feed: finds the owner, subscribes, and applies its updates.

Invariants:
- Offsets (version of the document, generation of the placement) never decrease while a process runs.
- Updates of an epoch older than the newest known one are ignored, since their sender has lost ownership.

A search tries one candidate after another. Subscriptions to candidates that don't respond stay open, up to
`MAX_CONCURRENT_CANDIDATES` at a time, and the first candidate to send an update is followed. The previous
owner stays a candidate, since it may only have been unresponsive for a moment.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, Protocol

import logbook

from bitternpath.configuration.feed_documents import unpack_document
from bitternpath.configuration.owner_search import OwnerSearch
from bitternpath.configuration.routing_table import RoutingTable
from bitternpath.configuration.validation import parse_configuration
from bitternpath.net.clock import Clock, Timer
from bitternpath.transport.feed_messages import CatalogueUpdate, FeedRefused, FeedSubscribe, FeedUpdate
from bitternpath.transport.group_messages import GroupPlacement, MemberAddress
from bitternpath.transport.hub import NodeHub
from bitternpath.transport.link_liveness import PING_SUBSCRIBED_S
from bitternpath.transport.links import Link

log = logbook.Logger("feed")

OWNER_TIMEOUT_S = 1.3  # time without an update; about three heartbeat intervals
CHECK_INTERVAL_S = 0.15  # interval of the checks for an owner timeout and for new links
REFUSAL_RETRY_DELAY_S = 0.03  # short delay before the next candidate is tried; prevents a busy loop
ATTEMPT_TIMEOUT_S = 0.45  # per candidate; covers a connection and response over a long distance
MAX_CONCURRENT_CANDIDATES = 3  # tried in parallel, so that unresponsive ones don't delay the search
FEED_USER = "feed"  # user name of the feed's links in the hub

_NEVER = float("-inf")


class FeedListener(Protocol):
    """Receives the changes from the feed."""

    def configuration_changed(self, table: RoutingTable) -> None:
        """A new version of the configuration has come into force."""

    def placement_changed(self, generation: int, groups: tuple[GroupPlacement, ...]) -> None:
        """A new placement of the queue shards has come into force."""

    def catalogue_updated(self, update: CatalogueUpdate) -> None:
        """The owner has sent an update of the endpoint catalogue."""


class FeedClient:
    """Subscribes to the feed and keeps the current state.

    Attributes:
        table: the current configuration; None before the first one.
        document: the current configuration as decoded JSON; empty before the first one.
        placement_generation: generation of `groups`; 0 before the first one.
        groups: the current placement.
        members: the configuration group's members, as listed in the last refusal.
        edge_node_count: number of edge nodes in the system, as known to the owner.
        last_update_at: time of the last update by the reactor's clock; minus infinity before the first one.
        epoch: the newest epoch of the received updates.
    """

    def __init__(
        self,
        reactor: Clock,
        hub: NodeHub,
        listener: FeedListener,
        candidates: Callable[[], list[str]],
        *,
        wants_catalogue: bool,
    ) -> None:
        """Create a client that isn't started yet.

        Args:
            reactor: clock and timers.
            hub: dials candidates.
            listener: called for each change.
            candidates: returns addresses of nodes that may be the owner or know it.
            wants_catalogue: whether to receive the endpoint catalogue, too.
        """
        self.table: RoutingTable | None = None
        self.document: dict[str, Any] = {}
        self.placement_generation = 0
        self.groups: tuple[GroupPlacement, ...] = ()
        self.members: tuple[MemberAddress, ...] = ()
        self.edge_node_count = 1
        self.last_update_at = _NEVER
        self.epoch = 0
        self._reactor = reactor
        self._hub = hub
        self._listener = listener
        self._candidates = candidates
        self._wants_catalogue = wants_catalogue
        self._search = OwnerSearch()
        self._owner_address = ""  # address of the owner, or of the last tried candidate
        self._owner_link: Link | None = None  # the open link whose updates are applied
        self._subscribed: dict[str, Link | None] = {}  # subscriptions by address, with their link
        self._last_subscribed_at = _NEVER  # time of the last attempt
        self._check: Timer | None = None

    @property
    def version(self) -> int:
        """Version of the current configuration; 0 before the first one."""
        return self.table.version if self.table else 0

    @property
    def owner_address(self) -> str:
        """The address of the owner, or of the last tried candidate."""
        return self._owner_address

    def owner_link(self) -> Link | None:
        """The link to the owner; None if no updates are arriving."""
        return self._owner_link if self._is_alive() else None

    def start(self) -> None:
        """Start the search for the owner."""
        self._run_check()

    def stop(self) -> None:
        """Stop the search for the owner. Updates that arrive are still applied."""
        if self._check is not None and self._check.active():
            self._check.cancel()

    def restore(self, update: FeedUpdate) -> None:
        """Restore the state that an earlier process of this node has stored."""
        self._apply(update)

    # ---- received messages

    def update_received(self, link: Link, update: FeedUpdate) -> None:
        """Handle an update or heartbeat."""
        if update.epoch < self.epoch or not self._follow(link):
            return
        self.epoch = update.epoch
        self.last_update_at = self._reactor.seconds()
        self._end_search()
        self.edge_node_count = update.edge_node_count
        self._apply(update)

    def refusal_received(self, link: Link, refusal: FeedRefused) -> None:
        """Handle a refusal by a candidate that doesn't own the group, but may know the owner."""
        address = self._address_of(link)
        if not address:
            return
        now = self._reactor.seconds()
        self.members = refusal.members or self.members
        self._unsubscribe(address)
        self._search.record_attempt(address, now)
        if refusal.leader_address and self._search.may_follow_hint(refusal.leader_address, now):
            self._try_candidate(refusal.leader_address)
        else:
            self._last_subscribed_at = _NEVER  # the next check tries another candidate
            self._advance_check(REFUSAL_RETRY_DELAY_S)

    def link_closed(self, link: Link) -> None:
        """Handle a closed link. Its address stays a candidate, and the next link is subscribed on again."""
        if link is self._owner_link:
            self._owner_link = None
            self._last_subscribed_at = _NEVER
        for address, subscribed in self._subscribed.items():
            if subscribed is link:
                self._subscribed[address] = None

    # ---- owner and updates

    def _is_alive(self) -> bool:
        updated_recently = self._reactor.seconds() - self.last_update_at < OWNER_TIMEOUT_S
        return updated_recently and self._owner_link is not None and self._owner_link.open

    def _follow(self, link: Link) -> bool:
        """Make a link the owner's link. Returns False if there is no subscription on it."""
        address = self._address_of(link)
        if not address:
            return False
        self._owner_link = link
        self._owner_address = address
        link.ping_after_s = PING_SUBSCRIBED_S
        return True

    def _apply(self, update: FeedUpdate) -> None:
        if update.placement is not None and update.placement_generation > self.placement_generation:
            self.placement_generation = update.placement_generation
            self.groups = update.placement
            self._listener.placement_changed(self.placement_generation, self.groups)
        if update.configuration and update.configuration_version > self.version:
            self.document = json.loads(unpack_document(update.configuration))
            self.table = RoutingTable(parse_configuration(self.document))
            log.info("event=configuration_in_force version={}", self.table.version)
            self._listener.configuration_changed(self.table)

    # ---- search for the owner

    def _run_check(self) -> None:
        self._check = self._reactor.callLater(CHECK_INTERVAL_S, self._run_check)
        if not self._is_alive() and self._reactor.seconds() - self._last_subscribed_at >= ATTEMPT_TIMEOUT_S:
            self._try_candidate(self._next_candidate())
        self._subscribe()

    def _advance_check(self, seconds: float) -> None:
        """Bring the next check forward to at most `seconds` from now."""
        if self._check is not None and self._check.active():
            due = self._reactor.seconds() + seconds
            if self._check.getTime() > due:
                self._check.reset(seconds)

    def _next_candidate(self) -> str:
        addresses = [*(member.address for member in self.members), *self._candidates()]
        return self._search.next_candidate(addresses, self._subscribed, self._hub.random)

    def _try_candidate(self, address: str) -> None:
        if not address:
            return
        now = self._reactor.seconds()
        self._search.record_attempt(address, now)
        self._owner_address = address
        self._last_subscribed_at = now
        self._subscribed.setdefault(address, None)
        for oldest in list(self._subscribed)[:-MAX_CONCURRENT_CANDIDATES]:
            self._unsubscribe(oldest)
        self._hub.dial(address, FEED_USER)
        self._subscribe()

    def _subscribe(self) -> None:
        """Subscribe on all new links to candidates."""
        for address, subscribed in self._subscribed.items():
            link = self._hub.link_to(address)
            if link is not None and link is not subscribed:
                self._subscribed[address] = link
                link.send(FeedSubscribe(self.version, self.placement_generation, self._wants_catalogue))

    def _unsubscribe(self, address: str) -> None:
        link = self._subscribed.pop(address, None)
        if link is self._owner_link:
            self._owner_link = None
        self._hub.release(address, FEED_USER)

    def _end_search(self) -> None:
        """End the search, since the owner is known, and unsubscribe from all others."""
        self._search.record_owner(self._owner_address, self._reactor.seconds())
        for address in [address for address in self._subscribed if address != self._owner_address]:
            self._unsubscribe(address)

    def _address_of(self, link: Link) -> str:
        """The address of a link with a subscription; "" if it has none."""
        return next((address for address, subscribed in self._subscribed.items() if subscribed is link), "")
