"""Conformance of a shard owner: retention, call-backs and tombstones."""

from __future__ import annotations

import unittest
from collections.abc import Iterable

from bitternpath.queue.actions import (
    SendCallback,
    SendDelivery,
)
from bitternpath.queue.callbacks import (
    CALLBACK_TIMEOUT_S,
    CONFIRMATION_BATCH_SIZE,
    MAX_CALLBACKS_PER_RECEIVER,
    MAX_CONFIRMATION_DELAY_S,
)
from bitternpath.queue.commands import (
    ConfirmCallbacks,
    ExpireMessage,
    GrantLease,
    RemoveTombstones,
)
from bitternpath.queue.tombstones import REMOVAL_MARGIN_S
from bitternpath.transport.records import MessageState
from tests.system.queue.owner_rig import (
    NOT_RUN,
    PUSH_LEASE_S,
    REJECTED,
    SUCCEEDED,
    UNKNOWN,
    Rig,
    with_changed_route,
)


class Retention(unittest.TestCase):
    """Messages that are not run within their retention."""

    def test_it_ends_a_message_that_is_not_leased(self) -> None:
        rig = Rig(edges=())
        rig.append("m")
        rig.advance(89.9)
        self.assertIs(rig.state_of("m"), MessageState.QUEUED)
        rig.advance(0.2)
        self.assertIs(rig.state_of("m"), MessageState.DEAD_LETTER)

    def test_a_leased_one_ends_with_its_lease(self) -> None:
        rig = Rig()
        rig.append("m", delay_ms=89_000)
        rig.advance(89.5)
        delivery = rig.delivery()
        rig.advance(1.0)
        self.assertIs(rig.state_of("m"), MessageState.QUEUED)
        rig.end(delivery, UNKNOWN)
        self.assertIs(rig.state_of("m"), MessageState.DEAD_LETTER)

    def test_it_follows_the_configuration(self) -> None:
        for retention_s, at in ((30.0, 30.0), (120.0, 120.0)):
            with self.subTest(retention_s):
                rig = Rig(edges=())
                rig.append("m")
                rig.configure(with_changed_route("plain", retention_s=retention_s))
                rig.advance(at - 0.1)
                self.assertIs(rig.state_of("m"), MessageState.QUEUED)
                rig.advance(0.2)
                self.assertIs(rig.state_of("m"), MessageState.DEAD_LETTER)

    def test_a_success_before_the_expiry_in_the_log_wins(self) -> None:
        rig = Rig()
        rig.append("m", delay_ms=85_000)
        rig.advance(85.1)
        delivery = rig.delivery()
        rig.automatic = False
        rig.advance(PUSH_LEASE_S)
        rig.take_proposed()
        rig.advance(5.0)
        self.assertTrue(rig.end(delivery, SUCCEEDED))
        rig.commit()
        self.assertIs(rig.state_of("m"), MessageState.DONE)


class Expiries(unittest.TestCase):
    """The owner proposes an expiry once, and again if it had no effect."""

    def test_a_fenced_expiry_that_came_too_late_is_proposed_again(self) -> None:
        rig = Rig()
        rig.append("m", delay_ms=85_000)
        rig.advance(85.1)
        delivery = rig.delivery()
        rig.advance(PUSH_LEASE_S - 0.2)
        rig.execute(rig.owner.edge_disconnected(rig.now, "edge-1"))
        rig.automatic = False
        rig.advance(5.0)
        (expiry,) = rig.take_proposed()
        self.assertEqual(expiry, ExpireMessage("m", delivery.lease_id))
        rig.end(delivery, NOT_RUN)
        rig.apply(expiry)
        self.assertEqual(rig.take_proposed(), [ExpireMessage("m", "")])


def request_ids_of(callbacks: Iterable[SendCallback]) -> list[str]:
    """Return the request ids of call-backs."""
    return [callback.request_id for callback in callbacks]


