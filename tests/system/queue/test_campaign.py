"""Seeded simulations of a queue, and faulty builds in which the checkers must detect violations."""

from __future__ import annotations

import unittest
from collections import Counter
from dataclasses import dataclass, field, replace
from unittest.mock import patch

from msgspec import structs

from bitternpath.queue.actions import Action, ProposeCommand
from bitternpath.queue.commands import AppendMessage, Command, EndAttempt, GrantLease
from bitternpath.queue.entries import Entry
from bitternpath.queue.lifecycle import MessageLifecycle
from bitternpath.queue.owner import OwnedShard, ShardOwner
from bitternpath.queue.phase_assignment import PhaseAssigner
from bitternpath.queue.rate_limits import RateBound, split_rate
from bitternpath.queue.results import AttemptEnded, Result
from bitternpath.queue.state import QueueState
from bitternpath.queue.token_bucket import TokenBucket
from bitternpath.queue.tracked_messages import TRANSITIONS, MessagePhase, TrackedMessage
from bitternpath.transport.records import AttemptOutcome, MessageState
from tests.system.queue.checkers import Rule, check_all
from tests.system.queue.simulation import QueueSimulation
from tests.system.queue.simulation_nodes import FREQUENT_FAILOVERS, NO_FAULTS, Build, Faults

CORRECT_BUILD_SEEDS = range(1, 13)
FAILOVER_SEEDS = range(1, 5)
DETECTION_SEEDS = range(1, 13)  # each faulty build must be detected with one of these


class SuccessorLeasedBeforeEnd(QueueState):
    """Allows a lease of any message of an order key."""

    def is_head(self, entry: Entry) -> bool:
        return True


class OrderByRouteAndKey(QueueState):
    """Treats equal order keys of two routes as different keys."""

    def apply_command(self, index: int, command: Command) -> Result:
        if isinstance(command, AppendMessage) and command.message.order_key:
            message = command.message
            command = AppendMessage(
                structs.replace(message, order_key=f"{message.route} {message.order_key}")
            )
        return super().apply_command(index, command)


class _IgnoresLeases(MessageLifecycle):
    def adopt(self, now: float, entry: Entry) -> Action | None:
        tracked = TrackedMessage(entry, accepted_by_this_owner=False)
        self._tracked[entry.message.request_id] = tracked
        return self.assign_phase(now, tracked)


class IgnoresLeasesOfEarlierOwner(ShardOwner):
    """Leases messages again immediately although an earlier owner has leased them."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)
        original = self._lifecycle
        self._lifecycle = _IgnoresLeases(
            self._state, original._phase_assigner, self._leases, self._ended_messages, original._random
        )


class SendsBeforeTheGrant(ShardOwner):
    """Sends a message when its lease is proposed, before the grant is committed."""

    def _grant_and_collect_actions(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for action in super()._grant_and_collect_actions(now):
            actions.append(action)
            if isinstance(action, ProposeCommand) and isinstance(action.command, GrantLease):
                tracked = self._lifecycle.find(action.command.request_id)
                jobs_received = self._leases.dispatch(now, tracked, action.command)
                actions.extend(() if jobs_received is None else (jobs_received,))
        return actions


class TwoEndsAccepted(QueueState):
    """Accepts a success under any lease of a message that is done."""

    def _end_attempt(self, command: EndAttempt) -> AttemptEnded:
        result = super()._end_attempt(command)
        entry = self.find(command.request_id)
        done = entry is not None and entry.state is MessageState.DONE
        late_success = done and command.outcome is AttemptOutcome.SUCCEEDED
        return structs.replace(result, accepted=result.accepted or late_success)


class EndedLeasesLostAtRestore(QueueState):
    """Loses the outcomes of ended leases at a restart."""

    def restore(self, data: bytes) -> None:
        super().restore(data)
        for entry in self:
            entry.ended_leases.clear()


class LeasedMessagesLostAtRestore(QueueState):
    """Loses the leased messages at a restart."""

    def restore(self, data: bytes) -> None:
        super().restore(data)
        for entry in [entry for entry in self if entry.lease is not None]:
            del self._entries[entry.message.request_id]


class BodiesLostAtRestore(QueueState):
    """Loses the bodies of messages at a restart."""

    def restore(self, data: bytes) -> None:
        super().restore(data)
        for entry in self:
            entry.message = structs.replace(entry.message, body=b"")


class NoResponseCountsAsAttempt(QueueState):
    """Counts a delivery without a response as a failed attempt."""

    def _end_attempt(self, command: EndAttempt) -> AttemptEnded:
        if command.outcome is AttemptOutcome.UNKNOWN:
            command = structs.replace(command, outcome=AttemptOutcome.FAILED)
        return super()._end_attempt(command)


class UnknownStamp(QueueState):
    """Replaces the stamp of a successful run."""

    def _end_attempt(self, command: EndAttempt) -> AttemptEnded:
        return super()._end_attempt(structs.replace(command, stamp="unknown"))


class _AnyTableExpires(PhaseAssigner):
    def _assign_unrouted(self, now: float, tracked: TrackedMessage) -> None:
        return self._expire(tracked)


class OlderTableExpiresMessages(ShardOwner):
    """Ends messages whose route is missing in a routing table that is older than the message."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)
        self._lifecycle._phase_assigner = _AnyTableExpires(
            self._state, self._routes, self._services, self._timers
        )


