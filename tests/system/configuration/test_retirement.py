"""Retirement of storage nodes: which nodes may be retired, when it is done, and results of a new owner."""

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
    """Storage nodes by letter. A capital letter is the same node with a different disk."""
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
    """A state with a placement on these nodes, all of which are storage members."""
    state = ConfigurationState()
    state.apply(1, COMMANDS.encode(SetPlacement(0, initial_placement(nodes(names), 1))))
    state.apply(2, COMMANDS.encode(UpdateStorageMembers(ids(names), ())))
    return state


def retire(state: ConfigurationState, name: str, remaining: str) -> object:
    return state.apply(0, COMMANDS.encode(RetireNode(ids(name)[0], ids(remaining), 3)))


def move_away(state: ConfigurationState, name: str, to: str) -> tuple[GroupPlacement, ...]:
    """Move all shards off a node."""
    moved = repaired_placement(state.groups, nodes(to), frozenset(name), 1)
    assert state.apply(0, COMMANDS.encode(SetPlacement(state.placement_generation, moved)))
    return moved


def report(group: GroupPlacement, epoch: int = 2) -> MembershipReport:
    return MembershipReport(
        group.group, epoch, tuple(each.member for each in group.members), generation=group.generation
    )


def nodes_of(group: GroupPlacement) -> set[str]:
    return {member.node for member in group.members}


class NodeLivenessTest(unittest.TestCase):
    """Uptime and downtime of nodes."""

    def test_downtime_counts_from_the_last_contact(self) -> None:
        liveness = NodeLiveness(10.0)
        liveness.update(11.0, {"a": 10.9})
        liveness.update(12.0, {"a": 11.0})  # its link is still open
        liveness.update(13.0, {"b": 13.0})
        liveness.update(14.0, {"b": 14.0})
        self.assertEqual([liveness.down_for(14.0, name) for name in "abc"], [3.0, 0.0, 4.0])

    def test_after_a_stall_of_the_owner_all_nodes_count_as_contacted(self) -> None:
        liveness = NodeLiveness(10.0)
        liveness.update(10.2, {"a": 10.2})
        liveness.update(13.0, {"a": 10.2})
        self.assertEqual([liveness.down_for(13.5, name) for name in "ab"], [0.0, 0.0])

    def test_up_time_of_nodes_that_have_just_joined(self) -> None:
        liveness = NodeLiveness(10.0, known=["a"])
        liveness.update(10.5, {"a": 10.5, "b": 10.5})
        liveness.update(11.0, {"a": 11.0, "b": 11.0})
        self.assertEqual([liveness.up_for(12.0, name) for name in "abc"], [float("inf"), 1.5, 0.0])


class DecisionTest(unittest.TestCase):
    """Whether a node may be retired."""

    CASES = (
        # node, present, down for, expected
        ("a node of four", "a", "abcd", {}, RetireCheck.ACCEPTABLE),
        ("no node has subscribed to the new owner yet", "a", "", {}, RetireCheck.ACCEPTABLE),
        ("another is down for a moment", "a", "abd", {"c": 5.0}, RetireCheck.ACCEPTABLE),
        ("another is down for good", "a", "abd", {"c": 40.0}, RetireCheck.TOO_FEW_LEFT),
        ("it is itself down for good", "a", "bcd", {"a": 40.0}, RetireCheck.ACCEPTABLE),
        ("unknown node", "x", "abcd", {}, RetireCheck.UNKNOWN_NODE),
        ("a node that has just joined", "e", "abcde", {}, RetireCheck.ACCEPTABLE),
    )

    def test_decisions(self) -> None:
        for label, node, present, down, expected in self.CASES:
            with self.subTest(label):
                decision = decide_retirement(
                    placed_state("abcd"), node, nodes(present), lambda name, down=down: down.get(name, 0.0), 1
                )  # type: ignore[misc]
                self.assertIs(decision.check, expected)
                self.assertEqual(decision.command is not None, expected is RetireCheck.ACCEPTABLE)

    def test_three_nodes_must_remain(self) -> None:
        decision = decide_retirement(placed_state("abc"), "a", nodes("abc"), lambda name: 0.0, 1)
        self.assertIs(decision.check, RetireCheck.TOO_FEW_LEFT)

    def test_two_concurrent_retirements_are_applied_one_after_the_other(self) -> None:
        """Both were acceptable when they were proposed."""
        state = placed_state("abcd")
        self.assertTrue(retire(state, "a", "bcd"))
        self.assertFalse(retire(state, "b", "acd"))
        self.assertEqual(
            [retirement_state(state, node) for node in "ab"], [RetireState.RUNNING, RetireState.UNKNOWN]
        )

    def test_a_repeated_retirement(self) -> None:
        state = placed_state("abcd")
        retire(state, "a", "bcd")
        for present in ("abcd", "bcd", ""):
            decision = decide_retirement(state, "a", nodes(present), lambda name: 40.0, 1)
            self.assertIs(decision.check, RetireCheck.REPEATED)
        self.assertTrue(retire(state, "a", ""))


