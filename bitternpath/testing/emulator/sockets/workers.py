"""Workers on sockets: requests of the nodes come in, news of the jobs go back as call-backs."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

import ujson

from bitternpath.net import http1
from bitternpath.testing.emulator.sockets.run import Run, RunningNode
from bitternpath.testing.emulator.sockets.servers import Server, ServerConnection
from bitternpath.testing.emulator.worker import Attempt, Worker

CALL_BACK_TRIES = 10
CALL_BACK_AGAIN = 1.0  # s
HALF_DONE = 0.5  # the share that every note of progress tells


class WorkerServers:
    """A server for each pair of node and worker, so that a worker knows who sends."""

    def __init__(self, world: Run) -> None:
        self.world = world
        self.attempts: dict[tuple[str, str], Attempt] = {}  # by request and worker
        self.servers: dict[tuple[str, str], Server] = {}  # by node and worker
        for node in world.nodes.values():
            for worker in world.workers.values():
                self.servers[node.name, worker.id] = Server(world.reactor, partial(self._serve, worker, node))

    def address(self, node: str, worker: str) -> str:
        """Where the node reaches the worker."""
        return f"127.0.0.1:{self.servers[node, worker].number}"

    def _of(self, worker: Worker) -> list[Server]:
        return [self.servers[node, worker.id] for node in self.world.nodes]

    def open(self, worker: Worker) -> None:
        for server in self._of(worker):
            server.open()

    def close(self, worker: Worker) -> None:
        """Its process has died: connections are reset."""
        for server in self._of(worker):
            server.close()

    def silence(self, worker: Worker) -> None:
        """Its machine can't be reached any more."""
        for server in self._of(worker):
            server.silence()

    def close_all(self) -> None:
        for server in self.servers.values():
            server.close()

    def _serve(
        self, worker: Worker, node: RunningNode, connection: ServerConnection, request: http1.Request
    ) -> None:
        """A request of a node's has come whole; it takes the way between the sites first."""
        later, net = self.world.later, self.world.net
        if request.method == b"DELETE":
            later.callLater(net.delay(node.site, worker.site), connection.answer, 200)
            return
        if net.passes(node.site, worker.site):
            delay = net.delay(node.site, worker.site)
            later.callLater(delay, self._arrive, worker, node, connection, request)

    def _arrive(
        self, worker: Worker, node: RunningNode, connection: ServerConnection, request: http1.Request
    ) -> None:
        world = self.world
        if not worker.up or not worker.reachable:
            return
        now, id = world.now(), request.headers.get(b"x-call-id", b"").decode()
        told = world.asks.get(id)
        if told is None:
            world.checker.arrived(now, id, worker.id, 0)
            connection.answer(400)
            return
        world.tally.attempt(now, node.site != worker.site)
        left = float(request.headers.get(b"x-budget-ms", b"5000")) / 1000.0
        number = len([v for v in self.attempts if v[0] == id])
        attempt = Attempt(
            id, told.ask.job_class.name, told.ask.work, 1, now + left, node, partial(self._told, worker)
        )
        attempt.informed = world.informed.get(worker.id, {}).get(node.name) == (
            world.directory.epoch + worker.up_since * 1000.0
        )
        world.checker.sent(now, id, node.name, worker.id)
        world.checker.arrived(now, id, worker.id, number)
        back = world.net.delay(worker.site, node.site)
        passes = world.net.passes(worker.site, node.site)
        if worker.arrive(attempt):
            self.attempts[id, worker.id] = attempt
            if passes:
                world.later.callLater(back, connection.answer, 202)
        else:
            world.checker.turned_away(now, id, worker.id, number)
            if passes:
                world.later.callLater(back, connection.answer, 503, ((b"X-Rejected", b"1"),))

    def _told(self, worker: Worker, attempt: Attempt, what: str) -> None:
        """The model says what became of an attempt."""
        world = self.world
        news: dict[str, Any] = {"id": attempt.id, "from": worker.id}
        if what == "started":
            news["state"] = "started"
            self._note_later(worker, attempt)
        elif what in ("done", "failed"):
            world.tally.worked(world.now(), attempt.work)
            if attempt.progress is not None and attempt.progress.active():
                attempt.progress.cancel()
            news["state"] = what
            result = f"{worker.id}:{attempt.id}"
            if what == "done":
                news["result"] = result
            world.checker.ran(world.now(), attempt.id, worker.id, result.encode() if what == "done" else None)
        elif what == "lost":
            news["state"] = "lost"
        else:
            return
        self._call_back(worker, attempt.node, ujson.dumps(news).encode(), 0)

    def _note_later(self, worker: Worker, attempt: Attempt) -> None:
        every = self.world.scenario.rules.progress_ms / 1000.0
        if every:
            attempt.progress = self.world.later.callLater(every, self._note, worker, attempt)

    def _note(self, worker: Worker, attempt: Attempt) -> None:
        if not attempt.ended:
            if not worker.paused:
                news = {"id": attempt.id, "from": worker.id, "state": "running", "share": HALF_DONE}
                self._call_back(worker, attempt.node, ujson.dumps(news).encode(), 0)
            self._note_later(worker, attempt)

    def _call_back(self, worker: Worker, node: RunningNode, body: bytes, tries: int) -> None:
        """Tried until it is answered, some times at most."""
        world = self.world

        def again() -> None:
            if tries < CALL_BACK_TRIES:
                world.later.callLater(CALL_BACK_AGAIN, self._call_back, worker, node, body, tries + 1)

        passes = world.net.passes(worker.site, node.site)
        if not worker.reachable or not passes or worker.id in world.losing:
            again()
            return
        send = partial(self._send, node, body, again)
        delay = world.net.delay(worker.site, node.site)
        world.later.callLater(delay, send)
        if world.call_backs_twice and world.random.random() < world.call_backs_twice:
            world.later.callLater(2 * delay, send)

    @staticmethod
    def _send(node: RunningNode, body: bytes, again: Callable[[], None]) -> None:
        def heard(answer: http1.Response | None) -> None:
            if answer is None or answer.status not in (200, 204):
                again()

        data = http1.request(b"POST", b"/_jobs/news", [(b"Host", b"n")], body)
        node.news.ask(data, heard, again, lambda connection: None)
