"""Emptying storage nodes: who may go, when it is done, and what a new owner of the configuration answers."""

from __future__ import annotations

import json
import unittest
from dataclasses import dataclass, field
from typing import Any, cast
from unittest import mock

from msgspec.structs import replace
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import Clock

from bitternpath.configuration import retirement
from bitternpath.configuration.commands import (
    COMMANDS,
    FinishRetirement,
    RetireNode,
    SetPlacement,
    UpdateStorageMembers,
)
from bitternpath.configuration.feed_server import FeedServer
from bitternpath.configuration.liveness import NodeLiveness
from bitternpath.configuration.placement import initial_placement, repaired_placement
from bitternpath.configuration.results import OperatorResult, ResultCode
from bitternpath.configuration.retirement import (
    MembershipReports,
    RetireCheck,
    RetireState,
    decide_retirement,
    next_finished_retirement,
    retirement_state,
)
from bitternpath.configuration.state_machine import ConfigurationState
from bitternpath.configuration.storage_membership import StorageMembership
from bitternpath.membership.bootstrap import member_id
from bitternpath.replication.errors import NotOwnerError, OutcomeUnknownError
from bitternpath.replication.reconfiguration import node_of
from bitternpath.roles.live_nodes import LiveNodes
from bitternpath.roles.retirements import FOLLOWERS_KNOWN_AFTER_S, Retirements
from bitternpath.roles.shard_placement import ShardPlacement
from bitternpath.transport.feed_messages import FeedSubscribe
from bitternpath.transport.group_messages import GroupPlacement, MembershipReport
from bitternpath.transport.node_messages import NodeDescriptor, NodeKind


def nodes(names: str) -> list[NodeDescriptor]:
    """Storage nodes by letter; a capital letter is the same node with another disk."""
    return [
        NodeDescriptor(
            name=name.lower(),
            address=f"{name}:1",
            kind=NodeKind.STORAGE,
            zone=f"z{n % 3}",
            counted=True,
            disk=f"disk-{name}",
            incarnation=int(name.isupper()),
            heartbeat=0,
        )
        for n, name in enumerate(names)
    ]


def ids(names: str) -> tuple[str, ...]:
    return tuple(map(member_id, nodes(names)))


def placed_state(names: str) -> ConfigurationState:
    """A state with a placement on these nodes, which are also in the roster."""
    state = ConfigurationState()
    state.apply(1, COMMANDS.encode(SetPlacement(0, initial_placement(nodes(names), 1))))
    state.apply(2, COMMANDS.encode(UpdateStorageMembers(ids(names), ())))
    return state


def retire(state: ConfigurationState, name: str, remaining: str) -> object:
    return state.apply(0, COMMANDS.encode(RetireNode(ids(name)[0], ids(remaining), 3)))


def move_away(state: ConfigurationState, name: str, to: str) -> tuple[GroupPlacement, ...]:
    """Place all shards without a node."""
    moved = repaired_placement(state.groups, nodes(to), frozenset(name), 1)
    assert state.apply(0, COMMANDS.encode(SetPlacement(state.placement_generation, moved)))
    return moved


def report(group: GroupPlacement, epoch: int = 2) -> MembershipReport:
    return MembershipReport(
        group.group, epoch, tuple(each.member for each in group.members), generation=group.generation
    )


def nodes_of(group: GroupPlacement) -> set[str]:
    return {member.node for member in group.members}


class PresenceTest(unittest.TestCase):
    """Who has been away."""

    def test_it_counts_from_when_a_node_was_last_heard(self) -> None:
        presence = NodeLiveness(10.0)
        presence.update(11.0, {"a": 10.9})
        presence.update(12.0, {"a": 11.0})  # its link is open still
        presence.update(13.0, {"b": 13.0})
        presence.update(14.0, {"b": 14.0})
        self.assertEqual([presence.down_for(14.0, name) for name in "abc"], [3.0, 0.0, 4.0])

    def test_after_a_pause_of_the_owner_all_count_as_heard(self) -> None:
        presence = NodeLiveness(10.0)
        presence.update(10.2, {"a": 10.2})
        presence.update(13.0, {"a": 10.2})
        self.assertEqual([presence.down_for(13.5, name) for name in "ab"], [0.0, 0.0])

    def test_who_has_just_come(self) -> None:
        presence = NodeLiveness(10.0, known=["a"])
        presence.update(10.5, {"a": 10.5, "b": 10.5})
        presence.update(11.0, {"a": 11.0, "b": 11.0})
        self.assertEqual([presence.up_for(12.0, name) for name in "abc"], [float("inf"), 1.5, 0.0])


