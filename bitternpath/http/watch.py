"""The source of the platform's providers: a watch on discovery keeps the list up to date."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import structlog
import ujson
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from bitternpath.core.roster import Roster
from bitternpath.http.http1 import HttpError, ResponseReader, request
from bitternpath.http.listing import listing_from
from bitternpath.net.sockets import dial

log = structlog.get_logger(part="watch")

SILENCE = 5.0  # s without a line, where one is due every 2 s: the watch is dead
CONNECT_WITHIN = 1.0  # s; discovery's agent is on the node's own machine
# s before a watch is opened again. The agent answers at no cost, and what it has to tell counts within 4 s.
FIRST_PAUSE, LONGEST_PAUSE = 0.1, 1.0

Address = tuple[str, int]


class _WatchProtocol(Protocol):
    """One watch: being opened, open, or dropped."""

    transport: Any = None

    def __init__(self, watch: Watch, address: Address) -> None:
        self.watch, self.address = watch, address
        self.reader = ResponseReader(body_limit=None)
        self.line = bytearray()
        self.alarm: Any = None
        self.dropped = False

    def connectionMade(self) -> None:
        if self.dropped:
            self.transport.abortConnection()
            return
        self.alarm = self.watch.reactor.callLater(SILENCE, self._silent)
        host = b"%b:%d" % (self.address[0].encode(), self.address[1])
        target = b"/v1/endpoints?stream=1&index=%d" % self.watch.roster.revision
        self.transport.write(request(b"GET", target, [(b"Host", host)]))

    def dataReceived(self, data: bytes) -> None:
        if self.dropped:
            return
        self.alarm.reset(SILENCE)
        self.reader.feed(data)
        try:
            head = self.reader.head()
            if head is None:
                return
            if getattr(head, "status", 0) != 200:
                raise HttpError(400, f"the watch was not granted: {getattr(head, 'status', 0)}")
            self.line += self.reader.piece()
            *lines, rest = self.line.split(b"\n")
            self.line = rest
            for line in lines:
                told = listing_from(ujson.loads(line)) if line.strip() else None
                self.watch.granted(self)
                if told is not None:
                    self.watch.roster.take(told)
            if self.reader.ended:
                raise HttpError(400, "the watch ended")
        except (HttpError, ValueError, KeyError, TypeError, AttributeError) as error:
            log.warning("watch broken", why=repr(error))
            self.transport.abortConnection()

    def _silent(self) -> None:
        log.warning("watch silent", seconds=SILENCE)
        self.alarm = None
        self.transport.abortConnection()

    def drop(self) -> None:
        """Close it; nothing more is heard of it."""
        self.dropped = True
        if self.transport is not None:
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self.alarm is not None:
            self.alarm.cancel()
            self.alarm = None
        if not self.dropped:
            self.watch.lost(self, reason.getErrorMessage())


class Watch:
    """Keeps a watch open on discovery. When discovery moves, the old one is kept until the new one speaks.

    An agent that answers at no cost is asked again soon. Where discovery is one service that all nodes have
    to ask, `failed` is given: it hears of each watch that was refused or has ended, and whoever decides when
    to ask again calls `start`."""

    def __init__(
        self,
        reactor: Any,
        roster: Roster,
        address: Address,
        random: Random,
        failed: Callable[[], None] | None = None,
    ) -> None:
        self.reactor, self.roster, self.address, self.random = reactor, roster, address, random
        self.failed = failed
        self.pause = FIRST_PAUSE
        self.spoke = False  # discovery has answered at least once
        self._current: _WatchProtocol | None = None  # has spoken
        self._opening: _WatchProtocol | None = None  # has not, or is still being dialled
        self._dial: Deferred[Any] | None = None
        self._again: Any = None  # the timer of the next attempt
        self._stopped = False

    def start(self) -> None:
        """Open a watch, whatever was under way to open one."""
        self._leave_off()
        if self._stopped:
            return
        opening = self._opening = _WatchProtocol(self, self.address)
        self._dial = dial(self.reactor, *self.address, CONNECT_WITHIN, opening)
        self._dial.addErrback(lambda failure: self.lost(opening, failure.getErrorMessage()))

    def move(self, address: Address) -> None:
        if address != self.address:
            self.address, self.pause = address, FIRST_PAUSE
            self.start()

    def _leave_off(self) -> None:
        opening, self._opening = self._opening, None
        if opening is not None:
            opening.drop()
        if self._dial is not None:
            self._dial.cancel()
        if self._again is not None and self._again.active():
            self._again.cancel()
        self._dial = self._again = None

    def granted(self, protocol: _WatchProtocol) -> None:
        """A watch has told something: it takes the place of the one before."""
        self.spoke = True
        if protocol is self._opening:
            before, self._current = self._current, protocol
            self._opening, self.pause = None, FIRST_PAUSE
            if before is not None:
                before.drop()

    def lost(self, protocol: _WatchProtocol, why: str) -> None:
        if protocol is self._current:
            self._current = None
        elif protocol is self._opening:
            self._opening = None
        if self._stopped or protocol.dropped or self._opening is not None:
            return  # where another is being opened, that goes on
        if self._again is not None and self._again.active():
            return
        if self.failed is not None:
            log.info("watch lost", why=why)
            self.failed()
            return
        wait = self.pause * (0.5 + self.random.random())
        self.pause = min(2 * self.pause, LONGEST_PAUSE)
        log.info("watch lost", why=why, again_in=wait)
        self._again = self.reactor.callLater(wait, self.start)

    def stop(self) -> None:
        self._stopped = True
        self._leave_off()
        if self._current is not None:
            self._current.drop()
