"""Conformance of a shard owner: deliveries, order, new owners, configurations."""

from __future__ import annotations

import unittest

from bitternpath.configuration.documents import Route
from bitternpath.queue.commands import (
    EndAttempt,
    GrantLease,
)
from bitternpath.queue.edge_nodes import MAX_LEASES_PER_EDGE
from bitternpath.queue.lease_granting import MAX_POLLERS_REQUEST_INTERVAL_S, MIN_POLLERS_REQUEST_INTERVAL_S
from bitternpath.queue.lease_table import PUSH_LEASE_MARGIN_MS
from bitternpath.queue.phase_assignment import UNROUTED_GRACE_S
from bitternpath.queue.ready_queue import STALE_AFTER_S
from bitternpath.transport.records import MessageState
from tests.system.queue.owner_rig import (
    FAILED,
    NOT_RUN,
    PULL_LEASE_S,
    PUSH_LEASE_S,
    REJECTED,
    ROUTE_GONE,
    ROUTES,
    SUCCEEDED,
    TABLE,
    Rig,
    request_ids,
    with_changed_route,
    with_routes,
    without_route,
)


class Deliveries(unittest.TestCase):
    """Grants, deliveries and the choice of the edge node."""

    def test_a_delivery_is_sent_only_after_its_grant_is_applied(self) -> None:
        rig = Rig()
        rig.automatic = False
        rig.append("m")
        (command,) = rig.proposed
        self.assertEqual(command, GrantLease("m", "0-1-1", "edge-1", 3_000, False))
        self.assertEqual(rig.sent, [])
        rig.commit()
        delivery = rig.delivery()
        self.assertEqual((delivery.edge, delivery.lease_id, delivery.duration_ms), ("edge-1", "0-1-1", 3_000))

    def test_a_grant_for_a_disconnected_edge_is_returned_unsent(self) -> None:
        for disconnect in ("edge_disconnected", "edge_process_ended"):
            with self.subTest(disconnect):
                rig = Rig()
                rig.automatic = False
                rig.append("m")
                rig.execute(getattr(rig.owner, disconnect)(rig.now, "edge-1"))
                rig.commit()
                self.assertEqual(rig.sent, [])
                (command,) = rig.proposed
                self.assertIsInstance(command, EndAttempt)
                self.assertEqual((command.lease_id, command.outcome), ("0-1-1", NOT_RUN))

    def test_the_origin_gets_it_else_one_of_the_zone_else_any(self) -> None:
        cases = (
            ({"origin": "n", "near": "north", "far": "south"}, "origin"),
            ({"near": "north", "far": "south"}, "near"),
            ({"far": "south"}, "far"),
        )
        for edges, expected in cases:
            with self.subTest(expected):
                rig = Rig(edges=())
                for name, zone in edges.items():
                    rig.execute(rig.owner.edge_connected(rig.now, name, zone))
                for number in range(10):
                    rig.append(f"m{number}", origin="origin")
                self.assertEqual({delivery.edge for delivery in rig.take_sent()}, {expected})

    def test_nothing_is_sent_without_an_edge(self) -> None:
        rig = Rig(edges=())
        rig.append("m")
        self.assertEqual(rig.state.find("m").leases_granted, 0)
        rig.execute(rig.owner.edge_connected(rig.now, "edge-2", "north"))
        self.assertEqual(rig.delivery().edge, "edge-2")

    def test_the_body_is_omitted_only_to_the_process_that_accepted_it_and_once(self) -> None:
        rig = Rig(edges=("edge-1", "edge-2"))
        rig.append("m")
        first = rig.delivery()
        self.assertTrue(first.body_omitted)
        rig.end(first, NOT_RUN)
        rig.advance(1.0)
        self.assertFalse(rig.delivery().body_omitted)
        rig.append("n", origin="edge-3")
        self.assertFalse(rig.delivery().body_omitted)

    def test_the_body_is_sent_after_the_end_of_the_process_that_accepted_it(self) -> None:
        rig = Rig()
        rig.append("m", delay_ms=1_000)
        rig.now += 0.1
        rig.execute(rig.owner.edge_process_ended(rig.now, "edge-1"))
        rig.execute(rig.owner.edge_connected(rig.now, "edge-1", "north"))
        rig.advance(1.0)
        self.assertFalse(rig.delivery().body_omitted)

    def test_the_body_is_sent_by_a_new_owner(self) -> None:
        rig = Rig()
        rig.append("m", delay_ms=1_000)
        rig.start_owner()
        rig.advance(1.0)
        self.assertFalse(rig.delivery().body_omitted)

    def test_leases_of_an_edge_and_service_are_bounded(self) -> None:
        rig = Rig()
        for number in range(MAX_LEASES_PER_EDGE + 3):
            rig.append(f"m{number}")
        sent = rig.take_sent()
        self.assertEqual(len(sent), MAX_LEASES_PER_EDGE)
        rig.end(sent[0], SUCCEEDED)
        self.assertEqual(request_ids(rig.take_sent()), [f"m{MAX_LEASES_PER_EDGE}"])

    def test_a_lease_that_times_out_is_followed_by_another(self) -> None:
        rig = Rig()
        rig.append("m")
        first = rig.delivery()
        rig.advance(PUSH_LEASE_S - 0.01)
        self.assertEqual(rig.sent, [])
        rig.advance(0.02)
        second = rig.delivery()
        self.assertNotEqual(second.lease_id, first.lease_id)
        self.assertFalse(rig.end(first, SUCCEEDED))
        self.assertTrue(rig.end(second, SUCCEEDED))

    def test_a_late_success_is_accepted_while_no_newer_lease_is_granted(self) -> None:
        rig = Rig()
        rig.append("m")
        delivery = rig.delivery()
        rig.automatic = False
        rig.advance(PUSH_LEASE_S + 0.1)
        self.assertIsInstance(rig.proposed[0], GrantLease)
        self.assertTrue(rig.end(delivery, SUCCEEDED))
        rig.commit()
        self.assertEqual((rig.sent, rig.proposed), ([], []))
        rig.advance(30.0)
        self.assertEqual((rig.sent, rig.proposed), ([], []))

    def test_a_delay_is_respected(self) -> None:
        rig = Rig()
        rig.append("m", delay_ms=1_500)
        rig.advance(1.49)
        self.assertEqual(rig.sent, [])
        rig.advance(0.02)
        rig.delivery()

    def test_a_failed_proposal_is_repeated(self) -> None:
        rig = Rig()
        rig.automatic = False
        rig.append("m")
        (command,) = rig.take_proposed()
        rig.execute(rig.owner.proposal_failed(rig.now, command))
        rig.commit()
        self.assertEqual(rig.delivery().message.request_id, "m")

    def test_messages_go_by_priority_and_start_target(self) -> None:
        rig = Rig(edges=())
        rig.append("past the late limit", "/urgent/x")
        rig.advance(STALE_AFTER_S - 2.0)
        rig.append("late", "/plain/x")
        rig.advance(2.1)
        rig.append("relaxed", "/relaxed/x")
        rig.append("older", "/plain/x")
        rig.append("newer", "/plain/x")
        rig.append("urgent", "/urgent/x")
        rig.execute(rig.owner.edge_connected(rig.now, "edge-1", "north"))
        order = ["urgent", "older", "newer", "relaxed", "late", "past the late limit"]
        self.assertEqual(request_ids(rig.take_sent()), order)


