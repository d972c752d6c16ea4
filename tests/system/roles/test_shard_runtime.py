"""A shard owner on its node: refused proposals, read barriers and replaced links, in virtual time."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from random import Random
from typing import Any

from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import Clock

from bitternpath.configuration.placement import shard_group
from bitternpath.queue.actions import ProposeCommand
from bitternpath.queue.commands import COMMANDS, Command, EndAttempt, GrantLease
from bitternpath.queue.owner import OwnerSettings
from bitternpath.replication.errors import NotOwnerError, OutcomeUnknownError
from bitternpath.replication.records import RoleChangeCause
from bitternpath.roles.edge_links import EdgeLinks
from bitternpath.roles.shard_context import ShardContext
from bitternpath.roles.shard_ownership import MAX_EDGES_QUERIED, MIN_EDGES_QUERIED
from bitternpath.roles.shard_requests import ShardRequests
from bitternpath.roles.shard_runtime import ShardRuntime
from bitternpath.transport.node_messages import NodeDescriptor, NodeKind
from bitternpath.transport.records import AttemptOutcome, Message, MessageState
from bitternpath.transport.shard_messages import (
    AppendRequest,
    AppendResponse,
    CallbackReport,
    CallbackRequest,
    EndAttemptRequest,
    EndAttemptResponse,
    ExtendRequest,
    LeaseGrant,
    PullCancel,
    PullRequest,
    PullResponse,
    Refused,
    StateRequest,
    StateResponse,
    WorkAvailable,
)
from tests.system.queue.owner_rig import TABLE

GROUP = shard_group(0)
TRANSFER_S = 0.5  # an election time-out, in which a leader that transfers its leadership proposes nothing


class FakeHost:
    """Replaces `ReplicaHost`: commits immediately, or refuses as during a leadership transfer."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.runtime: ShardRuntime
        self.transferring = False
        self.answers_barriers = True
        self.barriers: list[Deferred[None]] = []
        self.proposals = 0
        self.index = 0

    def propose(self, group: str, data: bytes) -> Deferred[object]:
        self.proposals += 1
        if self.transferring:
            return fail(NotOwnerError())
        self.index += 1
        result = self.runtime.state.apply(self.index, data)
        waiting: Deferred[object] = Deferred()
        self.clock.callLater(0, self._applied, data, result, waiting)
        return waiting

    def _applied(self, data: bytes, result: object, waiting: Deferred[object]) -> None:
        waiting.callback(result)
        self.runtime.applied(self.index, data, result)

    def read_barrier(self, group: str) -> Deferred[None]:
        if self.answers_barriers:
            return succeed(None)
        waiting: Deferred[None] = Deferred()
        self.barriers.append(waiting)
        return waiting


class FakeLink:
    """An edge node's link that records the records sent over it."""

    def __init__(self, name: str = "edge-1", zone: str = "north") -> None:
        self.peer = NodeDescriptor(name, "10.0.0.1:1", NodeKind.EDGE, zone, False, "", 1, 0)
        self.sent: list[Any] = []

    def send(self, record: Any) -> None:
        self.sent.append(record)

    def take(self, kind: type) -> list[Any]:
        found = [record for record in self.sent if isinstance(record, kind)]
        self.sent = [record for record in self.sent if not isinstance(record, kind)]
        return found


