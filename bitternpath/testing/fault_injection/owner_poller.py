"""Finds the owner of the configuration group over the internal protocol of edge nodes."""

from __future__ import annotations

import time
from collections.abc import Iterable
from random import Random
from typing import Any

from bitternpath.membership.bootstrap import CONFIGURATION_GROUP
from bitternpath.testing.fault_injection.plan import Machine, Port
from bitternpath.transport.hub import NodeHub
from bitternpath.transport.links import Link
from bitternpath.transport.node_messages import NodeDescriptor, NodeKind
from bitternpath.transport.operator_messages import StatusRequest, StatusResponse

POLL_INTERVAL_S = 0.3
LINK_USER = "rehearsal"


class ConfigurationOwnerPoller:
    """Keeps links to the edge nodes and polls each for the groups that it owns."""

    def __init__(self, reactor: Any, edges: Iterable[Machine]) -> None:
        self._reactor = reactor
        descriptor = NodeDescriptor("rehearsal", "", NodeKind.TOOL, "", False, "", int(time.time() * 1000), 0)
        self._hub = NodeHub(reactor, self, lambda: descriptor, Random())
        self._addresses = [edge.address(Port.INTERNAL) for edge in edges]
        self._owners: dict[str, int] = {}  # epochs, by name, of the nodes that claim to own the configuration
        self._timer: Any = None

    def start(self) -> None:
        """Connect to the nodes and start polling."""
        for address in self._addresses:
            self._hub.dial(address, LINK_USER)
        self._poll()

    def stop(self) -> None:
        """Stop polling and close the links."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._hub.stop()

    def owner(self) -> str:
        """Return the name of the owner according to the latest answers; empty if no node claims ownership."""
        return max(self._owners, key=lambda name: self._owners[name], default="")

    def link_opened(self, link: Link) -> None:
        """Do nothing: all linked nodes are polled periodically."""

    def link_closed(self, link: Link) -> None:
        """Discard the node's last answer."""
        self._owners.pop(link.peer_name, None)

    def received(self, link: Link, record: Any) -> None:
        """Ignore records other than answers to the polls."""

    def _poll(self) -> None:
        self._timer = self._reactor.callLater(POLL_INTERVAL_S, self._poll)
        for address in self._addresses:
            link = self._hub.link_to(address)
            if link is not None:
                link.request(StatusRequest).addCallbacks(self._answered, lambda _: None)

    def _answered(self, answer: Any) -> None:
        if not isinstance(answer, StatusResponse):
            return
        epochs = [group.epoch for group in answer.groups if group.group == CONFIGURATION_GROUP and group.owns]
        if epochs:
            self._owners[answer.node.name] = epochs[0]
        else:
            self._owners.pop(answer.node.name, None)
