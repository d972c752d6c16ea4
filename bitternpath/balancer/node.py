"""Process of a node: assembly of its components, start, reload of the configuration, and shutdown."""

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
from bitternpath.balancer.config.operator import changes_requiring_restart
from bitternpath.balancer.config.platform import Address, Config, ConfigError, address
from bitternpath.balancer.core.broker import Broker
from bitternpath.balancer.core.clock import Clock
from bitternpath.balancer.core.endpoint_registry import EndpointRegistry, Listing
from bitternpath.balancer.core.lifecycle import Lifecycle, LifecycleEvent, Phase
from bitternpath.balancer.core.requests import UpstreamClient
from bitternpath.balancer.core.statistics import BACKEND_CALLS
from bitternpath.balancer.dispatch.dispatcher import Dispatcher
from bitternpath.balancer.http.discovery_subscription import DiscoverySubscription
from bitternpath.balancer.http.listener import Listener
from bitternpath.balancer.http.request_handler import NodeChecks, RequestHandler
from bitternpath.balancer.http.upstream_client import HttpUpstreamClient
from bitternpath.balancer.node_shutdown import Shutdown
from bitternpath.net.sockets import Sockets

if TYPE_CHECKING:
    from bitternpath.balancer.amqp.server import AmqpServer
    from bitternpath.balancer.fleet.plan import Plan
    from bitternpath.balancer.fleet.record_client import RecordClient
    from bitternpath.balancer.handover.handover import Handover
    from bitternpath.balancer.http.console import Console
    from bitternpath.balancer.store.manual_ejections import ManualEjections

log = structlog.get_logger(part="node")

REPORT_INTERVAL = 10.0  # seconds between log events `counts`
AT_START_ONLY = ("listen", "console", "name")  # settings of the listeners, which are created at the start
AMQP_CLOSE_DELAY = 0.2  # seconds for replies to connection.close
RELOAD_COUNTERS = {True: "reconfig_ok", False: "reconfig_failed"}  # by whether the files were valid
# Seconds that the start waits for the first message of discovery, which an agent sends at once. Endpoints of
# that list count as known from the start, and a list handed over by the predecessor may be outdated.
FIRST_MESSAGE_TIMEOUT = 0.5


