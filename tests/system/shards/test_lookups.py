"""Look-ups of message states, in virtual time."""

from __future__ import annotations

import unittest

from bitternpath.queue.sharding import message_id
from bitternpath.shards.lookups import MessageLookup
from bitternpath.shards.results import FoundMessage, LookupFailure
from bitternpath.transport.records import MessageState
from bitternpath.transport.shard_messages import (
    RefusalReason,
    Refused,
    StateResponse,
)
from tests.system.shards.shard_case import SHARDS, ShardCase


class LookupTest(ShardCase):
    """Look-ups by message id and by request id."""

    def setUp(self) -> None:
        super().setUp()
        self.lookup = MessageLookup(self.clock, self.owners)
        self.lookup.shard_count = SHARDS

    def test_an_id_that_names_its_shard_queries_that_shard_alone(self) -> None:
        waiting = self.lookup.find(message_id(2, "r1"), wants_body=True)
        self.assertEqual([len(link.requests) for link in self.links], [0, 0, 1])
        self.links[2].answer(StateResponse(1, True, MessageState.DONE, "stamp", b"x"))
        self.assertEqual(self.result(waiting), FoundMessage(MessageState.DONE, "stamp", b"x"))

    def test_an_id_of_a_nonexistent_shard_is_looked_up_in_all_shards_immediately(self) -> None:
        """A client's request id may look like a message id of a shard that does not exist.

        Guards against a look-up that waits for the owner of that shard until its deadline.
        """
        waiting = self.lookup.find(message_id(SHARDS, "r1"), wants_body=False)
        self.assertEqual([len(link.requests) for link in self.links], [1] * SHARDS)
        for link in self.links:
            link.answer(StateResponse(1, False, MessageState.QUEUED, "", None))
        self.assertEqual(self.result(waiting), LookupFailure.UNKNOWN_MESSAGE)

    def test_a_request_id_queries_all_shards(self) -> None:
        waiting = self.lookup.find("r1", wants_body=False)
        for shard, link in enumerate(self.links):
            link.answer(StateResponse(1, shard == 1, MessageState.QUEUED, "", None))
        self.assertEqual(self.result(waiting), FoundMessage(MessageState.QUEUED, "", None))

    def test_unknown_only_if_all_shards_have_responded(self) -> None:
        waiting = self.lookup.find("r1", wants_body=False)
        for link in self.links:
            link.answer(StateResponse(1, False, MessageState.QUEUED, "", None))
        self.assertEqual(self.result(waiting), LookupFailure.UNKNOWN_MESSAGE)
        waiting = self.lookup.find("r1", wants_body=False)
        for link in self.links[:2]:
            link.answer(StateResponse(1, False, MessageState.QUEUED, "", None))
        self.links[2].lose()
        self.owners.link_closed(self.links[2])  # type: ignore[arg-type]
        self.clock.pump([0.1] * 20)
        self.assertEqual(self.result(waiting), LookupFailure.UNAVAILABLE)

    def test_a_refusal_of_a_former_owner_is_retried(self) -> None:
        waiting = self.lookup.find(message_id(0, "r1"), wants_body=False)
        self.links[0].answer(Refused(1, RefusalReason.NOT_OWNER))
        self.owned(0, self.links[1], 2)
        self.clock.advance(0.2)
        self.links[1].answer(StateResponse(1, True, MessageState.QUEUED, "", None))
        self.assertEqual(self.result(waiting).state, MessageState.QUEUED)


if __name__ == "__main__":
    unittest.main()
