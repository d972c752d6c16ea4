"""Datagrams of the membership view: UDP on the node's internal port."""

from __future__ import annotations

from typing import Any

import logbook
from twisted.internet.protocol import DatagramProtocol

from bitternpath.membership.view import Datagram, MembershipView
from bitternpath.transport.errors import CodecError
from bitternpath.transport.messages import RECORDS
from bitternpath.transport.node_messages import ShuffleReply, ShuffleRequest

log = logbook.Logger("membership")


class Gossip(DatagramProtocol):
    """Carries a view's rounds."""

    noisy = False
    transport: Any

    def __init__(self, reactor: Any, view: MembershipView) -> None:
        self.reactor, self.view = reactor, view
        self._timer: Any = None

    def startProtocol(self) -> None:
        self._round()

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        try:
            record = RECORDS.decode(datagram)
        except CodecError:
            return
        if isinstance(record, ShuffleRequest | ShuffleReply):
            sender = f"{addr[0]}:{addr[1]}"
            self._send(self.view.received(self.reactor.seconds(), sender, record))

    def stop(self) -> None:
        """Say good-bye and send no more."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._send(self.view.leave())

    def _round(self) -> None:
        now = self.reactor.seconds()
        self._send(self.view.tick(now))
        self._timer = self.reactor.callLater(max(self.view.round_at - now, 0.05), self._round)

    def _send(self, datagrams: list[Datagram]) -> None:
        for datagram in datagrams:
            host, _, port = datagram.address.rpartition(":")
            try:
                self.transport.write(RECORDS.encode(datagram.record), (host, int(port)))
            except OSError as error:
                log.debug("event=datagram_not_sent address={} error={}", datagram.address, error)
