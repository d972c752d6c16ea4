"""Sends and receives the membership view's datagrams: UDP on the node's internal port."""

from __future__ import annotations

from typing import Protocol, cast

import logbook
from twisted.internet.protocol import DatagramProtocol

from bitternpath.membership.view import Datagram, MembershipView
from bitternpath.net.clock import Clock, Timer, cancel_if_active
from bitternpath.transport.errors import CodecError
from bitternpath.transport.messages import RECORDS
from bitternpath.transport.node_messages import ShuffleRequest, ShuffleResponse

log = logbook.Logger("membership")

MIN_ROUND_INTERVAL_S = 0.05  # even if the last round was late


class DatagramTransport(Protocol):
    """The methods of `twisted.internet.interfaces.IUDPTransport` that `Gossip` uses."""

    def write(self, packet: bytes, addr: tuple[str, int]) -> None:
        """Send a datagram; raises `OSError`."""


class Gossip(DatagramProtocol):
    """Runs the rounds of a view."""

    noisy = False

    def __init__(self, clock: Clock, view: MembershipView) -> None:
        """`view` decides what is sent; the rounds start with `startProtocol`."""
        self._clock = clock
        self.view = view
        self._timer: Timer | None = None

    def startProtocol(self) -> None:
        """Start the rounds."""
        self._round()

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Merge what a peer sent, and respond. Datagrams that can't be decoded are ignored."""
        try:
            record = RECORDS.decode(datagram)
        except CodecError:
            return
        if isinstance(record, ShuffleRequest | ShuffleResponse):
            sender = f"{addr[0]}:{addr[1]}"
            self._send(self.view.received(self._clock.seconds(), sender, record))

    def stop(self) -> None:
        """Announce that this node leaves, and stop the rounds."""
        cancel_if_active(self._timer)
        self._send(self.view.leave())

    def _round(self) -> None:
        now = self._clock.seconds()
        self._send(self.view.tick(now))
        delay = max(self.view.next_round_at - now, MIN_ROUND_INTERVAL_S)
        self._timer = self._clock.callLater(delay, self._round)

    def _send(self, datagrams: list[Datagram]) -> None:
        transport = cast(DatagramTransport, self.transport)  # Twisted sets it before `startProtocol`
        for datagram in datagrams:
            host, _, port = datagram.address.rpartition(":")
            try:
                transport.write(RECORDS.encode(datagram.record), (host, int(port)))
            except OSError as error:
                log.debug("event=datagram_send_failed address={} error={}", datagram.address, error)
