"""Two operators on one version: all orders of events in a small scope (RULES, "CONFIG").

The world has two nodes that may own the configuration group, one log, and two different orders A and B on the
same base. Events: an order is sent to a node (any number of times, as acknowledgements may be lost), what the
owner has proposed is committed, or ownership moves to the other node, with the open proposal committed before
that or lost. Every sequence up to a length is played; after each one the checker looks at all answers.
"""

from __future__ import annotations

import json
import unittest
from collections.abc import Iterator
from dataclasses import dataclass, field

from twisted.internet.defer import Deferred, fail, succeed

from bitternpath.configuration.machine import ConfigurationState
from bitternpath.configuration.orders import Order, OrderDesk, OrderResult
from bitternpath.replication.interfaces import FateOpen, NotOwner

LENGTH = 5
ORDERS = {
    name: Order(
        "PUT", "3", json.dumps({"version": version, "routes": [], "services": [], "by": name}).encode()
    )
    for name, version in (("A", 5), ("B", 7))
}
FIRST = Order("PUT", "0", json.dumps({"version": 3, "routes": [], "services": []}).encode())


class Node:
    """A node with its replica of the state; implements `orders.ReplicaGroup`."""

    def __init__(self, world: World, desk: type[OrderDesk]) -> None:
        self.world = world
        self.state = ConfigurationState()
        self.applied = 0
        self.owner = False
        self.desk = desk(self.state, self)
        self.open: list[tuple[bytes, Deferred[object]]] = []

    def is_owner(self) -> bool:
        return self.owner

    def propose(self, command: bytes) -> Deferred[object]:
        if not self.owner:
            return fail(NotOwner())
        waiting: Deferred[object] = Deferred()
        self.open.append((command, waiting))
        return waiting

    def barrier(self) -> Deferred[None]:
        return succeed(None) if self.owner and self.world.owner is self else fail(NotOwner())

    def catch_up(self) -> None:
        """Apply what is committed."""
        while self.applied < len(self.world.log):
            command = self.world.log[self.applied]
            self.applied += 1
            self.state.apply(self.applied, command)


@dataclass
class World:
    """Two nodes and the committed log."""

    desk: type[OrderDesk] = OrderDesk
    log: list[bytes] = field(default_factory=list)
    answers: dict[str, list[OrderResult]] = field(default_factory=lambda: {"A": [], "B": []})

    def __post_init__(self) -> None:
        self.nodes = [Node(self, self.desk), Node(self, self.desk)]
        self.owner = self.nodes[0]
        self.owner.owner = True
        self.owner.desk.submit(FIRST)
        self.commit()

    def commit(self) -> None:
        """What the owner has proposed is committed, and applied there."""
        open_, self.owner.open = self.owner.open, []
        for command, waiting in open_:
            self.log.append(command)
            self.owner.applied += 1
            waiting.callback(self.owner.state.apply(self.owner.applied, command))

    def move(self, keeps: bool) -> None:
        """The other node becomes owner. `keeps`: the open proposal reached it; the old one never hears."""
        old, new = self.owner, next(node for node in self.nodes if node is not self.owner)
        open_, old.open = old.open, []
        if keeps:
            self.log += [command for command, _ in open_]
        old.owner = False
        for _, waiting in open_:
            waiting.errback(FateOpen())
        new.catch_up()
        new.owner = True
        self.owner = new
        old.catch_up()

    def send(self, name: str, node: int) -> None:
        """An operator sends an order to a node; where that isn't the owner it is forwarded."""
        target = self.owner if node == 2 else self.nodes[node]
        target.desk.submit(ORDERS[name]).addCallback(self.answers[name].append)

    def play(self, event: str) -> None:
        """One event."""
        match event:
            case "commit":
                self.commit()
            case "move, kept":
                self.move(True)
            case "move, lost":
                self.move(False)
            case _:
                self.send(event[0], int(event[1]))


EVENTS = ("A0", "A2", "B1", "B2", "commit", "move, kept", "move, lost")


def sequences(length: int) -> Iterator[tuple[str, ...]]:
    """All sequences of that length in which something is sent first."""

    def extend(done: tuple[str, ...]) -> Iterator[tuple[str, ...]]:
        if len(done) == length:
            yield done
            return
        for event in EVENTS:
            yield from extend((*done, event))

    for first in ("A0", "B2"):
        yield from extend((first,))


def broken(world: World) -> str:
    """The rule that the answers break, or ""."""
    world.commit()
    for node in world.nodes:
        node.catch_up()
    version = world.owner.state.version
    in_force = {"A": version == 5, "B": version == 7}
    for name in "AB":
        statuses = [answer.status for answer in world.answers[name]]
        if 200 in statuses and not in_force[name]:
            return f"{name} was acknowledged and isn't in force"
        if in_force[name] and any(status in (400, 412) for status in statuses):
            return f"{name} is in force and was refused"
        if version == 3:
            continue
        world.send(name, 2)
        last = world.answers[name][-1].status
        if in_force[name] and last != 200:
            return f"{name} is in force and isn't acknowledged again: {last}"
        if not in_force[name] and last != 412:
            return f"{name} isn't in force and gets {last}"
    if {node.state.version for node in world.nodes} != {version}:
        return "the nodes differ"
    return ""


def search(desk: type[OrderDesk], length: int) -> tuple[int, tuple[str, ...], str]:
    """How many sequences were played, and the first that breaks a rule."""
    count = 0
    for sequence in sequences(length):
        count += 1
        world = World(desk)
        for event in sequence:
            world.play(event)
        rule = broken(world)
        if rule:
            return count, sequence, rule
    return count, (), ""


class ForgetfulDesk(OrderDesk):
    """Broken build: an order that was accepted isn't remembered."""

    def _decide(self, order: Order) -> Deferred[OrderResult]:
        self.state._orders.clear()
        return super()._decide(order)


class HastyDesk(OrderDesk):
    """Broken build: refusals aren't confirmed, and orders are decided while another one is open."""

    def _next(self) -> None:
        self._busy = False
        super()._next()

    def _decide(self, order: Order) -> Deferred[OrderResult]:
        checked = self._check(order)
        if isinstance(checked, OrderResult) and self.state.accepted_as(order.digest()) is None:
            return succeed(checked)
        return super()._decide(order)


class RaceTest(unittest.TestCase):
    """The search."""

    def test_no_sequence_of_events_breaks_a_rule(self) -> None:
        count, sequence, rule = search(OrderDesk, LENGTH)
        self.assertEqual((sequence, rule), ((), ""))
        self.assertEqual(count, 2 * len(EVENTS) ** (LENGTH - 1))

    def test_broken_builds_are_found(self) -> None:
        for desk in (ForgetfulDesk, HastyDesk):
            with self.subTest(desk=desk.__name__):
                self.assertNotEqual(search(desk, LENGTH)[2], "")


if __name__ == "__main__":
    unittest.main()
