"""The source of the platform's endpoints: a watch on discovery keeps the list up to date."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator
from random import Random
from typing import Any

import structlog
import ujson
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from bitternpath.balancer.core.endpoint_registry import EndpointRegistry
from bitternpath.balancer.http.discovery_messages import listing_from
from bitternpath.net.http1 import HttpError, ResponseReader, request
from bitternpath.net.sockets import dial

log = structlog.get_logger(part="watch")

# s from one whole line to the next, where one is due every 2 s: after that a watch is silent, and another one
# is opened. What it missed counts as told 6 s after it fell silent (STANDING): two may hang before that.
LINE_WITHIN = 2.5
OPEN_WITHIN = 1.0  # s from the dial to the first line: discovery's agent is on the node's own machine
OPENINGS = 3  # at once: one that hangs is kept, for all may be slow, while others are tried beside it
# s before a watch is opened again. The agent answers at no cost, and what it has to tell counts within 4 s.
FIRST_PAUSE, LONGEST_PAUSE = 0.1, 0.5
LIST_LIMIT = 16 << 20  # bytes of one list

_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')

Address = tuple[str, int]


class JsonObjectStream:
    """The JSON objects of a watch out of its bytes; one may stand on one line or, indented, on many."""

    def __init__(self) -> None:
        self._line = bytearray()  # not whole yet
        self._object = bytearray()  # whole lines of an object that is not whole yet
        self._depth = 0

    def feed(self, data: bytes) -> Iterator[Any]:
        """Each object that has come whole, and None for each line that says only that the watch lives.

        ValueError for what is no such thing, and for an object that is cut off by an empty line."""
        *lines, rest = (self._line + data).split(b"\n")
        self._line = rest
        if len(self._line) + len(self._object) > LIST_LIMIT:
            raise ValueError("list too large")
        for line in lines:
            if not line.strip():
                if self._object:
                    raise ValueError("a list that is not whole")
                yield None
                continue
            bare = _STRING.sub(b"", line)  # no string goes over a line's end
            self._depth += sum(map(bare.count, b"{[")) - sum(map(bare.count, b"}]"))
            self._object += line
            if self._depth <= 0:
                told, self._object, self._depth = ujson.loads(self._object), bytearray(), 0
                yield told


class _SubscriptionConnection(Protocol):
    """One watch: being opened, open, or dropped."""

    transport: Any = None

    def __init__(self, subscription: DiscoverySubscription, address: Address) -> None:
        self.subscription, self.address = subscription, address
        self.reader = ResponseReader(body_limit=None)
        self.lists = JsonObjectStream()
        self.dropped = self.anew = False
        self.dialled: Deferred[Any] | None = None
        self.alarm: Any = subscription.reactor.callLater(OPEN_WITHIN, self._silent, OPEN_WITHIN)

    def connectionMade(self) -> None:
        if self.dropped:
            self.transport.abortConnection()
            return
        host = b"%b:%d" % (self.address[0].encode(), self.address[1])
        self.anew = self.subscription.anew
        after = 0 if self.anew else self.subscription.registry.revision
        target = b"/v1/endpoints?stream=1&index=%d" % after
        self.transport.write(request(b"GET", target, [(b"Host", host)]))

    def dataReceived(self, data: bytes) -> None:
        if self.dropped:
            return
        self.reader.feed(data)
        try:
            head = self.reader.head()
            if head is None:
                return
            if getattr(head, "status", 0) != 200:
                raise HttpError(400, f"the watch was not granted: {getattr(head, 'status', 0)}")
            for told in self.lists.feed(self.reader.piece()):
                listing = listing_from(told) if told is not None else None
                self._spoke()
                if listing is None:
                    continue
                anew, self.anew = self.anew, False
                if not self.subscription.registry.apply(listing, anew):
                    self.subscription.anew = True
                    raise HttpError(400, f"revision {listing.revision} is older than the list in hand")
            if self.reader.ended:
                raise HttpError(400, "the watch ended")
        except (HttpError, ValueError, KeyError, TypeError, AttributeError, OverflowError) as error:
            log.warning("watch broken", why=repr(error))
            self.transport.abortConnection()

    def _spoke(self) -> None:
        self._wait(LINE_WITHIN)
        self.subscription.granted(self)

    def _wait(self, seconds: float) -> None:
        """A whole line is due within that time; bytes alone are none."""
        self.still()
        self.alarm = self.subscription.reactor.callLater(seconds, self._silent, seconds)

    def still(self) -> None:
        if self.alarm is not None:
            self.alarm.cancel()
            self.alarm = None

    def _silent(self, seconds: float) -> None:
        log.warning("watch silent", seconds=seconds)
        self.alarm = None
        self._wait(LINE_WITHIN)  # it goes on, until another one speaks
        self.subscription.silent(self)

    def drop(self) -> None:
        """Close it; nothing more is heard of it."""
        self.dropped = True
        self.still()
        if self.transport is not None:
            self.transport.abortConnection()
        elif self.dialled is not None:
            self.dialled.cancel()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.still()
        if not self.dropped:
            self.subscription.lost(self, reason.getErrorMessage())


class DiscoverySubscription:
    """Keeps a watch open on discovery. One that is silent, or on a discovery that has moved, is kept until a
    new one speaks.

    An agent that answers at no cost is asked again soon. Where discovery is one service that all nodes have
    to ask, `failed` is given: it hears once of each watch that was refused, has ended or is silent, and
    whoever decides when to ask again calls `start`."""

    def __init__(
        self,
        reactor: Any,
        registry: EndpointRegistry,
        address: Address,
        random: Random,
        failed: Callable[[], None] | None = None,
    ) -> None:
        self.reactor, self.registry, self.address, self.random = reactor, registry, address, random
        self.failed = failed
        self.pause = FIRST_PAUSE
        self.spoke = False  # discovery has answered at least once
        self.first_word: Callable[[], object] = lambda: None  # called when it does
        self._current: _SubscriptionConnection | None = None  # has spoken
        self._openings: list[_SubscriptionConnection] = []  # not granted yet; oldest first
        self._again: Any = None  # the timer of the next attempt
        self.anew = False  # discovery counts from the beginning again: it is asked for all that it has
        self._told = False  # `failed` has heard that one is to be opened
        self._stopped = False

    def start(self) -> None:
        """Open a watch, whatever was under way to open one."""
        self._leave_off()
        if not self._stopped:
            self._open()

    def _open(self) -> None:
        """One more, beside those that hang."""
        while len(self._openings) >= OPENINGS:
            self._openings.pop(0).drop()
        opening = _SubscriptionConnection(self, self.address)
        self._openings.append(opening)
        within = OPENINGS * OPEN_WITHIN  # while it is kept
        dialled = opening.dialled = dial(self.reactor, *self.address, within, opening)
        dialled.addErrback(lambda failure: self._not_dialled(opening, failure))

    def _not_dialled(self, opening: _SubscriptionConnection, failure: Failure) -> None:
        opening.still()
        self.lost(opening, failure.getErrorMessage())

    def move(self, address: Address) -> None:
        if address != self.address:
            self.address, self.pause = address, FIRST_PAUSE
            self.start()

    @property
    def _newest(self) -> _SubscriptionConnection | None:
        return self._openings[-1] if self._openings else self._current

    def _leave_off(self) -> None:
        openings, self._openings = self._openings, []
        for opening in openings:
            opening.drop()
        if self._again is not None and self._again.active():
            self._again.cancel()
        self._again, self._told = None, False

    def granted(self, protocol: _SubscriptionConnection) -> None:
        """A watch has told something: it takes the place of the one before."""
        if not self.spoke:
            self.spoke = True
            self.first_word()
        if protocol in self._openings:
            before, self._current = self._current, protocol
            self._openings.remove(protocol)
            self._leave_off()
            self.pause, self.anew = FIRST_PAUSE, False
            if before is not None:
                before.drop()

    def silent(self, protocol: _SubscriptionConnection) -> None:
        """A line is overdue: another watch is opened, unless one is about to be."""
        waits = self._told or (self._again is not None and self._again.active())
        if self._stopped or waits or protocol is not self._newest:
            return
        if self.failed is None:
            self._open()
        elif protocol is self._current:
            self._fail()
        else:
            self._openings.remove(protocol)
            protocol.drop()
            self._fail()

    def _fail(self) -> None:
        self._told = True
        if self.failed is not None:
            self.failed()

    def lost(self, protocol: _SubscriptionConnection, why: str) -> None:
        newest = protocol is self._newest
        if protocol is self._current:
            self._current = None
        elif protocol in self._openings:
            self._openings.remove(protocol)
        if self._stopped or protocol.dropped or not newest:
            return  # where another is being opened, that goes on
        if self._told or (self._again is not None and self._again.active()):
            return
        if self.failed is not None:
            log.info("watch lost", why=why)
            self._fail()
            return
        wait = self.pause * (0.5 + self.random.random())
        self.pause = min(2 * self.pause, LONGEST_PAUSE)
        log.info("watch lost", why=why, again_in=wait)
        self._again = self.reactor.callLater(wait, self._open)

    def stop(self) -> None:
        self._stopped = True
        self._leave_off()
        if self._current is not None:
            self._current.drop()