class Callbacks(unittest.TestCase):
    """Receivers are notified of the end of a message until they acknowledge it."""

    URL = "http://10.0.0.9:80/done"

    def ended(self, edges: Iterable[str] = ("edge-1", "edge-2")) -> Rig:
        rig = Rig(edges=edges)
        rig.append("m", callback_url=self.URL)
        rig.end(rig.delivery(), SUCCEEDED)
        return rig

    def test_one_edge_makes_all_call_backs_to_a_receiver(self) -> None:
        rig = self.ended()
        (first,) = rig.take_sent()
        self.assertEqual(first, SendCallback(first.edge, "m", self.URL, MessageState.DONE, "stamp"))
        for number in range(5):
            rig.append(f"n{number}", callback_url=self.URL)
            rig.end(rig.delivery(), SUCCEEDED)
            self.assertEqual(rig.take_sent()[0].edge, first.edge)

    def test_receivers_are_spread_over_the_edges_of_the_owners_zone(self) -> None:
        rig = Rig(edges=("edge-1", "edge-2", "edge-3"))
        rig.execute(rig.owner.edge_connected(rig.now, "far", "south"))
        notifying_edges = set()
        for number in range(40):
            rig.append(f"m{number}", callback_url=f"http://10.0.0.{number}:80/done")
            rig.end(rig.delivery(), SUCCEEDED)
            notifying_edges.add(rig.take_sent()[0].edge)
        self.assertEqual(notifying_edges, {"edge-1", "edge-2", "edge-3"})

    def test_another_edge_calls_back_if_that_one_disconnects_or_fails(self) -> None:
        rig = self.ended()
        first = rig.take_sent()[0].edge
        rig.execute(rig.owner.callback_report(rig.now, "m", acknowledged=False))
        rig.advance(1.0)
        self.assertNotEqual(rig.take_sent()[0].edge, first)
        rig.append("n", callback_url=self.URL)
        delivery = rig.delivery()
        rig.execute(rig.owner.edge_disconnected(rig.now, first))
        rig.end(delivery, SUCCEEDED)
        self.assertNotEqual(rig.take_sent()[0].edge, first)

    def test_without_an_edge_it_waits(self) -> None:
        rig = Rig()
        rig.append("m", callback_url=self.URL)
        delivery = rig.delivery()
        rig.execute(rig.owner.edge_disconnected(rig.now, "edge-1"))
        rig.end(delivery, SUCCEEDED)
        self.assertEqual(rig.take_sent(), [])
        rig.execute(rig.owner.edge_connected(rig.now, "edge-9", "south"))
        self.assertEqual(rig.take_sent()[0].edge, "edge-9")

    def test_it_is_repeated_until_it_is_confirmed(self) -> None:
        rig = self.ended()
        rig.take_sent()
        for max_delay_s in (0.375, 0.75, 1.5, 1.875, 1.875, 1.875, 1.875):
            rig.execute(rig.owner.callback_report(rig.now, "m", acknowledged=False))
            self.assertEqual(rig.take_sent(), [])
            rig.advance(max_delay_s + 0.01)
            self.assertEqual(len(rig.take_sent()), 1)
        rig.execute(rig.owner.callback_report(rig.now, "m", acknowledged=True))
        rig.advance(MAX_CONFIRMATION_DELAY_S)
        self.assertFalse(rig.state.find("m").callback_pending)
        rig.advance(60.0)
        self.assertEqual(rig.take_sent(), [])

    def test_no_report_is_a_failure(self) -> None:
        rig = self.ended()
        rig.take_sent()
        rig.advance(CALLBACK_TIMEOUT_S - 0.1)
        self.assertEqual(rig.take_sent(), [])
        rig.advance(0.6)
        self.assertEqual(len(rig.take_sent()), 1)

    def test_a_new_owner_calls_back(self) -> None:
        rig = self.ended()
        rig.start_owner()
        self.assertEqual(request_ids_of(rig.take_sent(SendCallback)), ["m"])

    def test_a_lost_confirmation_is_repeated(self) -> None:
        rig = self.ended()
        rig.take_sent()
        rig.automatic = False
        rig.execute(rig.owner.callback_report(rig.now, "m", acknowledged=True))
        rig.advance(MAX_CONFIRMATION_DELAY_S)
        (command,) = rig.take_proposed()
        self.assertEqual(command, ConfirmCallbacks(("m",)))
        rig.execute(rig.owner.proposal_failed(rig.now, command))
        self.assertEqual(request_ids_of(rig.take_sent(SendCallback)), ["m"])

    def test_confirmations_wait_for_another_command_and_share_its_round(self) -> None:
        rig = self.ended()
        rig.append("other", delay_ms=100)
        rig.take_sent()
        rig.automatic = False
        rig.execute(rig.owner.callback_report(rig.now, "m", acknowledged=True))
        self.assertEqual(rig.take_proposed(), [])
        rig.advance(0.1)
        grant, confirmation = rig.take_proposed()
        self.assertIsInstance(grant, GrantLease)
        self.assertEqual(confirmation, ConfirmCallbacks(("m",)))
        rig.apply(confirmation)
        rig.advance(10.0)
        self.assertEqual(rig.take_sent(SendCallback), [])

    def test_many_confirmations_do_not_wait(self) -> None:
        rig = Rig()
        for number in range(CONFIRMATION_BATCH_SIZE):
            rig.append(f"m{number}", callback_url=self.URL)
            rig.end(rig.delivery(), SUCCEEDED)
        rig.automatic = False
        for number in range(CONFIRMATION_BATCH_SIZE):
            rig.execute(rig.owner.callback_report(rig.now, f"m{number}", acknowledged=True))
        (confirmation,) = [each for each in rig.take_proposed() if isinstance(each, ConfirmCallbacks)]
        self.assertEqual(len(confirmation.request_ids), CONFIRMATION_BATCH_SIZE)

    def test_calls_in_flight_to_one_receiver_are_bounded(self) -> None:
        rig = Rig()
        for number in range(MAX_CALLBACKS_PER_RECEIVER + 2):
            rig.append(f"m{number}", callback_url=self.URL)
        rig.append("other", callback_url="http://10.0.0.8:80/done")
        for delivery in rig.take_sent(SendDelivery):
            rig.end(delivery, REJECTED)
        sent = request_ids_of(rig.take_sent(SendCallback))
        self.assertEqual(len(sent), MAX_CALLBACKS_PER_RECEIVER + 1)
        self.assertIn("other", sent)
        rig.execute(rig.owner.callback_report(rig.now, "m0", acknowledged=True))
        self.assertEqual(request_ids_of(rig.take_sent(SendCallback)), [f"m{MAX_CALLBACKS_PER_RECEIVER}"])


