"""Parses the endpoint list that discovery sends as JSON (PROTOCOL, 'Discovery')."""

from __future__ import annotations

from typing import Any

from bitternpath.balancer import messages as m
from bitternpath.balancer.core.endpoint_registry import Endpoint, Listing

PHASES = {"up": m.WorkerState.SERVING, "draining": m.WorkerState.DRAINING, "removed": m.WorkerState.GONE}


def listing_from(message: dict[str, Any]) -> Listing:
    """Parse one message: a complete list, or changes to it.

    Raises:
        KeyError, ValueError, TypeError: the message is malformed.
    """
    return Listing(
        int(message["revision"]),
        bool(message.get("complete")),
        tuple(
            Endpoint(
                str(row["id"]),
                str(row.get("host_port") or ""),
                str(row.get("locality") or ""),
                str(row.get("flavor") or ""),
                int(row.get("cell") or 0),
                PHASES[row["phase"]],
                float(row.get("size") or 1.0),
                float(row.get("up_since_ms") or 0.0),
            )
            for row in message.get("members") or ()
        ),
    )
