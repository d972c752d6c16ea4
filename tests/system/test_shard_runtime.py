"""A shard owner on its node: what it does where the log refuses, what it says from memory. Virtual time."""

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
from bitternpath.roles.edge_links import EdgeLinks
from bitternpath.roles.shard_context import ShardContext
from bitternpath.roles.shard_ownership import MAX_EDGES_ASKED, MIN_EDGES_ASKED
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
HAND_OVER_S = 0.5  # an election's time, for which a leader that hands over proposes nothing


class Log:
    """Stands for `ReplicaHost`: commits at once, or refuses as a leader that hands over does."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.runtime: ShardRuntime
        self.handing_over = False
        self.answers_barriers = True
        self.barriers: list[Deferred[None]] = []
        self.proposals = 0
        self.index = 0

    def propose(self, group: str, data: bytes) -> Deferred[object]:
        self.proposals += 1
        if self.handing_over:
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


class EdgeLink:
    """An edge node's link; keeps what was sent over it."""

    def __init__(self, name: str = "edge-1", zone: str = "north") -> None:
        self.peer = NodeDescriptor(name, "10.0.0.1:1", NodeKind.EDGE, zone, False, "", 1, 0)
        self.sent: list[Any] = []

    def send(self, record: Any) -> None:
        self.sent.append(record)

    def take(self, kind: type) -> list[Any]:
        taken = [record for record in self.sent if isinstance(record, kind)]
        self.sent = [record for record in self.sent if not isinstance(record, kind)]
        return taken


class RuntimeCase(unittest.TestCase):
    """One owner, one edge node, and a log that does as the test says."""

    def setUp(self) -> None:
        self.clock = Clock()
        self.log = Log(self.clock)
        self.edges = EdgeLinks()
        self.link = EdgeLink()
        context = ShardContext(
            reactor=self.clock,
            host=self.log,  # type: ignore[arg-type]
            edges=self.edges,
            random=Random(1),
            zone="north",
            owner_settings=OwnerSettings(),
            wall_ms=lambda: 0,
            has_capacity=lambda: True,
        )
        self.runtime = ShardRuntime(context, GROUP, 1)
        self.log.runtime = self.runtime
        self.requests = ShardRequests(context, self.runtime)
        self.runtime.configure(TABLE)
        self.runtime.became_owner(1)
        self.join(self.link)

    def join(self, link: EdgeLink) -> None:
        self.edges.opened(link.peer, link)  # type: ignore[arg-type]
        self.runtime.edge_connected(link.peer, link, restarted=False)  # type: ignore[arg-type]

    def ask(self, handle: Callable[..., None], request: Any, link: EdgeLink | None = None) -> None:
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
        self.ask(self.requests.append, AppendRequest(1, GROUP, message))

    def pull(self, link: EdgeLink | None = None, number: int = 7) -> None:
        self.ask(self.requests.pull, PullRequest(number, GROUP, "puller", "i-1", 5_000), link)

    def end(self, delivery: LeaseGrant, outcome: AttemptOutcome = AttemptOutcome.SUCCEEDED) -> None:
        request = EndAttemptRequest(
            9, GROUP, delivery.message.request_id, delivery.lease_id, outcome, "stamp", 0
        )
        self.ask(self.requests.end_attempt, request)


