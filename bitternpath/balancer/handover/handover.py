"""Both sides of an upgrade: taking over from the predecessor, and handing over to the successor."""

from __future__ import annotations

import os
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import structlog
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import UNIXClientEndpoint, connectProtocol
from twisted.internet.error import CannotListenError

from bitternpath.balancer.core.broker import Broker
from bitternpath.balancer.core.endpoint_registry import EndpointRegistry
from bitternpath.balancer.core.lifecycle import Lifecycle, LifecycleEvent
from bitternpath.balancer.core.requests import CallReport
from bitternpath.balancer.dispatch.dispatcher import Dispatcher
from bitternpath.balancer.handover.learned_weights import (
    LearnedWeights,
    learned_weights_of,
    restore_learned_weights,
)
from bitternpath.balancer.handover.link import Link, UpgradeSocket
from bitternpath.balancer.handover.messages import (
    VERSION,
    Acknowledged,
    CallbackRelayed,
    Declined,
    Hello,
    Message,
    Ready,
    RequestAccepted,
    Welcome,
)
from bitternpath.net.sockets import Sockets

unix_client: Any = UNIXClientEndpoint
connect: Any = connectProtocol
log = structlog.get_logger(part="handover")

# Seconds for the predecessor's answer, which takes milliseconds even under load. Without an answer this
# process starts without a predecessor.
WELCOME_TIMEOUT = 1.5
ACKNOWLEDGE_TIMEOUT = 1.0  # seconds for the acknowledgement of a relayed callback, else the endpoint retries
RESERVED_DESCRIPTORS = 4  # the upgrade socket, a link to each neighbour, the socket directory