class DecisionTest(unittest.TestCase):
    """Whether an order may be taken."""

    CASES = (
        # node, present, away for, expected
        ("a node of four", "a", "abcd", {}, RetireCheck.ACCEPTABLE),
        ("nobody has found the new owner yet", "a", "", {}, RetireCheck.ACCEPTABLE),
        ("another is away for a moment", "a", "abd", {"c": 5.0}, RetireCheck.ACCEPTABLE),
        ("another has gone for good", "a", "abd", {"c": 40.0}, RetireCheck.TOO_FEW_LEFT),
        ("it has itself gone for good", "a", "bcd", {"a": 40.0}, RetireCheck.ACCEPTABLE),
        ("of no system", "x", "abcd", {}, RetireCheck.UNKNOWN_NODE),
        ("one that came just now", "e", "abcde", {}, RetireCheck.ACCEPTABLE),
    )

    def test_decisions(self) -> None:
        for label, node, present, away, expected in self.CASES:
            with self.subTest(label):
                decision = decide_retirement(
                    placed_state("abcd"), node, nodes(present), lambda name, away=away: away.get(name, 0.0), 1
                )  # type: ignore[misc]
                self.assertIs(decision.check, expected)
                self.assertEqual(decision.command is not None, expected is RetireCheck.ACCEPTABLE)

    def test_three_must_stay(self) -> None:
        decision = decide_retirement(placed_state("abc"), "a", nodes("abc"), lambda name: 0.0, 1)
        self.assertIs(decision.check, RetireCheck.TOO_FEW_LEFT)

    def test_two_orders_at_once_are_judged_one_after_the_other(self) -> None:
        """Both were found acceptable before either was committed."""
        state = placed_state("abcd")
        self.assertTrue(retire(state, "a", "bcd"))
        self.assertFalse(retire(state, "b", "acd"))
        self.assertEqual(
            [retirement_state(state, node) for node in "ab"], [RetireState.RUNNING, RetireState.UNKNOWN]
        )

    def test_the_same_order_again(self) -> None:
        state = placed_state("abcd")
        retire(state, "a", "bcd")
        for present in ("abcd", "bcd", ""):
            decision = decide_retirement(state, "a", nodes(present), lambda name: 40.0, 1)
            self.assertIs(decision.check, RetireCheck.REPEATED)
        self.assertTrue(retire(state, "a", ""))


class EndTest(unittest.TestCase):
    """When a node is empty."""

    def setUp(self) -> None:
        self.state = placed_state("abcd")
        self.reports = MembershipReports()

    def test_every_owner_must_have_said_so(self) -> None:
        retire(self.state, "d", "abc")
        moved = move_away(self.state, "d", "abcd")
        for group in moved[:-1]:
            self.reports.update(report(group))
        self.assertIsNone(next_finished_retirement(self.state, self.reports))
        self.reports.update(replace(report(moved[-1]), members=("a/x", "b/x", "d/x")))
        self.assertIsNone(next_finished_retirement(self.state, self.reports))
        self.reports.update(replace(report(moved[-1], epoch=3), members=("a/x", "b/x", "c/x")))
        self.reports.update(replace(report(moved[-1]), members=("a/x", "b/x", "d/x")))  # of an owner before
        self.assertEqual(next_finished_retirement(self.state, self.reports), FinishRetirement("d", 2))

    def test_a_report_by_an_older_placement_says_nothing(self) -> None:
        """The shard had no replica there, then got one that its owner's last report doesn't show."""
        place = next(n for n, each in enumerate(self.state.groups) if nodes_of(each) == set("abc"))
        self.reports.update(report(self.state.groups[place]))
        move_away(self.state, "a", "abcd")
        self.assertIn("d", nodes_of(self.state.groups[place]))
        retire(self.state, "d", "abc")
        moved = move_away(self.state, "d", "abc")
        for number, group in enumerate(moved):
            if number != place:
                self.reports.update(report(group, epoch=9))
        self.assertIsNone(next_finished_retirement(self.state, self.reports))
        self.reports.update(report(moved[place]))
        self.assertIsNotNone(next_finished_retirement(self.state, self.reports))

    def finish(self) -> None:
        retire(self.state, "d", "abc")
        for group in move_away(self.state, "d", "abcd"):
            self.reports.update(report(group))
        command = next_finished_retirement(self.state, self.reports)
        assert command is not None
        self.assertTrue(self.state.apply(9, COMMANDS.encode(command)))

    def test_done_stays_done(self) -> None:
        """Whoever owns the configuration then, whatever is placed."""
        self.finish()
        restored = ConfigurationState()
        restored.restore(self.state.snapshot())
        for state in (self.state, restored):
            self.assertIs(retirement_state(state, "d"), RetireState.DONE)
            self.assertIsNone(next_finished_retirement(state, MembershipReports()))
            members = initial_placement(nodes("dbc"), 1)[0].members
            back = tuple(replace(group, members=members) for group in state.groups)
            self.assertFalse(state.apply(10, COMMANDS.encode(SetPlacement(state.placement_generation, back))))
            self.assertIs(retirement_state(state, "d"), RetireState.DONE)
            self.assertIs(
                decide_retirement(state, "d", nodes("abc"), lambda name: 0.0, 1).check, RetireCheck.REPEATED
            )

    def test_an_end_that_met_another_placement_has_no_effect(self) -> None:
        retire(self.state, "d", "abc")
        for group in move_away(self.state, "d", "abcd"):
            self.reports.update(report(group))
        command = next_finished_retirement(self.state, self.reports)
        assert command is not None
        move_away(self.state, "z", "abC")  # the disk of c was lost meanwhile
        self.assertFalse(self.state.apply(9, COMMANDS.encode(command)))
        self.assertIs(retirement_state(self.state, "d"), RetireState.RUNNING)

    def test_another_machine_may_come_under_its_name(self) -> None:
        self.finish()
        newcomer = ids("D")[0]
        self.assertFalse(self.state.storage.is_retired(newcomer))
        self.assertTrue(self.state.storage.is_retired(ids("d")[0]))
        self.state.apply(10, COMMANDS.encode(UpdateStorageMembers((newcomer,), ())))
        self.assertIn(newcomer, self.state.storage.members)
        decision = decide_retirement(self.state, "d", nodes("abcD"), lambda name: 0.0, 1)
        self.assertIs(decision.check, RetireCheck.ACCEPTABLE)

    def test_nothing_new_is_placed_on_a_node_that_is_being_emptied(self) -> None:
        """A placement was reckoned before the order was committed, and came after it."""
        state = placed_state("abc")
        state.apply(3, COMMANDS.encode(UpdateStorageMembers(ids("de"), ())))
        moved = repaired_placement(state.groups, nodes("bcd"), frozenset("a"), 1)
        retire(state, "d", "abce")
        self.assertFalse(state.apply(4, COMMANDS.encode(SetPlacement(1, moved))))
        self.assertEqual(state.placement_generation, 1)


