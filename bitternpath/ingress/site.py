"""HTTP servers of an edge node: requests, the set of open connections, and shutdown."""

from __future__ import annotations

from collections.abc import Callable
from io import BytesIO
from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.web import server
from twisted.web.resource import Resource

from bitternpath.configuration.documents import RequestLimits
from bitternpath.ingress.channel import StrictChannel

RETRY_SOON_S = 1  # Retry-After of what may work again in a moment


class HttpRequest(server.Request):
    """A request whose target and body stay as they came: nothing is decoded, parsed or logged."""

    defaultContentType = None
    channel: Any
    content: Any
    site: Any
    needs_open_peer = False  # answer only a peer whose sending side is open: else it may be gone
    last_status = 503  # where the node ends before the answer is known; 503 of a message promises too much

    def handleContentChunk(self, data: bytes) -> None:
        self.channel.body_left -= len(data)
        if self.channel.body_left < 0:
            self.channel.reject(413)
        else:
            self.content.write(data)

    def parseCookies(self) -> None:
        """Cookies are the workers' matter."""

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        self.content.seek(0)
        self.args = {}
        self.method, self.uri, self.clientproto = command, path, version
        self.path = path.partition(b"?")[0]
        self.process()

    def process(self) -> None:
        self.site = self.channel.site
        self.prepath = []
        self.postpath = self.path[1:].split(b"/")
        try:
            self.render(self.site.resource_for(self))  # type: ignore[no-untyped-call]
        except Exception:
            self._log.failure("a request failed")
            if not self.finished:
                reply(self, 500)

    def end_without_answer(self) -> None:
        """Send what says least, unless the answer has begun."""
        if not self.startedWriting:
            reply(self, self.last_status, retry_after_s=RETRY_SOON_S)

    def getRequestHostname(self) -> bytes:
        return b"node"  # klein builds URLs of it; no answer uses them, and clients' hosts may be anything

    def write(self, data: bytes) -> None:
        if not self.startedWriting and not self._disconnected:
            self.channel.before_answer(self)
        super().write(data)  # type: ignore[no-untyped-call]


def reply(request: Any, status: int, body: bytes = b"", retry_after_s: int | None = None) -> None:
    """Send a whole answer, unless the client has gone or has its answer already."""
    if request.finished or request._disconnected:
        return
    request.setResponseCode(status)
    if status != 204:
        request.setHeader(b"Content-Length", b"%d" % len(body))
    if retry_after_s is not None:
        request.setHeader(b"Retry-After", b"%d" % retry_after_s)
    request.write(body)
    request.finish()


def answered(request: Any) -> Deferred[None]:
    """Fires once the request has its answer, or its client has gone: what klein waits for."""
    if request.finished or request._disconnected:
        return succeed(None)
    finish: Deferred[None] = request.notifyFinish()
    return finish.addErrback(lambda _: None)


class HttpSite(server.Site):
    """A server's connections. `limits` is asked at each request, `max_connections` bounds the open ones."""

    noisy = False

    def __init__(
        self,
        resource_for: Callable[[Any], Resource],
        limits: Callable[[], RequestLimits],
        max_connections: int,
        reactor: Any,
    ) -> None:
        super().__init__(  # type: ignore[no-untyped-call]
            None, requestFactory=HttpRequest, reactor=reactor, parsePOSTFormSubmission=False
        )
        self.resource_for = resource_for
        self.limits = limits
        self.max_connections = max_connections
        self.reactor = reactor
        self.channels: dict[StrictChannel, None] = {}  # in the order in which they were made
        self.closing = False
        self._drained: Deferred[None] | None = None

    def startFactory(self) -> None:
        """Without the log file and the clock of Twisted's access log."""

    def stopFactory(self) -> None:
        """Nothing has been started."""

    def log(self, request: Any) -> None:
        """There is no access log: writing it uses processor time."""

    def getContentFile(self, length: int | None) -> BytesIO:
        """Bodies are bounded by the limits and stay in memory."""
        return BytesIO()

    def buildProtocol(self, addr: Any) -> Any:
        """A `StrictChannel`; None, which closes the connection unread, where there are too many."""
        if len(self.channels) >= self.max_connections:
            return None
        channel: Any = StrictChannel()
        channel.factory = channel.site = self
        channel.requestFactory = self.requestFactory
        channel.callLater = self.reactor.callLater
        return channel

    def begin_shutdown(self) -> Deferred[None]:
        """Close idle connections and let others have their answers; fires once none is open."""
        self.closing = True
        if self._drained is None:
            self._drained = Deferred()
            for channel in tuple(self.channels):
                channel.begin_shutdown()
            self.channel_lost()
        return self._drained

    def answer_pending(self) -> None:
        """The process is about to end: whoever waits for an answer gets one that promises nothing."""
        for channel in tuple(self.channels):
            channel.answer_pending()

    def channel_lost(self) -> None:
        """A connection has ended."""
        if self._drained is not None and not self.channels and not self._drained.called:
            self._drained.callback(None)
