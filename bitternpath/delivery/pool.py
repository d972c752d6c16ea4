"""The connections to one address, and the deliveries that wait for a free one."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.python.failure import Failure

from bitternpath.delivery.connections import Exchange, WorkerConnection
from bitternpath.delivery.results import RefusalKind
from bitternpath.net.sockets import dial, peek

WAIT_SHARE = 1 / 3  # of a delivery's time, for which it waits for a free connection
CONNECT_SHARE = 1 / 4  # of the time that a delivery has left, for which it waits for a new connection
CONNECT_LEAST_S = 0.25  # distant workers, and a busy machine at either end
CONNECT_MOST_S = 1.0  # a dropped opening packet is sent again after a second: then another worker is better
LEAST_TIME_S = 0.02  # with less time left nothing is sent: no worker could answer


def connect_timeout_s(remaining_s: float) -> float:
    """How long a delivery with that time left waits for a new connection, in seconds."""
    share = max(CONNECT_LEAST_S, remaining_s * CONNECT_SHARE)
    return min(CONNECT_MOST_S, share, max(remaining_s, LEAST_TIME_S))


class AddressPool:
    """Up to `limit` connections, each used for one delivery at a time, oldest idle one first.

    The oldest goes first because a worker in trouble may answer twice: a late second answer then finds its
    connection idle, and closes it, before another delivery uses it.
    """

    def __init__(self, address: str, reactor: Any, changed: Callable[[], None]) -> None:
