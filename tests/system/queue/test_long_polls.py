"""Conformance of a shard owner: long polls of pulling workers."""

from __future__ import annotations

import unittest

from bitternpath.queue.actions import (
    Action,
    AnswerPoll,
    ExpirePoll,
    RequestPollers,
)
from bitternpath.queue.commands import (
    GrantLease,
)
from bitternpath.queue.lease_granting import MIN_POLLERS_REQUEST_INTERVAL_S
from tests.system.queue.owner_rig import NOT_RUN, PULL_LEASE_S, SUCCEEDED, Rig


class LongPolls(unittest.TestCase):
    """Polls, their answers, and extensions of the leases."""

    def test_a_message_waits_for_a_worker_and_a_worker_for_a_message(self) -> None:
        rig = Rig()
        rig.append("m", "/jobs/x")
        self.assertEqual(rig.sent, [])
        rig.poll(1)
        answer = rig.answer()
        self.assertEqual((answer.poll_id, answer.edge, answer.message.request_id), (1, "edge-1", "m"))
        rig.poll(2)
        rig.append("n", "/jobs/x")
        self.assertEqual(rig.answer().poll_id, 2)

    def test_workers_are_requested_repeatedly_while_messages_wait(self) -> None:
        rig = Rig()
        rig.append("m", "/jobs/x")
        rig.append("n", "/jobs/x")
        self.assertEqual(rig.poller_requests, [RequestPollers("puller", 1)])
        rig.advance(MIN_POLLERS_REQUEST_INTERVAL_S)
        self.assertEqual(rig.poller_requests[1:], [RequestPollers("puller", 2)])
        rig.advance(0.1 + 0.2 + 0.2 + 0.2 + 0.01)  # intervals double up to MAX_POLLERS_REQUEST_INTERVAL_S
        self.assertEqual(len(rig.poller_requests), 6)

    def test_no_workers_are_requested_without_waiting_pulled_messages(self) -> None:
        rig = Rig(edges=())
        rig.append("pushed")
        rig.append("m", "/jobs/x", delay_ms=1_000)
        rig.advance(0.9)
        rig.poll(1)
        rig.advance(0.2)
        self.assertEqual(rig.answer().message.request_id, "m")
        rig.advance(1.0)
        self.assertEqual(rig.poller_requests, [])

    def test_the_lease_names_the_worker(self) -> None:
        rig = Rig()
        rig.automatic = False
        rig.poll(1)
        rig.append("m", "/jobs/x")
        self.assertEqual(rig.proposed, [GrantLease("m", "0-1-1", "instance-1", 3_500, True)])

    def test_workers_in_the_zone_are_first_then_longer_waiting_ones(self) -> None:
        rig = Rig(edges=("edge-1", "edge-2"))
        rig.execute(rig.owner.edge_connected(rig.now, "far", "south"))
        for number, edge in ((1, "far"), (2, "edge-1"), (3, "edge-2"), (4, "far")):
            rig.poll(number, edge)
        for number in range(4):
            rig.append(f"m{number}", "/jobs/x")
        self.assertEqual([answer.poll_id for answer in rig.take_sent()], [2, 3, 1, 4])

    def test_a_poll_expires_once(self) -> None:
        rig = Rig()
        rig.poll(1)
        rig.advance(0.9)
        self.assertEqual(rig.sent, [])
        rig.advance(5.0)
        self.assertEqual(rig.take_sent(), [ExpirePoll(1, "edge-1")])

    def test_a_worker_that_disconnects_while_its_lease_is_granted(self) -> None:
        def cancel_poll(rig: Rig) -> list[Action]:
            return rig.owner.cancel_poll(rig.now, 1)

        def disconnect_edge(rig: Rig) -> list[Action]:
            return rig.owner.edge_disconnected(rig.now, "edge-1")

        for disconnect in (cancel_poll, disconnect_edge):
            with self.subTest(disconnect.__name__):
                rig = Rig()
                rig.automatic = False
                rig.poll(1)
                rig.append("m", "/jobs/x")
                rig.execute(disconnect(rig))
                rig.commit()
                self.assertEqual(rig.sent, [])
                (command,) = rig.proposed
                self.assertEqual((command.lease_id, command.outcome), ("0-1-1", NOT_RUN))
                rig.commit()
                rig.automatic = True
                rig.execute(rig.owner.edge_connected(rig.now, "edge-1", "north"))
                rig.poll(2, wait_s=2.0)
                rig.advance(1.0)
                self.assertEqual(rig.answer().poll_id, 2)

    def test_a_poll_whose_grant_takes_long_is_answered_and_does_not_expire(self) -> None:
        rig = Rig()
        rig.automatic = False
        rig.poll(1, wait_s=0.2)
        rig.append("m", "/jobs/x")
        rig.advance(1.0)
        rig.commit()
        self.assertEqual(rig.answer().poll_id, 1)

    def test_a_worker_keeps_waiting_if_its_message_was_done_meanwhile(self) -> None:
        rig = Rig()
        rig.poll(1)
        rig.append("m", "/jobs/x")
        first = rig.answer()
        rig.advance(PULL_LEASE_S - 0.1)
        rig.automatic = False
        rig.poll(2)
        rig.advance(0.2)
        self.assertIsInstance(rig.proposed[0], GrantLease)
        self.assertTrue(rig.end(first, SUCCEEDED))
        rig.commit()
        self.assertEqual(rig.take_sent(), [])
        rig.automatic = True
        rig.append("n", "/jobs/x")
        self.assertEqual(rig.answer().poll_id, 2)

    def test_an_extension_counts_from_the_last_one(self) -> None:
        rig = Rig()
        rig.poll(1)
        rig.append("m", "/jobs/x")
        answer = rig.answer()
        for _ in range(5):
            rig.advance(2.9)
            self.assertTrue(rig.owner.extend(rig.now, "m", answer.lease_id))
        rig.poll(2, wait_s=60.0)
        rig.advance(PULL_LEASE_S - 0.01)
        self.assertEqual(rig.sent, [])
        rig.advance(0.02)
        self.assertEqual(rig.answer().poll_id, 2)

    def test_which_extensions_are_refused(self) -> None:
        rig = Rig()
        rig.poll(1)
        rig.append("m", "/jobs/x")
        answer = rig.answer()
        rig.append("pushed")
        pushed = rig.delivery()
        self.assertFalse(rig.owner.extend(rig.now, "m", "0-1-99"))
        self.assertFalse(rig.owner.extend(rig.now, "unknown", answer.lease_id))
        self.assertFalse(rig.owner.extend(rig.now, "pushed", pushed.lease_id))
        rig.advance(PULL_LEASE_S + 1.0)
        self.assertTrue(rig.owner.extend(rig.now, "m", answer.lease_id), "no other worker has the message")
        rig.poll(2)
        self.assertEqual(rig.take_sent(AnswerPoll), [])
        rig.advance(PULL_LEASE_S + 1.0)
        rig.take_sent()
        rig.poll(3)
        self.assertEqual(rig.answer().poll_id, 3)
        self.assertFalse(rig.owner.extend(rig.now, "m", answer.lease_id), "another worker has the message")

    def test_an_extension_fails_while_another_lease_is_being_granted(self) -> None:
        rig = Rig()
        rig.poll(1)
        rig.append("m", "/jobs/x")
        answer = rig.answer()
        rig.advance(PULL_LEASE_S + 0.1)
        rig.automatic = False
        rig.poll(2)
        self.assertFalse(rig.owner.extend(rig.now, "m", answer.lease_id))

    def test_the_end_of_an_edge_process_does_not_end_a_workers_lease(self) -> None:
        rig = Rig(edges=("edge-1", "edge-2"))
        rig.poll(1)
        rig.append("m", "/jobs/x")
        answer = rig.answer()
        rig.execute(rig.owner.edge_process_ended(rig.now, "edge-1"))
        rig.poll(2, "edge-2")
        self.assertEqual(rig.sent, [])
        self.assertTrue(rig.end(answer, SUCCEEDED))
