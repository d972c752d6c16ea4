"""Simulated TCP and UDP behave like real sockets: order, partitions, half-open ends, resets, windows."""

from __future__ import annotations

import socket
import unittest
from typing import Any

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import DatagramProtocol, Factory, Protocol
from twisted.python.failure import Failure

from bitternpath.testing.simulation.world import World

A, B = "10.1.0.1", "10.2.0.1"
PORT = 8000


class RecordingProtocol(Protocol):
    """Records the events of a connection."""

    transport: Any

    def __init__(self) -> None:
        self.established = False
        self.data = b""
        self.lost = ""

    def connectionMade(self) -> None:
        self.established = True

    def dataReceived(self, data: bytes) -> None:
        self.data += data

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]
        assert not self.lost
        self.lost = reason.type.__name__


class ClientFactory(Factory):
    noisy = False

    def __init__(self, end: RecordingProtocol) -> None:
        self.end, self.failed = end, ""

    def buildProtocol(self, addr: Any) -> RecordingProtocol:
        return self.end

    def startedConnecting(self, connector: Any) -> None:
        """Ignored."""

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.failed = reason.type.__name__

    def clientConnectionLost(self, connector: Any, reason: Failure) -> None:
        """Ignored: the protocol records it."""


class ServerFactory(Factory):
    noisy = False

    def __init__(self) -> None:
        self.ends: list[RecordingProtocol] = []

    def buildProtocol(self, addr: Any) -> RecordingProtocol:
        self.ends.append(RecordingProtocol())
        return self.ends[-1]