class Order(unittest.TestCase):
    """Messages of one order key."""

    def test_the_successor_waits_for_the_commit_of_the_end(self) -> None:
        rig = Rig()
        rig.append("a", order_key="k")
        rig.append("b", "/urgent/x", order_key="k")
        delivery = rig.delivery()
        rig.end(delivery, FAILED)
        self.assertEqual(request_ids(rig.take_sent()), [])
        rig.advance(1.0)
        rig.end(rig.delivery(), SUCCEEDED)
        self.assertEqual(request_ids(rig.take_sent()), ["b"])

    def test_a_delayed_head_delays_its_successors(self) -> None:
        rig = Rig()
        rig.append("a", order_key="k", delay_ms=2_000)
        rig.append("b", order_key="k")
        rig.advance(1.9)
        self.assertEqual(rig.sent, [])
        rig.advance(0.2)
        self.assertEqual(request_ids(rig.take_sent()), ["a"])

    def test_a_dead_head_unblocks_its_successor(self) -> None:
        rig = Rig()
        rig.append("a", order_key="k")
        rig.append("b", order_key="k")
        rig.end(rig.delivery(), REJECTED)
        self.assertEqual(request_ids(rig.take_sent()), ["b"])

    def test_an_edge_whose_process_has_ended_keeps_the_lease_of_an_ordered_message(self) -> None:
        for key, at_once in (("", True), ("k", False)):
            with self.subTest(key=key):
                rig = Rig(edges=("edge-1", "edge-2"))
                rig.append("m", order_key=key)
                rig.delivery()
                rig.execute(rig.owner.edge_process_ended(rig.now, "edge-1"))
                self.assertEqual(len(rig.sent), at_once)
                rig.advance(PUSH_LEASE_S + 0.1)
                self.assertEqual(rig.take_sent()[0].edge, "edge-2")

    def test_a_disconnected_edge_keeps_its_leases(self) -> None:
        rig = Rig(edges=("edge-1", "edge-2"))
        rig.append("m")
        delivery = rig.delivery()
        rig.execute(rig.owner.edge_disconnected(rig.now, "edge-1"))
        self.assertEqual(rig.sent, [])
        self.assertTrue(rig.end(delivery, SUCCEEDED))