class HandOvers(RuntimeCase):
    """A hand-over that comes to nothing: the owner goes on, and so does what it had proposed meanwhile."""

    def test_a_message_whose_grant_was_refused_goes_out_after_all(self) -> None:
        self.append("m")
        (delivery,) = self.link.take(LeaseGrant)
        self.end(delivery, AttemptOutcome.NOT_RUN)
        self.log.handing_over = True
        self.clock.pump([0.02] * round(HAND_OVER_S / 0.02))  # its back-off ends: the grant is refused
        self.assertEqual(self.link.take(LeaseGrant), [])
        self.log.handing_over = False
        self.clock.pump([0.02] * 50)
        (delivery,) = self.link.take(LeaseGrant)
        self.end(delivery)
        entry = self.runtime.state.find("m")
        self.assertIs(entry and entry.state, MessageState.DONE)

    def test_what_is_refused_is_not_proposed_in_each_turn(self) -> None:
        self.append("m")
        (delivery,) = self.link.take(LeaseGrant)
        self.end(delivery, AttemptOutcome.NOT_RUN)
        self.clock.advance(0)
        before = self.log.proposals
        self.log.handing_over = True
        self.clock.pump([0.001] * 1000)
        self.assertLessEqual(self.log.proposals - before, 12)

    def test_a_confirmation_that_was_refused_is_made_up_for(self) -> None:
        self.append("m", callback_url="http://10.0.0.9:80/done")
        (delivery,) = self.link.take(LeaseGrant)
        self.end(delivery)
        (order,) = self.link.take(CallbackRequest)
        self.log.handing_over = True
        self.requests.callback_report(self.link, CallbackReport(GROUP, order.request_id, True))
        self.clock.pump([0.05] * 11)  # the confirmation is proposed, and refused
        self.log.handing_over = False
        self.clock.pump([0.05] * 20)
        (again,) = self.link.take(CallbackRequest)
        self.requests.callback_report(self.link, CallbackReport(GROUP, again.request_id, True))
        self.clock.pump([0.05] * 11)
        entry = self.runtime.state.find("m")
        self.assertFalse(entry is None or entry.callback_pending)

    def test_a_lease_that_reached_nobody_is_returned_after_all(self) -> None:
        self.edges.closed(self.link)  # type: ignore[arg-type]
        refuse = self.refusing_from_the_second_on()
        self.append("m")  # the grant is taken, its return is refused
        self.assertEqual(refuse(), 1)
        self.log.handing_over = False
        self.edges.opened(self.link.peer, self.link)  # type: ignore[arg-type]
        self.clock.pump([0.05] * 12)
        (delivery,) = self.link.take(LeaseGrant)
        self.assertFalse(delivery.body_omitted)

    def refusing_from_the_second_on(self) -> Callable[[], int]:
        """Let one grant through, and refuse what is proposed next; tells how many were refused."""
        propose, refused = self.log.propose, []

        def choose(group: str, data: bytes) -> Deferred[object]:
            if isinstance(COMMANDS.decode(data), EndAttempt) and not refused:
                refused.append(data)
                return fail(NotOwnerError())
            return propose(group, data)

        self.log.propose = choose  # type: ignore[method-assign]
        return lambda: len(refused)

    def test_an_open_fate_is_the_next_owners(self) -> None:
        self.log.propose = lambda group, data: fail(OutcomeUnknownError())  # type: ignore[method-assign]
        self.propose(GrantLease("m", "0-1-1", "edge-1", 1_000, False))
        self.assertEqual(len(self.clock.getDelayedCalls()), 0)

    def test_a_refusal_of_an_earlier_ownership_does_nothing_in_a_later_one(self) -> None:
        self.log.handing_over = True
        self.append("n")
        self.propose(GrantLease("m", "0-1-1", "edge-1", 1_000, False))
        self.log.handing_over = False
        self.runtime.lost_ownership()
        self.runtime.became_owner(2)
        proposals = self.log.proposals
        self.clock.advance(1.0)
        self.assertEqual(self.log.proposals, proposals)


class AskingForWorkers(RuntimeCase):
    """A job that no worker waits for costs a few messages, however many edge nodes there are."""

    def test_a_few_edge_nodes_are_asked_and_each_time_others(self) -> None:
        links = [EdgeLink(f"edge-{number}") for number in range(2, 102)]
        for link in links:
            self.join(link)
        self.append("m", "/jobs/x")
        first = {link.peer.name for link in links if link.take(WorkAvailable)}
        self.assertLessEqual(len(first), MAX_EDGES_ASKED)
        self.assertGreaterEqual(len(first), MIN_EDGES_ASKED - 1)  # edge-1 may be one of them
        self.clock.advance(1.0)
        later = {link.peer.name for link in links if link.take(WorkAvailable)}
        self.assertTrue(later - first)

    def test_mostly_nodes_nearby_are_asked(self) -> None:
        zones = ("north", "south")
        links = {zone: [EdgeLink(f"{zone}-{number}", zone) for number in range(40)] for zone in zones}
        for link in links["north"] + links["south"]:
            self.join(link)
        self.append("m", "/jobs/x")
        self.clock.pump([0.05] * 400)
        asked = {zone: sum(len(link.take(WorkAvailable)) for link in links[zone]) for zone in links}
        self.assertGreater(asked["north"], 3 * asked["south"])
        self.assertGreater(asked["south"], 0)

    def test_where_there_are_few_all_are_asked(self) -> None:
        self.append("m", "/jobs/x")
        (asked,) = self.link.take(WorkAvailable)
        self.assertEqual((asked.waiting, asked.nodes), (1, 1))


