"""Nodes in virtual time: the real core (endpoint registry, broker, decision module) without sockets."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any

from bitternpath.balancer import messages as m
from bitternpath.balancer.core.broker import Broker
from bitternpath.balancer.core.endpoint_registry import Endpoint, EndpointRegistry, Listing
from bitternpath.balancer.core.requests import AcceptedRequest, CallReport, CallState, UpstreamCall
from bitternpath.testing.emulator.clients import ClientRequest
from bitternpath.testing.emulator.discovery import EPOCH
from bitternpath.testing.emulator.worker import Attempt, Worker

CALL_BACK_RETRIES, CALL_BACK_RETRY_DELAY = 10, 1.0  # of a call-back; s between them
# Share of the workers' idle timeout after which a node no longer reuses an idle connection.
IDLE_REUSE_SHARE = 0.6


class NodeTimer:
    """The timers of one incarnation of a node: void after it ends, deferred while the process is stopped."""

    __slots__ = ("node", "scheduler")

    def __init__(self, node: VirtualNode, scheduler: Any) -> None:
        self.node, self.scheduler = node, scheduler

    def callLater(self, delay: float, callback: Callable[..., object], *args: Any) -> Any:
        return self.scheduler.callLater(delay, self._due, callback, args)

    def _due(self, callback: Callable[..., object], args: tuple[Any, ...]) -> None:
        node = self.node
        if node.timer is not self:
            return  # timer of an earlier incarnation
        if node.stopped:
            node.deferred.append(partial(callback, *args))
        else:
            callback(*args)


class VirtualClient:
    """The client side of one accepted request, as the broker sees it."""

    __slots__ = ("client_request", "node")

    def __init__(self, node: VirtualNode, client_request: ClientRequest) -> None:
        self.node, self.client_request = node, client_request

    def served(self, result: bytes) -> None:
        self.node.answer(self.client_request, "served", 0.0, result)

    def rejected(self, retry_after: float) -> None:
        self.node.answer(self.client_request, "refused", retry_after, b"")

    def failed(self) -> None:
        self.node.answer(self.client_request, "failed", 0.0, b"")

    def disconnected(self) -> bool:
        return False  # in virtual time the broker learns of a disconnect at once


class VirtualNode:
    """One node across its incarnations (process starts)."""

    def __init__(self, world: Any, name: str, site: str, number: int, random: Random) -> None:
        self.world, self.name, self.site, self.number, self.random = world, name, site, number, random
        self.alive = self.stopped = False
        self.deferred: list[Callable[[], object]] = []
        self.timer: Any = None
        self.broker: Any = None
        self.requests: dict[str, AcceptedRequest] = {}
        self.idle_connections: dict[str, list[float]] = {}  # worker: last-used times of idle connections
        # worker: open connections, where the worker limits them
        self.open_connections: Counter[str] = Counter()
        self.dials = 0
        self.last_listing: Listing | None = None  # the list that the previous incarnation had
        # manually ejected workers and the time of ejection; kept across restarts
        self.ejected: dict[str, float] = {}

    # ---- process

    def start(self, initial_listing: Listing | None = None) -> None:
        """Starts a process without state, with the list it last had, which may be stale."""
        world = self.world
        self.alive, self.stopped = True, False
        self.timer = NodeTimer(self, world.scheduler)
        must_subscribe = world.scenario.discovery.calls_per_s > 0.0
        listing = initial_listing or (
            self.last_listing if must_subscribe and self.last_listing else world.directory.full_listing()
        )
        self.registry = EndpointRegistry(listing)
        self.policy = world.make_policy(self)
        self.broker = Broker(
            self.timer, self.clock, self.registry, {"http": VirtualUpstreamClient(self)}, self.policy.handle
        )
        for worker, since in self.ejected.items():
            self.registry.eject(worker, since)
        self.registry.on_change = self.broker.endpoints_changed
        self.broker.endpoints_changed(
            Listing(listing.revision, True, tuple(self.registry.endpoints.values())), at_start=True
        )
        # Actions that the module requests at start are carried out with those of its first event, as on
        # sockets.
        if must_subscribe:
            self.broker.subscribe = partial(self._subscribe, self.timer)
        else:
            world.directory.subscribers[self.name] = self.apply_listing
        self.idle_connections.clear()
        world.scheduler.callLater(0.0, world.load_balancer.admit, self)
        current = world.directory.full_listing()
        if initial_listing is not None and not must_subscribe:
            world.scheduler.callLater(0.05, self.apply_listing, self.name, current)

    def _subscribe(self, incarnation: NodeTimer) -> None:
        """Subscribes to discovery; the reply counts for this incarnation only."""

        def granted() -> None:
            if self.timer is incarnation and self.alive:
                self.world.directory.subscribers[self.name] = self.apply_listing
                self.apply_listing(self.name, self.world.directory.full_listing())

        def failed() -> None:
            if self.timer is incarnation and self.alive:
                self.broker.subscription_failed()

        self.world.directory.subscribe(self.name, granted, failed)

    def clock(self) -> float:
        return float(EPOCH + self.world.scheduler.now * 1000.0)

    def apply_listing(self, name: str, listing: Listing) -> None:
        """Applies an update from discovery."""
        if not self.alive:
            return
        world = self.world
        listed = {p.id for p in listing.members}
        for endpoint in listing.members:
            world.checker.discovery_notified(
                world.scheduler.now, self.name, endpoint.id, endpoint.state is m.WorkerState.SERVING
            )
            if endpoint.up_since:
                world.known_starts.setdefault(endpoint.id, {})[self.name] = endpoint.up_since
        if listing.complete:
            for gone in [p for p in self.registry.endpoints if p not in listed]:
                world.checker.discovery_notified(world.scheduler.now, self.name, gone, False)
        world.trace("told", self.name, listing.revision)
        if self.stopped:
            self.deferred.append(partial(self.registry.apply, listing))
        else:
            self.registry.apply(listing)

    def kill(self) -> None:
        """Kills the process: its requests are lost and their clients see a connection reset."""
        if not self.alive:
            return
        world = self.world
        self.alive = False
        self.timer = None
        self.last_listing = Listing(self.registry.revision, True, tuple(self.registry.endpoints.values()))
        for name, count in self.open_connections.items():
            world.workers[name].connections -= count
        self.open_connections.clear()
        self.deferred.clear()
        world.directory.subscribers.pop(self.name, None)
        world.checker.node_killed(world.scheduler.now, self.name)
        for request in self.requests.values():
            client_request = request.client.client_request  # type: ignore[attr-defined]
            world.scheduler.callLater(
                world.to_client(client_request.operation.site, self.site),
                world.clients.answer,
                client_request,
                "reset",
                0.0,
                b"",
            )
        self.requests.clear()
        world.scheduler.callLater(world.failure_detection_s, self._failure_detected)

    def _failure_detected(self) -> None:
        if not self.alive:
            self.world.load_balancer.drop(self)

    def stop(self) -> None:
        """Stops the process (SIGSTOP): it neither sends nor handles anything, but keeps its state."""
        self.stopped = True

    def resume(self) -> None:
        self.stopped = False
        self.world.checker.node_resumed(self.world.scheduler.now, self.name)
        deferred, self.deferred = self.deferred, []
        for callback in deferred:
            callback()

    def reload(self) -> None:
        """SIGHUP. Does nothing here: the core reads no file."""

    def eject(self, worker: str) -> None:
        """Ejects a worker by hand; a node that is down reads the ejection from its disk at the next start."""
        self.ejected[worker] = self.clock()
        self.world.checker.worker_ejected(self.world.scheduler.now, self.name, worker)
        self._run_or_defer(lambda: self.registry.eject(worker, self.ejected.get(worker, self.clock())))

    def reinstate(self, worker: str) -> None:
        self.ejected.pop(worker, None)
        self.world.checker.worker_reinstated(self.name, worker)
        self._run_or_defer(lambda: self.registry.reinstate(worker, self.clock()))

    def _run_or_defer(self, callback: Callable[[], None]) -> None:
        if self.stopped:
            self.deferred.append(callback)
        elif self.alive:
            callback()

    def restart(self, down: float) -> None:
        """A planned restart: the load balancer drops the node first and admits it again after the start."""
        self.world.load_balancer.drop(self)
        self.world.scheduler.callLater(4.0, self._restarted, down)

    def _restarted(self, down: float) -> None:
        self.kill()
        self.world.scheduler.callLater(down, self.start)

    # ---- clients

    def request(self, client_request: ClientRequest) -> bool:
        """Handles a client's complete request; False if the process is down."""
        if not self.alive:
            return False
        world, operation = self.world, client_request.operation
        now = world.scheduler.now
        deadline = client_request.sent + client_request.budget
        world.checker.accepted(now, client_request.id, self.name, deadline, operation.job_class.safe)
        world.trace("took", client_request.id, self.name)
        repeat = world.scenario.clients.marks_retry and client_request.number > 0
        request = AcceptedRequest(
            client_request.id, operation.job_class.name, EPOCH + deadline * 1000.0,
            VirtualClient(self, client_request), client_request, client_request.key, None, 1.0, 0.0, repeat,
        )  # fmt: skip
        self.requests[client_request.id] = request
        if world.policy == "oracle":
            world._operations[client_request.id] = operation
        if self.stopped:
            self.deferred.append(partial(self.broker.submit, request))
        else:
            self.broker.submit(request)
        return True

    def client_disconnected(self, client_request: ClientRequest) -> None:
        """The client has closed its connection; the node notices after the network delay."""
        self.world.scheduler.callLater(
            self.world.to_client(client_request.operation.site, self.site), self._withdraw, client_request
        )

    def _withdraw(self, client_request: ClientRequest) -> None:
        request = self.requests.pop(client_request.id, None)
        if request is not None and self.alive:
            self.broker.withdraw(request)

    def answer(self, client_request: ClientRequest, outcome: str, retry_after: float, result: bytes) -> None:
        world = self.world
        if self.requests.pop(client_request.id, None) is None and client_request.done:
            return  # the client has gone: no answer is owed and none is seen
        world.checker.answered(world.scheduler.now, client_request.id, outcome, result)
        world.trace("answer", client_request.id, outcome)
        world.scheduler.callLater(
            world.to_client(client_request.operation.site, self.site),
            world.clients.answer,
            client_request,
            outcome,
            retry_after,
            result,
        )

    # ---- calls to workers

    def start_call(self, call: UpstreamCall, endpoint: Endpoint) -> None:
        world = self.world
        worker: Worker = world.workers[endpoint.id]
        net, scheduler, now = world.net, world.scheduler, world.scheduler.now
        operation = call.request.payload.operation
        world.checker.sent(now, call.id, self.name, worker.id)
        world.trace("send", call.id, worker.id)
        world.metrics.record_attempt(now, self.site != worker.site)
        delay = net.delay(self.site, worker.site)
        work, wait = operation.work, delay
        self._close_idle(worker.id)
        idle = self.idle_connections.get(worker.id)
        if idle:
            idle.pop()
        else:
            bidirectional = net.delivers(self.site, worker.site) and net.delivers(worker.site, self.site)
            if not worker.reachable or not bidirectional:
                self._not_connected(call, worker, world.dial_timeout)
                return
            limit = worker.kind.connections
            if not worker.alive or (limit and worker.connections >= limit):
                self._not_connected(call, worker, 2 * delay)
                return
            self.dials += 1
            if limit:
                worker.connections += 1
                self.open_connections[worker.id] += 1
            wait += world.scenario.net.handshake_rtts * 2 * delay
            work += world.scenario.net.handshake_work_ms / 1000.0
        deadline = (call.expires - EPOCH) / 1000.0
        attempt = Attempt(
            call.id,
            operation.job_class.name,
            work,
            1,
            deadline,
            self,
            partial(self._job_update, worker, call.number),
        )
        up_since = EPOCH + worker.up_since * 1000.0
        attempt.sender_knew_start = world.known_starts.get(worker.id, {}).get(self.name) == up_since
        scheduler.callLater(wait, self._arrive, call, worker, attempt, self.timer)

    def _not_connected(self, call: UpstreamCall, worker: Worker, wait: float) -> None:
        if self.world.policy == "oracle":
            self.world.reserved[worker.id] -= 1
        self.timer.callLater(wait, self.broker.call_ended, call, m.AttemptOutcome.NO_CONNECTION)

    def _arrive(self, call: UpstreamCall, worker: Worker, attempt: Attempt, timer: Any) -> None:
        world = self.world
        if world.policy == "oracle":
            world.reserved[worker.id] -= 1
        if not worker.reachable or not world.net.delivers(self.site, worker.site):
            return  # the request is lost without a reset
        back = world.net.delay(worker.site, self.site)
        if not worker.alive:
            if timer is self.timer:
                timer.callLater(back, self.broker.call_ended, call, m.AttemptOutcome.RESET)
            return
        now = world.scheduler.now
        world.checker.arrived(now, call.id, worker.id, call.number)
        world.trace("arrive", call.id, worker.id)
        if worker.arrive(attempt):
            if timer is self.timer:
                timer.callLater(back, self._return_connection, worker.id)
            return
        world.checker.rejected(now, call.id, worker.id, call.number)
        if timer is self.timer and world.net.delivers(worker.site, self.site):
            timer.callLater(back, self._rejected, call, worker.id)

    def _rejected(self, call: UpstreamCall, worker: str) -> None:
        self._return_connection(worker)
        self.broker.call_ended(call, m.AttemptOutcome.FULL)

    def _return_connection(self, worker: str) -> None:
        world = self.world
        self.idle_connections.setdefault(worker, []).append(world.scheduler.now)
        if self.open_connections[worker]:
            self.timer.callLater(world.scenario.net.idle_s * IDLE_REUSE_SHARE, self._close_idle, worker)

    def _close_idle(self, worker: str) -> None:
        """Closes connections that have been idle for too long."""
        # The tolerance covers rounding: a timer of exactly that length can fire slightly early.
        cutoff = self.world.scheduler.now - self.world.scenario.net.idle_s * IDLE_REUSE_SHARE + 1e-9
        idle = self.idle_connections.get(worker) or []
        while idle and idle[0] <= cutoff:
            idle.pop(0)
            if self.open_connections[worker]:
                self.open_connections[worker] -= 1
                self.world.workers[worker].connections -= 1

    def cancel(self, call: UpstreamCall) -> None:
        """Does nothing: workers finish the jobs that they have accepted."""

    def _job_update(self, worker: Worker, number: int, attempt: Attempt, event: str) -> None:
        """Reports a state change of an attempt from its worker to the node."""
        world, now = self.world, self.world.scheduler.now
        state, share, result = CallState.STARTED, None, b""
        if event == "started":
            if not world.scenario.rules.tells_start:
                return
            every = world.scenario.rules.progress_ms / 1000.0
            if every:
                attempt.progress = world.scheduler.callLater(every, self._progress, worker, attempt)
        elif event in ("done", "failed"):
            world.metrics.record_work(now, attempt.work)
            if attempt.progress is not None:
                attempt.progress.cancel()
            if event == "done":
                state, result = CallState.DONE, f"{worker.id}:{attempt.id}".encode()
                world.checker.ended(now, attempt.id, worker.id, result)
            else:
                state = CallState.FAILED
                world.checker.ended(now, attempt.id, worker.id, None)
            world.trace("end", attempt.id, worker.id, event)
        elif event == "lost":
            state = CallState.LOST
        else:
            return  # dropped before it started: the worker reports nothing
        self._call_back(worker, attempt.id, state, share, result, 0)

    def _progress(self, worker: Worker, attempt: Attempt) -> None:
        if attempt.ended:
            return
        if not worker.paused:
            self._call_back(worker, attempt.id, CallState.RUNNING, 0.5, b"", 0)
        every = self.world.scenario.rules.progress_ms / 1000.0
        attempt.progress = self.world.scheduler.callLater(every, self._progress, worker, attempt)

    def _call_back(
        self, worker: Worker, id: str, state: CallState, share: float | None, result: bytes, retries: int
    ) -> None:
        """Sends a call-back until it arrives, with at most `CALL_BACK_TRIES` retries; the node that receives
        it may have restarted since."""
        world = self.world
        if (
            worker.reachable
            and world.net.delivers(worker.site, self.site)
            and not world.call_backs_blocked(worker)
        ):
            delay = world.net.delay(worker.site, self.site)
            world.scheduler.callLater(delay, self._receive_update, worker.id, id, state, share, result)
            if world.duplicate_call_backs and world.random.random() < world.duplicate_call_backs:
                world.scheduler.callLater(
                    2 * delay, self._receive_update, worker.id, id, state, share, result
                )
        elif retries < CALL_BACK_RETRIES:
            world.scheduler.callLater(
                CALL_BACK_RETRY_DELAY, self._call_back, worker, id, state, share, result, retries + 1
            )

    def _receive_update(
        self, worker: str, id: str, state: CallState, share: float | None, result: bytes
    ) -> None:
        if not self.alive:
            return
        report = CallReport(id, worker, state, share, result)
        if self.stopped:
            self.deferred.append(partial(self.broker.call_reported, report))
        else:
            self.broker.call_reported(report)


class VirtualUpstreamClient:
    """The broker's upstream client in virtual time."""

    __slots__ = ("node",)

    def __init__(self, node: VirtualNode) -> None:
        self.node = node

    def start(self, call: UpstreamCall, endpoint: Endpoint) -> None:
        self.node.start_call(call, endpoint)

    def cancel(self, call: UpstreamCall) -> None:
        self.node.cancel(call)
