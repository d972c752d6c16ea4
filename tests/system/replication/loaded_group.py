"""A replica group in virtual time with commands at an even rate, for tests that inject their own faults."""

from __future__ import annotations

from bitternpath.testing.simulation.replica_group import GROUP, Node, Plan, Process, World


class LoadedGroup(World):
    """Commands at an even rate; the only faults are those that a test injects."""

    def __init__(self, seed: int = 1) -> None:
        super().__init__(seed, Plan())
        self.loss, self.faults_stopped = 0.0, True
        self.serial = 0
        self.every = 0.0

    def owner(self) -> Process:
        """The process that owns the group; waits for one."""

        def found() -> list[Process]:
            processes = [node.process for node in self.nodes.values() if node.process]
            return [process for process in processes if process.host.is_owner(GROUP)]

        assert found() or self.run_until(lambda: bool(found()), 5)
        return found()[0]

    def change(self, size: int = 20) -> None:
        """Propose one command."""
        self.serial += 1
        self.propose(self.owner(), b"%08d" % self.serial + bytes(size))

    def changes(self, every: float) -> None:
        """Propose a command every so many seconds, until `every` is set to 0."""
        self.every = every
        if every:
            self.change()
            self.clock.callLater(every, lambda: self.changes(self.every))

    def follower(self) -> Node:
        """A node that doesn't lead."""
        owner = self.owner()
        return next(node for node in self.nodes.values() if node.process is not owner)

    def is_current(self, node: Node) -> bool:
        """Whether a node has applied all but the commands of the last round trips."""
        process = node.process
        return process is not None and len(process.register.commands) >= len(self.checker.committed) - 12
