"""The operator's configuration as typed documents (PROTOCOL, "The operator's API")."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Route:
    """Where messages with this host and path prefix go. Times are in milliseconds, retention in seconds."""

    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: int
    route_type: str = "deferred"
    target_latency_ms: int = 1000
    start_target_ms: int = 1000
    priority: int = 0
    max_attempts: int = 3
    ordered: bool = False
    retention_s: float = 90.0
    callback_url: bool = False


@dataclass(frozen=True, slots=True)
class Service:
    """What runs messages: workers of the platform's list, one `endpoint`, or workers that pull."""

    name: str
    health_path: str = "/healthz"
    max_connections: int = 64
    rate_per_s: float = 0.0
    idempotent: bool = False
    pull_mode: bool = False
    endpoint: str | None = None


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Bounds of what clients may send. Sizes are in bytes, times in milliseconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version, checked."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: RequestLimits = field(default_factory=RequestLimits)