class FinishTest(unittest.TestCase):
    """When a retirement is done."""

    def setUp(self) -> None:
        self.state = placed_state("abcd")
        self.reports = MembershipReports()

    def test_the_owners_of_all_shards_must_have_reported(self) -> None:
        retire(self.state, "d", "abc")
        moved = move_away(self.state, "d", "abcd")
        for group in moved[:-1]:
            self.reports.update(report(group))
        self.assertIsNone(next_finished_retirement(self.state, self.reports))
        self.reports.update(replace(report(moved[-1]), members=("a/x", "b/x", "d/x")))
        self.assertIsNone(next_finished_retirement(self.state, self.reports))
        self.reports.update(replace(report(moved[-1], epoch=3), members=("a/x", "b/x", "c/x")))
        self.reports.update(replace(report(moved[-1]), members=("a/x", "b/x", "d/x")))  # earlier owner
        self.assertEqual(next_finished_retirement(self.state, self.reports), FinishRetirement("d", 2))

    def test_a_report_by_an_older_placement_is_ignored(self) -> None:
        """The shard got a replica on the node after its owner's last report."""
        slot = next(number for number, each in enumerate(self.state.groups) if nodes_of(each) == set("abc"))
        self.reports.update(report(self.state.groups[slot]))
        move_away(self.state, "a", "abcd")
        self.assertIn("d", nodes_of(self.state.groups[slot]))
        retire(self.state, "d", "abc")
        moved = move_away(self.state, "d", "abc")
        for number, group in enumerate(moved):
            if number != slot:
                self.reports.update(report(group, epoch=9))
        self.assertIsNone(next_finished_retirement(self.state, self.reports))
        self.reports.update(report(moved[slot]))
        self.assertIsNotNone(next_finished_retirement(self.state, self.reports))

    def finish(self) -> None:
        retire(self.state, "d", "abc")
        for group in move_away(self.state, "d", "abcd"):
            self.reports.update(report(group))
        command = next_finished_retirement(self.state, self.reports)
        assert command is not None
        self.assertTrue(self.state.apply(9, COMMANDS.encode(command)))

    def test_done_stays_done(self) -> None:
        """It is independent of the owner and of later placements."""
        self.finish()
        restored = ConfigurationState()
        restored.restore(self.state.snapshot())
        for state in (self.state, restored):
            self.assertIs(retirement_state(state, "d"), RetireState.DONE)
            self.assertIsNone(next_finished_retirement(state, MembershipReports()))
            members = initial_placement(nodes("dbc"), 1)[0].members
            reverted = tuple(replace(group, members=members) for group in state.groups)
            self.assertFalse(
                state.apply(10, COMMANDS.encode(SetPlacement(state.placement_generation, reverted)))
            )
            self.assertIs(retirement_state(state, "d"), RetireState.DONE)
            self.assertIs(
                decide_retirement(state, "d", nodes("abc"), lambda name: 0.0, 1).check, RetireCheck.REPEATED
            )

    def test_finishing_has_no_effect_after_another_placement(self) -> None:
        retire(self.state, "d", "abc")
        for group in move_away(self.state, "d", "abcd"):
            self.reports.update(report(group))
        command = next_finished_retirement(self.state, self.reports)
        assert command is not None
        move_away(self.state, "z", "abC")  # the disk of c was lost in the meantime
        self.assertFalse(self.state.apply(9, COMMANDS.encode(command)))
        self.assertIs(retirement_state(self.state, "d"), RetireState.RUNNING)

    def test_another_machine_may_join_under_the_same_name(self) -> None:
        self.finish()
        new_member = ids("D")[0]
        self.assertFalse(self.state.storage.is_retired(new_member))
        self.assertTrue(self.state.storage.is_retired(ids("d")[0]))
        self.state.apply(10, COMMANDS.encode(UpdateStorageMembers((new_member,), ())))
        self.assertIn(new_member, self.state.storage.members)
        decision = decide_retirement(self.state, "d", nodes("abcD"), lambda name: 0.0, 1)
        self.assertIs(decision.check, RetireCheck.ACCEPTABLE)

    def test_no_replica_is_added_to_a_retired_node(self) -> None:
        """The placement was computed before the retirement was committed, but committed after it."""
        state = placed_state("abc")
        state.apply(3, COMMANDS.encode(UpdateStorageMembers(ids("de"), ())))
        moved = repaired_placement(state.groups, nodes("bcd"), frozenset("a"), 1)
        retire(state, "d", "abce")
        self.assertFalse(state.apply(4, COMMANDS.encode(SetPlacement(1, moved))))
        self.assertEqual(state.placement_generation, 1)