class FromMemory(RuntimeCase):
    """An owner that was stopped or cut off says nothing before a majority has confirmed it."""

    def job(self) -> PullResponse:
        self.append("m", "/jobs/x")
        self.pull()
        (answer,) = self.link.take(PullResponse)
        self.log.answers_barriers = False
        return answer  # type: ignore[no-any-return]

    def test_an_extension_waits_for_the_confirmation(self) -> None:
        job = self.job()
        self.ask(self.requests.extend, ExtendRequest(8, GROUP, "m", job.lease_id))
        self.assertEqual(self.link.take(EndAttemptResponse), [])
        self.log.barriers.pop().callback(None)
        self.assertEqual(self.link.take(EndAttemptResponse), [EndAttemptResponse(8, True)])

    def test_a_deposed_owner_neither_extends_nor_calls_a_lease_gone(self) -> None:
        job = self.job()
        self.clock.advance(10.0)  # it was stopped: by its memory the lease is long over
        for lease_id in (job.lease_id, "0-1-99"):
            self.ask(self.requests.extend, ExtendRequest(8, GROUP, "m", lease_id))
            self.log.barriers.pop().errback(NotOwnerError())
            self.assertEqual([type(record) for record in self.link.take(Refused)], [Refused])
        self.assertEqual(self.link.take(EndAttemptResponse), [])

    def test_a_confirmation_that_comes_with_the_end_of_the_ownership(self) -> None:
        job = self.job()
        self.ask(self.requests.extend, ExtendRequest(8, GROUP, "m", job.lease_id))
        self.runtime.lost_ownership()
        self.log.barriers.pop().callback(None)
        self.assertEqual(len(self.link.take(Refused)), 1)

    def test_a_state_is_read_after_the_confirmation(self) -> None:
        self.log.answers_barriers = False
        self.ask(self.requests.find, StateRequest(5, GROUP, "m", False))
        self.append("m")  # committed while the question waits
        self.assertEqual(self.link.take(StateResponse), [])
        self.log.barriers.pop().callback(None)
        (answer,) = self.link.take(StateResponse)
        self.assertTrue(answer.known)
        self.assertEqual(len(self.link.take(AppendResponse)), 1)


class ReplacedLinks(RuntimeCase):
    """An edge node has another link before the end of the first was noticed."""

    def test_no_job_goes_to_a_poll_of_a_link_that_has_ended(self) -> None:
        self.pull(number=7)
        later = EdgeLink()
        self.join(later)
        self.assertEqual(self.edges.closed(self.link), "")  # type: ignore[arg-type]
        self.runtime.edge_link_closed("", self.link)  # type: ignore[arg-type]
        self.pull(later, number=7)  # numbers begin anew on each link
        self.append("m", "/jobs/x")
        self.assertEqual(self.link.take(PullResponse), [])
        (answer,) = later.take(PullResponse)
        self.assertEqual((answer.number, answer.message.request_id), (7, "m"))

    def test_the_node_is_still_connected(self) -> None:
        later = EdgeLink()
        self.join(later)
        self.assertEqual(self.edges.closed(self.link), "")  # type: ignore[arg-type]
        self.runtime.edge_link_closed("", self.link)  # type: ignore[arg-type]
        self.append("m")
        self.assertEqual(len(later.take(LeaseGrant)), 1)

    def test_a_poll_that_is_given_up_is_answered_once(self) -> None:
        self.pull(number=7)
        for _ in range(2):
            self.requests.cancel_pull(self.link, PullCancel(7, GROUP))  # type: ignore[arg-type]
        self.assertEqual(self.link.take(PullResponse), [PullResponse(7, "", None)])
        self.append("m", "/jobs/x")
        self.assertEqual(self.link.take(PullResponse), [])

    def test_one_number_on_two_links_is_two_polls(self) -> None:
        other = EdgeLink("edge-2")
        self.join(other)
        self.pull(self.link, number=7)
        self.pull(other, number=7)
        self.append("m", "/jobs/x")
        self.append("n", "/jobs/x")
        got = [link.take(PullResponse)[0].message.request_id for link in (self.link, other)]
        self.assertEqual(sorted(got), ["m", "n"])


if __name__ == "__main__":
    unittest.main()
