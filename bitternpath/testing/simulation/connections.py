"""A simulated TCP connection: two `Stream` ends and two directions between them."""

from __future__ import annotations

from collections import deque

from bitternpath.testing.simulation.errors import timed_out
from bitternpath.testing.simulation.interfaces import Acceptor, Address, Packet, SimulatedNetwork
from bitternpath.testing.simulation.paths import Path
from bitternpath.testing.simulation.reactor import VirtualReactor
from bitternpath.testing.simulation.streams import Stream


class Direction:
    """One direction of a connection; holds packets back while they can't be delivered."""

    def __init__(self, connection: Connection, sender: Stream, receiver: Stream, path: Path) -> None:
        self._connection = connection
        self.sender = sender
        self.receiver = receiver
        self.path = path
        self._network = connection.network
        self._last_arrival = 0.0
        self._generation = 0
        self._stopped = False  # the sender no longer retransmits
        self._undelivered: deque[tuple[Packet, bytes]] = deque()
        self._undelivered_since = 0.0

    def send(self, packet: Packet, data: bytes) -> None:
        """Send a packet in this direction."""
        if packet is Packet.RESET:
            self.stop()
        elif self._stopped:
            return
        if self._undelivered:
            self._undelivered.append((packet, data))
            return
        scheduler = self._network.scheduler
        arrival = self.path.arrival(scheduler.now, len(data))
        self._last_arrival = arrival = max(arrival, self._last_arrival)
        scheduler.push(arrival, self._arrive, packet, data, self._generation)

    def stop(self) -> None:
        """Drop undelivered packets and stop retransmission."""
        self._stopped = True
        self._undelivered.clear()
        self.path.blocked_directions.pop(self, None)

    def lose_packets_in_flight(self) -> None:
        """Drop all packets that haven't been delivered."""
        self._generation += 1
        self._undelivered.clear()
        self.path.blocked_directions.pop(self, None)

    def retransmit(self) -> None:
        """Schedule a retransmission, since the path may be open again."""
        delay = self.path.retry_delay()
        self._network.scheduler.push(self._network.scheduler.now + delay, self._retry, self._generation)

    def _arrive(self, packet: Packet, data: bytes, generation: int) -> None:
        if generation != self._generation:
            return
        if self._undelivered or not self._is_open():
            self._defer(packet, data)
        else:
            self._deliver(packet, data)

    def _is_open(self) -> bool:
        return not self.path.partitioned and self.receiver.reactor.host.powered

    def _defer(self, packet: Packet, data: bytes) -> None:
        if self._stopped:
            return
        if not self._undelivered:
            now = self._undelivered_since = self._network.scheduler.now
            self.path.blocked_directions[self] = None
            if self.sender.user_timeout_s:
                due = now + self.sender.user_timeout_s
                self._network.scheduler.push(due, self._time_out_undelivered, now)
        self._undelivered.append((packet, data))

    def _retry(self, generation: int) -> None:
        if generation != self._generation or not self._is_open():
            return
        self.path.blocked_directions.pop(self, None)
        packets = self._undelivered
        self._undelivered = deque()
        for packet, data in packets:
            self._deliver(packet, data)

    def _deliver(self, packet: Packet, data: bytes) -> None:
        network = self._network
        if packet is Packet.DATA:
            network.recorder.arrival(self._connection.name, "", data)
        if self.sender.user_timeout_s and self._connection.reverse_path(self).partitioned:
            due = network.scheduler.now + self.sender.user_timeout_s
            network.scheduler.push(due, self._time_out_unacknowledged, network.scheduler.now)
        if packet is Packet.ESTABLISHED:
            self._connection.established()
        else:
            self.receiver.arrived(packet, data)

    def _time_out_undelivered(self, since: float) -> None:
        if self._undelivered and self._undelivered_since == since:
            self.sender.fail(timed_out())

    def _time_out_unacknowledged(self, since: float) -> None:
        back = self._connection.reverse_path(self)
        if back.partitioned and back.partitioned_since <= since:
            self.sender.fail(timed_out())


class Connection:
    """A connection between a client and a server end, with one `Direction` each way."""

    def __init__(
        self,
        network: SimulatedNetwork,
        client: VirtualReactor,
        server: VirtualReactor,
        ends: tuple[Address, Address],
    ) -> None:
        self.network = network
        self.name = f"{ends[0][0]}:{ends[0][1]}>{ends[1][0]}:{ends[1][1]}"
        self.client = Stream(self, client, ends[0], ends[1])
        self.server = Stream(self, server, ends[1], ends[0])
        self.client.peer = self.server
        self.server.peer = self.client
        forward_path, reverse_path = (
            network.path(ends[0][0], ends[1][0]),
            network.path(ends[1][0], ends[0][0]),
        )
        self._forward = Direction(self, self.client, self.server, forward_path)
        self._reverse = Direction(self, self.server, self.client, reverse_path)
        self._port: Acceptor | None = None
        network.connections[self] = None

    def send(self, sender: Stream, packet: Packet, data: bytes = b"") -> None:
        """Send a packet to the other end."""
        (self._forward if sender is self.client else self._reverse).send(packet, data)

    def stop_sending(self, sender: Stream) -> None:
        """Stop retransmission from that end and drop its undelivered packets."""
        (self._forward if sender is self.client else self._reverse).stop()

    def reverse_path(self, direction: Direction) -> Path:
        """The path of the other direction."""
        return (self._reverse if direction is self._forward else self._forward).path

    def open(self, port: Acceptor) -> None:
        """Notify the listening end that the connecting end has received the port's answer."""
        self._port = port
        self.send(self.client, Packet.ESTABLISHED)

    def established(self) -> None:
        """Pass the connection to the listening port."""
        assert self._port is not None
        self._port.accept(self.server)

    def reset(self) -> None:
        """Reset both ends; bytes in flight are lost."""
        for direction, end in ((self._forward, self.server), (self._reverse, self.client)):
            direction.lose_packets_in_flight()
            direction.stop()
            if not end.closed:
                end.arrived(Packet.RESET, b"")

    def end_closed(self) -> None:
        """Remove the connection from the network once both ends have closed."""
        if self.client.closed and self.server.closed:
            self.network.connections.pop(self, None)
