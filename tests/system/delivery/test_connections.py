"""Connections of the worker client: their number, reuse and end, on an in-memory network."""

from __future__ import annotations

import unittest
from dataclasses import replace

from twisted.internet.error import ConnectionDone

from bitternpath.delivery.connections import IDLE_USE_SHARE
from bitternpath.delivery.pool import MAX_WAIT_SHARE, connect_timeout_s
from bitternpath.delivery.results import RefusalKind
from bitternpath.delivery.worker_client import SWEEP_INTERVAL_S
from bitternpath.transport.records import AttemptOutcome
from tests.system.delivery.client_case import (
    ADDRESS,
    DEADLINE_S,
    OK,
    TARGET,
    ClientCase,
    response,
)


class ConnectionTest(ClientCase):
    """Establishing, sharing, reusing and closing connections."""

    def test_reuse(self) -> None:
        connection = self.idle()
        for request_id in ("r2", "r3"):
            results = self.deliver(request_id)
            self.assertIn(request_id.encode(), connection.take_sent())
            connection.respond(response(request_id))
            self.assert_result(results, AttemptOutcome.SUCCEEDED)
        self.assertEqual(len(self.network.attempts), 1)

    def test_no_connection(self) -> None:
        results = self.deliver()
        self.assertEqual(self.network.attempts[0].address, ADDRESS)
        self.network.attempts[0].fail()
        self.assert_result(results, AttemptOutcome.NOT_RUN, RefusalKind.NO_CONNECTION)
        self.deliver("r2")
        self.assertEqual(len(self.network.attempts), 2)

    def test_bad_addresses(self) -> None:
        for address in ("", "10.0.0.9", "10.0.0.9:", "10.0.0.9:x"):
            with self.subTest(address):
                self.deliver(target=replace(TARGET, address=address))
                self.assertEqual(self.network.attempts[-1].address.rpartition(":")[2], "0")

    def test_connect_timeout(self) -> None:
        for remaining, expected in ((10.0, 1.0), (2.0, 0.5), (0.9, 0.25), (0.1, 0.1), (0.0, 0.02)):
            with self.subTest(remaining):
                self.assertAlmostEqual(connect_timeout_s(remaining), expected)
        self.deliver(deadline_ms=2000)
        self.assertAlmostEqual(self.network.attempts[0].timeout, 0.5)

    def test_connection_that_comes_too_late_carries_nothing(self) -> None:
        results = self.deliver()
        self.network.advance(DEADLINE_S - 0.01)
        connection = self.connect()
        self.assert_result(results, AttemptOutcome.NOT_RUN, RefusalKind.BUSY)
        self.assertEqual(connection.take_sent(), b"")

    def test_no_time_at_all(self) -> None:
        for deadline_ms in (0, -5, 10):
            with self.subTest(deadline_ms):
                results = self.deliver(deadline_ms=deadline_ms)
                self.assert_result(results, AttemptOutcome.NOT_RUN, RefusalKind.BUSY)
        self.assertEqual(self.network.attempts, [])

    def test_sends_only_within_the_given_time(self) -> None:
        target = replace(TARGET, send_within_s=0.1)
        results = self.deliver(target=target)
        self.assertAlmostEqual(self.network.attempts[0].timeout, 0.1)
        self.network.advance(0.11)
        connection = self.connect()
        self.assert_result(results, AttemptOutcome.NOT_RUN, RefusalKind.BUSY)
        self.assertEqual(connection.take_sent(), b"")

    def test_waits_only_within_the_given_time(self) -> None:
        one = replace(TARGET, max_connections=1, send_within_s=0.1)
        self.deliver(target=one)
        connection = self.connect()
        results = self.deliver("r2", target=one)
        self.network.advance(0.1)
        self.assert_result(results, AttemptOutcome.NOT_RUN, RefusalKind.BUSY)
        connection.respond(OK)
        self.assertNotIn(b"r2", connection.take_sent())

    def test_limit_and_order_of_waiting_deliveries(self) -> None:
        first, second, third, fourth = (self.deliver(f"r{number}") for number in range(1, 5))
        self.assertEqual(len(self.network.attempts), 2)
        one, two = self.connect(0), self.connect(1)
        two.take_sent()
        two.respond(response("r2"))
        self.assertIn(b"X-Request-Id: r3\r\n", two.take_sent())
        one.take_sent()
        one.respond(response("r1"))
        self.assertIn(b"X-Request-Id: r4\r\n", one.take_sent())
        two.respond(response("r3"))
        one.respond(response("r4"))
        for results in (first, second, third, fourth):
            self.assert_result(results, AttemptOutcome.SUCCEEDED)
        self.assertEqual(len(self.network.attempts), 2)

    def test_wait_for_a_connection_ends(self) -> None:
        one = replace(TARGET, max_connections=1)
        self.deliver(target=one)
        self.connect()
        results = self.deliver("r2", target=one)
        self.network.advance(DEADLINE_S * MAX_WAIT_SHARE - 0.001)
        self.assertEqual(results, [])
        self.network.advance(0.002)
        self.assert_result(results, AttemptOutcome.NOT_RUN, RefusalKind.BUSY)

    def test_broken_connection_allows_a_new_one_for_a_waiting_delivery(self) -> None:
        one = replace(TARGET, max_connections=1)
        self.deliver(target=one)
        connection = self.connect()
        results = self.deliver("r2", target=one)
        connection.lose()
        self.connect().respond(response("r2"))
        self.assert_result(results, AttemptOutcome.SUCCEEDED)
        self.assertEqual(len(self.network.attempts), 2)

    def test_failed_attempts_do_not_use_up_the_limit(self) -> None:
        one = replace(TARGET, max_connections=1)
        for number in range(5):
            self.deliver(f"r{number}", target=one)
        for number in range(5):
            self.network.attempts[number].fail()
        self.deliver("r9", target=one)
        self.assertEqual(len(self.network.attempts), 6)

    def test_lower_limit_closes_what_is_over_it(self) -> None:
        self.deliver("r1")
        self.deliver("r2")
        one, two = self.connect(0), self.connect(1)
        self.deliver("r3", target=replace(TARGET, max_connections=1))
        one.respond(response("r1"))
        two.respond(response("r2"))
        self.assertTrue(two.closed)
        self.assertFalse(one.closed)

    def test_oldest_idle_connection_goes_first(self) -> None:
        self.deliver("r1")
        self.deliver("r2")
        one, two = self.connect(0), self.connect(1)
        two.respond(response("r2"))
        one.respond(response("r1"))
        one.take_sent()
        two.take_sent()
        self.deliver("r3")
        self.assertEqual((one.take_sent() == b"", two.take_sent() == b""), (True, False))

    def test_idle_connection_that_the_worker_closed(self) -> None:
        connection = self.idle()
        connection.lose(ConnectionDone())
        self.deliver("r2")
        self.assertEqual(len(self.network.attempts), 2)

    def test_idle_connection_whose_end_is_not_read_yet(self) -> None:
        connection = self.idle()
        connection.socket.closed_by_peer = True
        self.deliver("r2")
        self.assertEqual(connection.take_sent(), b"")
        self.assertEqual(len(self.network.attempts), 2)

    def test_a_delivery_over_a_reused_connection_that_breaks_is_not_retried(self) -> None:
        connection = self.idle()
        results = self.deliver("r2")
        connection.lose(ConnectionDone())
        self.network.advance(5)
        self.assert_result(results, AttemptOutcome.UNKNOWN)
        self.assertEqual(len(self.network.attempts), 1)

    def test_idle_connections_are_closed_before_the_worker_does(self) -> None:
        for header, keep_alive_s in (
            (b"", 4),
            (b"Keep-Alive: timeout=2\r\n", 2),
            (b"Keep-Alive: max=9, timeout=3\r\n", 3),
        ):
            with self.subTest(header):
                self.setUp()
                connection = self.idle(header)
                self.network.pump(
                    [SWEEP_INTERVAL_S / 5] * int(5 * (keep_alive_s * IDLE_USE_SHARE) / SWEEP_INTERVAL_S)
                )
                self.assertFalse(connection.closed)
                self.network.pump([SWEEP_INTERVAL_S / 5] * 6)
                self.assertTrue(connection.closed)
                self.assertLess(self.network.seconds(), keep_alive_s)
                self.network.pump([SWEEP_INTERVAL_S] * 3)
                self.assertEqual(self.network.getDelayedCalls(), [])

    def test_idle_connection_past_its_time_is_not_used(self) -> None:
        connection = self.idle(b"Keep-Alive: timeout=1\r\n")
        self.network.rightNow += 0.7  # no timer has fired yet, as after a stall of the process
        self.deliver("r2")
        self.assertEqual(connection.take_sent(), b"")
        self.assertEqual(len(self.network.attempts), 2)


