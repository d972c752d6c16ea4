"""Repairs in the whole service in virtual time: members of all groups, retirements, removed replicas."""

from __future__ import annotations

import unittest
from collections.abc import Callable

from bitternpath.membership.bootstrap import CONFIGURATION_GROUP
from bitternpath.replication.host import ReplicaHost
from bitternpath.replication.records import Members
from bitternpath.testing.simulation.recorder import Ownership
from bitternpath.testing.simulation.world import Plan
from tests.system.small_actors import Answer, Caller, SmallSystem

CATCH_UP_S = 4.2
REPAIR_TIMEOUT_S = CATCH_UP_S / 2  # from the return of a machine until all its groups have all members
DOWN_S = 0.5


class RepairCase(unittest.TestCase):
    """A running system with messages in progress."""

    def make(self, seed: int, **plan: int) -> None:
        self.system = SmallSystem(seed, Plan(**plan))  # type: ignore[arg-type]
        self.world = self.system.world
        self.system.bootstrap()
        self.world.run_for(2.0)
        self.accepted: list[tuple[str, Answer]] = []
        self.versions = 1

    def host(self, name: str) -> ReplicaHost | None:
        process = self.world.nodes[name].process
        return process.node.base.host if process is not None else None

    def owner(self, group: str) -> str:
        """The node that gained the ownership of a group last."""
        last: dict[str, Ownership] = {}
        for change in self.world.ownerships:
            if change.group == group and change.gained:
                last[group] = change
        return last[group].node

    def members(self, group: str) -> Members | None:
        """Members committed by the owner of the highest epoch; a frozen former owner is out of date."""
        hosts = [host for host in map(self.host, self.world.nodes) if host is not None]
        owners = [host for host in hosts if host.is_owner(group)]
        owner = max(owners, key=lambda host: host.current_term(group), default=None)
        return owner.committed_members(group) if owner is not None else None

    def is_complete(self, group: str, nodes: list[str], copies: int) -> bool:
        """Whether a group has `copies` voters, all of them current disks, and no learners."""
        members = self.members(group)
        current = {host.member_id for host in map(self.host, nodes) if host is not None}
        return (
            members is not None
            and len(members.voters) == copies
            and not members.learners
            and set(members.voters) <= current
        )

    def all_complete(self) -> bool:
        core = [node.name for node in self.world.edges() if node.counted]
        stores = [node.name for node in self.world.storages()]
        groups = {change.group for change in self.world.ownerships} - {CONFIGURATION_GROUP}
        return self.is_complete(CONFIGURATION_GROUP, core, len(core)) and all(
            self.is_complete(group, stores, 3) for group in groups
        )

    def seconds_until(self, condition: Callable[[], bool], longest: float) -> float:
        began = self.world.now
        while not condition():
            self.world.run_for(0.02)
            self.assertLess(self.world.now - began, longest)
        return self.world.now - began

    def send(self) -> None:
        for edge in range(len(self.world.edges())):
            self.accepted.append(self.system.send(edge))

    def check_recovered(self) -> None:
        """Check that all accepted messages are done."""
        self.world.run_for(4.0)
        accepted = [(name, answer) for name, answer in self.accepted if answer.status == 202]
        states = [(self.system.state(answer, name), name) for name, answer in accepted]
        self.world.run_for(2.5)
        for answer, name in states:
            self.assertEqual((answer.status, answer.body[:15]), (200, b'{"state":"done"'), (name, answer))
        self.assertGreater(len(states), 0)
        self.assertEqual(self.world.failures, [])
        self.assertEqual(self.world.violations, [])


class RepairTimeTest(RepairCase):
    """Time from a machine's return until every group has all members."""

    def test_successive_disk_losses(self) -> None:
        """Core and storage machines in turn, also owners, each once the previous one has caught up."""
        self.make(21)
        for name in ("owner", "e3", "s1", "owner", "s3", "e1", "s2"):
            lost = self.owner(CONFIGURATION_GROUP) if name == "owner" else self.node_name(name)
            self.send()
            self.world.wipe(lost, DOWN_S)
            self.world.run_for(DOWN_S)
            elapsed_s = self.seconds_until(self.all_complete, REPAIR_TIMEOUT_S)
            self.world.run_for(CATCH_UP_S - elapsed_s)
        self.check_recovered()

    def node_name(self, planned: str) -> str:
        nodes = self.world.edges() if planned[0] == "e" else self.world.storages()
        return nodes[int(planned[1:]) - 1].name

    def test_successive_replacements(self) -> None:
        self.make(22)
        for name in ("e1", "s1", "e1", "s1", "e1", "s1"):
            self.send()
            self.world.replace(self.node_name(name))
            elapsed_s = self.seconds_until(self.all_complete, CATCH_UP_S - 1.0)
            self.world.run_for(CATCH_UP_S - elapsed_s)
        self.check_recovered()