class BucketFullForNewOwner(ShardOwner):
    """Starts a new owner with a full bucket, although its predecessor may just have spent its burst."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)
        self._services.new_bucket = lambda now, share: TokenBucket(share, now - 1_000.0)


class FullRateForEachShard(ShardOwner):
    """Allows each shard the full rate of a service."""

    def __init__(self, state: QueueState, shard: OwnedShard, *rest: object) -> None:
        super().__init__(state, structs.replace(shard, shard_count=1), *rest)


@dataclass(frozen=True, slots=True)
class BrokenBuild:
    """A build with a fault, and the rule whose checker must detect it."""

    rule: Rule
    build: Build
    faults: Faults = field(default_factory=Faults)


BROKEN_BUILDS = (
    BrokenBuild(Rule.ORDER, Build(state=SuccessorLeasedBeforeEnd)),
    BrokenBuild(Rule.ORDER, Build(state=OrderByRouteAndKey)),
    BrokenBuild(Rule.TWICE, Build(owner=IgnoresLeasesOfEarlierOwner)),
    BrokenBuild(Rule.TWICE, Build(owner=SendsBeforeTheGrant)),
    BrokenBuild(Rule.TWICE, Build(state=TwoEndsAccepted)),
    BrokenBuild(Rule.TWICE, Build(state=EndedLeasesLostAtRestore)),
    BrokenBuild(Rule.LOST, Build(state=LeasedMessagesLostAtRestore)),
    BrokenBuild(Rule.MIXED, Build(state=BodiesLostAtRestore)),
    BrokenBuild(Rule.MIXED, Build(state=NoResponseCountsAsAttempt)),
    BrokenBuild(Rule.MIXED, Build(state=UnknownStamp)),
    BrokenBuild(Rule.MIXED, Build(owner=OlderTableExpiresMessages)),
    BrokenBuild(Rule.CEILING, Build(owner=BucketFullForNewOwner), FREQUENT_FAILOVERS),
    BrokenBuild(Rule.CEILING, Build(owner=FullRateForEachShard)),
)


def first_detecting_seed(broken: BrokenBuild) -> int | None:
    """Return the first seed with which the rule's checker detects the fault, or None."""
    for seed in DETECTION_SEEDS:
        simulation = QueueSimulation(seed, broken.build, broken.faults)
        if any(
            violation.rule is broken.rule
            for violation in check_all(simulation.run(), simulation.rule_settings)
        ):
            return seed
    return None


