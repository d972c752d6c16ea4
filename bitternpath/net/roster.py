"""Which providers there are: discovery's list, kept up to date by a watch."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

import ujson
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from bitternpath import messages as m
from bitternpath.net.http1 import HttpError, ResponseReader, request
from bitternpath.net.sockets import dial

log = logging.getLogger(__name__)

SILENCE = 5.0  # s without a line, where one is due every 2 s: the watch is dead
CONNECT_WITHIN = 2.0  # s
FIRST_PAUSE, LONGEST_PAUSE = 0.1, 3.0  # s before a watch is opened again

PHASES = {"up": m.State.SERVING, "draining": m.State.DRAINING, "removed": m.State.GONE}


@dataclass(slots=True, frozen=True)
class Provider:
    """A line of the list."""

    id: str
    host_port: str
    zone: str
    kind: str
    cell: int
    state: m.State
    size: float
    up_since: float  # Unix ms; 0: long ago


@dataclass(slots=True, frozen=True)
class Listing:
    """A list or the changes to one."""

    revision: int
    complete: bool
    members: tuple[Provider, ...]


def listing_from(told: dict[str, Any]) -> Listing:
    return Listing(
        int(told["revision"]),
        bool(told.get("complete")),
        tuple(
            Provider(
                str(row["id"]),
                str(row.get("host_port") or ""),
                str(row.get("locality") or ""),
                str(row.get("flavor") or ""),
                int(row.get("cell") or 0),
                PHASES[row["phase"]],
                float(row.get("size") or 1.0),
                float(row.get("up_since_ms") or 0.0),
            )
            for row in told.get("members") or ()
        ),
    )


class Roster:
    """The list in hand. `tell` hears of every change after it has been taken in."""

    def __init__(self, known: Listing) -> None:
        self.revision = known.revision
        self.providers = {p.id: p for p in known.members}
        self.tell: Callable[[Listing], None] = lambda listing: None

    def take(self, listing: Listing) -> None:
        if not listing.complete and listing.revision <= self.revision:
            return  # an old line that came again
        self.revision = listing.revision
        if listing.complete:
            self.providers.clear()
        for provider in listing.members:
            if provider.state is m.State.GONE:
                self.providers.pop(provider.id, None)
            else:
                self.providers[provider.id] = provider
        kv = {"revision": listing.revision, "whole": listing.complete, "lines": len(listing.members)}
        log.info("roster", extra={"kv": kv})
        self.tell(listing)

    def serving(self, provider: str) -> Provider | None:
        """The provider, if it takes new calls."""
        found = self.providers.get(provider)
        return found if found is not None and found.state is m.State.SERVING else None


class _WatchProtocol(Protocol):
    """One open watch."""

    transport: Any

    def __init__(self, watch: Watch) -> None:
        self.watch = watch
        self.reader = ResponseReader(body_limit=None)
        self.line = bytearray()

    def connectionMade(self) -> None:
        host = b"%b:%d" % (self.watch.host.encode(), self.watch.port)
        target = b"/v1/endpoints?stream=1&index=%d" % self.watch.roster.revision
        self.transport.write(request(b"GET", target, [(b"Host", host)]))

    def dataReceived(self, data: bytes) -> None:
        self.watch.heard()
        self.reader.feed(data)
        try:
            head = self.reader.head()
            if head is None:
                return
            if getattr(head, "status", 0) != 200:
                raise HttpError(400, "the watch was not granted")
            self.line += self.reader.piece()
            *lines, rest = self.line.split(b"\n")
            self.line = rest
            for line in lines:
                if line.strip():
                    self.watch.roster.take(listing_from(ujson.loads(line)))
            self.watch.pause = FIRST_PAUSE
            if self.reader.ended:
                raise HttpError(400, "the watch ended")
        except (HttpError, ValueError, KeyError, TypeError, AttributeError) as error:
            log.warning("watch broken", extra={"kv": {"why": repr(error)}})
            self.drop()

    def drop(self) -> None:
        if self.transport is not None:
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.watch.lost(reason.getErrorMessage())


class Watch:
    """Keeps a watch open on discovery."""

    def __init__(self, reactor: Any, roster: Roster, host: str, port: int, random: Random) -> None:
        self.reactor, self.roster, self.host, self.port, self.random = reactor, roster, host, port, random
        self.pause = FIRST_PAUSE
        self.spoke = False  # discovery has answered at least once
        self._protocol: _WatchProtocol | None = None
        self._alarm: Any = None
        self._stopped = False

    def start(self) -> None:
        if self._stopped:
            return
        dialled = dial(self.reactor, self.host, self.port, CONNECT_WITHIN, _WatchProtocol(self))
        dialled.addCallbacks(self._connected, lambda failure: self.lost(failure.getErrorMessage()))
        dialled.addErrback(lambda failure: log.error("watch", extra={"kv": {"why": failure.getTraceback()}}))

    def _connected(self, protocol: _WatchProtocol) -> None:
        self._protocol = protocol
        self._alarm = self.reactor.callLater(SILENCE, self._silent)

    def _silent(self) -> None:
        log.warning("watch silent", extra={"kv": {"seconds": SILENCE}})
        self._alarm = None
        if self._protocol is not None:
            self._protocol.drop()

    def heard(self) -> None:
        self.spoke = True
        if self._alarm is not None and self._alarm.active():
            self._alarm.reset(SILENCE)

    def lost(self, why: str) -> None:
        self._protocol = None
        if self._alarm is not None and self._alarm.active():
            self._alarm.cancel()
        if self._stopped:
            return
        wait = self.pause * (0.5 + self.random.random())
        self.pause = min(2 * self.pause, LONGEST_PAUSE)
        log.info("watch lost", extra={"kv": {"why": why, "again_in": wait}})
        self.reactor.callLater(wait, self.start)

    def stop(self) -> None:
        self._stopped = True
        if self._protocol is not None:
            self._protocol.drop()
