"""Workers on sockets: they receive the nodes' requests and report job states by call-backs."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

import ujson

from bitternpath.net import http1
from bitternpath.testing.emulator.sockets.run import Run, RunningNode
from bitternpath.testing.emulator.sockets.servers import Server, ServerConnection
from bitternpath.testing.emulator.worker import Attempt, Worker

CALL_BACK_RETRIES = 10
CALL_BACK_RETRY_DELAY = 1.0  # s
PROGRESS_SHARE = 0.5  # the share done in every progress report


class WorkerServers:
    """One server for each pair of node and worker, so that a worker knows the sender."""

    def __init__(self, world: Run) -> None:
        self.world = world
        self.attempts: dict[tuple[str, str], Attempt] = {}  # (request id, worker): attempt
        self.servers: dict[tuple[str, str], Server] = {}  # (node, worker): server
        for node in world.nodes.values():
            for worker in world.workers.values():
                self.servers[node.name, worker.id] = Server(world.reactor, partial(self._serve, worker, node))

    def address(self, node: str, worker: str) -> str:
        """The address at which the node reaches the worker."""
        return f"127.0.0.1:{self.servers[node, worker].number}"

    def _servers_of(self, worker: Worker) -> list[Server]:
        return [self.servers[node, worker.id] for node in self.world.nodes]

    def open(self, worker: Worker) -> None:
        for server in self._servers_of(worker):
            server.open()

    def close(self, worker: Worker) -> None:
        """The worker's process has died: connections are reset."""
        for server in self._servers_of(worker):
            server.close()

    def go_silent(self, worker: Worker) -> None:
        """The worker's machine becomes unreachable."""
        for server in self._servers_of(worker):
            server.go_silent()

    def close_all(self) -> None:
        for server in self.servers.values():
            server.close()

    def _serve(
        self, worker: Worker, node: RunningNode, connection: ServerConnection, request: http1.Request
    ) -> None:
        """Handles a node's complete request after the delay between the sites."""
        scheduler, net = self.world.scheduler, self.world.net
        if request.method == b"DELETE":
            scheduler.callLater(net.delay(node.site, worker.site), connection.answer, 200)
            return
        if net.delivers(node.site, worker.site):
            delay = net.delay(node.site, worker.site)
            scheduler.callLater(delay, self._arrive, worker, node, connection, request)

    def _arrive(
        self, worker: Worker, node: RunningNode, connection: ServerConnection, request: http1.Request
    ) -> None:
        world = self.world
        if not worker.alive or not worker.reachable:
            return
        now, id = world.now(), request.headers.get(b"x-call-id", b"").decode()
        client_request = world.client_requests.get(id)
        if client_request is None:
            world.checker.arrived(now, id, worker.id, 0)
            connection.answer(400)
            return
        world.metrics.record_attempt(now, node.site != worker.site)
        remaining_s = float(request.headers.get(b"x-budget-ms", b"5000")) / 1000.0
        number = len([v for v in self.attempts if v[0] == id])
        attempt = Attempt(
            id,
            client_request.operation.job_class.name,
            client_request.operation.work,
            1,
            now + remaining_s,
            node,
            partial(self._job_update, worker),
        )
        attempt.sender_knew_start = world.known_starts.get(worker.id, {}).get(node.name) == (
            world.directory.epoch + worker.up_since * 1000.0
        )
        world.checker.sent(now, id, node.name, worker.id)
        world.checker.arrived(now, id, worker.id, number)
        back = world.net.delay(worker.site, node.site)
        reachable = world.net.delivers(worker.site, node.site)
        if worker.arrive(attempt):
            self.attempts[id, worker.id] = attempt
            if reachable:
                world.scheduler.callLater(back, connection.answer, 202)
        else:
            world.checker.rejected(now, id, worker.id, number)
            if reachable:
                world.scheduler.callLater(back, connection.answer, 503, ((b"X-Rejected", b"1"),))

    def _job_update(self, worker: Worker, attempt: Attempt, event: str) -> None:
        """Reports a state change of an attempt by call-back."""
        world = self.world
        update: dict[str, Any] = {"id": attempt.id, "from": worker.id}
        if event == "started":
            update["state"] = "started"
            self._schedule_progress(worker, attempt)
        elif event in ("done", "failed"):
            world.metrics.record_work(world.now(), attempt.work)
            if attempt.progress is not None and attempt.progress.active():
                attempt.progress.cancel()
            update["state"] = event
            result = f"{worker.id}:{attempt.id}"
            if event == "done":
                update["result"] = result
            world.checker.ended(
                world.now(), attempt.id, worker.id, result.encode() if event == "done" else None
            )
        elif event == "lost":
            update["state"] = "lost"
        else:
            return
        self._call_back(worker, attempt.node, ujson.dumps(update).encode(), 0)

    def _schedule_progress(self, worker: Worker, attempt: Attempt) -> None:
        every = self.world.scenario.rules.progress_ms / 1000.0
        if every:
            attempt.progress = self.world.scheduler.callLater(every, self._send_progress, worker, attempt)

    def _send_progress(self, worker: Worker, attempt: Attempt) -> None:
        if not attempt.ended:
            if not worker.paused:
                update = {"id": attempt.id, "from": worker.id, "state": "running", "share": PROGRESS_SHARE}
                self._call_back(worker, attempt.node, ujson.dumps(update).encode(), 0)
            self._schedule_progress(worker, attempt)

    def _call_back(self, worker: Worker, node: RunningNode, body: bytes, retries: int) -> None:
        """Sends a call-back until it is answered, with at most `CALL_BACK_TRIES` retries."""
        world = self.world

        def retry() -> None:
            if retries < CALL_BACK_RETRIES:
                world.scheduler.callLater(
                    CALL_BACK_RETRY_DELAY, self._call_back, worker, node, body, retries + 1
                )

        reachable = world.net.delivers(worker.site, node.site)
        if not worker.reachable or not reachable or worker.id in world.blocked_call_backs:
            retry()
            return
        send = partial(self._send, node, body, retry)
        delay = world.net.delay(worker.site, node.site)
        world.scheduler.callLater(delay, send)
        if world.duplicate_call_backs and world.random.random() < world.duplicate_call_backs:
            world.scheduler.callLater(2 * delay, send)

    @staticmethod
    def _send(node: RunningNode, body: bytes, retry: Callable[[], None]) -> None:
        def on_response(answer: http1.Response | None) -> None:
            if answer is None or answer.status not in (200, 204):
                retry()

        data = http1.request(b"POST", b"/_jobs/news", [(b"Host", b"n")], body)
        node.call_back_pool.send(data, on_response, retry, lambda connection: None)
