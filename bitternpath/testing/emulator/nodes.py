"""Nodes in virtual time: the real core (registry, broker, decision module) without sockets."""

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
from bitternpath.testing.emulator.clients import Try
from bitternpath.testing.emulator.discovery import EPOCH
from bitternpath.testing.emulator.worker import Attempt, Worker

CALL_BACKS, CALL_BACK_EVERY = 10, 1.0  # tries of a call-back, and s between them
KEPT_SHARE = 0.6  # of the time after which workers close idle connections: ours are used no longer


class NodeTimer:
    """A node's own timers: dead with it, and waiting while it is stopped."""

    __slots__ = ("node", "scheduler")

    def __init__(self, node: VirtualNode, scheduler: Any) -> None:
        self.node, self.scheduler = node, scheduler

    def callLater(self, delay: float, do: Callable[..., object], *args: Any) -> Any:
        return self.scheduler.callLater(delay, self._due, do, args)

    def _due(self, do: Callable[..., object], args: tuple[Any, ...]) -> None:
        node = self.node
        if node.timer is not self:
            return  # of an earlier life
        if node.stopped:
            node.asleep.append(partial(do, *args))
        else:
            do(*args)


class Ticket:
    """The client of one request."""

    __slots__ = ("node", "told")

    def __init__(self, node: VirtualNode, told: Try) -> None:
        self.node, self.told = node, told

    def served(self, result: bytes) -> None:
        self.node.answer(self.told, "served", 0.0, result)

    def rejected(self, retry_after: float) -> None:
        self.node.answer(self.told, "refused", retry_after, b"")

    def failed(self) -> None:
        self.node.answer(self.told, "failed", 0.0, b"")

    def disconnected(self) -> bool:
        return False  # virtual time knows no moment between a close and the word of it


