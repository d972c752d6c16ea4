"""Repeated deliveries of a message, and late second responses to earlier ones (PROTOCOL, "Workers")."""

from __future__ import annotations

import unittest

from bitternpath.delivery.connections import MAX_REMEMBERED_REQUESTS
from bitternpath.transport.records import AttemptOutcome
from tests.system.delivery.client_case import ClientCase, FakeConnection, response

FAILED, NOT_RUN = AttemptOutcome.FAILED, AttemptOutcome.NOT_RUN
SUCCEEDED, UNKNOWN = AttemptOutcome.SUCCEEDED, AttemptOutcome.UNKNOWN
NOT_EXECUTED = b"X-Not-Executed: 1\r\n"


class SecondResponseTest(ClientCase):
    """A second response never ends a later delivery of the same message."""

    def ended(self, status: int, headers: bytes = b"") -> FakeConnection:
        """Return a connection over which the delivery of r1 got a response with that status."""
        _, connection = self.delivered()
        connection.respond(response(status=status, headers=headers))
        connection.take_sent()
        return connection

    def test_a_second_response_to_a_failure_does_not_end_the_retry(self) -> None:
        cases = (
            (500, b"", FAILED),
            (503, NOT_EXECUTED, NOT_RUN),
            (429, NOT_EXECUTED, NOT_RUN),
            (504, b"", UNKNOWN),
        )
        for status, headers, outcome in cases:
            with self.subTest(status):
                self.setUp()
                _, connection = self.delivered()
                connection.respond(response(status=status, headers=headers))
                connection.take_sent()
                results = self.deliver()  # a retry
                self.assertEqual(
                    connection.take_sent(), b"", f"sent over the connection that ended with {outcome}"
                )
                second = self.connect()
                connection.respond(
                    response(status=status, headers=headers)
                )  # late response to the first delivery
                self.assertEqual(results, [])
                second.respond(response())
                self.assert_result(results, SUCCEEDED)

    def test_other_messages_reuse_the_connection(self) -> None:
        connection = self.ended(500)
        results = self.deliver("r2")
        self.assertIn(b"X-Request-Id: r2", connection.take_sent())
        connection.respond(response("r2"))
        self.assert_result(results, SUCCEEDED)
        self.assertEqual(len(self.network.attempts), 1)

    def test_the_request_id_of_a_final_outcome_is_not_remembered(self) -> None:
        connection = self.idle()
        self.deliver()
        self.assertIn(b"X-Request-Id: r1", connection.take_sent())

    def test_where_all_connections_have_carried_it_one_is_replaced(self) -> None:
        first = self.ended(500)
        self.deliver()
        self.connect().respond(response(status=500, headers=b""))  # the limit is 2
        results = self.deliver()
        self.assertTrue(first.closed)
        self.assertEqual(len(self.network.attempts), 3)
        self.connect().respond(response())
        self.assert_result(results, SUCCEEDED)

    def test_a_waiting_retry_gets_a_new_connection(self) -> None:
        connections = []
        for request_id in ("r1", "r2"):
            self.deliver(request_id)
            connections.append(self.connect())
        connections[0].respond(response("r1", status=500, headers=b""))
        self.deliver("r3")  # uses the first connection
        results = self.deliver("r1")
        connections[0].respond(response("r3"))
        self.assertNotIn(b"X-Request-Id: r1", connections[0].take_sent().split(b"body", 1)[1])
        self.connect().respond(response())
        self.assert_result(results, SUCCEEDED)

    def test_a_connection_that_remembers_too_many_requests_is_closed(self) -> None:
        _, connection = self.delivered()
        for number in range(MAX_REMEMBERED_REQUESTS):
            self.assertFalse(connection.closed)
            connection.respond(response("r1" if number == 0 else f"n{number}", status=500, headers=b""))
            if number + 1 < MAX_REMEMBERED_REQUESTS:
                self.deliver(f"n{number + 1}")
        self.assertTrue(connection.closed)


if __name__ == "__main__":
    unittest.main()
