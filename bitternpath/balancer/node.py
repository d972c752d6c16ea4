"""One node: its parts put together, its start and its end."""

from __future__ import annotations

import gc
import signal
import tempfile
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

import structlog
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.error import CannotListenError
from twisted.python.failure import Failure

from bitternpath.balancer import messages as m
from bitternpath.balancer.config.load import Loaded
from bitternpath.balancer.config.operator import changed_at_start_only
from bitternpath.balancer.config.platform import Address, Config, ConfigError, address
from bitternpath.balancer.core.broker import Broker
from bitternpath.balancer.core.clock import Clock
from bitternpath.balancer.core.endpoint_registry import EndpointRegistry, Listing
from bitternpath.balancer.core.lifecycle import NEW_ONES_ARRIVE, LifeCycle, Phase, Word
from bitternpath.balancer.core.requests import UpstreamClient
from bitternpath.balancer.core.statistics import BACKEND_CALLS
from bitternpath.balancer.dispatch.dispatcher import Dispatcher
from bitternpath.balancer.http.discovery_subscription import DiscoverySubscription
from bitternpath.balancer.http.listener import Listener
from bitternpath.balancer.http.upstream_client import HttpUpstreamClient
from bitternpath.net.sockets import Sockets

if TYPE_CHECKING:
    from bitternpath.balancer.amqp.server import AmqpServer
    from bitternpath.balancer.fleet.plan import Plan
    from bitternpath.balancer.fleet.record_client import RecordClient
    from bitternpath.balancer.handover.handover import Handover
    from bitternpath.balancer.http.console import Console
    from bitternpath.balancer.store.manual_ejections import ManualEjections

log = structlog.get_logger(part="node")

REPORT_EVERY = 10.0  # s between lines with the counts so far
HALF_SENT = 2000.0  # ms: a request that has begun to arrive so long ago does not hold up the end
AT_START_ONLY = ("listen", "console", "name")  # the listeners are made from these
GOODBYE = 0.2  # s for the answers to connection.close
RELOADS = {True: "reconfig_ok", False: "reconfig_failed"}  # files taken and turned down
# s for which the start waits for discovery's first word, which an agent gives at once: what it holds counts
# as told from the start on, and the list of the process before lags.
FIRST_WORD = 0.5
LAST_WORDS = 0.1  # s for the last answers and DELETEs to leave