@dataclass(eq=False)
class Link:
    """A subscriber's link."""

    peer: NodeDescriptor
    clock: Clock
    sent: list[Any] = field(default_factory=list)

    @property
    def received_at(self) -> float:
        return float(self.clock.seconds())

    def send(self, record: Any) -> None:
        self.sent.append(record)


class Owner:
    """The components of a configuration owner with a simulated group."""

    def __init__(self, state: ConfigurationState) -> None:
        self.clock, self.state = Clock(), state
        self.feed = FeedServer(self.clock, state, lambda: 1)
        self.nodes = LiveNodes(self.clock, self.feed)
        self.is_owning, self.commits_proposals, self.index = True, True, 100
        self.delays_commits = False  # proposals wait until `commit_delayed`
        self.delayed_proposals: list[tuple[Deferred[object], bytes]] = []
        group = cast(Any, self)
        self.placement = ShardPlacement(self.clock, group, state, self.nodes, 1)
        self.retirements = Retirements(group, state, self.nodes, 1)
        self.leadership_acquired()

    def leadership_acquired(self) -> None:
        self.nodes.begin([node_of(member) for member in self.state.storage.members])
        self.placement.begin()
        self.retirements.begin()

    def subscribe(self, names: str) -> None:
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
        return self.is_owning

    def barrier(self) -> Deferred[None]:
        return succeed(None) if self.is_owning else fail(NotOwnerError())

    def propose(self, command: bytes) -> Deferred[object]:
        if not self.commits_proposals:
            return fail(OutcomeUnknownError())
        if self.delays_commits:
            waiting: Deferred[object] = Deferred()
            self.delayed_proposals.append((waiting, command))
            return waiting
        self.index += 1
        return succeed(self.state.apply(self.index, command))

    def commit_delayed(self) -> None:
        """Commit the delayed proposals in order."""
        self.delays_commits = False
        delayed_proposals, self.delayed_proposals = self.delayed_proposals, []
        for waiting, command in delayed_proposals:
            self.index += 1
            waiting.callback(self.state.apply(self.index, command))

    def retire(self, node: str) -> OperatorResult:
        return self._result_of(self.retirements.retire(node))

    def state_of(self, node: str) -> str:
        body = json.loads(self._result_of(self.retirements.progress(node)).body)
        return str(body.get("state", body.get("result")))

    @staticmethod
    def _result_of(deferred: Deferred[OperatorResult]) -> OperatorResult:
        results: list[OperatorResult] = []
        deferred.addCallback(results.append)
        return results[0]


