"""The order in which candidates are queried for the owner of the configuration."""

from __future__ import annotations

import unittest
from random import Random

from bitternpath.configuration.owner_search import HINT_RETRY_S, OwnerSearch

ADDRESSES = ("a:1", "b:1", "c:1")


class OwnerSearchTest(unittest.TestCase):
    """Each candidate is tried once per search."""

    def setUp(self) -> None:
        self.search = OwnerSearch()
        self.random = Random(3)

    def next(self, *pending: str) -> str:
        address = self.search.next_candidate(ADDRESSES, pending, self.random)
        self.search.record_attempt(address, 1.0)
        return address

    def test_each_candidate_once_then_anew(self) -> None:
        for _ in range(3):
            self.assertEqual({self.next() for _ in ADDRESSES}, set(ADDRESSES))

    def test_another_search_begins_with_candidates_that_are_not_pending(self) -> None:
        for _ in ADDRESSES:
            self.next()
        self.assertEqual(self.next("a:1", "c:1"), "b:1")

    def test_pending_candidates_are_tried_where_there_are_no_others(self) -> None:
        for _ in ADDRESSES:
            self.next()
        self.assertIn(self.next(*ADDRESSES), ADDRESSES)

    def test_the_owner_found_is_tried_last(self) -> None:
        self.search.record_owner("b:1", 1.0)
        self.assertEqual({self.next(), self.next()}, {"a:1", "c:1"})

    def test_without_candidates(self) -> None:
        self.assertEqual(self.search.next_candidate((), (), self.random), "")

    def test_hints_are_followed_unless_the_node_was_just_queried(self) -> None:
        self.search.record_attempt("a:1", 1.0)
        cases = (("b:1", 1.0, True), ("a:1", 1.0, False), ("a:1", 1.0 + HINT_RETRY_S, True))
        for address, now, expected in cases:
            with self.subTest(address=address, now=now):
                self.assertIs(self.search.may_follow_hint(address, now), expected)


if __name__ == "__main__":
    unittest.main()
