"""Three hosts in virtual time, without faults."""

from __future__ import annotations

import unittest

from bitternpath.replication.errors import NotOwnerError
from bitternpath.replication.records import Members
from bitternpath.testing.simulation.replica_group import GROUP, Plan, Process, World
from tests.system.replication.quiet_logs import QuietLogsTestCase
from tests.system.replication.scripted_peers import result_of


class ClusterTest(QuietLogsTestCase):
    """Without faults."""

    def setUp(self) -> None:
        super().setUp()
        self.world = World(1, Plan())
        self.world.loss = 0.0

    def owner(self) -> Process:
        def found() -> list[Process]:
            processes = [node.process for node in self.world.nodes.values() if node.process]
            return [process for process in processes if process.host.is_owner(GROUP)]

        self.assertTrue(self.world.run_until(lambda: bool(found()), 5))
        return found()[0]

    def test_a_committed_command_is_applied_on_all(self) -> None:
        owner = self.owner()
        result = owner.host.propose(GROUP, b"x")
        self.world.run_until(lambda: False, 0.5)
        self.assertEqual(result_of(result), b"x")
        for node in self.world.nodes.values():
            assert node.process is not None
            self.assertEqual(node.process.register.commands, [b"x"])
            self.assertEqual(node.process.host.leader(GROUP), owner.member)

    def test_leadership_transfer_takes_much_less_than_an_election(self) -> None:
        owner = self.owner()
        epoch = owner.host.current_term(GROUP)
        self.assertTrue(owner.host.transfer_leadership(GROUP))
        refused = owner.host.propose(GROUP, b"x")
        self.world.run_until(lambda: False, 0.1)
        self.assertIs(result_of(refused), NotOwnerError)
        after = self.owner()
        self.assertNotEqual(after.member, owner.member)
        self.assertEqual(after.host.current_term(GROUP), epoch + 1)

    def test_a_wiped_node_counts_only_after_it_caught_up(self) -> None:
        owner = self.owner()
        for i in range(30):
            owner.host.propose(GROUP, b"%d" % i)
            self.world.run_until(lambda: False, 0.02)
        lost = next(node for node in self.world.nodes.values() if node.process is not owner)
        self.world._end(lost)
        lost.disk.wipe()
        lost.wipes += 1
        self.world._start(lost, self.world.founders)
        assert lost.process is not None
        fresh = lost.process
        self.assertEqual(fresh.host.members(GROUP), Members())
        self.world._repeat(0.1, self.world._reconcile_members)

        def is_voter() -> bool:
            voter = fresh.member in owner.host.members(GROUP).voters
            if voter:
                self.assertTrue(owner.host.caught_up(GROUP, fresh.member))
            return voter

        self.assertTrue(self.world.run_until(is_voter, 5))
        self.assertTrue(self.world.run_until(self.world._agrees, 5))


if __name__ == "__main__":
    unittest.main()