class ResultsTest(unittest.TestCase):
    """Results returned to the operator."""

    def test_in_the_first_second_of_an_ownership(self) -> None:
        """No node has subscribed to the new owner yet. Guards against 404 and 409 for valid requests."""
        for node, placed in (("d", "abc"), ("d", "abcd")):
            state = placed_state(placed)
            state.apply(3, COMMANDS.encode(UpdateStorageMembers(ids("abcd"), ())))
            owner = Owner(state)
            owner.reconcile()
            self.assertIs(owner.retire(node).code, ResultCode.RETIRING)
            self.assertEqual(owner.state_of(node), "running")

    def test_an_unknown_node_is_404_only_once_all_nodes_can_have_subscribed(self) -> None:
        owner = Owner(placed_state("abcd"))
        self.assertEqual(owner.retire("x").status, 503)
        owner.subscribe("abcd")
        owner.run(FOLLOWERS_KNOWN_AFTER_S + 0.25)
        self.assertEqual(owner.retire("x").status, 404)

    def test_too_few_nodes_is_409_only_once_all_nodes_can_have_subscribed(self) -> None:
        """Guards against a final 409 when "d" joins during the change of owner and isn't known yet."""
        owner = Owner(placed_state("abc"))
        self.assertEqual(owner.retire("a").status, 503)
        owner.subscribe("abc")
        owner.run(FOLLOWERS_KNOWN_AFTER_S - 0.25)
        self.assertEqual(owner.retire("a").status, 503)
        owner.run(0.25)
        self.assertEqual(owner.retire("a").status, 409)
        owner.subscribe("d")
        owner.reconcile()
        self.assertIs(owner.retire("a").code, ResultCode.RETIRING)

    def test_of_two_requests_in_the_first_second_none_is_rejected_permanently(self) -> None:
        """Both are valid given "e", which this owner doesn't know yet. The second one fails when applied."""
        owner = Owner(placed_state("abcd"))
        owner.delays_commits = True
        results: list[OperatorResult] = []
        for node in ("a", "b"):
            owner.retirements.retire(node).addCallback(results.append)
        owner.commit_delayed()
        self.assertEqual([result.status for result in results], [200, 503])
        owner.subscribe("abcde")
        owner.run(FOLLOWERS_KNOWN_AFTER_S)
        self.assertIs(owner.retire("b").code, ResultCode.RETIRING)

    def test_a_node_becomes_a_storage_member_when_it_first_subscribes(self) -> None:
        owner = Owner(placed_state("abcd"))
        owner.subscribe("abcde")
        owner.reconcile()
        self.assertIn(ids("e")[0], owner.state.storage.members)
        self.assertIs(Owner(owner.state).retire("e").code, ResultCode.RETIRING)

    def test_a_node_without_replicas_that_is_down_for_long_is_removed(self) -> None:
        owner = Owner(placed_state("abcd"))
        owner.state.apply(3, COMMANDS.encode(UpdateStorageMembers(ids("e"), ())))
        owner.subscribe("abcd")
        owner.run(29.0)
        self.assertIn(ids("e")[0], owner.state.storage.members)
        owner.run(2.0)
        self.assertNotIn(ids("e")[0], owner.state.storage.members)

    def test_an_earlier_owner_gives_503(self) -> None:
        owner = Owner(placed_state("abcd"))
        owner.is_owning = False
        for name in ("a", "x"):
            self.assertEqual(owner.retire(name).status, 503)
        self.assertEqual(owner.state_of("a"), "not_owner")

    def test_an_unknown_outcome_is_503_and_the_retry_is_acknowledged(self) -> None:
        owner = Owner(placed_state("abcd"))
        owner.commits_proposals = False
        self.assertEqual(owner.retire("d").status, 503)
        owner.state.apply(50, COMMANDS.encode(RetireNode(ids("d")[0], ids("abc"), 3)))  # the outcome
        owner.commits_proposals = True
        owner.leadership_acquired()
        self.assertIs(owner.retire("d").code, ResultCode.RETIRING)

    def test_a_retirement_is_finished_across_owners_and_stays_done(self) -> None:
        owner = Owner(placed_state("abcd"))
        owner.subscribe("abcd")
        owner.reconcile()
        self.assertIs(owner.retire("d").code, ResultCode.RETIRING)
        owner.reconcile()
        groups = owner.state.groups
        self.assertFalse(any(member.node == "d" for group in groups for member in group.members))
        for group in groups[:2]:
            owner.retirements.reported(report(group))
        owner.leadership_acquired()  # reports are volatile
        for group in groups[2:]:
            owner.retirements.reported(report(group))
        self.assertEqual(owner.state_of("d"), "running")
        for group in groups:
            owner.retirements.reported(report(group))
        self.assertEqual(owner.state_of("d"), "done")
        owner.leadership_acquired()
        self.assertEqual(owner.state_of("d"), "done")
        self.assertIs(owner.retire("d").code, ResultCode.RETIRING)
        owner.subscribe("d")  # its process runs until the platform removes it
        owner.run(1.0)
        self.assertEqual(owner.state_of("d"), "done")
        self.assertNotIn(ids("d")[0], owner.state.storage.members)


class BrokenBuildTest(unittest.TestCase):
    """Shows that the tests above detect broken builds."""

    def fails_with(self, case: type[unittest.TestCase], name: str) -> bool:
        result = unittest.TestResult()
        case(name).run(result)
        return bool(result.failures) and not result.errors

    def test_broken_done_by_a_report_of_an_older_placement(self) -> None:
        def any_report(reports: Any, node: str, group: GroupPlacement) -> bool:
            known = reports._reports.get(group.group)
            return known is not None and node not in known.nodes

        with mock.patch.object(MembershipReports, "_is_without", any_report):
            self.assertTrue(self.fails_with(FinishTest, "test_a_report_by_an_older_placement_is_ignored"))

    def test_broken_decided_by_the_nodes_subscribed_now(self) -> None:
        def present_only(_: object, present: list[NodeDescriptor]) -> dict[str, str]:
            return {node.name: member_id(node) for node in present}

        with mock.patch.object(retirement, "known_members", present_only):
            self.assertTrue(self.fails_with(ResultsTest, "test_in_the_first_second_of_an_ownership"))

    def test_broken_done_is_volatile(self) -> None:
        with mock.patch.object(StorageMembership, "finish_retirement", lambda *_: True):
            self.assertTrue(
                self.fails_with(ResultsTest, "test_a_retirement_is_finished_across_owners_and_stays_done")
            )


if __name__ == "__main__":
    unittest.main()
