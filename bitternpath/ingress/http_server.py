"""An HTTP server of an edge node: its open connections, their limit, and shutdown."""

from __future__ import annotations

from collections.abc import Callable
from io import BytesIO
from typing import Any

from twisted.internet.defer import Deferred
from twisted.web import server
from twisted.web.resource import Resource

from bitternpath.configuration.documents import RequestLimits
from bitternpath.ingress.channel import StrictChannel
from bitternpath.ingress.http_requests import HttpRequest
from bitternpath.net.clock import Clock


class HttpServer(server.Site):
    """A server, as a factory of `StrictChannel`s (a site, in Twisted's terms)."""

    noisy = False

    def __init__(
        self,
        resource_for: Callable[[HttpRequest], Resource],
        limits: Callable[[], RequestLimits],
        max_connections: int,
        clock: Clock,
    ) -> None:
        """`resource_for` and `limits` are called for each request and must be fast."""
        super().__init__(  # type: ignore[no-untyped-call]
            None, requestFactory=HttpRequest, reactor=clock, parsePOSTFormSubmission=False
        )
        self.resource_for = resource_for
        self.limits = limits
        self.max_connections = max_connections
        self._clock = clock
        self.channels: dict[StrictChannel, None] = {}  # in the order in which they were made
        self.closing = False
        self._drained: Deferred[None] | None = None

    def begin_shutdown(self) -> Deferred[None]:
        """Close idle connections, and others after their response; fires once none is open."""
        self.closing = True
        if self._drained is None:
            self._drained = Deferred()
            for channel in tuple(self.channels):
                channel.begin_shutdown()
            self.channel_lost()
        return self._drained

    def answer_pending(self) -> None:
        """Send the fallback response to all pending requests, as the process is about to end."""
        for channel in tuple(self.channels):
            channel.answer_pending()

    def channel_lost(self) -> None:
        """Called when a connection has ended."""
        if self._drained is not None and not self.channels and not self._drained.called:
            self._drained.callback(None)

    # ---- hooks of twisted.web

    def buildProtocol(self, _: object) -> Any:
        """A `StrictChannel`; None, which closes the connection unread, if there are too many."""
        if len(self.channels) >= self.max_connections:
            return None
        channel: Any = StrictChannel()
        channel.factory = self
        channel.site = self
        channel.requestFactory = self.requestFactory
        channel.callLater = self._clock.callLater
        return channel

    def startFactory(self) -> None:
        """Do nothing: there is no access log to open."""

    def stopFactory(self) -> None:
        """Do nothing: there is no access log to close."""

    def log(self, _: object) -> None:
        """Do nothing: writing an access log would use processor time."""

    def getContentFile(self, _: int | None) -> BytesIO:
        """A buffer in memory: the limits bound the size of bodies."""
        return BytesIO()
