"""A request to a server of an edge node, and its single response."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.web import server

RETRY_AFTER_S = 1  # Retry-After for failures that may be over soon


class HttpRequest(server.Request):
    """A request whose target and body are left unchanged: nothing is decoded, parsed or logged."""

    defaultContentType = None
    channel: Any
    content: Any
    site: Any
    needs_open_peer = False  # whether a peer that closed its sending side counts as disconnected
    fallback_status = 503  # if the process ends before the result is known; must not imply an outcome

    @property
    def can_reply(self) -> bool:
        """Whether the client is connected and has no response yet."""
        return not (self.finished or self._disconnected)

    def set_header(self, name: bytes, value: bytes) -> None:
        """Set a header of the response."""
        self.responseHeaders.setRawHeaders(name, [value])

    def reply(self, status: int, body: bytes = b"", retry_after_s: int | None = None) -> None:
        """Send a complete response, unless the client has disconnected or already has its response."""
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
        """Send the fallback response, unless another response has begun."""
        if not self.startedWriting:
            self.reply(self.fallback_status, retry_after_s=RETRY_AFTER_S)

    def when_finished(self) -> Deferred[None]:
        """Fires once the request has its response or its client has disconnected; klein waits for it."""
        if not self.can_reply:
            return succeed(None)
        finished: Deferred[None] = self.notifyFinish()
        return finished.addErrback(lambda _: None)

    # ---- hooks of twisted.web

    def handleContentChunk(self, data: bytes) -> None:
        """Store a part of the body, within the limit."""
        self.channel.body_bytes_left -= len(data)
        if self.channel.body_bytes_left < 0:
            self.channel.reject(413)
        else:
            self.content.write(data)

    def parseCookies(self) -> None:
        """Do nothing: cookies are only for the workers."""

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        """Process a complete request; unlike Twisted's implementation, without parsing its body."""
        self.content.seek(0)
        self.args = {}
        self.method = command
        self.uri = path
        self.clientproto = version
        self.path = path.partition(b"?")[0]
        self.process()

    def process(self) -> None:
        """Have the server's resource respond; an exception is logged and answered with 500."""
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
        """A fixed name: klein builds URLs from it that no response uses, and clients may send any value."""
        return b"node"

    def write(self, data: bytes) -> None:
        """Write a part of the response; before the head, the channel decides whether it will close."""
        if not self.startedWriting and not self._disconnected:
            self.channel.before_response(self)
        super().write(data)  # type: ignore[no-untyped-call]
