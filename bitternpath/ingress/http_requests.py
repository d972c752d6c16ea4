"""One request to a server of an edge node, and its one response."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.web import server

RETRY_AFTER_S = 1  # Retry-After of what may work again in a moment


class HttpRequest(server.Request):
    """A request whose target and body stay as they came: nothing is decoded, parsed or logged."""

    defaultContentType = None
    channel: Any
    content: Any
    site: Any
    needs_open_peer = False  # respond only to a peer whose sending side is open: else it may be gone
    fallback_status = 503  # where the process ends before the result is known; it must promise nothing

    @property
    def can_reply(self) -> bool:
        """Whether the client is there and has no response yet."""
        return not (self.finished or self._disconnected)

    def set_header(self, name: bytes, value: bytes) -> None:
        """Set a header of the response."""
        self.responseHeaders.setRawHeaders(name, [value])

    def reply(self, status: int, body: bytes = b"", retry_after_s: int | None = None) -> None:
        """Send a complete response, unless the client has disconnected or has its response already."""
        if not self.can_reply:
            return
        self.setResponseCode(status)
        if status != 204:
            self.set_header(b"Content-Length", b"%d" % len(body))
        if retry_after_s is not None:
            self.set_header(b"Retry-After", b"%d" % retry_after_s)
        self.write(body)
        self.finish()  # type: ignore[no-untyped-call]

    def reply_fallback(self) -> None:
        """Send the response that promises nothing, unless another one has begun."""
        if not self.startedWriting:
            self.reply(self.fallback_status, retry_after_s=RETRY_AFTER_S)

    def when_finished(self) -> Deferred[None]:
        """Fires once the request has its response, or its client has disconnected: what klein waits for."""
        if not self.can_reply:
            return succeed(None)
        finished: Deferred[None] = self.notifyFinish()
        return finished.addErrback(lambda _: None)

    # ---- hooks of twisted.web

    def handleContentChunk(self, data: bytes) -> None:
        """Keep a part of the body, within the limit."""
        self.channel.body_bytes_left -= len(data)
        if self.channel.body_bytes_left < 0:
            self.channel.reject(413)
        else:
            self.content.write(data)

    def parseCookies(self) -> None:
        """Cookies are for the workers alone."""

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        """Begin with a complete request; unlike Twisted's own, without a look into its body."""
        self.content.seek(0)
        self.args = {}
        self.method = command
        self.uri = path
        self.clientproto = version
        self.path = path.partition(b"?")[0]
        self.process()

    def process(self) -> None:
        """Let the server's resource respond; an error there is logged and answered with 500."""
        self.site = self.channel.site
        self.prepath = []
        self.postpath = self.path[1:].split(b"/")
        try:
            self.render(self.site.resource_for(self))  # type: ignore[no-untyped-call]
        except Exception:
            self._log.failure("request_failed")
            if not self.finished:
                self.reply(500)

    def getRequestHostname(self) -> bytes:
        """A fixed name: klein builds URLs of it, no response uses them, and clients may send anything."""
        return b"node"

    def write(self, data: bytes) -> None:
        """Write a part of the response; before its head the channel decides whether it closes after it."""
        if not self.startedWriting and not self._disconnected:
            self.channel.before_response(self)
        super().write(data)  # type: ignore[no-untyped-call]
