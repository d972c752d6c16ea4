"""Schedules from the Raft paper and thesis that motivate a safeguard, and builds without it.

Random runs rarely produce these schedules: none of 300 seeds of `test_fault_campaign` detected the builds
`vote_not_on_disk` and `commits_entries_of_earlier_terms`.
"""

from __future__ import annotations

import unittest
from collections.abc import Callable

import msgspec

from bitternpath.replication.messages import AppendEntries
from bitternpath.replication.records import EntryKind, Members
from tests.system.broken_builds import (
    broken,
    candidate_with_an_older_log,
    commits_entries_of_earlier_terms,
    truncation_keeps_members,
    vote_not_on_disk,
)
from tests.system.replication.schedules import ScheduledGroup

Schedule = Callable[[], list[str]]  # returns descriptions of violations


def two_candidates_and_a_voter_that_restarts() -> list[str]:
    """`a` votes for `b`, restarts, and gets a vote request of `c` for the same term (paper, section 5.2)."""
    group = ScheduledGroup("abc")
    for candidate in "bc":
        group.time_out(candidate)
        group.deliver(candidate, "a")
        group.deliver("a", candidate)  # both won the pre-vote and started an election
    group.deliver("b", "a")
    group.deliver("a", "b")
    group.restart("a")
    group.deliver("c", "a")
    group.deliver("a", "c")
    leaders = group.leaders(1)
    return [f"{leaders} lead in term 1"] if len(leaders) > 1 else []


def an_entry_of_an_earlier_term_on_a_majority() -> list[str]:
    """Figure 8 of the paper: an entry is on a majority and is replaced nevertheless."""
    group = ScheduledGroup("abcde")
    group.elect("a", "bc")
    group.exchange("a", "bcde")
    group.members["a"].propose(group.now, EntryKind.COMMAND, b"x")
    group.run("a")
    group.deliver("a", "b")  # "x" is on a and b
    group.drop_all()
    group.restart("a")
    group.elect("e", "cd")  # its no-op has the index of "x", on e only
    group.drop_all()
    group.restart("e")
    group.time_out("a")
    group.deliver("a", "c")
    group.deliver("c", "a")  # a learns of the term of e, in which c has voted
    group.drop_all()
    group.elect("a", "bc")
    group.drop_all()
    leader = group.members["a"]
    index = leader.last_index - 1  # index of "x", before the no-op of the new term
    old = leader.log.entries_from(index, 1)
    for follower in "bc":  # a batch that ends before the no-op
        request = AppendEntries(leader.term, index - 1, leader.log.term_at(index - 1), tuple(old), 0, 1)
        group.send("a", follower, request)
        group.deliver(follower, "a")
    group.drop_all()
    group.restart("a")
    group.time_out("e")
    group.deliver("e", "c")
    group.deliver("c", "e")
    group.drop_all()
    group.elect("e", "cd")
    group.exchange("e", "bcd")
    return group.contradictions


def a_membership_whose_entry_is_replaced() -> list[str]:
    """`a` has a membership entry that was never committed; the next leader replaces it (T 4.1)."""
    group = ScheduledGroup("abc")
    group.elect("a", "bc")
    group.exchange("a", "bc")
    extended = Members(("a", "b", "c", "d"), (), 1)
    group.members["a"].propose(group.now, EntryKind.MEMBERS, msgspec.msgpack.encode(extended))
    group.run("a")  # on a only
    group.drop_all()
    group.elect("b", "c")
    group.drop_all()
    group.members["b"].propose(group.now, EntryKind.COMMAND, b"y")
    group.run("b")
    for _ in range(3):
        group.advance_to_heartbeat("b")
        group.exchange("b", "ac")
    members = group.members["a"].members
    return [] if members == group.founders else [f"a counts {members.voters}"]


def a_candidate_that_lacks_what_is_committed() -> list[str]:
    """`c`, which lacks a committed entry, requests the vote of `b`, which has it (paper, section 5.4.1)."""
    group = ScheduledGroup("abc")
    group.elect("a", "bc")
    group.exchange("a", "bc")
    group.members["a"].propose(group.now, EntryKind.COMMAND, b"x")
    group.run("a")
    group.exchange("a", "b")  # committed by a and b
    group.drop_all()
    group.time_out("c")
    for _ in ("pre-vote", "vote"):
        group.deliver("c", "b")
        group.deliver("b", "c")
    group.exchange("c", "b")
    return group.contradictions or [
        f"c leads in term {term}" for term in (2, 3) if "c" in group.leaders(term)
    ]


class SafetyArguments(unittest.TestCase):
    """Each schedule, with and without the safeguard."""

    SCHEDULES = (
        (two_candidates_and_a_voter_that_restarts, vote_not_on_disk),
        (an_entry_of_an_earlier_term_on_a_majority, commits_entries_of_earlier_terms),
        (a_membership_whose_entry_is_replaced, truncation_keeps_members),
        (a_candidate_that_lacks_what_is_committed, candidate_with_an_older_log),
    )

    def test_the_program_satisfies_them(self) -> None:
        for schedule, _ in self.SCHEDULES:
            with self.subTest(schedule=schedule.__name__):
                self.assertEqual(schedule(), [])

    def test_each_build_is_caught(self) -> None:
        for schedule, build in self.SCHEDULES:
            with self.subTest(build=build.__name__), broken(build):
                self.assertNotEqual(schedule(), [])


if __name__ == "__main__":
    unittest.main()