class NewOwners(unittest.TestCase):
    """A new owner takes over the messages and leases of earlier owners."""

    def test_a_lease_counts_as_extended(self) -> None:
        for path, duration_s in (("/plain/x", PUSH_LEASE_S), ("/jobs/x", PULL_LEASE_S)):
            with self.subTest(path):
                rig = Rig()
                rig.poll(1)
                rig.append("m", path)
                self.assertEqual(len(rig.take_sent()), 1)
                rig.advance(duration_s - 0.5)
                rig.start_owner()
                rig.poll(2, wait_s=10.0)
                rig.advance(duration_s - 0.01)
                self.assertEqual(rig.take_sent(), [])
                rig.advance(0.02)
                self.assertEqual(len(rig.take_sent()), 1)

    def test_the_end_of_an_earlier_owners_lease_is_accepted(self) -> None:
        rig = Rig()
        rig.append("m")
        delivery = rig.delivery()
        rig.start_owner()
        self.assertTrue(rig.end(delivery, SUCCEEDED))
        self.assertIs(rig.state_of("m"), MessageState.DONE)

    def test_lease_ids_never_repeat(self) -> None:
        rig = Rig()
        rig.append("m")
        first = rig.delivery()
        rig.start_owner()
        rig.end(first, NOT_RUN)
        rig.advance(1.0)
        self.assertNotEqual(rig.delivery().lease_id, first.lease_id)

    def test_an_edge_process_that_ends_later_releases_its_leases(self) -> None:
        rig = Rig()
        rig.append("m")
        rig.start_owner(edges=("edge-2",))
        rig.execute(rig.owner.edge_process_ended(rig.now, "edge-1"))
        self.assertEqual(rig.delivery().edge, "edge-2")


class Configurations(unittest.TestCase):
    """Messages follow the current configuration."""

    def test_a_dropped_route_ends_its_messages_after_the_grace(self) -> None:
        rig = Rig(edges=())
        rig.append("m")
        rig.configure(without_route("plain"))
        rig.advance(UNROUTED_GRACE_S - 0.1)
        self.assertIs(rig.state_of("m"), MessageState.QUEUED)
        rig.advance(0.2)
        self.assertIs(rig.state_of("m"), MessageState.DEAD_LETTER)

    def test_a_route_that_returns_in_time_keeps_them(self) -> None:
        rig = Rig(edges=())
        rig.append("m")
        rig.configure(without_route("plain"))
        rig.advance(UNROUTED_GRACE_S - 0.1)
        rig.configure(with_changed_route("plain", version=7))
        rig.advance(10.0)
        self.assertIs(rig.state_of("m"), MessageState.QUEUED)

    def test_nothing_is_delivered_without_its_route(self) -> None:
        rig = Rig(edges=())
        rig.append("m")
        rig.configure(without_route("plain"))
        rig.execute(rig.owner.edge_connected(rig.now, "edge-1", "north"))
        rig.advance(10.0)
        self.assertEqual(rig.sent, [])

    def test_a_message_waits_while_the_table_is_older(self) -> None:
        for routing in (None, without_route("plain", version=4)):
            with self.subTest(routing=routing):
                rig = Rig(routing)
                rig.append("m", accepted_version=5)
                rig.advance(20.0)
                self.assertIs(rig.state_of("m"), MessageState.QUEUED)
                self.assertEqual(rig.sent, [])
                rig.configure(TABLE)
                rig.delivery()

    def test_a_leased_message_ends_after_its_lease(self) -> None:
        for outcome, state in ((SUCCEEDED, MessageState.DONE), (NOT_RUN, MessageState.DEAD_LETTER)):
            with self.subTest(outcome):
                rig = Rig()
                rig.append("m")
                delivery = rig.delivery()
                rig.configure(without_route("plain"))
                rig.advance(PUSH_LEASE_S - 0.5)
                self.assertIs(rig.state_of("m"), MessageState.QUEUED)
                self.assertTrue(rig.end(delivery, outcome))
                rig.advance(UNROUTED_GRACE_S + 0.1)
                self.assertIs(rig.state_of("m"), state)

    def test_a_holder_cannot_end_a_message_that_has_no_route(self) -> None:
        rig = Rig()
        rig.append("m")
        self.assertTrue(rig.end(rig.delivery(), ROUTE_GONE))
        self.assertIs(rig.state_of("m"), MessageState.QUEUED)

    def test_a_moved_route_goes_to_the_new_service(self) -> None:
        rig = Rig()
        rig.append("m", "/jobs/x")
        rig.configure(with_changed_route("jobs", service="worker"))
        self.assertEqual(rig.delivery().message.request_id, "m")
        rig.append("n", "/plain/x", delay_ms=500)
        rig.configure(with_changed_route("plain", version=7, service="puller"))
        rig.advance(1.0)
        self.assertEqual(rig.take_sent(), [])
        rig.poll(1)
        self.assertEqual(rig.answer().message.request_id, "n")

    def test_a_longer_prefix_gets_the_messages(self) -> None:
        rig = Rig()
        rig.append("m", "/jobs/deep/x?a=/plain/")
        rig.configure(with_routes(6, (*ROUTES, Route("deep", "a.example", "/jobs/deep/", "worker", 1_000))))
        self.assertEqual(rig.delivery().message.request_id, "m")

    def test_the_current_time_out_and_max_attempts_apply(self) -> None:
        rig = Rig()
        rig.append("m", delay_ms=500)
        rig.configure(with_changed_route("plain", timeout_ms=700, max_attempts=1))
        rig.advance(0.6)
        delivery = rig.delivery()
        self.assertEqual(delivery.duration_ms, 700 + PUSH_LEASE_MARGIN_MS)
        rig.end(delivery, FAILED)
        self.assertIs(rig.state_of("m"), MessageState.DEAD_LETTER)

    def test_an_older_configuration_is_ignored(self) -> None:
        rig = Rig(edges=())
        rig.append("m", accepted_version=3)
        rig.configure(without_route("plain", version=4))
        rig.advance(10.0)
        self.assertIs(rig.state_of("m"), MessageState.QUEUED)