class Streams(unittest.TestCase):
    def setUp(self) -> None:
        self.world = World(1)
        self.a, self.b = self.world.host(A), self.world.host(B)
        self.acceptor = ServerFactory()
        self.port: Any = self.b.listenTCP(PORT, self.acceptor)

    def dial(
        self, timeout: float = 1.0, port: int = PORT, run_s: float = 0.1
    ) -> tuple[RecordingProtocol, ClientFactory]:
        end = RecordingProtocol()
        factory = ClientFactory(end)
        self.a.connectTCP(B, port, factory, timeout=timeout)
        self.world.run_for(run_s)
        return end, factory

    def connect(self) -> tuple[RecordingProtocol, RecordingProtocol]:
        end, _ = self.dial()
        self.assertTrue(end.established)
        return end, self.acceptor.ends[-1]

    def set_user_timeout(self, end: RecordingProtocol, milliseconds: int) -> None:
        end.transport.getHandle().setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)

    def test_bytes_arrive_in_order_before_the_end(self) -> None:
        client, server = self.connect()
        for number in range(100):
            client.transport.write(b"%03d" % number)
        client.transport.loseConnection()
        self.assertEqual(server.data, b"")
        self.world.run_for(0.1)
        self.assertEqual(server.data, b"".join(b"%03d" % number for number in range(100)))
        self.assertEqual((client.lost, server.lost), ("ConnectionDone", "ConnectionDone"))

    def test_a_closed_port_refuses(self) -> None:
        _, factory = self.dial(port=PORT + 1)
        self.assertEqual(factory.failed, "ConnectionRefusedError")

    def test_listening_twice_on_a_port_fails(self) -> None:
        with self.assertRaises(CannotListenError):
            self.b.listenTCP(PORT, ServerFactory())
        self.port.stopListening()
        self.b.listenTCP(PORT, ServerFactory())

    def test_connecting_to_an_unknown_or_partitioned_host_times_out(self) -> None:
        self.world.partition(A, B, both=False)
        _, factory = self.dial(timeout=0.5, run_s=0.4)
        self.assertEqual(factory.failed, "")
        self.world.run_for(0.2)
        self.assertEqual(factory.failed, "TimeoutError")

    def test_lost_syn_is_retransmitted_after_a_second(self) -> None:
        self.world.partition(B, A, both=False)
        self.world.at(0.5, self.world.heal_partition, A, B)
        end, _ = self.dial(timeout=3.0, run_s=0.9)
        self.assertFalse(end.established)
        self.world.run_for(0.2)
        self.assertTrue(end.established)

    def test_reset_loses_bytes_in_flight(self) -> None:
        client, server = self.connect()
        client.transport.write(b"lost")
        self.world.reset(A, B)
        self.world.run_for(0.1)
        self.assertEqual((server.data, client.lost, server.lost), (b"", "ConnectionLost", "ConnectionLost"))

    def test_abort_resets_the_peer(self) -> None:
        client, server = self.connect()
        client.transport.abortConnection()
        self.assertEqual(client.lost, "")
        self.world.run_for(0.1)
        self.assertEqual((client.lost, server.lost), ("ConnectionAborted", "ConnectionLost"))

    def test_bytes_held_by_a_partition_arrive_in_order_after_it(self) -> None:
        client, server = self.connect()
        self.world.partition(A, B)
        client.transport.write(b"first ")
        self.world.run_for(5.0)
        self.assertEqual((server.data, client.lost), (b"", ""))
        self.world.heal_partition(A, B)
        client.transport.write(b"second")
        self.world.run_for(1.0)
        self.assertEqual(server.data, b"first second")

    def test_one_way_partition_holds_one_direction(self) -> None:
        client, server = self.connect()
        self.world.partition(A, B, both=False)
        client.transport.write(b"held")
        server.transport.write(b"heard")
        self.world.run_for(1.0)
        self.assertEqual((server.data, client.data), (b"", b"heard"))

    def test_user_timeout_ends_only_the_writing_side(self) -> None:
        client, server = self.connect()
        self.set_user_timeout(client, 2_000)
        self.world.partition(A, B)
        client.transport.write(b"held")
        self.world.run_for(1.9)
        self.assertEqual(client.lost, "")
        self.world.run_for(0.2)
        self.assertEqual((client.lost, server.lost), ("TimeoutError", ""))
        self.world.heal_partition(A, B)
        self.world.run_for(1.0)
        self.assertEqual(
            (server.data, server.lost), (b"", "")
        )  # half-open: the bytes of the closed sender are lost
        server.transport.write(b"any")
        self.world.run_for(1.0)
        self.assertEqual(server.lost, "ConnectionLost")

    def test_user_timeout_where_only_acknowledgements_are_lost(self) -> None:
        client, server = self.connect()
        self.set_user_timeout(client, 2_000)
        self.world.partition(B, A, both=False)
        client.transport.write(b"heard")
        self.world.run_for(2.5)
        self.assertEqual((server.data, client.lost, server.lost), (b"heard", "TimeoutError", ""))

    def test_short_partition_does_not_trigger_the_user_timeout(self) -> None:
        client, server = self.connect()
        self.set_user_timeout(client, 2_000)
        self.world.partition(A, B)
        client.transport.write(b"held")
        self.world.run_for(1.0)
        self.world.heal_partition(A, B)
        self.world.run_for(5.0)
        self.assertEqual((server.data, client.lost), (b"held", ""))

    def test_reset_during_a_partition_is_lost_with_the_bytes_before_it(self) -> None:
        client, server = self.connect()
        self.world.partition(A, B)
        client.transport.write(b"held")
        self.world.run_for(0.1)
        client.transport.abortConnection()
        self.world.run_for(0.1)
        self.world.heal_partition(A, B)
        self.world.run_for(5.0)
        self.assertEqual((client.lost, server.data, server.lost), ("ConnectionAborted", b"", ""))

    def test_frozen_process_receives_everything_when_thawed(self) -> None:
        client, server = self.connect()
        events: list[str] = []
        server.dataReceived = lambda data: events.append(f"data {len(data)}")  # type: ignore[method-assign]
        self.b.callLater(0.2, events.append, "timer")
        self.b.freeze()
        for _ in range(3):
            client.transport.write(b"12345")
            self.world.run_for(0.1)
        late, factory = self.dial()
        self.assertEqual(
            (events, late.established, factory.failed), ([], True, "")
        )  # the kernel accepts the connection
        accepted = len(self.acceptor.ends)
        self.b.thaw()
        self.world.run_for(0.0)
        self.assertEqual(events, ["timer", "data 15"])
        self.assertEqual(len(self.acceptor.ends), accepted + 1)

    def test_backpressure_of_a_peer_that_does_not_read(self) -> None:
        client, server = self.connect()
        calls: list[str] = []

        class Producer:
            def pauseProducing(self) -> None:
                calls.append("pause")

            def resumeProducing(self) -> None:
                calls.append("resume")

            def stopProducing(self) -> None:
                calls.append("stop")

        client.transport.registerProducer(Producer(), True)
        server.transport.pauseProducing()
        for _ in range(10):
            client.transport.write(b"x" * (100 << 10))
        self.world.run_for(1.0)
        self.assertEqual((calls[:1], server.data), (["pause"], b""))
        server.transport.resumeProducing()
        self.world.run_for(1.0)
        self.assertEqual((calls[-1], len(server.data)), ("resume", 1000 << 10))

    def test_limited_bandwidth_delays_bytes(self) -> None:
        client, server = self.connect()
        self.world.limit_bandwidth(A, B, 100_000.0)
        for _ in range(10):
            client.transport.write(b"x" * 10_000)
        self.world.run_for(0.5)
        self.assertTrue(40_000 <= len(server.data) <= 60_000, len(server.data))
        self.world.run_for(0.6)
        self.assertEqual(len(server.data), 100_000)

    def test_peek_shows_unread_bytes_and_the_end(self) -> None:
        client, server = self.connect()
        handle = client.transport.getHandle()
        with self.assertRaises(BlockingIOError):
            handle.recv(1, socket.MSG_PEEK)
        client.transport.pauseProducing()
        server.transport.write(b"abc")
        self.world.run_for(0.1)
        self.assertEqual(handle.recv(1, socket.MSG_PEEK), b"a")
        client.transport.resumeProducing()
        self.world.run_for(0.1)
        client.transport.pauseProducing()
        server.transport.loseConnection()
        self.world.run_for(0.1)
        self.assertEqual(handle.recv(1, socket.MSG_PEEK), b"")

    def test_half_close(self) -> None:
        client, server = self.connect()
        client.transport.write(b"question")
        client.transport.loseWriteConnection()
        self.world.run_for(0.1)
        self.assertEqual((server.data, server.lost), (b"question", "ConnectionDone"))
        self.assertEqual(client.lost, "ConnectionDone")


