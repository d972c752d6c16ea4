"""Look-up of routes and services in a version of the configuration."""

from __future__ import annotations

from bitternpath.configuration.documents import Configuration, Route, Service


class RoutingTable:
    """Index of a configuration: routes by host and longest path prefix, routes and services by name.

    Attributes:
        configuration: the indexed configuration.
        version: its version.
        services: services by name.
        routes: routes by name.
    """

    def __init__(self, configuration: Configuration) -> None:
        """Index a validated configuration."""
        self.configuration = configuration
        self.version = configuration.version
        self.services = {service.name: service for service in configuration.services}
        self.routes = {route.name: route for route in configuration.routes}
        self._by_host: dict[str, list[Route]] = {}  # longest prefix first
        for route in configuration.routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def match(self, host: str, path: str) -> Route | None:
        """The route with the longest prefix of `path` (without query) on a host (ignoring port and case)."""
        name = host.rsplit(":", 1)[0] if ":" in host else host
        for route in self._by_host.get(name.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def service_of(self, route: Route) -> Service:
        """The service of a route, which always exists in a validated configuration."""
        return self.services[route.service]