@dataclass(eq=False)
class Link:
    """A follower's link."""

    peer: NodeDescriptor
    clock: Clock
    sent: list[Any] = field(default_factory=list)

    @property
    def heard_at(self) -> float:
        return float(self.clock.seconds())

    def send(self, record: Any) -> None:
        self.sent.append(record)


class Owner:
    """What a configuration's owner needs to answer, with the group played."""

    def __init__(self, state: ConfigurationState) -> None:
        self.clock, self.state = Clock(), state
        self.feed = FeedServer(self.clock, state, lambda: 1)
        self.nodes = LiveNodes(self.clock, self.feed)
        self.owns, self.commits, self.index = True, True, 100
        group = cast(Any, self)
        self.placement = ShardPlacement(self.clock, group, state, self.nodes, 1)
        self.retirements = Retirements(group, state, self.nodes, 1)
        self.take_over()

    def take_over(self) -> None:
        self.nodes.begin([node_of(member) for member in self.state.storage.members])
        self.placement.begin()
        self.retirements.begin()

    def follow(self, names: str) -> None:
        for node in nodes(names):
            self.feed.subscribe(cast(Any, Link(node, self.clock)), FeedSubscribe(0, 0, False))

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.25)):
            self.clock.advance(0.25)
            self.reconcile()

    def reconcile(self) -> None:
        self.nodes.update()
        self.placement.reconcile()
        self.retirements.reconcile()

    def is_owner(self) -> bool:
        return self.owns

    def barrier(self) -> Deferred[None]:
        return succeed(None) if self.owns else fail(NotOwnerError())

    def propose(self, command: bytes) -> Deferred[object]:
        if not self.commits:
            return fail(OutcomeUnknownError())
        self.index += 1
        return succeed(self.state.apply(self.index, command))

    def ask(self, node: str) -> OperatorResult:
        return self._answer(self.retirements.order(node))

    def state_of(self, node: str) -> str:
        body = json.loads(self._answer(self.retirements.state(node)).body)
        return str(body.get("state", body.get("result")))

    @staticmethod
    def _answer(deferred: Deferred[OperatorResult]) -> OperatorResult:
        answers: list[OperatorResult] = []
        deferred.addCallback(answers.append)
        return answers[0]


