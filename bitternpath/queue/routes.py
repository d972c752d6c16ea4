"""The routes of unended messages, and which messages a new configuration concerns."""

from __future__ import annotations

from collections.abc import Iterator

from bitternpath.configuration.documents import Route
from bitternpath.configuration.routing_table import RoutingTable
from bitternpath.queue.tracked_messages import TrackedMessage

_Members = dict[str, TrackedMessage]  # by request id


class RouteIndex:
    """The route in force of each unended message, looked up once and again when its routes change."""

    def __init__(self) -> None:
        """Begin without a configuration."""
        self.table: RoutingTable | None = None
        self._by_route: dict[str, _Members] = {}
        self._unrouted: _Members = {}

    def assign(self, tracked: TrackedMessage) -> None:
        """Set `tracked.route` by the table in force; None where it has none."""
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
        """Take another table.

        Returns the messages that it concerns, without a route where that may be another one now.
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
        """Yield the messages that a changed route concerns. Those of an unchanged one cost nothing."""
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
        """Yield the messages of routes with a shorter prefix on the host of a route that is new."""
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
    """Return what decides where an idle message is placed; the rest matters only from its next lease on."""
    return route.service, route.priority, route.start_target_ms, route.retention_s


def _match_changed(old: Route | None, new: Route) -> bool:
    """Whether a route matches other paths than before."""
    return old is None or (old.host.lower(), old.path_prefix) != (new.host.lower(), new.path_prefix)
