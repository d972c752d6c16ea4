"""Successive losses in virtual time: each repair is complete before the next loss may occur."""

from __future__ import annotations

import unittest
from collections.abc import Sequence
from unittest import mock

from bitternpath.replication import reconfiguration
from bitternpath.replication.group import ReplicaGroup
from bitternpath.replication.host import ReplicaHost
from bitternpath.testing.simulation.repairs import RepairPlan, RepairWorld
from bitternpath.testing.simulation.replica_checker import InvariantViolationError

CATCH_UP_S = 4.2
DOWNTIME_S = 0.6  # time between the loss of a machine and its return
MB = 1 << 20


def wipe_in_turn(world: RepairWorld, rounds: int) -> None:
    """Wipe machines one after the other, each `CATCH_UP_S` after the return of the previous one."""
    names = sorted(world.machines)
    for number in range(rounds):
        name = names[(number * 2) % len(names)]
        world.stop(name, graceful=False, wipe=True)
        world.run(DOWNTIME_S)
        world.start(name)
        world.run(CATCH_UP_S)
        world.check_nothing_lost()


class SecondLossTest(unittest.TestCase):
    """A loss right after a repair loses no acknowledged command, in any group."""

    def world(self, seed: int, plan: RepairPlan) -> RepairWorld:
        world = RepairWorld(seed, plan)
        world.fill()
        world.traffic()
        return world

    def test_disks_lost_in_turn(self) -> None:
        for seed, groups, state, rounds in ((1, 1, MB, 12), (2, 12, 0, 8), (3, 4, MB, 6)):
            with self.subTest(seed=seed, groups=groups):
                wipe_in_turn(self.world(seed, RepairPlan(groups=groups, state_bytes=state)), rounds)

    def test_two_disks_at_once_where_two_may_be_lost(self) -> None:
        world = self.world(4, RepairPlan(groups=3, tolerated=2))
        for first, second in (("s0", "s1"), ("s2", "s3"), ("s4", "s0")):
            for name in (first, second):
                world.stop(name, graceful=False, wipe=True)
            world.run(DOWNTIME_S)
            for name in (first, second):
                world.start(name)
            world.run(CATCH_UP_S)
            world.check_nothing_lost()

    def test_machines_replaced_in_turn(self) -> None:
        """Each machine is replaced by an empty one at another address before the next one is lost."""
        for graceful in (False, True):
            with self.subTest(graceful=graceful):
                world = self.world(5, RepairPlan(groups=6))
                for number in range(4):
                    world.stop(f"s{number}", graceful=graceful)
                    world.run(DOWNTIME_S)
                    world.add_machine(f"s{number + 3}", world.machines[f"s{number}"].zone)
                    world.start(f"s{number + 3}")
                    world.run(CATCH_UP_S)
                    world.check_nothing_lost()

    def test_every_repair_is_complete_well_before_the_next_loss(self) -> None:
        """All groups of a machine are repaired under traffic in half of `catch_up_s`."""
        for tolerated, groups, state in ((1, 1, 8 * MB), (1, 20, MB), (2, 10, MB // 2)):
            with self.subTest(tolerated=tolerated, groups=groups):
                plan = RepairPlan(groups=groups, tolerated=tolerated, state_bytes=state, commands_per_s=50)
                world = self.world(6, plan)
                world.stop("s1", graceful=False, wipe=True)
                world.run(DOWNTIME_S)
                world.start("s1")
                world.measure()
                self.assertTrue(world.run_until(world.repaired, CATCH_UP_S / 2), world.times)

    def test_a_wiped_machine_leaves_no_group_exposed_for_a_second(self) -> None:
        world = self.world(7, RepairPlan(groups=10, state_bytes=MB))
        world.stop("s2", graceful=False, wipe=True)
        world.run(DOWNTIME_S)
        world.start("s2")
        world.measure()
        world.run(2.0)
        self.assertLess(max(times.exposed_s for times in world.times.values()), 0.5)

    def test_a_member_that_is_brought_up_by_entries_gets_them_once(self) -> None:
        """Rejections in flight once caused everything to be sent again: 51 MB instead of 20 MB."""
        plan = RepairPlan(groups=10, state_bytes=2 * MB, commands_per_s=50, link_bytes_per_s=60e6)
        for seed in range(3):
            world = self.world(seed, plan)
            world.run(0.5)
            world.stop("s0", graceful=False, wipe=True)
            world.run(1.0)
            world.start("s0")
            world.measure()
            self.assertTrue(world.run_until(world.repaired, CATCH_UP_S))
            self.assertLess(world.bytes_sent, 1.25 * plan.groups * plan.state_bytes)

    def test_a_retired_machine_leaves_no_group_without_an_owner(self) -> None:
        """It transfers ownership first; otherwise each of its groups waits for an election."""
        world = self.world(8, RepairPlan(groups=9))
        world.add_machine("s3", "z0")
        world.start("s3")
        world.run(1.0)
        world.measure()
        world.controller.retire("s0")
        world.run(2.0)
        self.assertTrue(world.repaired())
        self.assertLess(max(times.exposed_s for times in world.times.values()), 0.1)


def check_groups_commit(world: RepairWorld, seconds: float = 1.0) -> None:
    """Check that every group commits commands. Raises `InvariantViolationError`."""
    before = {group: checker.acknowledged for group, checker in world.checkers.items()}
    world.run(seconds)
    for group, checker in world.checkers.items():
        if checker.acknowledged <= before[group]:
            raise InvariantViolationError(f"{group} commits nothing")


def leaving_machine_restarts(seed: int) -> None:
    """A retiring machine with a slow successor restarts with its disk, then another machine is lost, so that
    the state on the retiring machine is needed."""
    world = RepairWorld(seed, RepairPlan(groups=3))
    world.fill()
    world.traffic()
    world.add_machine("s3", "z0")
    world.start("s3")
    world.run(1.0)
    world.isolated.add("s3")  # it receives the placement, but no messages of the groups
    world.controller.retire("s0")
    world.run(0.5)
    world.stop("s0", graceful=False)
    world.run(0.3)
    world.start("s0")
    world.run(CATCH_UP_S)
    world.stop("s1", graceful=False)
    world.run(3.0)
    world.check_nothing_lost()
    check_groups_commit(world)


def successor_is_slow(seed: int) -> None:
    """A machine is lost, and its replacement receives no messages of the groups for a while."""
    world = RepairWorld(seed, RepairPlan(groups=3, state_bytes=MB // 4))
    world.fill()
    world.traffic()
    world.stop("s0", graceful=False)
    world.run(DOWNTIME_S)
    world.add_machine("t0", "z0")
    world.start("t0")
    world.isolated.add("t0")
    world.run(CATCH_UP_S)
    check_groups_commit(world)
    world.isolated.clear()
    world.run(CATCH_UP_S)
    world.stop("s1", graceful=False)
    world.run(2.0)
    world.check_nothing_lost()
    check_groups_commit(world)


class LeavingMemberTest(unittest.TestCase):
    """A member that the placement no longer names is needed until the remaining ones have all state."""

    def test_it_participates_after_a_restart(self) -> None:
        for seed in range(3):
            leaving_machine_restarts(seed)

    def test_a_slow_successor_blocks_no_group(self) -> None:
        for seed in range(3):
            successor_is_slow(seed)


class BrokenBuildTest(unittest.TestCase):
    """Builds without a safeguard of member changes fail the runs above."""

    def test_a_voter_before_it_has_caught_up(self) -> None:
        with (
            mock.patch.object(ReplicaGroup, "caught_up", lambda *_: True),
            self.assertRaises(InvariantViolationError),
        ):
            successor_is_slow(0)

    def test_removal_before_the_others_have_it(self) -> None:
        def remove_immediately(voters: Sequence[str], desired: Sequence[str], *_: object) -> str | None:
            return next((name for name in voters if name not in desired), None)

        patched = mock.patch.object(reconfiguration, "_voter_to_remove", remove_immediately)
        with patched, self.assertRaises(InvariantViolationError):
            leaving_machine_restarts(0)

    def test_a_replica_that_the_placement_no_longer_names_stays_shut_after_a_restart(self) -> None:
        with (
            mock.patch.object(ReplicaHost, "has_unopened_state", lambda *_: False),
            self.assertRaises(InvariantViolationError),
        ):
            leaving_machine_restarts(0)


if __name__ == "__main__":
    unittest.main()
