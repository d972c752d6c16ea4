"""A replica group in virtual time with commands at a constant rate, for tests that inject faults."""

from __future__ import annotations

from bitternpath.testing.simulation.replica_group import GROUP, Node, Plan, Process, World


class LoadedGroup(World):
    """A group with commands at a constant rate and without random faults."""

    def __init__(self, seed: int = 1) -> None:
        super().__init__(seed, Plan())
        self.loss, self.faults_stopped = 0.0, True
        self.serial = 0
        self.interval = 0.0

    def owner(self) -> Process:
        """Run until a process owns the group, and return it."""

        def owners() -> list[Process]:
            processes = [node.process for node in self.nodes.values() if node.process]
            return [process for process in processes if process.host.is_owner(GROUP)]

        assert owners() or self.run_until(lambda: bool(owners()), 5)
        return owners()[0]

    def propose_next(self, size: int = 20) -> None:
        """Propose one command."""
        self.serial += 1
        self.propose(self.owner(), b"%08d" % self.serial + bytes(size))

    def propose_periodically(self, interval: float) -> None:
        """Propose a command every `interval` seconds, until the attribute `interval` is set to 0."""
        self.interval = interval
        if interval:
            self.propose_next()
            self.clock.callLater(interval, lambda: self.propose_periodically(self.interval))

    def follower(self) -> Node:
        """A node that doesn't lead."""
        owner = self.owner()
        return next(node for node in self.nodes.values() if node.process is not owner)

    def is_current(self, node: Node) -> bool:
        """Whether a node has applied all commands except the most recent ones in flight."""
        process = node.process
        return process is not None and len(process.state_machine.commands) >= len(self.checker.committed) - 12