class RuntimeCase(unittest.TestCase):
    """A test case with one owner, one edge node, and a log that the test controls."""

    def setUp(self) -> None:
        self.clock = Clock()
        self.host = FakeHost(self.clock)
        self.edges = EdgeLinks()
        self.link = FakeLink()
        context = ShardContext(
            reactor=self.clock,
            host=self.host,  # type: ignore[arg-type]
            edges=self.edges,
            random=Random(1),
            zone="north",
            owner_settings=OwnerSettings(),
            wall_ms=lambda: 0,
            has_capacity=lambda: True,
        )
        self.runtime = ShardRuntime(context, GROUP, 1)
        self.host.runtime = self.runtime
        self.requests = ShardRequests(context, self.runtime)
        self.runtime.configure(TABLE)
        self.runtime.became_owner(1)
        self.join(self.link)

    def join(self, link: FakeLink) -> None:
        self.edges.opened(link.peer, link)  # type: ignore[arg-type]
        self.runtime.edge_connected(link.peer, link, restarted=False)  # type: ignore[arg-type]

    def send(self, handle: Callable[..., None], request: Any, link: FakeLink | None = None) -> None:
        handle(link or self.link, request)
        self.clock.advance(0)

    def propose(self, command: Command) -> None:
        """Propose a command as the owner does."""
        ownership = self.runtime.ownership
        assert ownership is not None
        ownership.execute([ProposeCommand(command)])

    def append(self, request_id: str, path: str = "/plain/x", callback_url: str = "") -> None:
        message = Message(
            request_id, "POST", "a.example", path, (), "", "plain", 5, 0, callback_url, "edge-1", 0, b"body"
        )
        self.send(self.requests.append, AppendRequest(1, GROUP, message))

    def pull(self, link: FakeLink | None = None, number: int = 7) -> None:
        self.send(self.requests.pull, PullRequest(number, GROUP, "puller", "i-1", 5_000), link)

    def end(self, delivery: LeaseGrant, outcome: AttemptOutcome = AttemptOutcome.SUCCEEDED) -> None:
        request = EndAttemptRequest(
            9, GROUP, delivery.message.request_id, delivery.lease_id, outcome, "stamp", 0
        )
        self.send(self.requests.end_attempt, request)


class FailedTransferTest(RuntimeCase):
    """The ownership continues after a failed leadership transfer; refused commands are proposed again."""

    def test_a_refused_grant_is_proposed_again(self) -> None:
        self.append("m")
        (delivery,) = self.link.take(LeaseGrant)
        self.end(delivery, AttemptOutcome.NOT_RUN)
        self.host.transferring = True
        self.clock.pump([0.02] * round(TRANSFER_S / 0.02))  # its back-off ends, and the grant is refused
        self.assertEqual(self.link.take(LeaseGrant), [])
        self.host.transferring = False
        self.clock.pump([0.02] * 50)
        (delivery,) = self.link.take(LeaseGrant)
        self.end(delivery)
        entry = self.runtime.state.find("m")
        self.assertIs(entry and entry.state, MessageState.DONE)

    def test_refused_proposals_are_retried_after_a_delay(self) -> None:
        self.append("m")
        (delivery,) = self.link.take(LeaseGrant)
        self.end(delivery, AttemptOutcome.NOT_RUN)
        self.clock.advance(0)
        before = self.host.proposals
        self.host.transferring = True
        self.clock.pump([0.001] * 1000)
        self.assertLessEqual(self.host.proposals - before, 12)

    def test_a_refused_confirmation_of_a_callback_is_proposed_again(self) -> None:
        self.append("m", callback_url="http://10.0.0.9:80/done")
        (delivery,) = self.link.take(LeaseGrant)
        self.end(delivery)
        (request,) = self.link.take(CallbackRequest)
        self.host.transferring = True
        self.requests.callback_report(CallbackReport(GROUP, request.request_id, True))
        self.clock.pump([0.05] * 11)  # the confirmation is proposed and refused
        self.host.transferring = False
        self.clock.pump([0.05] * 20)
        (again,) = self.link.take(CallbackRequest)
        self.requests.callback_report(CallbackReport(GROUP, again.request_id, True))
        self.clock.pump([0.05] * 11)
        entry = self.runtime.state.find("m")
        self.assertFalse(entry is None or entry.callback_pending)

    def test_a_refused_return_of_an_unsent_lease_is_proposed_again(self) -> None:
        self.edges.closed(self.link)  # type: ignore[arg-type]
        refuse = self.refuse_first_end_attempt()
        self.append("m")  # the grant is accepted, its return is refused
        self.assertEqual(refuse(), 1)
        self.host.transferring = False
        self.edges.opened(self.link.peer, self.link)  # type: ignore[arg-type]
        self.clock.pump([0.05] * 12)
        (delivery,) = self.link.take(LeaseGrant)
        self.assertFalse(delivery.body_omitted)

    def refuse_first_end_attempt(self) -> Callable[[], int]:
        """Refuse the first proposal to end an attempt; return a function that counts the refusals."""
        propose, refused = self.host.propose, []

        def choose(group: str, data: bytes) -> Deferred[object]:
            if isinstance(COMMANDS.decode(data), EndAttempt) and not refused:
                refused.append(data)
                return fail(NotOwnerError())
            return propose(group, data)

        self.host.propose = choose  # type: ignore[method-assign]
        return lambda: len(refused)

    def test_a_proposal_with_unknown_outcome_is_not_repeated(self) -> None:
        self.host.propose = lambda group, data: fail(OutcomeUnknownError())  # type: ignore[method-assign]
        self.propose(GrantLease("m", "0-1-1", "edge-1", 1_000, False))
        self.assertEqual(len(self.clock.getDelayedCalls()), 0)

    def test_a_refusal_in_an_earlier_ownership_has_no_effect_in_a_later_one(self) -> None:
        self.host.transferring = True
        self.append("n")
        self.propose(GrantLease("m", "0-1-1", "edge-1", 1_000, False))
        self.host.transferring = False
        self.runtime.lost_ownership(RoleChangeCause.HIGHER_TERM)
        self.runtime.became_owner(2)
        proposals = self.host.proposals
        self.clock.advance(1.0)
        self.assertEqual(self.host.proposals, proposals)


