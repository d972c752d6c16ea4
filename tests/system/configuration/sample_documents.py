"""Valid configuration documents for tests."""

from __future__ import annotations

from typing import Any


def route(name: str = "r1", **changes: Any) -> dict[str, Any]:
    """A valid route."""
    return {
        "name": name,
        "host": "a.example",
        "path_prefix": f"/{name}/",
        "service": "s1",
        "timeout_ms": 1000,
        **changes,
    }


def document(version: int = 3, **changes: Any) -> dict[str, Any]:
    """A valid configuration."""
    return {
        "version": version,
        "routes": [route()],
        "services": [{"name": "s1", "rate_per_s": 0}],
        "limits": {"max_body_bytes": 1000},
        **changes,
    }