class AnswersTest(unittest.TestCase):
    """What the operator hears."""

    def test_in_the_first_second_after_a_take_over(self) -> None:
        """No follower has found the new owner yet; found by reading: it said 404 and 409 to proper orders."""
        for node, placed in (("d", "abc"), ("d", "abcd")):
            state = placed_state(placed)
            state.apply(3, COMMANDS.encode(UpdateStorageMembers(ids("abcd"), ())))
            owner = Owner(state)
            owner.reconcile()
            self.assertIs(owner.ask(node).code, ResultCode.RETIRING)
            self.assertEqual(owner.state_of(node), "running")

    def test_of_an_unknown_node_nothing_is_said_until_all_can_have_been_heard(self) -> None:
        owner = Owner(placed_state("abcd"))
        self.assertEqual(owner.ask("x").status, 503)
        owner.follow("abcd")
        owner.run(FOLLOWERS_KNOWN_AFTER_S + 0.25)
        self.assertEqual(owner.ask("x").status, 404)

    def test_too_few_is_said_at_once(self) -> None:
        owner = Owner(placed_state("abc"))
        self.assertEqual(owner.ask("a").status, 409)

    def test_a_node_joins_the_roster_when_it_first_follows(self) -> None:
        owner = Owner(placed_state("abcd"))
        owner.follow("abcde")
        owner.reconcile()
        self.assertIn(ids("e")[0], owner.state.storage.members)
        self.assertIs(Owner(owner.state).ask("e").code, ResultCode.RETIRING)

    def test_a_node_that_keeps_nothing_leaves_the_roster_after_long(self) -> None:
        owner = Owner(placed_state("abcd"))
        owner.state.apply(3, COMMANDS.encode(UpdateStorageMembers(ids("e"), ())))
        owner.follow("abcd")
        owner.run(29.0)
        self.assertIn(ids("e")[0], owner.state.storage.members)
        owner.run(2.0)
        self.assertNotIn(ids("e")[0], owner.state.storage.members)

    def test_whoever_is_not_owner_any_more_says_503(self) -> None:
        owner = Owner(placed_state("abcd"))
        owner.owns = False
        for name in ("a", "x"):
            self.assertEqual(owner.ask(name).status, 503)
        self.assertEqual(owner.state_of("a"), "not_owner")

    def test_an_order_without_a_clear_end_is_503_and_taken_when_it_comes_again(self) -> None:
        owner = Owner(placed_state("abcd"))
        owner.commits = False
        self.assertEqual(owner.ask("d").status, 503)
        owner.state.apply(50, COMMANDS.encode(RetireNode(ids("d")[0], ids("abc"), 3)))  # it was committed
        owner.commits = True
        owner.take_over()
        self.assertIs(owner.ask("d").code, ResultCode.RETIRING)

    def test_it_is_done_over_take_overs_and_stays_so(self) -> None:
        owner = Owner(placed_state("abcd"))
        owner.follow("abcd")
        owner.reconcile()
        self.assertIs(owner.ask("d").code, ResultCode.RETIRING)
        owner.reconcile()
        groups = owner.state.groups
        self.assertFalse(any(member.node == "d" for group in groups for member in group.members))
        for group in groups[:2]:
            owner.retirements.reported(report(group))
        owner.take_over()  # what was reported is forgotten
        for group in groups[2:]:
            owner.retirements.reported(report(group))
        self.assertEqual(owner.state_of("d"), "running")
        for group in groups:
            owner.retirements.reported(report(group))
        self.assertEqual(owner.state_of("d"), "done")
        owner.take_over()
        self.assertEqual(owner.state_of("d"), "done")
        self.assertIs(owner.ask("d").code, ResultCode.RETIRING)
        owner.follow("d")  # its process goes on until the platform removes it
        owner.run(1.0)
        self.assertEqual(owner.state_of("d"), "done")
        self.assertNotIn(ids("d")[0], owner.state.storage.members)


class BrokenBuildTest(unittest.TestCase):
    """Builds as they were, or might be, are found by the tests above."""

    def found(self, case: type[unittest.TestCase], name: str) -> bool:
        result = unittest.TestResult()
        case(name).run(result)
        return bool(result.failures) and not result.errors

    def test_done_by_a_report_of_an_older_placement(self) -> None:
        def any_report(reports: Any, node: str, group: GroupPlacement) -> bool:
            told = reports._reports.get(group.group)
            return told is not None and node not in told.nodes

        with mock.patch.object(MembershipReports, "_is_without", any_report):
            self.assertTrue(self.found(EndTest, "test_a_report_by_an_older_placement_says_nothing"))

    def test_orders_judged_by_who_follows_now(self) -> None:
        def present_only(_: object, present: list[NodeDescriptor]) -> dict[str, str]:
            return {node.name: member_id(node) for node in present}

        with mock.patch.object(retirement, "known_members", present_only):
            self.assertTrue(self.found(AnswersTest, "test_in_the_first_second_after_a_take_over"))

    def test_done_kept_by_the_owner_alone(self) -> None:
        with mock.patch.object(StorageMembership, "finish", lambda *_: True):
            self.assertTrue(self.found(AnswersTest, "test_it_is_done_over_take_overs_and_stays_so"))


if __name__ == "__main__":
    unittest.main()