class Handover:
    """Links of this process to the older process (predecessor) and the newer one (successor) of its node."""

    def __init__(
        self,
        reactor: Any,
        directory: Path,
        name: str,
        broker: Broker,
        registry: EndpointRegistry,
        module: Dispatcher,
        sockets: Sockets,
        lifecycle: Lifecycle,
    ) -> None:
        self.reactor, self.broker, self.registry, self.module = reactor, broker, registry, module
        self.sockets, self.lifecycle = sockets, lifecycle
        self.upgrade_socket = UpgradeSocket(reactor, directory, f"bitternpath-{name}.sock")
        self.links: dict[Link, None] = {}  # with a completed handshake
        self.listen = ""  # address that both processes listen on
        self.listener: Callable[[], Any] = lambda: None  # returns the listening socket
        self._predecessor: Link | None = None
        self._successor: Link | None = None
        self._join_result: Deferred[int | None] | None = None
        self._learned_weights: LearnedWeights | None = None
        self._timer: Any = None
        self._pending_relays: dict[int, tuple[set[Link], Callable[[bool], None], Any]] = {}
        self._last_relay_number = 0

    # ---- as the newer process

    def join(self, listen: str) -> Deferred[int | None]:
        """Join the predecessor; fires with its listening descriptor, or with None if there is none."""
        self.listen = listen
        self._join_result = Deferred()
        self._timer = self.reactor.callLater(WELCOME_TIMEOUT, self._start_without_predecessor, "no answer")
        try:
            endpoint = unix_client(
                self.reactor, self.upgrade_socket.address(self.upgrade_socket.path.name), WELCOME_TIMEOUT
            )
        except OSError as error:
            join_result = self._join_result
            self._start_without_predecessor(str(error))
            return join_result
        connecting = connect(endpoint, Link(self._on_message, self._on_link_lost))
        connecting.addCallbacks(
            self._send_hello, lambda failure: self._start_without_predecessor(failure.getErrorMessage())
        )
        return self._join_result

    def _send_hello(self, link: Link) -> None:
        if self._join_result is None:
            link.close()
            return
        self._predecessor = link
        link.send(Hello(VERSION, self.listen))

    def _start_without_predecessor(self, reason: str) -> None:
        if self._join_result is None:
            return
        log.info("predecessor_not_found", why=reason)
        link, self._predecessor = self._predecessor, None
        if link is not None:
            link.close()
        self._finish_join(None)

    def _finish_join(self, descriptor: int | None) -> None:
        join_result, self._join_result = self._join_result, None
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if join_result is not None:
            join_result.callback(descriptor)

    def _on_welcome(self, link: Link, message: Welcome) -> None:
        descriptor = link.take_descriptor()
        if self._join_result is None or link is not self._predecessor or descriptor is None:
            link.close()
            return
        os.set_inheritable(descriptor, False)
        if message.listing.revision >= self.registry.revision:
            self.registry.set_initial(message.listing)
        for id in message.request_ids:
            self.broker.record_request_id(id)
        self._learned_weights = message.learned
        self._add_link(link)
        log.info("predecessor_joined", revision=message.listing.revision, taken=len(message.request_ids))
        self._finish_join(descriptor)

    def restore_learned_weights(self) -> None:
        """Load the predecessor's learned weights into the module, which must know its workers by now."""
        if self._learned_weights is not None:
            left_out = restore_learned_weights(self.module, self._learned_weights)
            log.info(
                "learned_weights_restored",
                workers=len(self._learned_weights.workers),
                left_out=",".join(left_out),
            )
            self._learned_weights = None

    def ready(self) -> None:
        """Announce that this process serves: the predecessor stops accepting, and a successor can connect."""
        if self._predecessor is not None:
            self._predecessor.send(Ready())
        self._open_upgrade_socket()

    def _open_upgrade_socket(self) -> None:
        try:
            self.upgrade_socket.open(lambda: Link(self._on_message, self._on_link_lost))
        except (OSError, CannotListenError) as error:
            log.warning("upgrade_socket_not_opened", path=str(self.upgrade_socket.path), why=error)

    # ---- as the older process

    def _on_hello(self, link: Link, message: Hello) -> None:
        listening: socket.socket | None = self.listener()
        reason = ""
        if message.version != VERSION:
            reason = f"version {message.version}, ours is {VERSION}"
        elif message.listen != self.listen:
            reason = f"another address, ours is {self.listen}"
        elif listening is None or self._successor is not None:
            reason = "not listening" if listening is None else "another process has joined"
        if reason or listening is None:
            log.warning("successor_declined", why=reason)
            link.send(Declined(reason))
            link.close()
            return
        self._successor = link
        request_ids = self.broker.recent_request_ids()
        welcome = Welcome(self.registry.discovery_listing(), request_ids, learned_weights_of(self.module))
        link.send(welcome, listening.fileno())
        self._add_link(link)
        log.info("successor_joined", taken=len(request_ids))

    # ---- on both sides

    def _add_link(self, link: Link) -> None:
        self.links[link] = None
        self._update_capacity_share()

    def _update_capacity_share(self) -> None:
        """Divide the node's capacity equally among its processes."""
        share = 1.0 / (1 + len(self.links))
        self.sockets.set_share(share)
        self.module.capacity_share = share
        self.broker.on_accepted = self._request_accepted if self.links else None

    def _request_accepted(self, id: str) -> None:
        for link in self.links:
            link.send(RequestAccepted(id))

    def _on_message(self, link: Link, message: Message) -> None:
        match message:
            case Hello():
                self._on_hello(link, message)
            case Welcome():
                self._on_welcome(link, message)
            case Declined(reason):
                self._start_without_predecessor(f"declined: {reason}")
            case Ready():
                if link is self._successor and self.lifecycle.apply(LifecycleEvent.SUCCESSOR_READY):
                    log.info("successor_ready")
            case RequestAccepted(id):
                self.broker.record_request_id(id)
            case Acknowledged(number):
                self._on_acknowledged(number, link)
            case CallbackRelayed(number, report):
                if self.broker.call_reported(report) or not self._relay(
                    report, lambda ok: link.send(Acknowledged(number)) if ok else None, link
                ):
                    link.send(Acknowledged(number))

    def _on_link_lost(self, link: Link) -> None:
        self.links.pop(link, None)
        for number in list(self._pending_relays):
            self._on_acknowledged(number, link)  # its jobs ended with the process
        if link is self._predecessor:
            self._predecessor = None
            self._start_without_predecessor("link closed")
        if link is self._successor:
            self._successor = None
            if self.lifecycle.apply(LifecycleEvent.SUCCESSOR_LOST):
                log.warning("successor_lost")
                self._open_upgrade_socket()  # the successor had replaced the file
        self._update_capacity_share()

    # ---- callbacks

    def relay(self, report: CallReport, on_result: Callable[[bool], None]) -> bool:
        """Relay a callback to the other processes, one of which may own the job; False if there are none.

        `on_result` is called with whether all of them acknowledged it in time.
        """
        return self._relay(report, on_result, None)

    def _relay(self, report: CallReport, on_result: Callable[[bool], None], source: Link | None) -> bool:
        links = {link for link in self.links if link is not source and link.open}
        if not links:
            return False
        self._last_relay_number += 1
        timer = self.reactor.callLater(
            ACKNOWLEDGE_TIMEOUT, self._acknowledgement_timed_out, self._last_relay_number
        )
        self._pending_relays[self._last_relay_number] = links, on_result, timer
        for link in links:
            link.send(CallbackRelayed(self._last_relay_number, report))
        return True

    def _on_acknowledged(self, number: int, link: Link) -> None:
        if number not in self._pending_relays:
            return  # acknowledged after the timeout
        pending_links, on_result, timer = self._pending_relays[number]
        pending_links.discard(link)
        if not pending_links:
            del self._pending_relays[number]
            timer.cancel()
            on_result(True)

    def _acknowledgement_timed_out(self, number: int) -> None:
        _, on_result, _ = self._pending_relays.pop(number)
        on_result(False)