class Node:
    def __init__(self, loaded: Loaded, reactor: Any) -> None:
        config = loaded.platform
        self.loaded, self.reactor = loaded, reactor
        self.filed = loaded  # as the files have it, without what the fleet has agreed
        self.at_start = loaded.operator.settings
        self.clock, self.life = Clock(), LifeCycle()
        self.registry = EndpointRegistry(config.known)
        self.sockets = Sockets(config.sockets)
        self.upstream_client = HttpUpstreamClient(
            reactor, self.clock, self.registry, self.sockets, config.dial_timeout, config.idle_timeout
        )
        self.module = Dispatcher(config.settings, config.seed, self.clock())
        self.upstream_clients: dict[str, UpstreamClient] = {"http": self.upstream_client}
        self.broker = Broker(reactor, self.clock, self.registry, self.upstream_clients, self.module.handle)
        self.upstream_client.broker = self.broker
        self.broker.statistics.know(c.name for c in config.settings.classes)
        self.broker.statistics.has(
            (BACKEND_CALLS, *RELOADS.values()), {"inflight": lambda: self.broker.waiting}
        )
        # Where the list has to be asked for, the module decides when; else the node's own agent tells it.
        asks = config.settings.ask_for_list
        failed = self.broker.asked_in_vain if asks else None
        self.subscription = DiscoverySubscription(
            reactor, self.registry, config.discovery, Random(config.seed ^ 0x5EED), failed
        )
        if asks:
            self.broker.ask = self.subscription.start
        self.listener = Listener(
            reactor,
            self.clock,
            self.broker,
            self.sockets,
            config.settings.classes,
            self._ready,
            self._retry_after,
            self.life,
        )
        self.registry.on_change = self._listed
        self.console: Console | None = None
        self.handover: Handover | None = None
        self.manual_ejections: ManualEjections | None = None
        if config.console is not None:
            self._operated(config.name, config.console)
        self.amqp = self._amqp() if self.at_start.amqp.listen else None
        self.record_client = self._record_client() if self.at_start.fleet.stewards else None
        self._ending, self.exit_code = False, 0
        self._look: Any = None

    def _amqp(self) -> AmqpServer:
        """The AMQP front, upstream client and source. Imported here, for what is off costs nothing."""
        from bitternpath.balancer.amqp.publishers import Front
        from bitternpath.balancer.amqp.queues import Queues
        from bitternpath.balancer.amqp.server import AmqpServer
        from bitternpath.balancer.amqp.subscribers import PROTOCOL, Subscribers

        told = self.at_start.amqp
        subscribers = Subscribers(
            self.clock, self.registry.apply, told.prefetch_cap, frozenset(told.requeue_unstarted)
        )
        subscribers.broker = self.broker
        self.upstream_clients[PROTOCOL] = subscribers
        self.sockets.reserve(told.max_connections)
        classes = self.loaded.platform.settings.classes
        front = Front(
            self.clock, self.broker, Queues(), subscribers, classes, self._retry_after, told.max_waiting
        )
        return AmqpServer(
            self.reactor, self.clock, told, front, subscribers, self.broker, lambda: self.sockets.requests
        )

    def _operated(self, name: str, where: Address) -> None:
        """What a node has that operators call. Imported here, for what is off costs nothing."""
        from bitternpath.balancer.handover.handover import DESCRIPTORS, Handover
        from bitternpath.balancer.http.console import CALLERS, Console
        from bitternpath.balancer.http.operations import Operations
        from bitternpath.balancer.store.ejection_files import EjectionFiles
        from bitternpath.balancer.store.manual_ejections import ManualEjections

        self.sockets.reserve(CALLERS + DESCRIPTORS)
        folder, name = Path(tempfile.gettempdir()), quote(name, safe="")
        manual_ejections = self.manual_ejections = ManualEjections(
            self.reactor, self.clock, self.registry, EjectionFiles(folder / f"bitternpath-{name}-out")
        )
        operations = Operations(
            self.broker, self.registry, self.clock, self.module, self._serves, manual_ejections
        )
        self.console = Console(self.reactor, where, operations.routes())
        handover = self.handover = Handover(
            self.reactor, folder, name, self.broker, self.registry, self.module, self.sockets, self.life
        )
        handover.listener = lambda: self.listener.port and self.listener.port.socket
        self.listener.relay = handover.relay

    def _record_client(self) -> RecordClient:
        """This node's part of the fleet. Imported here, for what is off costs nothing."""
        from bitternpath.balancer.fleet.record_client import RecordClient

        config = self.loaded.platform
        record_client = RecordClient(
            self.reactor, self.at_start.fleet, config.name, config.settings.zone, self.registry,
            self._plan_fault, self._act, self._retry_after,
        )  # fmt: skip
        self.broker.gate = record_client.gate
        self.listener.welcome = record_client.welcome
        return record_client

    def _act(self, plan: Plan) -> None:
        """The fleet's word has changed."""
        self._take(self.filed)

    def _plan_fault(self, plan: Plan) -> str:
        """Why this node cannot act on that plan; empty: it can."""
        from bitternpath.balancer.fleet.plan import PlanError
        from bitternpath.balancer.fleet.plan_settings import with_plan

        try:
            with_plan(self.filed.platform, plan)
        except (PlanError, ValueError) as error:
            return str(error)
        return ""

    def _overlaid(self, loaded: Loaded) -> Loaded:
        """With what the fleet has agreed on top; ConfigError where the two are at odds, now or soon."""
        if self.record_client is None:
            return loaded
        from bitternpath.balancer.fleet.plan import PlanError
        from bitternpath.balancer.fleet.plan_settings import with_plan

        try:
            now, *_ = [with_plan(loaded.platform, plan) for plan in self.record_client.holder.current_plans]
        except (PlanError, ValueError) as error:
            raise ConfigError(f"at odds with what the fleet has agreed: {error}") from error
        return Loaded(now, loaded.operator)

    def _serves(self) -> bool:
        """Whether this process listens, knows endpoints and goes on."""
        return self.life.does.serves and self._ready()

    def _retry_after(self, job_class: str) -> float:
        """The module's advice (ms) for a job that the node itself has no room for."""
        return self.module.advice(self.module.lines[job_class])

    def _ready(self) -> bool:
        return self.subscription.spoke or bool(self.registry.endpoints)

    def _listed(self, listing: Listing) -> None:
        self.upstream_client.listed(listing)
        self.broker.listed(listing)

    def begin(self) -> None:
        """Start, as soon as an older process of this node has handed its work over or there is none."""
        joined: Any = maybeDeferred(self._join)
        joined.addCallback(self.start).addErrback(self._failed)

    def _join(self) -> Deferred[int | None] | None:
        if self.console is None or self.handover is None:
            return None
        self.console.listen()
        host, port = self.loaded.platform.listen
        return self.handover.join(f"{host}:{port}")

    def _failed(self, failure: Failure) -> None:
        """A node that cannot start says why in one line, and is not there."""
        known = isinstance(failure.value, CannotListenError)
        log.error("cannot start", why=failure.getErrorMessage() if known else failure.getTraceback())
        self.exit_code = 1
        self.reactor.callWhenRunning(self._stopped)

    def start(self, descriptor: int | None = None) -> None:
        """Serve; on the listening socket of that descriptor, where an older process has handed it over."""
        if self.life.phase is not Phase.STARTING:
            return
        if self.manual_ejections is not None:
            self.manual_ejections.run()
        known = Listing(self.registry.revision, True, tuple(self.registry.endpoints.values()))
        self.upstream_client.listed(known)
        self.broker.listed(known, at_start=True)
        if self.handover is not None:
            self.broker.drain()  # so that the module knows the workers of which it is told what was learned
            self.handover.teach()
        if self.loaded.platform.settings.ask_for_list:
            self._serve(descriptor)
            return
        listen = self.reactor.callLater(FIRST_WORD, self._serve, descriptor)
        self.subscription.first_word = lambda: listen.active() and listen.reset(0)
        self.subscription.start()

    def _serve(self, descriptor: int | None) -> None:
        """Take work: once discovery has spoken or kept silent, where it tells by itself."""
        if self.life.phase is not Phase.STARTING:
            return  # told to stop meanwhile
        try:
            self._listen(descriptor)
        except Exception:
            self._failed(Failure())  # type: ignore[no-untyped-call]

    def _listen(self, descriptor: int | None) -> None:
        shared = self.handover is not None
        self.listener.listen(*self.loaded.platform.listen, shared, descriptor)
        self.life.hear(Word.LISTENS)
        if self.handover is not None:
            self.handover.listen = self.listener.port.address
            self.handover.ready()
        if self.amqp is not None:
            self.amqp.listen(*address(self.at_start.amqp.listen))
        self.upstream_client.run()
        if self.record_client is not None:
            self.record_client.begin()
        self.reactor.callLater(REPORT_EVERY, self._report)
        kv: dict[str, object] = {
            "name": self.loaded.platform.name,
            "address": self.listener.port.address,
            "providers": len(self.registry.endpoints),
        }
        if self.console is not None:
            kv["console"] = self.console.port.address
        log.info("listening", **kv)

    def _report(self) -> None:
        self.reactor.callLater(REPORT_EVERY, self._report)
        kv: dict[str, object] = {"waiting": self.broker.waiting, "calls_out": len(self.broker.live)}
        kv |= {"consumers": self.sockets.clients, "providers": self.sockets.endpoints}
        kv |= {
            key.replace(" ", "_"): n
            for key, n in sorted((self.broker.counts + self.upstream_client.counts).items())
        }
        if self.amqp is not None:
            kv |= self.amqp.report()
        log.info("counts", **kv)

    def reload(self, read: Callable[[Loaded], Loaded]) -> None:
        """Take in the configuration as it is now, all of it or nothing."""
        statistics = self.broker.statistics
        try:
            filed = read(self.filed)
            self._overlaid(filed)
        except ConfigError as error:
            statistics.count(RELOADS[False])
            log.error("reload failed", why=error, kept="the configuration in use")
            return
        statistics.count(RELOADS[True])
        log.info("reloaded", **self._take(filed))

    def _take(self, filed: Loaded) -> dict[str, object]:
        """Run with these files, and with what the fleet has agreed on top; what to say of it."""
        before, loaded = self.loaded.platform, self._overlaid(filed)
        self.filed, now = filed, loaded.platform
        self.sockets.resize(now.sockets)
        self.upstream_client.set_times(now.dial_timeout, now.idle_timeout)
        self.subscription.move(now.discovery)
        if now.settings != before.settings:
            self._settings(now.settings)
        kv: dict[str, object] = {"discovery": f"{now.discovery[0]}:{now.discovery[1]}"}
        changed = [key for key in AT_START_ONLY if getattr(before, key) != getattr(now, key)]
        # What was asked for stays different from what runs: say so again after the next reload.
        config: Config = replace(now, **{key: getattr(before, key) for key in changed})
        changed += changed_at_start_only(self.at_start, loaded.operator.settings)
        if self.amqp is not None:
            self.amqp.apply(loaded.operator.settings.amqp)
        if changed:
            kv["needs_restart"] = ",".join(changed)
        self.loaded = Loaded(config, loaded.operator)
        return kv

    def _settings(self, settings: m.Settings) -> None:
        """Fronts, figures and module change in one step: what comes from now on is under the new rules."""
        self.broker.statistics.know(c.name for c in settings.classes)
        self.broker.settings(settings)
        self.broker.drain()  # the module knows each class before a front takes a job of it
        self.listener.set_classes(settings.classes)
        if self.amqp is not None:
            self.amqp.front.classes = {c.name: c for c in settings.classes}
        log.info("settings", classes=",".join(c.name for c in settings.classes), tries=settings.try_limit)

    def stop(self) -> None:
        """Answer all that was taken, then end."""
        if self.life.stopping:
            return
        self.life.hear(Word.STOP)
        log.info("stopping", waiting=self.broker.waiting, phase=self.life.phase.value)
        if self.life.phase is Phase.GONE:  # it has not served yet
            self._stopped()
            return
        self.listener.stop()
        if self.record_client is not None:
            self.record_client.stop()
        if self.amqp is not None:
            self.amqp.stop()
        self.reactor.callLater(NEW_ONES_ARRIVE / 1000.0 + 2 * LAST_WORDS, self._close_when_idle)

    def _close_when_idle(self) -> None:
        self.broker.idle = self._end_if_idle
        self._end_if_idle()

    def _end_if_idle(self) -> None:
        # Connections that hold part of a request are waited for: it may be whole, and so taken, any moment.
        if self._ending:
            return
        if self.life.phase is Phase.PASSING and self.listener.held:
            self._look_again()
        elif not self._owes():
            self._ending = True
            self.reactor.callLater(LAST_WORDS, self._end)

    def _look_again(self) -> None:
        """Nothing tells of the last connection that clients held."""
        if self._look is None or not self._look.active():
            self._look = self.reactor.callLater(LAST_WORDS, self._end_if_idle)

    def _owes(self) -> bool:
        since = self.clock() - HALF_SENT
        begun = any(c.reader.begun and c.begun_at > since for c in self.listener.connections)
        return begun or bool(self.broker.waiting or self.broker.live)

    def _end(self) -> None:
        self._ending = False
        if self._owes():
            self.reactor.callLater(LAST_WORDS, self._end_if_idle)
            return
        self._report()
        self.subscription.stop()
        if self.amqp is not None:
            self.amqp.close()
            self.reactor.callLater(GOODBYE, self._stopped)
        else:
            self._stopped()

    def _stopped(self) -> None:
        self.life.hear(Word.ENDED)
        log.info("stopped")
        self.reactor.stop()


def serve(loaded: Loaded, read_again: Callable[[Loaded], Loaded]) -> int:
    from twisted.internet import reactor as installed

    reactor: Any = installed
    node = Node(loaded, reactor)

    def on_signal(number: int, frame: object) -> None:
        reactor.callFromThread(node.stop)

    def on_hangup(number: int, frame: object) -> None:
        reactor.callFromThread(node.reload, read_again)

    signal.signal(signal.SIGHUP, on_hangup)
    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGHUP, signal.SIGTERM))  # __main__ has them wait
    node.begin()
    gc.collect()
    gc.freeze()  # what is there now stays: collections need not look at it again
    gc.enable()  # __main__ has it off
    reactor.run(installSignalHandlers=False)
    return node.exit_code