class Tombstones(unittest.TestCase):
    """Tombstones are removed when clients may no longer query the state."""

    def test_after_the_status_time(self) -> None:
        rig = Rig()
        rig.append("m")
        rig.end(rig.delivery(), SUCCEEDED)
        rig.advance(120.0 + REMOVAL_MARGIN_S - 0.1)
        self.assertIsNotNone(rig.state.find("m"))
        rig.advance(0.2)
        self.assertIsNone(rig.state.find("m"))

    def test_not_while_a_call_back_is_pending_within_its_retention(self) -> None:
        rig = Rig(with_changed_route("plain", retention_s=200.0))
        rig.append("m", callback_url="http://10.0.0.9:80/done")
        rig.end(rig.delivery(), SUCCEEDED)
        rig.advance(195.0)
        self.assertIsNotNone(rig.state.find("m"))
        rig.advance(20.0)
        self.assertIsNone(rig.state.find("m"))
        rig.take_sent()
        rig.advance(60.0)
        self.assertEqual(rig.take_sent(), [])

    def test_by_a_new_owner(self) -> None:
        rig = Rig()
        rig.append("m")
        rig.end(rig.delivery(), SUCCEEDED)
        rig.advance(100.0)
        rig.start_owner()
        rig.advance(31.0)
        self.assertIsNone(rig.state.find("m"))

    def test_in_batches(self) -> None:
        rig = Rig()
        for number in range(600):
            rig.append(f"m{number}")
            rig.end(rig.delivery(), SUCCEEDED)
        rig.automatic = False
        rig.advance(131.0)
        self.assertEqual([len(command.request_ids) for command in rig.proposed], [256, 256, 88])
        self.assertTrue(all(isinstance(command, RemoveTombstones) for command in rig.proposed))
