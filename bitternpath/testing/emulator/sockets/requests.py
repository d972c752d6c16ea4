"""Clients' requests to one node, and their answers."""

from __future__ import annotations

from bitternpath.net import http1
from bitternpath.testing.emulator.clients import ClientRequest
from bitternpath.testing.emulator.sockets.pool import ClientConnection, ConnectionPool
from bitternpath.testing.emulator.sockets.run import Run, RunningNode

# s for which a client's connection is still read after its timeout: an answer that is late but within the
# allowed grace would otherwise go unread, and a later one would not show how late it is.
LATE_READ_TIME = 1.0


class ClientRequests:
    """Requests of one node's clients."""

    def __init__(self, world: Run, node: RunningNode) -> None:
        self.world, self.node = world, node
        self.pool = ConnectionPool(world.reactor, lambda: node.port)

    def send(self, client_request: ClientRequest) -> None:
        """Sends a request on an idle connection or a new one."""
        world, operation, id = self.world, client_request.operation, client_request.id
        world.client_requests[id] = client_request

        def on_connected(connection: ClientConnection) -> None:
            world.checker.accepted(
                world.now(),
                id,
                self.node.name,
                client_request.sent + client_request.budget,
                operation.job_class.safe,
            )
            world.connections[id] = connection
            if client_request.done:  # it timed out or left before there was a connection
                world.checker.abandoned(id)
                world.scheduler.callLater(0.0, self._hang_up, client_request)

        def on_refused() -> None:
            world.scheduler.callLater(0.0, world.clients.answer, client_request, "unreachable", 0.0, b"")

        self.pool.send(
            self._bytes(client_request),
            lambda answer: self._on_response(client_request, answer),
            on_refused,
            on_connected,
        )

    def _bytes(self, client_request: ClientRequest) -> bytes:
        job_class = client_request.operation.job_class.name.encode()
        remaining_ms = max(int((client_request.sent + client_request.budget - self.world.now()) * 1000), 1)
        headers = [
            (b"Host", b"backend.local"), (b"X-Call-Id", client_request.id.encode()),
            (b"X-Call-Class", job_class), (b"X-Budget-Ms", b"%d" % remaining_ms),
        ]  # fmt: skip
        if client_request.number and self.world.scenario.clients.marks_retry:
            headers.append((b"X-Again", b"1"))
        return http1.request(b"POST", b"/" + job_class, headers, b"work")

    def _on_response(self, client_request: ClientRequest, answer: http1.Response | None) -> None:
        self.world.connections.pop(client_request.id, None)
        if answer is None:
            self._record_answer(client_request, "reset", 0.0, b"")
        elif answer.status == 200:
            self._record_answer(client_request, "served", 0.0, answer.body)
        elif answer.status in (429, 503):
            retry_after_header = answer.headers.get(b"retry-after", b"0")
            self._record_answer(client_request, "refused", float(retry_after_header) * 1000.0, b"")
        else:
            self._record_answer(client_request, "failed", 0.0, b"")

    def _record_answer(
        self, client_request: ClientRequest, outcome: str, retry_after: float, result: bytes
    ) -> None:
        """Checks the outcome of a request and passes it to the client after the network delay."""
        world, node, now = self.world, self.node, self.world.now()
        world.excuse_delay(now, node, client_request)
        if outcome == "reset":
            if node.alive and node.process.poll() is None and not client_request.done:
                world.checker.answered(now, client_request.id, "closed")  # a complete answer was owed
                world.failures.append(f"{node.name} closed on request {client_request.id} without an answer")
        else:
            world.checker.answered(now, client_request.id, outcome, result)
        delay = world.to_client(client_request.operation.site, node.site)
        world.scheduler.callLater(delay, world.clients.answer, client_request, outcome, retry_after, result)

    def leave(self, client_request: ClientRequest) -> None:
        """The client stops waiting. After a timeout its connection is still read for a while, since an answer
        that the node sent in time may be unread or on its way."""
        if self.world.now() < client_request.sent + client_request.budget:
            self._hang_up(client_request)
        else:
            self.world.scheduler.callLater(LATE_READ_TIME, self._hang_up, client_request)

    def _hang_up(self, client_request: ClientRequest) -> None:
        connection = self.world.connections.pop(client_request.id, None)
        if connection is not None:
            connection.on_response = None
            connection.transport.abortConnection()
            if self.world.now() < self.world.checker.deadline(client_request.id):
                self.world.checker.abandoned(client_request.id)

    def close(self) -> None:
        self.pool.close()
