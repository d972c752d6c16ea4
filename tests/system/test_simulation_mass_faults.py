"""Faults of many machines at once and processor quotas in the simulation, and the coverage of runs."""

from __future__ import annotations

import unittest

from bitternpath.replication.records import Members
from bitternpath.roles.ownership_return import INITIAL_DELAY_S
from bitternpath.testing.simulation.events import Fault, FaultKind, Layout, RunPlan
from bitternpath.testing.simulation.processes import QUOTA_PERIOD_S, NodeState
from bitternpath.testing.simulation.runs.coverage import Coverage, coverage_of
from bitternpath.testing.simulation.runs.draw import SCENARIOS, draw
from bitternpath.testing.simulation.runs.play import Run, play
from bitternpath.testing.simulation.transitions import TransitionKind, membership_changes
from bitternpath.testing.simulation.world import Plan
from tests.system.small_actors import SmallSystem

PROCESSOR_SHARE = 0.1
OBSERVATION_S = 20.0
READY_WITHIN_S = 2.0  # PROTOCOL, "Ingress": a node that misses two probes, one per second, is removed


class Quotas(unittest.TestCase):
    """Each process runs for 10 ms of every 100 ms."""

    def setUp(self) -> None:
        self.system = SmallSystem("quota", Plan(processor_share=PROCESSOR_SHARE))
        self.world = self.system.world
        self.system.bootstrap()
        self.world.run_for(2.0)

    def test_a_process_runs_in_a_tenth_of_the_time(self) -> None:
        node = self.world.edges()[0]
        samples = 1000
        frozen_samples = 0
        for _ in range(samples):
            self.world.run_for(QUOTA_PERIOD_S / 100)
            reactor = node._reactor
            assert reactor is not None
            frozen_samples += reactor.frozen
        self.assertAlmostEqual(frozen_samples / samples, 1 - PROCESSOR_SHARE, delta=0.02)

    def test_owners_keep_their_groups_without_faults(self) -> None:
        """A process that is throttled for 90 ms isn't considered dead; waits for planned transfers first."""
        self.world.run_for(INITIAL_DELAY_S + OBSERVATION_S)
        before = len(self.world.ownerships)
        self.world.run_for(OBSERVATION_S)
        self.assertEqual(self.world.ownerships[before:], [])

    def test_messages_and_orders_are_accepted(self) -> None:
        order = self.system.put(2, 1)
        _, answer = self.system.send()
        self.world.run_for(2.0)
        self.assertEqual((order.status, answer.status), (200, 202))

    def test_readiness_is_answered_within_its_time(self) -> None:
        edges = self.world.edges()
        answers = [self.system.caller.call("GET", edge.readiness, "/readyz") for edge in edges]
        self.world.run_for(READY_WITHIN_S)
        self.assertEqual([answer.status for answer in answers], [200] * len(answers))

    def test_a_frozen_process_isnt_run_by_its_next_period(self) -> None:
        node = self.world.edges()[0]
        self.world.freeze(node.name)
        self.world.run_for(3 * QUOTA_PERIOD_S)
        assert node._reactor is not None
        self.assertTrue(node._reactor.frozen)
        self.world.thaw(node.name)
        self.world.run_for(QUOTA_PERIOD_S)
        self.assertIs(node.state, NodeState.UP)


def play_faults(*faults: Fault, layout: Layout | None = None) -> Run:
    """Play a run with these faults and no other events."""
    run = Run(RunPlan(seed=5, scenario="named", seconds=12.0, layout=layout or Layout(), events=faults))
    report = run.play()
    assert report.passed, [*map(str, report.findings), *report.errors]
    return run


