"""Leases that are proposed immediately after a message's append, before either is committed."""

from __future__ import annotations

import unittest
from typing import Any

from bitternpath.queue.actions import ExpirePoll, SendDelivery
from bitternpath.queue.commands import AppendMessage, GrantLease
from bitternpath.queue.lease_granting import MAX_PREGRANTED_LEASES
from bitternpath.transport.records import Message, MessageState
from tests.system.queue.owner_rig import (
    PULL_LEASE_S,
    SUCCEEDED,
    WALL_MS,
    Rig,
    request_ids,
    with_changed_route,
)


def message(request_id: str, path: str = "/plain/x", **fields: Any) -> Message:
    """Return a client's message."""
    values: dict[str, Any] = {"order_key": "", "delay_ms": 0, "callback_url": "", "origin": "edge-1"}
    values |= fields
    return Message(
        request_id,
        "POST",
        "a.example",
        path,
        (),
        route="plain",
        accepted_version=5,
        accepted_wall_ms=WALL_MS,
        body=b"body",
        **values,
    )


class LeasesOnAppend(unittest.TestCase):
    """Behaviour of the owner; the test decides which commands are committed."""

    def setUp(self) -> None:
        self.rig = Rig()
        self.rig.automatic = False

    def propose(self, request_id: str, path: str = "/plain/x", **fields: Any) -> list[Any]:
        """Return an append and the commands that the owner proposes after it."""
        command = AppendMessage(message(request_id, path, **fields))
        self.rig.execute(self.rig.owner.append_proposed(self.rig.now, command.message))
        return [command, *self.rig.take_proposed()]

    def commit(self, commands: list[Any]) -> None:
        for command in commands:
            self.rig.apply(command)

    def count_further_pregrants(self) -> int:
        """Append messages until one is not leased in advance; returns the number that are."""
        count = 0
        while len(commands := self.propose(f"further-{count}", "/jobs/x")) == 2:
            self.commit(commands)
            count += 1
        return count

    def test_the_message_is_sent_after_both_are_applied(self) -> None:
        append, grant = self.propose("m")
        self.assertIsInstance(grant, GrantLease)
        self.rig.apply(append)
        self.assertEqual(self.rig.take_sent(), [])
        self.rig.apply(grant)
        delivery = self.rig.delivery()
        self.assertTrue(delivery.body_omitted)
        self.assertTrue(self.rig.end(delivery, SUCCEEDED))
        self.assertEqual(self.rig.take_proposed(), [])

    def test_a_pulled_message_goes_to_a_worker_that_waits(self) -> None:
        self.rig.poll(1)
        self.commit(self.propose("m", "/jobs/x"))
        self.assertEqual(self.rig.answer().poll_id, 1)

    def test_without_a_worker_a_message_is_pregranted_and_sent_with_the_next_poll(self) -> None:
        self.commit(self.propose("m", "/jobs/x"))
        self.assertEqual(self.rig.take_sent(), [])
        self.rig.poll(1)
        answer = self.rig.answer()
        self.assertEqual((answer.poll_id, answer.message.request_id), (1, "m"))
        self.assertEqual(self.rig.take_proposed(), [])
        self.assertTrue(self.rig.end(answer, SUCCEEDED))

    def test_a_worker_that_polls_before_the_commit_gets_it_with_the_commit(self) -> None:
        proposed = self.propose("m", "/jobs/x")
        self.rig.poll(1)
        self.assertEqual(self.rig.take_sent(), [])
        self.commit(proposed)
        self.assertEqual(self.rig.answer().poll_id, 1)

    def test_a_pregranted_message_is_sent_once(self) -> None:
        self.commit(self.propose("m", "/jobs/x"))
        self.rig.poll(1)
        self.rig.poll(2, wait_s=60.0)
        self.assertEqual(self.rig.answer().poll_id, 1)
        self.rig.advance(PULL_LEASE_S + 0.1)
        (grant,) = self.rig.take_proposed()
        self.assertIsInstance(grant, GrantLease)

    def test_pregranted_leases_are_bounded(self) -> None:
        for number in range(MAX_PREGRANTED_LEASES + 5):
            self.commit(self.propose(f"m{number}", "/jobs/x"))
            self.commit(self.rig.take_proposed())
        leased = [entry for entry in self.rig.state if entry.lease is not None]
        self.assertEqual(len(leased), MAX_PREGRANTED_LEASES)
        self.rig.poll(1)
        self.assertEqual(self.rig.answer().message.request_id, "m0")
        self.assertEqual(self.count_further_pregrants(), 1)

    def test_a_new_owner_treats_a_pregranted_lease_as_dispatched(self) -> None:
        self.commit(self.propose("m", "/jobs/x"))
        self.rig.start_owner()
        self.rig.poll(1, wait_s=60.0)
        self.rig.advance(PULL_LEASE_S - 0.1)
        self.assertEqual(self.rig.take_proposed(), [])
        self.rig.advance(0.2)
        self.commit(self.rig.take_proposed())
        self.assertEqual(self.rig.answer().message.request_id, "m")

    def test_a_pregranted_message_whose_retention_ends_is_not_sent(self) -> None:
        self.commit(self.propose("m", "/jobs/x"))
        self.rig.advance(100.0)
        self.commit(self.rig.take_proposed())
        self.assertIs(self.rig.state_of("m"), MessageState.DEAD_LETTER)
        self.rig.poll(1)
        self.rig.advance(2.0)
        self.assertEqual(self.rig.take_sent(), [ExpirePoll(1, "edge-1")])
        self.assertEqual(self.count_further_pregrants(), MAX_PREGRANTED_LEASES)

    def test_a_delayed_message_waits(self) -> None:
        self.assertEqual(len(self.propose("m", delay_ms=1)), 1)

    def test_a_message_does_not_overtake_those_that_wait(self) -> None:
        self.commit(self.propose("first", "/jobs/x"))
        self.commit(self.propose("m", "/jobs/x"))
        self.rig.poll(1)
        self.assertEqual(self.rig.answer().message.request_id, "first")

    def test_the_second_of_an_order_key_waits_for_the_first_ones_end(self) -> None:
        first, second = self.propose("m", order_key="k"), self.propose("n", order_key="k")
        self.commit(first + second)
        delivery = self.rig.delivery()
        self.assertEqual(delivery.message.request_id, "m")
        self.assertEqual(self.rig.take_proposed(), [])
        self.rig.end(delivery, SUCCEEDED)
        self.commit(self.rig.take_proposed())
        self.assertEqual(self.rig.delivery().message.request_id, "n")

    def test_one_whose_key_has_an_unended_message_is_not_leased_early(self) -> None:
        self.commit(self.propose("m", order_key="k"))
        self.assertEqual(len(self.propose("n", order_key="k")), 1)

    def test_a_repetition_of_an_append_gets_no_second_lease(self) -> None:
        first = self.propose("m")
        self.assertEqual(len(self.propose("m")), 1)
        self.commit(first)
        self.assertEqual(len(self.propose("m")), 1)
        self.assertEqual(request_ids(self.rig.take_sent(SendDelivery)), ["m"])

    def test_an_append_that_failed_releases_its_capacity_and_its_worker(self) -> None:
        self.rig.poll(1)
        self.propose("m", "/jobs/x")
        self.rig.owner.append_failed("m")
        self.commit(self.propose("n", "/jobs/x"))
        answer = self.rig.answer()
        self.assertEqual((answer.poll_id, answer.message.request_id), (1, "n"))

    def test_the_grant_of_a_failed_append_does_not_release_a_later_lease(self) -> None:
        _, stale = self.propose("m")
        self.rig.owner.append_failed("m")
        again = self.propose("m")
        self.rig.execute(self.rig.owner.proposal_failed(self.rig.now, stale))
        self.assertEqual(self.rig.take_proposed(), [])
        self.commit(again)
        self.assertEqual(self.rig.delivery().lease_id, again[1].lease_id)

    def test_an_edge_process_that_ends_before_the_commit_gets_nothing(self) -> None:
        proposed = self.propose("m")
        self.rig.execute(self.rig.owner.edge_process_ended(self.rig.now, "edge-1"))
        self.commit(proposed)
        self.assertEqual(self.rig.take_sent(SendDelivery), [])

    def test_a_route_that_changes_meanwhile_keeps_the_lease(self) -> None:
        proposed = self.propose("m")
        self.rig.configure(with_changed_route("plain", timeout_ms=900))
        self.commit(proposed)
        self.assertTrue(self.rig.end(self.rig.delivery(), SUCCEEDED))