class RetirementTest(RepairCase):
    """Progress of an order to retire a machine."""

    def retire(self, name: str) -> Answer:
        caller = Caller(self.world, "10.99.0.7")
        control = next(node.control for node in self.world.edges())
        return caller.call("POST", control, f"/retire/{name}", {"duration_s": 10})

    def state(self, name: str) -> Answer:
        caller = Caller(self.world, "10.99.0.7")
        control = next(node.control for node in self.world.edges())
        return caller.call("GET", control, f"/retire/{name}")

    def call(self, make: Callable[[str], Answer], name: str) -> Answer:
        """Repeat a call until the answer is final."""
        for _ in range(8):
            answer = make(name)
            self.world.run_for(0.6)
            if answer.status not in (0, 503):
                return answer
        self.fail(f"no final answer: {answer}")

    def done(self, name: str) -> bool:
        answer = self.state(name)
        self.world.run_for(0.1)
        return answer.status == 200 and answer.json() == {"state": "done"}

    def test_retirement_right_after_a_leader_change(self) -> None:
        """A new owner has no followers at first, and once refused orders (simactors, seeds 12, 68, 84)."""
        for delay in (0.6, 0.8, 1.0, 1.2, 1.5):
            self.make(23, storages=5)
            self.world.kill(self.owner(CONFIGURATION_GROUP), 3.0)
            self.world.run_for(delay)
            name = self.world.storages()[4].name
            self.assertEqual(self.call(self.retire, name).status, 200)
            self.assertEqual(self.call(self.retire, name).status, 200)
            self.seconds_until(lambda: self.done(name), 6.0)  # noqa: B023

    def test_retirement_survives_its_owner_and_stays_done(self) -> None:
        """After a change of the owner, `running` was reported again after `done` (simactors, seed 228)."""
        self.make(24, storages=5)
        name = self.world.storages()[0].name
        self.send()
        self.assertEqual(self.call(self.retire, name).status, 200)
        self.world.wipe(self.owner(CONFIGURATION_GROUP), DOWN_S)
        self.seconds_until(lambda: self.done(name), 8.0)
        self.world.run_for(CATCH_UP_S)
        self.world.kill(self.owner(CONFIGURATION_GROUP), 1.0)
        answers = []
        for _ in range(20):
            answers.append(self.state(name))
            self.world.run_for(0.2)
        self.assertEqual({answer.body for answer in answers if answer.status == 200}, {b'{"state": "done"}'})
        self.world.remove(name)
        self.send()
        self.check_recovered()

    def test_retired_machine_frees_its_disk_space(self) -> None:
        self.make(25, storages=4)
        name = self.world.storages()[1].name
        self.send()
        host = self.host(name)
        assert host is not None
        self.assertGreater(len(host.groups), 0)
        self.assertEqual(self.call(self.retire, name).status, 200)
        self.seconds_until(lambda: self.done(name), 6.0)
        self.seconds_until(lambda: not host.groups, 3.0)
        self.check_recovered()

    def test_replaced_machine_that_returns_is_harmless(self) -> None:
        """A machine that was replaced while frozen removes its replicas and can become a member again."""
        self.make(26, storages=4)
        name = self.owner("queue-0")
        self.send()
        self.world.freeze(name)
        self.world.add_node("storage")
        self.world.run_for(4.0)
        self.assertFalse(any(name in member for member in (self.members("queue-0") or Members()).all))
        self.send()
        self.world.thaw(name)
        host = self.host(name)
        assert host is not None
        self.seconds_until(lambda: not host.groups, 4.0)
        other = next(node.name for node in self.world.storages() if node.name != name)
        self.world.replace(other)
        self.world.run_for(CATCH_UP_S)
        self.assertTrue(self.all_complete())
        self.check_recovered()


if __name__ == "__main__":
    unittest.main()
