"""Elections after the failure of a leader whose followers lack different entries, in virtual time.

A leader sends entries to a majority immediately and to others with its heartbeats, so some members lack
entries in every election. A member with all entries must be elected quickly, whichever member first detects
the failure.
"""

from __future__ import annotations

import unittest
from random import Random

from bitternpath.replication import leadership
from bitternpath.replication.consensus import Raft
from bitternpath.replication.host import SYSTEM_TIMING
from bitternpath.replication.member import RaftOptions
from bitternpath.replication.records import Entry, EntryKind, Members, PersistentState, Snapshot

MEMBERS = Members(("a", "b", "c", "d", "e"), (), 1)
LATENCY_S = 0.003
SYNC_S = 0.012
SEEDS = 200
MAX_ELECTION_S = 4 * SYSTEM_TIMING.election_timeout  # time limit of an election in any run


class Election:
    """Four of five members after the failure of the leader `a`. `lengths` is the log length of each."""

    def __init__(self, seed: int, lengths: dict[str, int]) -> None:
        self.random = Random(seed)
        self.now = 0.0
        self.members: dict[str, Raft] = {}
        for name, length in lengths.items():
            entries = [Entry(index, 1, EntryKind.COMMAND, b"x") for index in range(1, length + 1)]
            state = PersistentState(1, "a", Snapshot(members=MEMBERS), (0, 0), entries)
            raft = Raft(name, state, Random(self.random.random()), 0.0, RaftOptions(SYSTEM_TIMING))
            self.members[name] = raft
        self.queue: list[tuple[float, int, str, object]] = []
        self.count = 0

    def run(self) -> tuple[float, str]:
        """When a leader committed an entry of its own term, and its name; "" if none did within 60 s."""
        while self.now < 60.0:
            for name, raft in self.members.items():
                self._collect(name, raft)
                if raft.has_committed_in_term:
                    return self.now, name
            self._next()
        return self.now, ""

    def step(self) -> None:
        """Process the next event and its effects."""
        self._next()
        for name, raft in self.members.items():
            self._collect(name, raft)

    def _collect(self, name: str, raft: Raft) -> None:
        effects = raft.take_effects(self.now)
        for write in effects.writes:
            self._later(SYNC_S, name, write.number)
        for receiver, message in effects.messages:
            if receiver in self.members:
                self._later(LATENCY_S * (0.8 + 0.4 * self.random.random()), receiver, (name, message))

    def _later(self, seconds: float, name: str, event: object) -> None:
        self.count += 1
        self.queue.append((self.now + seconds, self.count, name, event))

    def _next(self) -> None:
        timeout = min((raft.next_timeout_at, name) for name, raft in self.members.items())
        self.queue.sort(key=lambda item: item[:2])
        if self.queue and self.queue[0][0] <= timeout[0]:
            self.now, _, name, event = self.queue.pop(0)
            if isinstance(event, tuple):
                self.members[name].receive(self.now, *event)
            else:
                self.members[name].write_completed(self.now, event)  # type: ignore[arg-type]
        else:
            self.now = timeout[0]
            self.members[timeout[1]].tick(self.now)


class LaggingVotersTest(unittest.TestCase):
    def test_a_member_with_all_entries_is_elected_soon(self) -> None:
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                seconds, leader = Election(seed, {"b": 100, "c": 99, "d": 40, "e": 40}).run()
                self.assertIn(leader, ("b", "c"))
                self.assertLess(seconds, MAX_ELECTION_S)

    def test_a_lost_member_that_sorts_first_delays_no_election_in_a_long_log(self) -> None:
        """A new leader doesn't know its followers' logs or delays. Guards against a failed follower staying a
        replication target, which kept the leader's first entry from being committed."""
        lengths = dict.fromkeys("bcde", leadership.ENTRIES_IN_FLIGHT + 100)
        for seed in range(SEEDS):
            for lagging in ({}, {"d": 300, "e": 300}):
                with self.subTest(seed=seed, lagging=lagging):
                    seconds, _ = Election(seed, lengths | lagging).run()
                    self.assertLess(seconds, MAX_ELECTION_S)

    def test_an_unresponsive_member_is_no_replication_target(self) -> None:
        election = Election(1, dict.fromkeys("bcde", leadership.ENTRIES_IN_FLIGHT + 100))
        _, leader = election.run()
        self.assertTrue(leader)
        end = election.now + 0.4
        while election.now < end:
            election.step()
        self.assertNotIn("a", election.members[leader].replication_targets)

    def test_a_pre_candidate_that_lacks_entries_makes_others_start_elections_early(self) -> None:
        times = [Election(seed, {"b": 100, "c": 40, "d": 40, "e": 40}).run()[0] for seed in range(SEEDS)]
        self.assertLess(sum(times) / SEEDS, 1.6 * SYSTEM_TIMING.election_timeout)


if __name__ == "__main__":
    unittest.main()
