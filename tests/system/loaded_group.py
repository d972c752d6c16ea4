"""A replica group in virtual time with changes at an even rate, for tests that make their own faults."""

from __future__ import annotations

import unittest

import logbook

from bitternpath.testing.simulation.replica_group import GROUP, Node, Plan, Process, World


class Quiet(unittest.TestCase):
    """Expected errors of state machines are not printed."""

    def setUp(self) -> None:
        handler = logbook.NullHandler()
        handler.push_application()
        self.addCleanup(handler.pop_application)


class Loaded(World):
    """Changes at an even rate, without faults but those that a test makes."""

    def __init__(self, seed: int = 1) -> None:
        super().__init__(seed, Plan())
        self.loss, self.calm = 0.0, True
        self.serial = 0
        self.every = 0.0

    def owner(self) -> Process:
        """The one that leads."""

        def found() -> list[Process]:
            processes = [node.process for node in self.nodes.values() if node.process]
            return [process for process in processes if process.host.is_owner(GROUP)]

        assert found() or self.run_until(lambda: bool(found()), 5)
        return found()[0]

    def change(self, size: int = 20) -> None:
        """Propose one change."""
        self.serial += 1
        self.propose(self.owner(), b"%08d" % self.serial + bytes(size))

    def changes(self, every: float) -> None:
        """Go on proposing, until `every` is 0."""
        self.every = every
        if every:
            self.change()
            self.clock.callLater(every, lambda: self.changes(self.every))

    def follower(self) -> Node:
        """A node that doesn't lead."""
        owner = self.owner()
        return next(node for node in self.nodes.values() if node.process is not owner)

    def is_current(self, node: Node) -> bool:
        """Whether a node has all but the last changes, those of some round trips."""
        process = node.process
        return process is not None and len(process.register.commands) >= len(self.checker.committed) - 12
