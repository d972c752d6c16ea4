"""Asks edge nodes over their internal protocol which of them owns the configuration."""

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

ASK_EVERY_S = 0.3
USER = "rehearsal"


class StatusReader:
    """Keeps links to the edge nodes and asks each again and again."""

    def __init__(self, reactor: Any, edges: Iterable[Machine]) -> None:
        self._reactor = reactor
        me = NodeDescriptor("rehearsal", "", NodeKind.TOOL, "", False, "", int(time.time() * 1000), 0)
        self._hub = NodeHub(reactor, self, lambda: me, Random())
        self._addresses = [edge.address(Port.INTERNAL) for edge in edges]
        self._owners: dict[str, int] = {}  # epochs by node, of those that say they own the configuration
        self._timer: Any = None

    def start(self) -> None:
        """Begin to ask."""
        for address in self._addresses:
            self._hub.dial(address, USER)
        self._ask()

    def stop(self) -> None:
        """Ask no more."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._hub.stop()

    def owner(self) -> str:
        """The node that owns the configuration, as last told; empty while none says so."""
        return max(self._owners, key=lambda name: self._owners[name], default="")

    def link_opened(self, link: Link) -> None:
        """A node has introduced itself; it is asked in its turn."""

    def link_closed(self, link: Link) -> None:
        """What the node has told is void."""
        self._owners.pop(link.peer_name, None)

    def received(self, link: Link, record: Any) -> None:
        """Nothing but answers is of interest."""

    def _ask(self) -> None:
        self._timer = self._reactor.callLater(ASK_EVERY_S, self._ask)
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
