"""A message that comes again, and late second answers to its earlier delivery (PROTOCOL, "Workers")."""

from __future__ import annotations

import unittest

from bitternpath.delivery.connections import MAX_REMEMBERED_REQUESTS
from bitternpath.transport.records import AttemptOutcome
from tests.system.test_worker_client import ClientCase, Wire, answer

FAILED, NOT_RUN = AttemptOutcome.FAILED, AttemptOutcome.NOT_RUN
SUCCEEDED, UNKNOWN = AttemptOutcome.SUCCEEDED, AttemptOutcome.UNKNOWN
FULL = b"X-Not-Executed: 1\r\n"


class SecondAnswers(ClientCase):
    """An answer never ends a later delivery of the same message."""

    def ended(self, status: int, headers: bytes = b"") -> Wire:
        """A connection over which r1 was delivered, and ended with that status."""
        _, wire = self.delivered()
        wire.answer(answer(status=status, headers=headers))
        wire.take()
        return wire

    def test_the_second_answer_to_a_failure_is_not_the_next_ones(self) -> None:
        cases = ((500, b"", FAILED), (503, FULL, NOT_RUN), (429, FULL, NOT_RUN), (504, b"", UNKNOWN))
        for status, headers, outcome in cases:
            with self.subTest(status):
                self.setUp()
                _, wire = self.delivered()
                wire.answer(answer(status=status, headers=headers))
                wire.take()
                results = self.deliver()  # the message again
                self.assertEqual(wire.take(), b"", f"sent over the connection that ended with {outcome}")
                second = self.connect()
                wire.answer(answer(status=status, headers=headers))  # late, and for the first delivery
                self.assertEqual(results, [])
                second.answer(answer())
                self.assert_result(results, SUCCEEDED)

    def test_other_messages_use_the_connection(self) -> None:
        wire = self.ended(500)
        results = self.deliver("r2")
        self.assertIn(b"X-Request-Id: r2", wire.take())
        wire.answer(answer("r2"))
        self.assert_result(results, SUCCEEDED)
        self.assertEqual(len(self.network.attempts), 1)

    def test_a_message_that_ended_there_keeps_nothing(self) -> None:
        wire = self.idle()
        self.deliver()
        self.assertIn(b"X-Request-Id: r1", wire.take())

    def test_where_all_connections_have_carried_it_one_makes_room(self) -> None:
        first = self.ended(500)
        self.deliver()
        self.connect().answer(answer(status=500, headers=b""))  # the limit is 2
        results = self.deliver()
        self.assertTrue(first.closed)
        self.assertEqual(len(self.network.attempts), 3)
        self.connect().answer(answer())
        self.assert_result(results, SUCCEEDED)

    def test_one_that_waits_gets_a_new_connection(self) -> None:
        wires = []
        for request_id in ("r1", "r2"):
            self.deliver(request_id)
            wires.append(self.connect())
        wires[0].answer(answer("r1", status=500, headers=b""))
        self.deliver("r3")  # takes the first one
        results = self.deliver("r1")
        wires[0].answer(answer("r3"))
        self.assertNotIn(b"X-Request-Id: r1", wires[0].take().split(b"body", 1)[1])
        self.connect().answer(answer())
        self.assert_result(results, SUCCEEDED)

    def test_a_connection_that_ended_many_messages_without_an_end_is_closed(self) -> None:
        _, wire = self.delivered()
        for number in range(MAX_REMEMBERED_REQUESTS):
            self.assertFalse(wire.closed)
            wire.answer(answer("r1" if number == 0 else f"n{number}", status=500, headers=b""))
            if number + 1 < MAX_REMEMBERED_REQUESTS:
                self.deliver(f"n{number + 1}")
        self.assertTrue(wire.closed)


if __name__ == "__main__":
    unittest.main()
