"""Long polls at a shard's owner: each is answered exactly once."""

from __future__ import annotations

import unittest
from typing import Any

from bitternpath.roles.pending_polls import PendingPolls
from bitternpath.transport.shard_messages import PullResponse


class FakeLink:
    """Records the records sent over it."""

    def __init__(self) -> None:
        self.sent: list[Any] = []

    def send(self, record: Any) -> None:
        self.sent.append(record)


class PendingPollsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.polls = PendingPolls()
        self.first: Any = FakeLink()
        self.second: Any = FakeLink()

    def test_a_poll_is_answered_once_on_its_link(self) -> None:
        poll_id = self.polls.add(self.first, 7)
        self.polls.answer(poll_id, "lease")
        self.polls.answer(poll_id)
        self.assertEqual((self.first.sent, self.second.sent), ([PullResponse(7, "lease", None)], []))
        self.assertIsNone(self.polls.find(self.first, 7))

    def test_poll_ids_are_never_used_again(self) -> None:
        poll_id = self.polls.add(self.first, 7)
        self.polls.answer(poll_id)
        self.assertGreater(self.polls.add(self.first, 7), poll_id)

    def test_polls_of_a_closed_link_are_forgotten(self) -> None:
        dropped = [self.polls.add(self.first, number) for number in (1, 2)]
        remaining = self.polls.add(self.second, 1)
        self.assertEqual(self.polls.drop_link(self.first), dropped)
        self.polls.answer_all()
        self.assertEqual((self.first.sent, self.second.sent), ([], [PullResponse(1, "", None)]))
        self.assertIsNone(self.polls.find(self.second, 1), f"poll {remaining} has been answered")


if __name__ == "__main__":
    unittest.main()