class RemovalTest(ClientCase):
    """Removal of addresses, and shutdown of the client."""

    def test_close_idle(self) -> None:
        connection = self.idle()
        self.client.close_idle(ADDRESS)
        self.client.close_idle("10.0.0.1:1")
        self.assertTrue(connection.closed)

    def test_remove_address(self) -> None:
        one = replace(TARGET, max_connections=1)
        in_flight, connection = self.deliver(target=one), self.connect()
        waiting = self.deliver("r2", target=one)
        self.client.remove_address(ADDRESS)
        self.client.remove_address(ADDRESS)
        self.assert_result(waiting, AttemptOutcome.NOT_RUN, RefusalKind.NO_CONNECTION)
        connection.respond(OK)
        self.assert_result(in_flight, AttemptOutcome.SUCCEEDED)
        self.assertTrue(connection.closed)

    def test_remove_address_while_connecting(self) -> None:
        results = self.deliver()
        self.client.remove_address(ADDRESS)
        connection = self.connect()
        self.assert_result(results, AttemptOutcome.NOT_RUN, RefusalKind.NO_CONNECTION)
        self.assertEqual(connection.take_sent(), b"")
        self.assertTrue(connection.closed)

    def test_address_that_is_used_again(self) -> None:
        connection = self.idle()
        self.client.remove_address(ADDRESS)
        self.deliver("r2")
        self.assertEqual((connection.closed, len(self.network.attempts)), (True, 2))

    def test_shutdown(self) -> None:
        idle_results, idle = self.delivered()
        idle.respond(OK)
        busy_results = self.deliver("r2", target=replace(TARGET, address="10.0.0.8:80"))
        busy = self.connect()
        done = self.client.shutdown()
        self.assertTrue(idle.closed)
        self.assertFalse(done.called)
        self.assert_result(self.deliver("r3"), AttemptOutcome.NOT_RUN, RefusalKind.NO_CONNECTION)
        busy.respond(response("r2"))
        self.assert_result(busy_results, AttemptOutcome.SUCCEEDED)
        self.assertEqual(len(idle_results), 1)
        self.assertTrue(done.called)
        self.assertTrue(self.client.shutdown().called)

    def test_shutdown_of_an_unused_client(self) -> None:
        self.assertTrue(self.client.shutdown().called)


if __name__ == "__main__":
    unittest.main()
