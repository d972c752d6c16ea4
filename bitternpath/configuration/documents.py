"""The operator's configuration as typed documents (PROTOCOL, "The operator's API").

Field names are the JSON keys. Fields of a JSON document that aren't listed here are ignored by the program
and stay in the stored document, which is what operators get back.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests for a host and path prefix go, and how their messages are delivered.

    Attributes:
        name: unique among routes.
        host: the request's host, without port; case doesn't matter.
        path_prefix: begins with a slash; the longest one that fits wins.
        service: name of the service whose workers get the messages.
        timeout_ms: how long one delivery may take.
        route_type: as the operator's API defines it.
        target_latency_ms: latency target (SLO) of a message.
        start_target_ms: latency target from when a message is due to the start of its delivery.
        priority: class of urgency; 0 is delivered first.
        max_attempts: failed attempts after which a message is a dead letter.
        ordered: messages with the same order key are delivered one after the other.
        retention_s: age, counted from acceptance, at which an unfinished message becomes a dead letter.
        callback_url: clients may name a URL that is called when the message has ended.
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
    """What runs messages: workers of the platform's endpoint list, one `endpoint`, or workers that pull.

    Attributes:
        name: unique among services.
        health_path: path of the workers' health check.
        max_connections: concurrent connections of the system to one worker.
        rate_per_s: rate limit of the whole system; 0: none.
        idempotent: whether workers may run a message more than once without harm.
        pull_mode: workers fetch their messages by long polls.
        endpoint: ip:port of the one worker, or None.
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
    """Bounds of what clients may send. Sizes are in bytes, times in milliseconds."""

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