class RequestPollersTest(RuntimeCase):
    """A job without a waiting worker costs a few records, however many edge nodes there are."""

    def test_a_few_edge_nodes_are_queried_and_others_the_next_time(self) -> None:
        links = [FakeLink(f"edge-{number}") for number in range(2, 102)]
        for link in links:
            self.join(link)
        self.append("m", "/jobs/x")
        first = {link.peer.name for link in links if link.take(WorkAvailable)}
        self.assertLessEqual(len(first), MAX_EDGES_QUERIED)
        self.assertGreaterEqual(len(first), MIN_EDGES_QUERIED - 1)  # edge-1 may be among them
        self.clock.advance(1.0)
        later = {link.peer.name for link in links if link.take(WorkAvailable)}
        self.assertTrue(later - first)

    def test_mostly_edge_nodes_of_the_same_zone_are_queried(self) -> None:
        zones = ("north", "south")
        links = {zone: [FakeLink(f"{zone}-{number}", zone) for number in range(40)] for zone in zones}
        for link in links["north"] + links["south"]:
            self.join(link)
        self.append("m", "/jobs/x")
        self.clock.pump([0.05] * 400)
        queried = {zone: sum(len(link.take(WorkAvailable)) for link in links[zone]) for zone in links}
        self.assertGreater(queried["north"], 3 * queried["south"])
        self.assertGreater(queried["south"], 0)

    def test_few_edge_nodes_are_all_queried(self) -> None:
        self.append("m", "/jobs/x")
        (queried,) = self.link.take(WorkAvailable)
        self.assertEqual((queried.waiting, queried.nodes), (1, 1))