class Backlogs(unittest.TestCase):
    """The work per event does not grow with the number of waiting messages."""

    def test_wakeups_and_proposals_with_a_backlog(self) -> None:
        rig = Rig(edges=())
        for number in range(5_000):
            rig.append(f"m{number}")
        self.assertEqual(rig.owner.next_wakeup(rig.now), rig.now + 90.0)
        rig.execute(rig.owner.edge_connected(rig.now, "edge-1", "north"))
        self.assertEqual(request_ids(rig.take_sent())[0], "m0")

    def test_waiting_messages_wake_the_owner_only_to_request_workers(self) -> None:
        rig = Rig()
        for number in range(5_000):
            rig.append(f"m{number}", "/jobs/x")
        self.assertEqual(rig.owner.next_wakeup(rig.now), rig.now + MIN_POLLERS_REQUEST_INTERVAL_S)
        rig.poll(1)
        self.assertEqual(rig.answer().message.request_id, "m0")

    def test_requests_for_workers_back_off_while_the_same_messages_wait(self) -> None:
        rig = Rig()
        rig.append("m0", "/jobs/x")
        rig.append("m1", "/jobs/x")
        rig.advance(10.0)
        self.assertLess(len(rig.poller_requests), 10.0 / MAX_POLLERS_REQUEST_INTERVAL_S + 5)
        self.assertGreater(len(rig.poller_requests), 10.0 / MAX_POLLERS_REQUEST_INTERVAL_S - 5)

    def test_requests_for_workers_restart_after_the_queue_was_empty(self) -> None:
        rig = Rig()
        rig.append("m0", "/jobs/x")
        rig.advance(10.0)
        rig.poll(1)
        rig.answer()
        rig.advance(MIN_POLLERS_REQUEST_INTERVAL_S)
        requests_before = len(rig.poller_requests)
        rig.append("m1", "/jobs/x")
        self.assertEqual(len(rig.poller_requests), requests_before + 1)

    def test_a_change_of_another_route_touches_no_message(self) -> None:
        rig = Rig()
        rig.append("m", "/jobs/x")
        tracked = rig.owner._lifecycle.find("m")
        serial = tracked.serial
        rig.configure(with_changed_route("plain", priority=3))
        rig.configure(with_changed_route("jobs", version=7, timeout_ms=900))
        self.assertEqual((tracked.serial, tracked.route.timeout_ms), (serial, 900))
        rig.configure(with_changed_route("jobs", version=8, priority=3))
        self.assertNotEqual(tracked.serial, serial)
