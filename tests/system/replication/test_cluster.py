"""Three replica hosts in virtual time, without faults."""

from __future__ import annotations

import unittest

from bitternpath.replication.errors import NotOwnerError
from bitternpath.replication.records import Members
from bitternpath.testing.simulation.replica_group import GROUP, Plan, Process, World
from tests.system.replication.quiet_logs import QuietLogsTestCase
from tests.system.replication.scripted_peers import result_of


class ClusterTest(QuietLogsTestCase):
    """Commits, leadership transfer and the replacement of a wiped node."""

    def setUp(self) -> None:
        super().setUp()
        self.simulation = World(1, Plan())
        self.simulation.loss = 0.0

    def owner(self) -> Process:
        def owners() -> list[Process]:
            processes = [node.process for node in self.simulation.nodes.values() if node.process]
            return [process for process in processes if process.host.is_owner(GROUP)]

        self.assertTrue(self.simulation.run_until(lambda: bool(owners()), 5))
        return owners()[0]

    def test_a_committed_command_is_applied_on_all(self) -> None:
        owner = self.owner()
        result = owner.host.propose(GROUP, b"x")
        self.simulation.run_until(lambda: False, 0.5)
        self.assertEqual(result_of(result), b"x")
        for node in self.simulation.nodes.values():
            assert node.process is not None
            self.assertEqual(node.process.state_machine.commands, [b"x"])
            self.assertEqual(node.process.host.leader(GROUP), owner.member)

    def test_leadership_transfer_takes_much_less_than_an_election(self) -> None:
        owner = self.owner()
        epoch = owner.host.current_term(GROUP)
        self.assertTrue(owner.host.transfer_leadership(GROUP))
        refused = owner.host.propose(GROUP, b"x")
        self.simulation.run_until(lambda: False, 0.1)
        self.assertIs(result_of(refused), NotOwnerError)
        new_owner = self.owner()
        self.assertNotEqual(new_owner.member, owner.member)
        self.assertEqual(new_owner.host.current_term(GROUP), epoch + 1)

    def test_a_wiped_node_counts_only_after_it_caught_up(self) -> None:
        owner = self.owner()
        for i in range(30):
            owner.host.propose(GROUP, b"%d" % i)
            self.simulation.run_until(lambda: False, 0.02)
        wiped_node = next(node for node in self.simulation.nodes.values() if node.process is not owner)
        self.simulation._end(wiped_node)
        wiped_node.disk.wipe()
        wiped_node.wipes += 1
        self.simulation._start(wiped_node, self.simulation.founders)
        assert wiped_node.process is not None
        wiped_process = wiped_node.process
        self.assertEqual(wiped_process.host.members(GROUP), Members())
        self.simulation._repeat(0.1, self.simulation._reconcile_members)

        def is_voter() -> bool:
            voter = wiped_process.member in owner.host.members(GROUP).voters
            if voter:
                self.assertTrue(owner.host.caught_up(GROUP, wiped_process.member))
            return voter

        self.assertTrue(self.simulation.run_until(is_voter, 5))
        self.assertTrue(self.simulation.run_until(self.simulation._agrees, 5))


if __name__ == "__main__":
    unittest.main()