class VirtualNode:
    """One node, through its lives."""

    def __init__(self, world: Any, name: str, site: str, number: int, random: Random) -> None:
        self.world, self.name, self.site, self.number, self.random = world, name, site, number, random
        self.up = self.stopped = False
        self.asleep: list[Callable[[], object]] = []
        self.timer: Any = None
        self.broker: Any = None
        self.tickets: dict[str, AcceptedRequest] = {}
        self.conns: dict[str, list[float]] = {}  # worker: idle connections, by when they were used
        self.open: Counter[str] = Counter()  # worker: connections, where their number is limited
        self.dials = 0
        self.last: Listing | None = None  # the list of the life before
        self.out: dict[str, float] = {}  # workers out by hand, and since when: they outlast a life

    # ---- its lives

    def start(self, known: Listing | None = None) -> None:
        """Start from nothing, with the list as last had, which may be stale."""
        world = self.world
        self.up, self.stopped = True, False
        self.timer = NodeTimer(self, world.later)
        asks = world.scenario.discovery.calls_per_s > 0.0
        listing = known or (self.last if asks and self.last else world.directory.whole())
        self.registry = EndpointRegistry(listing)
        self.policy = world.make_policy(self)
        self.broker = Broker(
            self.timer, self.clock, self.registry, {"http": VirtualUpstreamClient(self)}, self.policy.handle
        )
        for worker, since in self.out.items():
            self.registry.eject(worker, since)
        self.registry.on_change = self.broker.endpoints_changed
        self.broker.endpoints_changed(
            Listing(listing.revision, True, tuple(self.registry.endpoints.values())), at_start=True
        )
        # What the module asked for at its start comes with its first event's actions, as on sockets.
        if asks:
            self.broker.subscribe = partial(self._ask, self.timer)
        else:
            world.directory.nodes[self.name] = self.hear
        self.conns.clear()
        world.later.callLater(0.0, world.front.admit, self)
        current = world.directory.whole()
        if known is not None and not asks:
            world.later.callLater(0.05, self.hear, self.name, current)

    def _ask(self, life: NodeTimer) -> None:
        """Discovery is asked for a watch; whatever it says is for this life alone."""

        def granted() -> None:
            if self.timer is life and self.up:
                self.world.directory.nodes[self.name] = self.hear
                self.hear(self.name, self.world.directory.whole())

        def failed() -> None:
            if self.timer is life and self.up:
                self.broker.subscription_failed()

        self.world.directory.ask(self.name, granted, failed)

    def clock(self) -> float:
        return float(EPOCH + self.world.later.now * 1000.0)

    def hear(self, name: str, listing: Listing) -> None:
        """Discovery's word."""
        if not self.up:
            return
        world = self.world
        named = {p.id for p in listing.members}
        for endpoint in listing.members:
            world.checker.told(
                world.later.now, self.name, endpoint.id, endpoint.state is m.WorkerState.SERVING
            )
            if endpoint.up_since:
                world.informed.setdefault(endpoint.id, {})[self.name] = endpoint.up_since
        if listing.complete:
            for gone in [p for p in self.registry.endpoints if p not in named]:
                world.checker.told(world.later.now, self.name, gone, False)
        world.trace("told", self.name, listing.revision)
        if self.stopped:
            self.asleep.append(partial(self.registry.apply, listing))
        else:
            self.registry.apply(listing)

    def kill(self) -> None:
        """Killed: what it held is gone, its clients see a reset."""
        if not self.up:
            return
        world = self.world
        self.up = False
        self.timer = None
        self.last = Listing(self.registry.revision, True, tuple(self.registry.endpoints.values()))
        for name, many in self.open.items():
            world.workers[name].connections -= many
        self.open.clear()
        self.asleep.clear()
        world.directory.nodes.pop(self.name, None)
        world.checker.died(world.later.now, self.name)
        for request in self.tickets.values():
            told = request.client.told  # type: ignore[attr-defined]
            world.later.callLater(
                world.to_client(told.ask.site, self.site), world.clients.answer, told, "reset", 0.0, b""
            )
        self.tickets.clear()
        world.later.callLater(world.front_notice, self._noticed)

    def _noticed(self) -> None:
        if not self.up:
            self.world.front.drop(self)

    def stop(self) -> None:
        """Stopped (SIGSTOP): it says and does nothing, but lives."""
        self.stopped = True

    def resume(self) -> None:
        self.stopped = False
        self.world.checker.held_up(self.world.later.now, self.name)
        asleep, self.asleep = self.asleep, []
        for do in asleep:
            do()

    def reload(self) -> None:
        """SIGHUP: nothing changes here, for the core reads no file."""

    def eject(self, worker: str) -> None:
        """Staff take a worker out by hand; a node that is down is told by what is on its disk."""
        self.out[worker] = self.clock()
        self.world.checker.out_by_hand(self.world.later.now, self.name, worker)
        self._by_hand(lambda: self.registry.eject(worker, self.out.get(worker, self.clock())))

    def reinstate(self, worker: str) -> None:
        self.out.pop(worker, None)
        self.world.checker.called_back(self.name, worker)
        self._by_hand(lambda: self.registry.reinstate(worker, self.clock()))

    def _by_hand(self, do: Callable[[], None]) -> None:
        if self.stopped:
            self.asleep.append(do)
        elif self.up:
            do()

    def restart(self, down: float) -> None:
        """A planned restart: no new clients, then out and in again."""
        self.world.front.drop(self)
        self.world.later.callLater(4.0, self._restarted, down)

    def _restarted(self, down: float) -> None:
        self.kill()
        self.world.later.callLater(down, self.start)

    # ---- the front

    def request(self, told: Try) -> bool:
        """A client's request has arrived whole."""
        if not self.up:
            return False
        world, ask = self.world, told.ask
        now = world.later.now
        deadline = told.sent + told.budget
        world.checker.took(now, told.id, self.name, deadline, ask.job_class.safe)
        world.trace("took", told.id, self.name)
        repeat = world.scenario.clients.marks_retry and told.number > 0
        request = AcceptedRequest(
            told.id, ask.job_class.name, EPOCH + deadline * 1000.0, Ticket(self, told), told, told.key,
            None, 1.0, 0.0, repeat,
        )  # fmt: skip
        self.tickets[told.id] = request
        if world.policy == "oracle":
            world._asks[told.id] = ask
        if self.stopped:
            self.asleep.append(partial(self.broker.submit, request))
        else:
            self.broker.submit(request)
        return True

    def gone(self, told: Try) -> None:
        """The client has closed its connection; the node hears a moment later."""
        self.world.later.callLater(self.world.to_client(told.ask.site, self.site), self._gone, told)

    def _gone(self, told: Try) -> None:
        request = self.tickets.pop(told.id, None)
        if request is not None and self.up:
            self.broker.withdraw(request)

    def answer(self, told: Try, what: str, retry_after: float, result: bytes) -> None:
        world = self.world
        if self.tickets.pop(told.id, None) is None and told.done:
            return  # its client has gone: nothing is owed, and nothing seen
        world.checker.answered(world.later.now, told.id, what, result)
        world.trace("answer", told.id, what)
        world.later.callLater(
            world.to_client(told.ask.site, self.site), world.clients.answer, told, what, retry_after, result
        )

    # ---- the upstream client

    def start_call(self, call: UpstreamCall, endpoint: Endpoint) -> None:
        world = self.world
        worker: Worker = world.workers[endpoint.id]
        net, later, now = world.net, world.later, world.later.now
        ask = call.request.payload.ask
        world.checker.sent(now, call.id, self.name, worker.id)
        world.trace("send", call.id, worker.id)
        world.tally.attempt(now, self.site != worker.site)
        delay = net.delay(self.site, worker.site)
        work, wait = ask.work, delay
        self._idle_over(worker.id)
        idle = self.conns.get(worker.id)
        if idle:
            idle.pop()
        else:
            both = net.passes(self.site, worker.site) and net.passes(worker.site, self.site)
            if not worker.reachable or not both:
                self._not_connected(call, worker, world.dial_timeout)
                return
            most = worker.kind.connections
            if not worker.up or (most and worker.connections >= most):
                self._not_connected(call, worker, 2 * delay)
                return
            self.dials += 1
            if most:
                worker.connections += 1
                self.open[worker.id] += 1
            wait += world.scenario.net.handshake_rtts * 2 * delay
            work += world.scenario.net.handshake_work_ms / 1000.0
        deadline = (call.expires - EPOCH) / 1000.0
        attempt = Attempt(
            call.id, ask.job_class.name, work, 1, deadline, self, partial(self._told, worker, call.number)
        )
        up_since = EPOCH + worker.up_since * 1000.0
        attempt.informed = world.informed.get(worker.id, {}).get(self.name) == up_since
        later.callLater(wait, self._arrive, call, worker, attempt, self.timer)

    def _not_connected(self, call: UpstreamCall, worker: Worker, wait: float) -> None:
        if self.world.policy == "oracle":
            self.world.reserved[worker.id] -= 1
        self.timer.callLater(wait, self.broker.call_ended, call, m.AttemptOutcome.NO_CONNECTION)

    def _arrive(self, call: UpstreamCall, worker: Worker, attempt: Attempt, timer: Any) -> None:
        world = self.world
        if world.policy == "oracle":
            world.reserved[worker.id] -= 1
        if not worker.reachable or not world.net.passes(self.site, worker.site):
            return  # nothing is heard of it
        back = world.net.delay(worker.site, self.site)
        if not worker.up:
            if timer is self.timer:
                timer.callLater(back, self.broker.call_ended, call, m.AttemptOutcome.RESET)
            return
        now = world.later.now
        world.checker.arrived(now, call.id, worker.id, call.number)
        world.trace("arrive", call.id, worker.id)
        if worker.arrive(attempt):
            if timer is self.timer:
                timer.callLater(back, self._kept, worker.id)
            return
        world.checker.turned_away(now, call.id, worker.id, call.number)
        if timer is self.timer and world.net.passes(worker.site, self.site):
            timer.callLater(back, self._turned_away, call, worker.id)

    def _turned_away(self, call: UpstreamCall, worker: str) -> None:
        self._kept(worker)
        self.broker.call_ended(call, m.AttemptOutcome.FULL)

    def _kept(self, worker: str) -> None:
        world = self.world
        self.conns.setdefault(worker, []).append(world.later.now)
        if self.open[worker]:
            self.timer.callLater(world.scenario.net.idle_s * KEPT_SHARE, self._idle_over, worker)

    def _idle_over(self, worker: str) -> None:
        """Connections that have been idle for long enough are closed."""
        # A timer of just that length may fire a rounding error too early.
        before = self.world.later.now - self.world.scenario.net.idle_s * KEPT_SHARE + 1e-9
        idle = self.conns.get(worker) or []
        while idle and idle[0] <= before:
            idle.pop(0)
            if self.open[worker]:
                self.open[worker] -= 1
                self.world.workers[worker].connections -= 1

    def cancel(self, call: UpstreamCall) -> None:
        """Workers finish what they have."""

    def _told(self, worker: Worker, number: int, attempt: Attempt, what: str) -> None:
        """A worker has something to say of an attempt."""
        world, now = self.world, self.world.later.now
        state, share, result = CallState.STARTED, None, b""
        if what == "started":
            if not world.scenario.rules.tells_start:
                return
            every = world.scenario.rules.progress_ms / 1000.0
            if every:
                attempt.progress = world.later.callLater(every, self._progress, worker, attempt)
        elif what in ("done", "failed"):
            world.tally.worked(now, attempt.work)
            if attempt.progress is not None:
                attempt.progress.cancel()
            if what == "done":
                state, result = CallState.DONE, f"{worker.id}:{attempt.id}".encode()
                world.checker.ran(now, attempt.id, worker.id, result)
            else:
                state = CallState.FAILED
                world.checker.ran(now, attempt.id, worker.id, None)
            world.trace("end", attempt.id, worker.id, what)
        elif what == "lost":
            state = CallState.LOST
        else:
            return  # dropped unbegun: nobody hears of it
        self._call_back(worker, attempt.id, state, share, result, 0)

    def _progress(self, worker: Worker, attempt: Attempt) -> None:
        if attempt.ended:
            return
        if not worker.paused:
            self._call_back(worker, attempt.id, CallState.RUNNING, 0.5, b"", 0)
        every = self.world.scenario.rules.progress_ms / 1000.0
        attempt.progress = self.world.later.callLater(every, self._progress, worker, attempt)

    def _call_back(
        self, worker: Worker, id: str, state: CallState, share: float | None, result: bytes, tries: int
    ) -> None:
        """Tried until it is answered, ten times at most; it may reach a node that has started anew."""
        world = self.world
        if (
            worker.reachable
            and world.net.passes(worker.site, self.site)
            and not world.call_backs_lost(worker)
        ):
            delay = world.net.delay(worker.site, self.site)
            world.later.callLater(delay, self._news, worker.id, id, state, share, result)
            if world.call_backs_twice and world.random.random() < world.call_backs_twice:
                world.later.callLater(2 * delay, self._news, worker.id, id, state, share, result)
        elif tries < CALL_BACKS:
            world.later.callLater(
                CALL_BACK_EVERY, self._call_back, worker, id, state, share, result, tries + 1
            )

    def _news(self, worker: str, id: str, state: CallState, share: float | None, result: bytes) -> None:
        if not self.up:
            return
        report = CallReport(id, worker, state, share, result)
        if self.stopped:
            self.asleep.append(partial(self.broker.call_reported, report))
        else:
            self.broker.call_reported(report)


class VirtualUpstreamClient:
    """The node's upstream client, as the broker wants it."""

    __slots__ = ("node",)

    def __init__(self, node: VirtualNode) -> None:
        self.node = node

    def start(self, call: UpstreamCall, endpoint: Endpoint) -> None:
        self.node.start_call(call, endpoint)

    def cancel(self, call: UpstreamCall) -> None:
        self.node.cancel(call)
