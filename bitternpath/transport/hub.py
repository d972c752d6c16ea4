"""All links of a process: those that it accepts and those that it dials."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory

from bitternpath.transport.dialler import Dialler
from bitternpath.transport.links import Link, LinkHandler
from bitternpath.transport.node_messages import Hello, NodeDescriptor

LOOK_S = 0.5  # all links are looked at together


class NodeHub:
    """All links of a process: those it accepts and those it dials."""

    def __init__(
        self,
        reactor: Any,
        handler: LinkHandler,
        describe: Callable[[], NodeDescriptor],
        random: Any,
    ) -> None:
        self.reactor, self.handler, self.describe, self.random = reactor, handler, describe, random
        self.links: dict[Link, None] = {}  # in the order in which they were made
        self._diallers: dict[str, Dialler] = {}
        self._port: Any = None
        self._watch_timer: Any = None
        self._unflushed: list[Link] = []
        self._flush_call: Any = None

    def watch(self) -> None:
        """Look at all links from now on, together: one timer and one turn for all questions."""
        if self._watch_timer is None:
            self._watch_timer = self.reactor.callLater(LOOK_S, self._look)

    def _look(self) -> None:
        self._watch_timer = None
        now = self.reactor.seconds()
        for link in list(self.links):
            link.look(now)
        if self.links:
            self.watch()

    def flush_soon(self, link: Link) -> None:
        """Have a link written at the end of this turn of the reactor, with all others that have anything."""
        self._unflushed.append(link)
        if self._flush_call is None:
            self._flush_call = self.reactor.callLater(0, self._flush_planned)

    def flush(self) -> None:
        """Write what all links have queued; whoever knows that nothing follows in this turn calls it."""
        if self._flush_call is not None:
            self._flush_call.cancel()
            self._flush_planned()

    def _flush_planned(self) -> None:
        self._flush_call = None
        links, self._unflushed = self._unflushed, []
        for link in links:
            link.flush()

    def make_link(self, dialled: str) -> Link:
        """A link for a connection to that address; "" where the peer dialled."""
        return Link(self, dialled)

    def listen(self, host: str, port: int) -> None:
        """Accept links; raises `CannotListenError`."""
        self._port = self.reactor.listenTCP(port, _AcceptFactory(self), backlog=1024, interface=host)

    def dial(self, address: str, user: str) -> Dialler:
        """The dialler of an address, made and started where there is none. `user` names who wants it."""
        dialler = self._diallers.get(address)
        if dialler is None:
            dialler = self._diallers[address] = Dialler(self, address)
            dialler.start()
        dialler.users.add(user)
        return dialler

    def release(self, address: str, user: str) -> None:
        """A user doesn't want an address any more; the link ends when nobody does."""
        dialler = self._diallers.get(address)
        if dialler is None:
            return
        dialler.users.discard(user)
        if not dialler.users:
            del self._diallers[address]
            dialler.stop()

    def link_to(self, address: str) -> Link | None:
        """The opened link that was dialled to an address."""
        dialler = self._diallers.get(address)
        return dialler.opened if dialler else None

    def dialled(self) -> tuple[str, ...]:
        """The addresses that are wanted."""
        return tuple(self._diallers)

    def announce(self) -> None:
        """Tell all peers anew who this node is."""
        for link in self.links:
            link.send(Hello(self.describe()))

    def link_ended(self, link: Link) -> None:
        """Called by a link when its connection has ended."""
        dialler = self._diallers.get(link.dialled)
        if dialler is not None and dialler.link is link:
            dialler.ended(link.peer is not None)

    def stop(self) -> None:
        """Close all."""
        if self._port is not None:
            self._port.stopListening()
        if self._watch_timer is not None:
            self._watch_timer.cancel()
            self._watch_timer = None
        diallers, self._diallers = self._diallers, {}
        for dialler in diallers.values():
            dialler.stop()
        for link in list(self.links):
            link.close()


class _AcceptFactory(Factory):
    noisy = False

    def __init__(self, hub: NodeHub) -> None:
        self.hub = hub

    def buildProtocol(self, addr: Any) -> Link:
        return self.hub.make_link("")