class MassFaults(unittest.TestCase):
    """Each kind of fault has its effect, and the system recovers."""

    longest_test_s = 15

    def events(self, run: Run, kind: str) -> list[tuple[float, str]]:
        lines = [line.split(" ", 2) for line in run.world.trace]
        return [(float(at), rest) for at, name, rest in lines if name == kind]

    def test_halves_are_partitioned_and_healed(self) -> None:
        fault = Fault(number=1, at=1.0, kind=FaultKind.HALVES, nodes=("e1", "s1"), lasts=3.0)
        run = play_faults(fault)
        starts, ends = self.events(run, "cut"), self.events(run, "join")
        self.assertEqual(len(starts), 2 * 4)  # two machines from the four other counted ones
        self.assertEqual(
            sorted(rest.split(" both")[0] for _, rest in starts), sorted(rest for _, rest in ends)
        )
        self.assertEqual(
            {round(end - start, 3) for (start, _), (end, _) in zip(starts, ends, strict=True)},
            {3.0},
        )
        other_edge = run.world.edges()[-1].name
        self.assertFalse([rest for _, rest in starts if other_edge in rest])

    def test_a_herd_is_killed_at_one_moment(self) -> None:
        nodes = ("e1", "e2", "s1", "s2", "s3", "e4")
        kills = self.events(
            play_faults(Fault(number=1, at=1.0, kind=FaultKind.HERD_KILLED, nodes=nodes, lasts=0.4)), "kill"
        )
        self.assertEqual(len(kills), len(nodes))
        self.assertEqual(len({at for at, _ in kills}), 1)

    def test_a_chain_of_losses_of_power_overlaps(self) -> None:
        fault = Fault(
            number=1,
            at=1.0,
            kind=FaultKind.POWER_CHAIN,
            nodes=("s1", "s2", "e1"),
            lasts=3.0,
            gap_s=0.5,
            wiped=("s2",),
        )
        run = play_faults(fault)
        ((first, _), (third, _)) = self.events(run, "power_loss")
        ((second, wiped),) = self.events(run, "wipe")
        self.assertEqual(wiped, run.directory.name("s2"))
        self.assertEqual([round(second - first, 3), round(third - second, 3)], [0.5, 0.5])

    def test_a_clock_is_stepped(self) -> None:
        fault = Fault(number=1, at=1.0, kind=FaultKind.CLOCK_STEP, nodes=("s1",), step_ms=-6000)
        run = play_faults(fault)
        self.assertLess(run.world.nodes[run.directory.name("s1")].skew_ms, -5000)

    def test_lossy_links_recover(self) -> None:
        fault = Fault(number=1, at=1.0, kind=FaultKind.LOSSY, nodes=("s1",), lasts=2.0)
        run = play_faults(fault)
        shares = [float(rest.split()[2]) for _, rest in self.events(run, "lossy")]
        self.assertEqual(shares, [0.05] * 6 + [0.0] * 6)


class CoverageOfRuns(unittest.TestCase):
    """Counting of concurrent faults and transitions."""

    longest_test_s = 15

    def test_faults_at_one_time_are_pairs(self) -> None:
        kill = Fault(number=1, at=1.0, kind=FaultKind.KILL, nodes=("s1",), lasts=0.5)
        partition = Fault(number=2, at=1.2, kind=FaultKind.PARTITION, nodes=("e1",), lasts=0.5)
        late = Fault(number=3, at=11.0, kind=FaultKind.RESET, nodes=("e1",))
        run = Run(RunPlan(seed=1, scenario="named", seconds=12.0, events=(partition, kill, late)))
        coverage = coverage_of(run.plan, run.world.recorder, run.history)
        self.assertEqual(dict(coverage.pairs), {(FaultKind.KILL, FaultKind.PARTITION): 1})

    def test_a_crash_that_falls_into_a_change_is_counted(self) -> None:
        fault = Fault(number=1, at=1.0, kind=FaultKind.REPLACE, nodes=("s1",))
        coverage = play_faults(fault).report.coverage
        for kind in (TransitionKind.LEARNER_ADDED, TransitionKind.VOTER_ADDED, TransitionKind.MEMBER_REMOVED):
            self.assertGreater(coverage.transitions[kind], 0, kind)
        self.assertGreater(
            coverage.crashes[TransitionKind.OWNER_LOST] + coverage.transitions[TransitionKind.BOOTSTRAP], 0
        )

    def test_membership_changes(self) -> None:
        before = Members(("a", "b", "c"), ("d",), 1)
        after = Members(("a", "b", "d"), ("e",), 2)
        expected = {TransitionKind.MEMBER_REMOVED, TransitionKind.VOTER_ADDED, TransitionKind.LEARNER_ADDED}
        changes = list(membership_changes(before, after))
        self.assertEqual((set(changes), len(changes)), (expected, 3))

    def test_counts_add_up_and_name_pairs_that_never_overlapped(self) -> None:
        total = Coverage()
        for seed in (1, 2):
            total.add(play(draw(seed, SCENARIOS["herds"])).coverage)
        self.assertEqual(total.runs, 2)
        text = "\n".join(total.lines())
        self.assertIn("coverage of 2 runs", text)
        self.assertIn("bootstrap: 8", text)  # the configuration and three shards in each run
        self.assertIn((FaultKind.LOSSY, FaultKind.LOSSY), total.never_crossed())


if __name__ == "__main__":
    unittest.main()