class Node:
    """One process of a node: owns its components and connects them."""

    def __init__(self, loaded: Loaded, reactor: Any) -> None:
        config = loaded.platform
        self.loaded = loaded
        self.reactor = reactor
        self.file_configuration = loaded  # as read from the files, without the plan of the fleet
        self.startup_settings = loaded.operator.settings
        self.clock = Clock()
        self.lifecycle = Lifecycle()
        self.registry = EndpointRegistry(config.known)
        self.sockets = Sockets(config.sockets)
        self.upstream_client = HttpUpstreamClient(
            reactor, self.clock, self.registry, self.sockets, config.dial_timeout, config.idle_timeout
        )
        self.module = Dispatcher(config.settings, config.seed, self.clock())
        self.upstream_clients: dict[str, UpstreamClient] = {"http": self.upstream_client}
        self.broker = Broker(reactor, self.clock, self.registry, self.upstream_clients, self.module.handle)
        self.upstream_client.broker = self.broker
        self.broker.statistics.add_classes(c.name for c in config.settings.classes)
        self.broker.statistics.register(
            (BACKEND_CALLS, *RELOAD_COUNTERS.values()), {"inflight": lambda: self.broker.unanswered}
        )
        # If the list is sent on request, the module decides when to subscribe; else the local agent sends it.
        subscribes_on_request = config.settings.list_on_request
        on_failure = self.broker.subscription_failed if subscribes_on_request else None
        self.subscription = DiscoverySubscription(
            reactor, self.registry, config.discovery, Random(config.seed ^ 0x5EED), on_failure
        )
        if subscribes_on_request:
            self.broker.subscribe = self.subscription.start
        self.handler = RequestHandler(
            self.broker,
            self.sockets,
            config.settings.classes,
            NodeChecks(self._has_endpoints, self._retry_after),
            self.lifecycle,
        )
        self.listener = Listener(reactor, self.clock, self.sockets, self.lifecycle, self.handler)
        self.registry.on_change = self._endpoints_changed
        self.console: Console | None = None
        self.handover: Handover | None = None
        self.manual_ejections: ManualEjections | None = None
        if config.console is not None:
            self._set_up_console(config.name, config.console)
        self.amqp = self._make_amqp_server() if self.startup_settings.amqp.listen else None
        self.record_client = self._make_record_client() if self.startup_settings.fleet.stewards else None
        self.shutdown = Shutdown(reactor, self.clock, self.lifecycle, self.broker, self.listener, self._close)
        self.exit_code = 0

    def _make_amqp_server(self) -> AmqpServer:
        """Create the AMQP server. Imports are local, so that a node without AMQP does not load it."""
        from bitternpath.balancer.amqp.publishers import Publishers
        from bitternpath.balancer.amqp.queues import Queues
        from bitternpath.balancer.amqp.server import AmqpServer
        from bitternpath.balancer.amqp.subscribers import PROTOCOL, Subscribers

        settings = self.startup_settings.amqp
        subscribers = Subscribers(
            self.clock, self.registry.apply, settings.prefetch_cap, frozenset(settings.requeue_unstarted)
        )
        subscribers.broker = self.broker
        self.upstream_clients[PROTOCOL] = subscribers
        self.sockets.reserve(settings.max_connections)
        classes = self.loaded.platform.settings.classes
        publishers = Publishers(
            self.clock, self.broker, Queues(), subscribers, classes, self._retry_after, settings.max_waiting
        )
        return AmqpServer(
            self.reactor,
            self.clock,
            settings,
            publishers,
            subscribers,
            self.broker,
            lambda: self.sockets.request_limit,
        )

    def _set_up_console(self, name: str, console_address: Address) -> None:
        """Create console, hand-over and manual ejections, with local imports as for AMQP."""
        from bitternpath.balancer.handover.handover import RESERVED_DESCRIPTORS, Handover
        from bitternpath.balancer.http.console import MAX_CONSOLE_CONNECTIONS, Console
        from bitternpath.balancer.http.operations import Operations
        from bitternpath.balancer.store.ejection_files import EjectionFiles
        from bitternpath.balancer.store.manual_ejections import ManualEjections

        self.sockets.reserve(MAX_CONSOLE_CONNECTIONS + RESERVED_DESCRIPTORS)
        directory, name = Path(tempfile.gettempdir()), quote(name, safe="")
        manual_ejections = self.manual_ejections = ManualEjections(
            self.reactor, self.clock, self.registry, EjectionFiles(directory / f"bitternpath-{name}-out")
        )
        operations = Operations(
            self.broker, self.registry, self.clock, self.module, self._is_serving, manual_ejections
        )
        self.console = Console(self.reactor, console_address, operations.routes())
        handover = self.handover = Handover(
            self.reactor,
            directory,
            name,
            self.broker,
            self.registry,
            self.module,
            self.sockets,
            self.lifecycle,
        )
        handover.listener = lambda: self.listener.port and self.listener.port.socket
        self.handler.relay = handover.relay

    def _make_record_client(self) -> RecordClient:
        """Create the client of the fleet's record, with local imports as for AMQP."""
        from bitternpath.balancer.fleet.record_client import RecordClient

        config = self.loaded.platform
        record_client = RecordClient(
            self.reactor, self.startup_settings.fleet, config.name, config.settings.zone, self.registry,
            self._plan_fault, self._plan_changed, self._retry_after,
        )  # fmt: skip
        self.broker.admission = record_client.admission_delay
        self.handler.fleet_admits = record_client.accepts_clients
        return record_client

    def _plan_changed(self, plan: Plan) -> None:
        """Apply a new plan of the fleet."""
        self._apply_configuration(self.file_configuration)

    def _plan_fault(self, plan: Plan) -> str:
        """Return why this node cannot apply the plan; empty if it can."""
        from bitternpath.balancer.fleet.plan import PlanError
        from bitternpath.balancer.fleet.plan_settings import with_plan

        try:
            with_plan(self.file_configuration.platform, plan)
        except (PlanError, ValueError) as error:
            return str(error)
        return ""

    def _overlay_plan(self, loaded: Loaded) -> Loaded:
        """Overlay the fleet's current and upcoming plans; ConfigError if one conflicts with the files."""
        if self.record_client is None:
            return loaded
        from bitternpath.balancer.fleet.plan import PlanError
        from bitternpath.balancer.fleet.plan_settings import with_plan

        try:
            new, *_ = [with_plan(loaded.platform, plan) for plan in self.record_client.holder.current_plans]
        except (PlanError, ValueError) as error:
            raise ConfigError(f"conflicts with the fleet's plan: {error}") from error
        return Loaded(new, loaded.operator)

    def _is_serving(self) -> bool:
        """Whether this process listens, has an endpoint list, and is not stopping."""
        return self.lifecycle.behavior.ready_for_operators and self._has_endpoints()

    def _retry_after(self, job_class: str) -> float:
        """Return the module's retry delay (ms) for a request that exceeds the capacity of the node."""
        return self.module.retry_after(self.module.class_states[job_class])

    def _has_endpoints(self) -> bool:
        return self.subscription.has_been_granted or bool(self.registry.endpoints)

    def _endpoints_changed(self, listing: Listing) -> None:
        self.upstream_client.apply_listing(listing)
        self.broker.endpoints_changed(listing)

    def begin(self) -> None:
        """Start once the predecessor has handed over, or at once if there is none."""
        joining: Any = maybeDeferred(self._join)
        joining.addCallback(self.start).addErrback(self._on_start_failure)

    def _join(self) -> Deferred[int | None] | None:
        if self.console is None or self.handover is None:
            return None
        self.console.listen()
        host, port = self.loaded.platform.listen
        return self.handover.join(f"{host}:{port}")

    def _on_start_failure(self, failure: Failure) -> None:
        """Log why the node cannot start, and end the process with exit code 1."""
        expected = isinstance(failure.value, CannotListenError)
        log.error("start_failed", why=failure.getErrorMessage() if expected else failure.getTraceback())
        self.exit_code = 1
        self.reactor.callWhenRunning(self._finish)

    def start(self, descriptor: int | None = None) -> None:
        """Load the known endpoints, then serve; `descriptor` is the predecessor's listening socket."""
        if self.lifecycle.phase is not Phase.STARTING:
            return
        if self.manual_ejections is not None:
            self.manual_ejections.run()
        listing = Listing(self.registry.revision, True, tuple(self.registry.endpoints.values()))
        self.upstream_client.apply_listing(listing)
        self.broker.endpoints_changed(listing, at_start=True)
        if self.handover is not None:
            self.broker.process_batch()  # the module must know the workers before their learned weights
            self.handover.restore_learned_weights()
        if self.loaded.platform.settings.list_on_request:
            self._serve(descriptor)
            return
        listen = self.reactor.callLater(FIRST_MESSAGE_TIMEOUT, self._serve, descriptor)
        self.subscription.on_first_message = lambda: listen.active() and listen.reset(0)
        self.subscription.start()

    def _serve(self, descriptor: int | None) -> None:
        """Listen, after the first message of discovery or FIRST_MESSAGE_TIMEOUT."""
        if self.lifecycle.phase is not Phase.STARTING:
            return  # stopped meanwhile
        try:
            self._listen(descriptor)
        except Exception:
            self._on_start_failure(Failure())  # type: ignore[no-untyped-call]

    def _listen(self, descriptor: int | None) -> None:
        reuses_port = self.handover is not None
        self.listener.listen(*self.loaded.platform.listen, reuses_port, descriptor)
        self.lifecycle.apply(LifecycleEvent.LISTENS)
        if self.handover is not None:
            self.handover.listen = self.listener.port.address
            self.handover.ready()
        if self.amqp is not None:
            self.amqp.listen(*address(self.startup_settings.amqp.listen))
        self.upstream_client.run()
        if self.record_client is not None:
            self.record_client.start()
        self.reactor.callLater(REPORT_INTERVAL, self._report)
        fields: dict[str, object] = {
            "name": self.loaded.platform.name,
            "address": self.listener.port.address,
            "providers": len(self.registry.endpoints),
        }
        if self.console is not None:
            fields["console"] = self.console.port.address
        log.info("listening", **fields)

    def _report(self) -> None:
        self.reactor.callLater(REPORT_INTERVAL, self._report)
        fields: dict[str, object] = {
            "waiting": self.broker.unanswered,
            "calls_out": len(self.broker.in_progress),
        }
        fields |= {"consumers": self.sockets.clients, "providers": self.sockets.endpoints}
        fields |= {
            key.replace(" ", "_"): n
            for key, n in sorted((self.broker.counts + self.upstream_client.counts).items())
        }
        if self.amqp is not None:
            fields |= self.amqp.report()
        log.info("counts", **fields)

    def reload(self, read: Callable[[Loaded], Loaded]) -> None:
        """Read the configuration files again and apply them, completely or not at all."""
        statistics = self.broker.statistics
        try:
            file_configuration = read(self.file_configuration)
            self._overlay_plan(file_configuration)
        except ConfigError as error:
            statistics.count(RELOAD_COUNTERS[False])
            log.error("reload_failed", why=error, kept="the configuration in use")
            return
        statistics.count(RELOAD_COUNTERS[True])
        log.info("reloaded", **self._apply_configuration(file_configuration))

    def _apply_configuration(self, file_configuration: Loaded) -> dict[str, object]:
        """Apply these files with the fleet's plan on top; returns fields for the log."""
        before = self.loaded.platform
        loaded = self._overlay_plan(file_configuration)
        self.file_configuration = file_configuration
        new = loaded.platform
        self.sockets.resize(new.sockets)
        self.upstream_client.set_timeouts(new.dial_timeout, new.idle_timeout)
        self.subscription.set_address(new.discovery)
        if new.settings != before.settings:
            self._apply_settings(new.settings)
        fields: dict[str, object] = {"discovery": f"{new.discovery[0]}:{new.discovery[1]}"}
        changed = [key for key in AT_START_ONLY if getattr(before, key) != getattr(new, key)]
        # Keep the running values of settings that need a restart, so that the next reload reports them again.
        config: Config = replace(new, **{key: getattr(before, key) for key in changed})
        changed += changes_requiring_restart(self.startup_settings, loaded.operator.settings)
        if self.amqp is not None:
            self.amqp.apply(loaded.operator.settings.amqp)
        if changed:
            fields["needs_restart"] = ",".join(changed)
        self.loaded = Loaded(config, loaded.operator)
        return fields

    def _apply_settings(self, settings: m.Settings) -> None:
        """Change servers, statistics and module in one step, for all later requests."""
        self.broker.statistics.add_classes(c.name for c in settings.classes)
        self.broker.settings_changed(settings)
        self.broker.process_batch()  # the module must know a class before servers accept requests of it
        self.handler.set_classes(settings.classes)
        if self.amqp is not None:
            self.amqp.publishers.classes = {c.name: c for c in settings.classes}
        log.info(
            "settings_applied", classes=",".join(c.name for c in settings.classes), tries=settings.try_limit
        )

    def stop(self) -> None:
        """Answer all accepted requests, then end the process."""
        if self.lifecycle.stopping:
            return
        self.lifecycle.apply(LifecycleEvent.STOP)
        log.info("stopping", waiting=self.broker.unanswered, phase=self.lifecycle.phase.value)
        if self.lifecycle.phase is Phase.GONE:  # it did not serve yet
            self._finish()
            return
        self.listener.stop()
        if self.record_client is not None:
            self.record_client.stop()
        if self.amqp is not None:
            self.amqp.stop()
        self.shutdown.begin()

    def _close(self) -> None:
        """Close all connections once no work is pending, and end the process."""
        self._report()
        self.subscription.stop()
        if self.amqp is not None:
            self.amqp.close()
            self.reactor.callLater(AMQP_CLOSE_DELAY, self._finish)
        else:
            self._finish()

    def _finish(self) -> None:
        self.lifecycle.apply(LifecycleEvent.ENDED)
        log.info("stopped")
        self.reactor.stop()


def serve(loaded: Loaded, reload_files: Callable[[Loaded], Loaded]) -> int:
    """Run a node until it ends; returns the exit code. `reload_files` reads the files again at SIGHUP."""
    from twisted.internet import reactor as installed_reactor

    reactor: Any = installed_reactor
    node = Node(loaded, reactor)

    def on_signal(number: int, frame: object) -> None:
        reactor.callFromThread(node.stop)

    def on_hangup(number: int, frame: object) -> None:
        reactor.callFromThread(node.reload, reload_files)

    signal.signal(signal.SIGHUP, on_hangup)
    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGHUP, signal.SIGTERM))  # blocked by __main__
    node.begin()
    gc.collect()
    gc.freeze()  # objects of the start are permanent: later collections skip them
    gc.enable()  # disabled by __main__
    reactor.run(installSignalHandlers=False)
    return node.exit_code