class Datagrams(unittest.TestCase):
    def test_datagrams_arrive_or_are_lost(self) -> None:
        world = World(2)
        received: list[bytes] = []

        class Receiver(DatagramProtocol):
            def datagramReceived(self, datagram: bytes, addr: Any) -> None:
                received.append(datagram)

        sender = DatagramProtocol()
        world.host(A).listenUDP(PORT, sender)
        world.host(B).listenUDP(PORT, Receiver())
        transport: Any = sender.transport
        world.set_packet_loss(A, B, 0.0)
        transport.write(b"one", (B, PORT))
        transport.write(b"nowhere", (B, PORT + 1))
        world.run_for(0.1)
        world.partition(A, B)
        transport.write(b"two", (B, PORT))
        world.run_for(0.1)
        world.heal_partition(A, B)
        world.run_for(1.0)
        self.assertEqual(received, [b"one"])
        world.set_packet_loss(A, B, 0.5)
        for _ in range(100):
            transport.write(b"x", (B, PORT))
        world.run_for(1.0)
        self.assertTrue(30 < len(received) < 70, len(received))


class Reactors(unittest.TestCase):
    def test_timers_can_be_moved_and_cancelled(self) -> None:
        world = World(3)
        reactor = world.host(A)
        fired: list[tuple[str, float]] = []

        def record(name: str) -> None:
            fired.append((name, round(world.now, 3)))

        later = reactor.callLater(1.0, record, "later")
        later.reset(2.0)
        sooner = reactor.callLater(5.0, record, "sooner")
        sooner.reset(0.5)
        delayed = reactor.callLater(1.0, record, "delayed")
        delayed.delay(0.5)
        cancelled = reactor.callLater(1.0, record, "cancelled")
        cancelled.cancel()
        world.run_until(10.0)
        self.assertEqual(fired, [("sooner", 0.5), ("delayed", 1.5), ("later", 2.0)])
        self.assertFalse(later.active())

    def test_an_exception_of_an_actor_ends_the_run(self) -> None:
        world = World(4)
        world.host(A).callLater(1.0, lambda: 1 // 0)
        with self.assertRaises(ZeroDivisionError):
            world.run_until(2.0)
