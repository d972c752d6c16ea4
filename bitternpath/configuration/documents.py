"""The operator's configuration as typed documents (PROTOCOL, "The operator's API").

Field names are the JSON keys. Other fields of a JSON document are ignored by the program, but stay in the
stored document that operators read back.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Route:
    """Maps requests for a host and path prefix to a service, and sets how their messages are delivered.

    Attributes:
        name: unique among routes.
        host: the request's host without port, case-insensitive.
        path_prefix: starts with a slash; the longest matching prefix takes precedence.
        service: name of the service whose workers receive the messages.
        timeout_ms: time limit of one delivery.
        route_type: as the operator's API defines it.
        target_latency_ms: latency target (SLO) of a message.
        start_target_ms: latency target from the due time of a message to the start of its delivery.
        priority: priority class; 0 is delivered first.
        max_attempts: number of failed attempts after which a message becomes a dead letter.
        ordered: messages with the same order key are delivered one at a time, in order.
        retention_s: age since acceptance at which an unfinished message becomes a dead letter.
        callback_url: whether clients may specify a URL that is called when a message has ended.
    """

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
    """A group of workers: from the platform's endpoint list, a single `endpoint`, or workers that pull.

    Attributes:
        name: unique among services.
        health_path: path of the workers' health check.
        max_connections: maximum concurrent connections of the system to one worker.
        rate_per_s: rate limit for the entire system; 0 means unlimited.
        idempotent: whether workers can safely run a message more than once.
        pull_mode: whether workers fetch their messages by long polling.
        endpoint: ip:port of a single worker, or None.
    """

    name: str
    health_path: str = "/healthz"
    max_connections: int = 64
    rate_per_s: float = 0.0
    idempotent: bool = False
    pull_mode: bool = False
    endpoint: str | None = None


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on client requests. Sizes are in bytes, times in milliseconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True, slots=True)
class Configuration:
    """One validated version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: RequestLimits = field(default_factory=RequestLimits)
