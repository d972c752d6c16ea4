"""Clients' requests to one node, and what is read of its answers."""

from __future__ import annotations

from bitternpath.net import http1
from bitternpath.testing.emulator.clients import Try
from bitternpath.testing.emulator.sockets.pool import ClientConnection, ConnectionPool
from bitternpath.testing.emulator.sockets.run import Run, RunningNode

# s for which a client's connection is read on once its time is up: an answer that is late, but within the
# rules' grace, would else go unread, and one that is later still would not show how late.
READ_ON = 1.0


class ClientRequests:
    """Requests on the connections of one node's clients."""

    def __init__(self, world: Run, node: RunningNode) -> None:
        self.world, self.node = world, node
        self.pool = ConnectionPool(world.reactor, lambda: node.port)

    def send(self, told: Try) -> None:
        """Send a request on a kept connection or a new one."""
        world, ask, id = self.world, told.ask, told.id
        world.asks[id] = told

        def sent(connection: ClientConnection) -> None:
            world.checker.took(world.now(), id, self.node.name, told.sent + told.budget, ask.job_class.safe)
            world.connections[id] = connection
            if told.done:  # it gave up or left before there was a connection
                world.checker.left(id)
                world.later.callLater(0.0, self._hang_up, told)

        def refused() -> None:
            world.later.callLater(0.0, world.clients.answer, told, "unreachable", 0.0, b"")

        self.pool.ask(self._bytes(told), lambda answer: self._heard(told, answer), refused, sent)

    def _bytes(self, told: Try) -> bytes:
        job_class = told.ask.job_class.name.encode()
        left = max(int((told.sent + told.budget - self.world.now()) * 1000), 1)
        headers = [
            (b"Host", b"backend.local"), (b"X-Call-Id", told.id.encode()),
            (b"X-Call-Class", job_class), (b"X-Budget-Ms", b"%d" % left),
        ]  # fmt: skip
        if told.number and self.world.scenario.clients.marks_retry:
            headers.append((b"X-Again", b"1"))
        return http1.request(b"POST", b"/" + job_class, headers, b"work")

    def _heard(self, told: Try, answer: http1.Response | None) -> None:
        self.world.connections.pop(told.id, None)
        if answer is None:
            self._answered(told, "reset", 0.0, b"")
        elif answer.status == 200:
            self._answered(told, "served", 0.0, answer.body)
        elif answer.status in (429, 503):
            advice = answer.headers.get(b"retry-after", b"0")
            self._answered(told, "refused", float(advice) * 1000.0, b"")
        else:
            self._answered(told, "failed", 0.0, b"")

    def _answered(self, told: Try, what: str, retry_after: float, result: bytes) -> None:
        """What a client reads."""
        world, node, now = self.world, self.node, self.world.now()
        world.excuse(now, node, told)
        if what == "reset":
            if node.up and node.process.poll() is None and not told.done:
                world.checker.answered(now, told.id, "closed")  # a whole answer was owed
                world.faults.append(f"{node.name} closed on request {told.id} without an answer")
        else:
            world.checker.answered(now, told.id, what, result)
        delay = world.to_client(told.ask.site, node.site)
        world.later.callLater(delay, world.clients.answer, told, what, retry_after, result)

    def leave(self, told: Try) -> None:
        """The client waits no longer. One whose time is up reads on for a while: what the node answered in
        time may lie unread, or be on its way."""
        if self.world.now() < told.sent + told.budget:
            self._hang_up(told)
        else:
            self.world.later.callLater(READ_ON, self._hang_up, told)

    def _hang_up(self, told: Try) -> None:
        connection = self.world.connections.pop(told.id, None)
        if connection is not None:
            connection.heard = None
            connection.transport.abortConnection()
            if self.world.now() < self.world.checker.due(told.id):
                self.world.checker.left(told.id)

    def close(self) -> None:
        self.pool.close()