class CorrectBuild(unittest.TestCase):
    """The correct build violates no rule with any seed."""

    def test_under_faults(self) -> None:
        for seed in CORRECT_BUILD_SEEDS:
            with self.subTest(seed=seed):
                simulation = QueueSimulation(seed)
                self.assertEqual(check_all(simulation.run(), simulation.rule_settings), [])
                self.assertGreater(len(simulation.history.accepted), 400)

    def test_with_frequent_failovers(self) -> None:
        for seed in FAILOVER_SEEDS:
            with self.subTest(seed=seed):
                simulation = QueueSimulation(seed, faults=FREQUENT_FAILOVERS)
                self.assertEqual(check_all(simulation.run(), simulation.rule_settings), [])

    def test_with_tokens_that_are_lent(self) -> None:
        for seed in range(4):
            with self.subTest(seed=seed):
                simulation = QueueSimulation(seed, shards=10)
                self.assertTrue(split_rate(2.0, RateBound(10, 5.0, 1.1)).is_pooled)
                self.assertEqual(check_all(simulation.run(), simulation.rule_settings), [])

    def test_without_faults(self) -> None:
        simulation = QueueSimulation(1, faults=NO_FAULTS)
        self.assertEqual(check_all(simulation.run(), simulation.rule_settings), [])

    def test_each_call_back_is_made(self) -> None:
        simulation = QueueSimulation(3)
        simulation.run()
        expected = {
            entry.message.request_id
            for shard in simulation.shards
            for entry in shard.state
            if entry.ended and entry.message.callback_url
        }
        self.assertGreater(len(expected), 50)
        self.assertLessEqual(expected, simulation.called_back)

    def test_replicas_agree(self) -> None:
        simulation = QueueSimulation(4)
        simulation.run()
        for shard in simulation.shards:
            replica = shard._new_state()
            for index, command in enumerate(shard.log, start=1):
                replica.apply(index, command)
            self.assertEqual(
                [replicated(entry) for entry in replica], [replicated(entry) for entry in shard.state]
            )


class SimulationIsDeterministic(unittest.TestCase):
    """A failure can be replayed with its seed."""

    def test_the_same_seed_gives_the_same_history(self) -> None:
        self.assertEqual(QueueSimulation(7).run(), QueueSimulation(7).run())


class Phases(unittest.TestCase):
    """The phases of messages change only as in the table of `tracked_messages`."""

    def test_only_transitions_of_the_table_happen(self) -> None:
        observed: Counter[tuple[MessagePhase, MessagePhase]] = Counter()
        enter = TrackedMessage.enter

        def count(tracked: TrackedMessage, phase: MessagePhase) -> None:
            observed[tracked.phase, phase] += 1
            enter(tracked, phase)

        with patch.object(TrackedMessage, "enter", count):
            QueueSimulation(1).run()
            QueueSimulation(2, faults=FREQUENT_FAILOVERS).run()
        table = {(before, after) for before, each in TRANSITIONS.items() for after in each}
        self.assertEqual(set(observed) - table, set())
        self.assertGreater(len(observed), 20, "the simulations cover most of the table")

    def test_each_phase_has_its_row(self) -> None:
        self.assertEqual(set(TRANSITIONS), set(MessagePhase))


def replicated(entry: Entry) -> Entry:
    """Return an entry without its local times."""
    return replace(entry, accepted_at=0.0, due_at=0.0, ended_at=0.0)


class BrokenBuilds(unittest.TestCase):
    """The checkers detect the faulty builds, so that no violations in the correct build mean something."""

    longest_test_s = 30

    def test_each_is_detected(self) -> None:
        for broken in BROKEN_BUILDS:
            name = (
                broken.build.state if broken.build.state is not QueueState else broken.build.owner
            ).__name__
            with self.subTest(name):
                self.assertIsNotNone(
                    first_detecting_seed(broken), f"{broken.rule.name} did not detect {name}"
                )