class ReadBarrierTest(RuntimeCase):
    """An owner that was paused or partitioned answers no read before a majority confirms its ownership."""

    def job(self) -> PullResponse:
        self.append("m", "/jobs/x")
        self.pull()
        (answer,) = self.link.take(PullResponse)
        self.host.answers_barriers = False
        return answer  # type: ignore[no-any-return]

    def test_an_extension_waits_for_the_read_barrier(self) -> None:
        job = self.job()
        self.send(self.requests.extend, ExtendRequest(8, GROUP, "m", job.lease_id))
        self.assertEqual(self.link.take(EndAttemptResponse), [])
        self.host.barriers.pop().callback(None)
        self.assertEqual(self.link.take(EndAttemptResponse), [EndAttemptResponse(8, True)])

    def test_a_deposed_owner_neither_extends_a_lease_nor_denies_it(self) -> None:
        job = self.job()
        self.clock.advance(10.0)  # the owner was paused: by its own state, the lease expired long ago
        for lease_id in (job.lease_id, "0-1-99"):
            self.send(self.requests.extend, ExtendRequest(8, GROUP, "m", lease_id))
            self.host.barriers.pop().errback(NotOwnerError())
            self.assertEqual([type(record) for record in self.link.take(Refused)], [Refused])
        self.assertEqual(self.link.take(EndAttemptResponse), [])

    def test_a_read_barrier_that_passes_after_the_ownership_ended(self) -> None:
        job = self.job()
        self.send(self.requests.extend, ExtendRequest(8, GROUP, "m", job.lease_id))
        self.runtime.lost_ownership(RoleChangeCause.HIGHER_TERM)
        self.host.barriers.pop().callback(None)
        self.assertEqual(len(self.link.take(Refused)), 1)

    def test_a_state_is_read_after_the_read_barrier(self) -> None:
        self.host.answers_barriers = False
        self.send(self.requests.find, StateRequest(5, GROUP, "m", False))
        self.append("m")  # committed while the read is pending
        self.assertEqual(self.link.take(StateResponse), [])
        self.host.barriers.pop().callback(None)
        (answer,) = self.link.take(StateResponse)
        self.assertTrue(answer.known)
        self.assertEqual(len(self.link.take(AppendResponse)), 1)


class ReplacedLinkTest(RuntimeCase):
    """An edge node has a new link before the end of the previous one is noticed."""

    def test_no_job_is_given_to_a_poll_of_a_closed_link(self) -> None:
        self.pull(number=7)
        later_link = FakeLink()
        self.join(later_link)
        self.assertEqual(self.edges.closed(self.link), "")  # type: ignore[arg-type]
        self.runtime.edge_link_closed("", self.link)  # type: ignore[arg-type]
        self.pull(later_link, number=7)  # numbers restart on each link
        self.append("m", "/jobs/x")
        self.assertEqual(self.link.take(PullResponse), [])
        (answer,) = later_link.take(PullResponse)
        self.assertEqual((answer.number, answer.message.request_id), (7, "m"))

    def test_the_edge_node_is_still_connected(self) -> None:
        later_link = FakeLink()
        self.join(later_link)
        self.assertEqual(self.edges.closed(self.link), "")  # type: ignore[arg-type]
        self.runtime.edge_link_closed("", self.link)  # type: ignore[arg-type]
        self.append("m")
        self.assertEqual(len(later_link.take(LeaseGrant)), 1)

    def test_a_cancelled_poll_is_answered_once(self) -> None:
        self.pull(number=7)
        for _ in range(2):
            self.requests.cancel_pull(self.link, PullCancel(7, GROUP))  # type: ignore[arg-type]
        self.assertEqual(self.link.take(PullResponse), [PullResponse(7, "", None)])
        self.append("m", "/jobs/x")
        self.assertEqual(self.link.take(PullResponse), [])

    def test_the_same_number_on_two_links_names_two_polls(self) -> None:
        other = FakeLink("edge-2")
        self.join(other)
        self.pull(self.link, number=7)
        self.pull(other, number=7)
        self.append("m", "/jobs/x")
        self.append("n", "/jobs/x")
        answered = [link.take(PullResponse)[0].message.request_id for link in (self.link, other)]
        self.assertEqual(sorted(answered), ["m", "n"])


if __name__ == "__main__":
    unittest.main()
