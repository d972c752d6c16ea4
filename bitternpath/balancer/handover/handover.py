"""An upgrade, from either side: taking over from the predecessor, and handing over to the successor."""

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
    Declined,
    Hello,
    Message,
    Passed,
    Ready,
    Taken,
    Welcome,
)
from bitternpath.net.sockets import Sockets

unix_client: Any = UNIXClientEndpoint
connect: Any = connectProtocol
log = structlog.get_logger(part="handover")

WELCOME_TIMEOUT = 1.5  # s: one under load answers within milliseconds; without an answer the node is alone
ACKNOWLEDGE_TIMEOUT = 1.0  # s for the other process to acknowledge a call-back, else the endpoint retries
DESCRIPTORS = 4  # the upgrade socket, a link each way, the folder


class Handover:
    """The links of this process to the older and to the newer one of its node."""

    def __init__(
        self,
        reactor: Any,
        folder: Path,
        name: str,
        broker: Broker,
        registry: EndpointRegistry,
        module: Dispatcher,
        sockets: Sockets,
        lifecycle: Lifecycle,
    ) -> None:
        self.reactor, self.broker, self.registry, self.module = reactor, broker, registry, module
        self.sockets, self.lifecycle = sockets, lifecycle
        self.upgrade_socket = UpgradeSocket(reactor, folder, f"bitternpath-{name}.sock")
        self.links: dict[Link, None] = {}  # that were greeted
        self.listen = ""  # the address that both share
        self.listener: Callable[[], Any] = lambda: None  # the listening socket
        self._older: Link | None = None
        self._newer: Link | None = None
        self._joining: Deferred[int | None] | None = None
        self._learned: LearnedWeights | None = None
        self._timer: Any = None
        self._passed: dict[int, tuple[set[Link], Callable[[bool], None], Any]] = {}
        self._number = 0

    # ---- the newer process

    def join(self, listen: str) -> Deferred[int | None]:
        """Ask the process that serves for its work; fires with the listening descriptor, or with None where
        this process is alone."""
        self.listen = listen
        self._joining = Deferred()
        self._timer = self.reactor.callLater(WELCOME_TIMEOUT, self._alone, "no answer")
        try:
            endpoint = unix_client(
                self.reactor, self.upgrade_socket.address(self.upgrade_socket.path.name), WELCOME_TIMEOUT
            )
        except OSError as error:
            joining = self._joining
            self._alone(str(error))
            return joining
        dialled = connect(endpoint, Link(self._received, self._lost))
        dialled.addCallbacks(self._greet, lambda failure: self._alone(failure.getErrorMessage()))
        return self._joining

    def _greet(self, link: Link) -> None:
        if self._joining is None:
            link.close()
            return
        self._older = link
        link.send(Hello(VERSION, self.listen))

    def _alone(self, why: str) -> None:
        if self._joining is None:
            return
        log.info("predecessor_not_found", why=why)
        link, self._older = self._older, None
        if link is not None:
            link.close()
        self._joined(None)

    def _joined(self, descriptor: int | None) -> None:
        joining, self._joining = self._joining, None
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if joining is not None:
            joining.callback(descriptor)

    def _welcomed(self, link: Link, message: Welcome) -> None:
        descriptor = link.take_descriptor()
        if self._joining is None or link is not self._older or descriptor is None:
            link.close()
            return
        os.set_inheritable(descriptor, False)
        if message.listing.revision >= self.registry.revision:
            self.registry.set_initial(message.listing)
        for id in message.taken:
            self.broker.record_request_id(id)
        self._learned = message.learned
        self._add(link)
        log.info("predecessor_joined", revision=message.listing.revision, taken=len(message.taken))
        self._joined(descriptor)

    def restore_learned_weights(self) -> None:
        """Give the module what the older process has learned; the module must have its list by now."""
        if self._learned is not None:
            left_out = restore_learned_weights(self.module, self._learned)
            log.info(
                "learned_weights_restored", workers=len(self._learned.workers), left_out=",".join(left_out)
            )
            self._learned = None

    def ready(self) -> None:
        """This process serves: the older one may leave the accepting to it, and the next one finds it."""
        if self._older is not None:
            self._older.send(Ready())
        self._open_upgrade_socket()

    def _open_upgrade_socket(self) -> None:
        try:
            self.upgrade_socket.open(lambda: Link(self._received, self._lost))
        except (OSError, CannotListenError) as error:
            log.warning("upgrade_socket_not_opened", path=str(self.upgrade_socket.path), why=error)

    # ---- the older process

    def _greeted(self, link: Link, message: Hello) -> None:
        listening: socket.socket | None = self.listener()
        why = ""
        if message.version != VERSION:
            why = f"version {message.version}, ours is {VERSION}"
        elif message.listen != self.listen:
            why = f"another address, ours is {self.listen}"
        elif listening is None or self._newer is not None:
            why = "not listening" if listening is None else "another process has joined"
        if why or listening is None:
            log.warning("successor_declined", why=why)
            link.send(Declined(why))
            link.close()
            return
        self._newer = link
        taken = self.broker.recent_request_ids()
        welcome = Welcome(self.registry.discovery_listing(), taken, learned_weights_of(self.module))
        link.send(welcome, listening.fileno())
        self._add(link)
        log.info("successor_joined", taken=len(taken))

    # ---- both

    def _add(self, link: Link) -> None:
        self.links[link] = None
        self._share()

    def _share(self) -> None:
        """While others live each has a part of what the node may hold and send, the one left the whole."""
        part = 1.0 / (1 + len(self.links))
        self.sockets.share(part)
        self.module.capacity_share = part
        self.broker.on_accepted = self._request_accepted if self.links else None

    def _request_accepted(self, id: str) -> None:
        for link in self.links:
            link.send(Taken(id))

    def _received(self, link: Link, message: Message) -> None:
        match message:
            case Hello():
                self._greeted(link, message)
            case Welcome():
                self._welcomed(link, message)
            case Declined(why):
                self._alone(f"declined: {why}")
            case Ready():
                if link is self._newer and self.lifecycle.apply(LifecycleEvent.SUCCESSOR_READY):
                    log.info("successor_ready")
            case Taken(id):
                self.broker.record_request_id(id)
            case Acknowledged(number):
                self._acknowledged(number, link)
            case Passed(number, report):
                if self.broker.call_reported(report) or not self._pass(
                    report, lambda ok: link.send(Acknowledged(number)) if ok else None, link
                ):
                    link.send(Acknowledged(number))

    def _lost(self, link: Link) -> None:
        self.links.pop(link, None)
        for number in list(self._passed):
            self._acknowledged(number, link)  # its jobs have died with it
        if link is self._older:
            self._older = None
            self._alone("the link broke")
        if link is self._newer:
            self._newer = None
            if self.lifecycle.apply(LifecycleEvent.SUCCESSOR_LOST):
                log.warning("successor_lost")
                self._open_upgrade_socket()  # it had put its own in place
        self._share()

    # ---- call-backs

    def relay(self, report: CallReport, then: Callable[[bool], None]) -> bool:
        """Pass a call-back on to the other processes, of which one may know the job; `then` hears whether all
        have it. False: there is none."""
        return self._pass(report, then, None)

    def _pass(self, report: CallReport, then: Callable[[bool], None], source: Link | None) -> bool:
        links = {link for link in self.links if link is not source and link.open}
        if not links:
            return False
        self._number += 1
        timer = self.reactor.callLater(ACKNOWLEDGE_TIMEOUT, self._acknowledgement_timed_out, self._number)
        self._passed[self._number] = links, then, timer
        for link in links:
            link.send(Passed(self._number, report))
        return True

    def _acknowledged(self, number: int, link: Link) -> None:
        if number not in self._passed:
            return  # too late
        waits, then, timer = self._passed[number]
        waits.discard(link)
        if not waits:
            del self._passed[number]
            timer.cancel()
            then(True)

    def _acknowledgement_timed_out(self, number: int) -> None:
        _, then, _ = self._passed.pop(number)
        then(False)
