"""The routes of messages that have not ended, and the messages that a new configuration affects."""

from __future__ import annotations

from collections.abc import Iterator

from bitternpath.configuration.documents import Route
from bitternpath.configuration.routing_table import RoutingTable
from bitternpath.queue.tracked_messages import TrackedMessage

_Members = dict[str, TrackedMessage]  # by request id


class RouteIndex:
    """The current route of each message that has not ended; looked up again only if a change affects it."""

    def __init__(self) -> None:
        """Create an index without a routing table."""
        self.table: RoutingTable | None = None
        self._by_route: dict[str, _Members] = {}
        self._unrouted: _Members = {}

    def assign(self, tracked: TrackedMessage) -> None:
        """Set `tracked.route` by the current routing table; None if no route matches."""
        if tracked.route is not None:
            return
        message = tracked.entry.message
        path = message.target.partition("?")[0]
        tracked.route = None if self.table is None else self.table.match(message.host, path)
        members = self._unrouted if tracked.route is None else self._members(tracked.route.name)
        members[tracked.request_id] = tracked

    def remove(self, tracked: TrackedMessage) -> None:
        """Remove a message that has ended."""
        self._unrouted.pop(tracked.request_id, None)
        if tracked.route is not None:
            self._members(tracked.route.name).pop(tracked.request_id, None)

    def configure(self, table: RoutingTable) -> list[TrackedMessage]:
        """Replace the routing table and return the affected messages.

        The `route` of a returned message is None if another route may match it now.
        """
        old = self.table
        self.table = table
        affected = list(self._unassign(self._unrouted))
        if old is None:
            return affected
        for name, route in old.routes.items():
            affected.extend(self._update(route, table.routes.get(name)))
        for route in table.routes.values():
            if _match_changed(old.routes.get(route.name), route):
                affected.extend(self._overlapped(old, route))
        return affected

    def _update(self, old: Route, new: Route | None) -> Iterator[TrackedMessage]:
        """Yield the messages that a changed route affects. An unchanged route costs no work per message."""
        if old == new:
            return
        members = self._members(old.name)
        if new is None or _match_changed(old, new):
            yield from self._unassign(members)
            return
        phase_may_change = _phase_inputs(old) != _phase_inputs(new)
        for tracked in members.values():
            tracked.route = new
            if phase_may_change:
                yield tracked

    def _overlapped(self, old: RoutingTable, added: Route) -> Iterator[TrackedMessage]:
        """Yield the messages that an added route may match: those of routes with a shorter prefix."""
        for route in old.routes.values():
            same_host = route.host.lower() == added.host.lower()
            if same_host and added.path_prefix.startswith(route.path_prefix):
                yield from self._unassign(self._members(route.name))

    def _unassign(self, members: _Members) -> Iterator[TrackedMessage]:
        unassigned = list(members.values())
        members.clear()
        for tracked in unassigned:
            tracked.route = None
            yield tracked

    def _members(self, name: str) -> _Members:
        return self._by_route.setdefault(name, {})


def _phase_inputs(route: Route) -> tuple[str, int, int, float]:
    """Return the fields that determine the phase of an idle message; the others affect only later leases."""
    return route.service, route.priority, route.start_target_ms, route.retention_s


def _match_changed(old: Route | None, new: Route) -> bool:
    """Whether a route matches different paths than before."""
    return old is None or (old.host.lower(), old.path_prefix) != (new.host.lower(), new.path_prefix)
