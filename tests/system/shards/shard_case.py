"""Test case with three shards and their owners, as seen by an edge node, in virtual time."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from bitternpath.configuration.placement import shard_group
from bitternpath.shards.owners import ShardOwners
from bitternpath.transport.errors import LinkLostError
from bitternpath.transport.node_messages import NodeDescriptor, NodeKind
from bitternpath.transport.records import Message
from bitternpath.transport.shard_messages import (
    Ownership,
)

SHARDS = 3


def message(request_id: str = "r1", order_key: str = "") -> Message:
    """Return a message of a client."""
    return Message(
        request_id, "POST", "a.example", "/x", (), order_key, "route", 1, 0, "", "edge-1", 0, b"body"
    )


class FakeLink:
    """A link to a storage node; the test responds to its requests."""

    def __init__(self, name: str, zone: str) -> None:
        self.peer = NodeDescriptor(name, "10.0.0.1:1", NodeKind.STORAGE, zone, True, "d", 1, 0)
        self.peer_name = name
        self.requests: list[tuple[Any, Deferred[Any]]] = []
        self.sent: list[Any] = []

    def request(self, make_record: Callable[[int], Any]) -> Deferred[Any]:
        waiting: Deferred[Any] = Deferred()
        self.requests.append((make_record(len(self.requests) + 1), waiting))
        return waiting

    def send(self, record: Any) -> None:
        self.sent.append(record)

    def answer(self, record: Any) -> None:
        self.requests.pop(0)[1].callback(record)

    def lose(self) -> None:
        self.requests.pop(0)[1].errback(LinkLostError())


class ShardCase(unittest.TestCase):
    """Three shards; shard 0 is owned in this node's zone."""

    def setUp(self) -> None:
        self.clock = Clock()
        self.owners = ShardOwners(lambda group: None)
        self.links = [FakeLink(f"storage-{n}", f"z{n}") for n in range(SHARDS)]
        for shard in range(SHARDS):
            self.owned(shard, self.links[shard], 1)

    def owned(self, shard: int, link: FakeLink, epoch: int, owns: bool = True) -> None:
        self.owners.ownership_changed(link, Ownership(shard_group(shard), epoch, owns))  # type: ignore[arg-type]

    def result(self, waiting: Deferred[Any]) -> Any:
        """Return the result if the Deferred has fired, else None."""
        results: list[Any] = []
        waiting.addCallback(lambda value: results.append(value) or value)  # type: ignore[func-returns-value]
        return results[0] if results else None
