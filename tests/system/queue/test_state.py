"""Conformance of a shard's replicated state, command by command."""

from __future__ import annotations

import unittest
from dataclasses import dataclass, replace
from random import Random

from msgspec import structs

from bitternpath.queue.commands import (
    COMMANDS,
    AppendMessage,
    Command,
    ConfirmCallbacks,
    EndAttempt,
    ExpireMessage,
    GrantLease,
    RemoveTombstones,
)
from bitternpath.queue.entries import Entry
from bitternpath.queue.results import AttemptEnded, Result
from bitternpath.queue.sharding import lease_id, message_id, shard_for, shard_of_lease, split_message_id
from bitternpath.queue.state import QueueState
from bitternpath.transport.errors import CodecError
from bitternpath.transport.records import AttemptOutcome, Header, Message, MessageState

QUEUED, DONE, DEAD = MessageState.QUEUED, MessageState.DONE, MessageState.DEAD_LETTER
SUCCEEDED, FAILED = AttemptOutcome.SUCCEEDED, AttemptOutcome.FAILED
REJECTED, NOT_RUN = AttemptOutcome.REJECTED, AttemptOutcome.NOT_RUN
UNKNOWN, ROUTE_GONE = AttemptOutcome.UNKNOWN, AttemptOutcome.ROUTE_GONE
WALL_MS = 1_700_000_000_000


def message(request_id: str, key: str = "", delay_ms: int = 0, callback_url: str = "") -> Message:
    """Return a message accepted at the initial time of a replica."""
    headers = (Header("X-Request-Id", request_id),)
    return Message(
        request_id, "POST", "a.example", "/x/1", headers, key, "route", 1, delay_ms, callback_url, "edge-1",
        WALL_MS, b"body",
    )  # fmt: skip


def grant(request_id: str, lease: str) -> GrantLease:
    """Return the grant of a lease to an edge node."""
    return GrantLease(request_id, lease, "edge-1", 3_000, False)


def end(request_id: str, lease: str, outcome: AttemptOutcome, max_attempts: int = 3) -> EndAttempt:
    """Return the end of an attempt; the stamp of a success contains the lease id."""
    stamp = f"stamp-{lease}" if outcome is SUCCEEDED else ""
    return EndAttempt(request_id, lease, outcome, stamp, max_attempts, 0)


class Replica:
    """A state whose clocks the test sets."""

    def __init__(self) -> None:
        self.now = 10.0
        self.wall_ms = WALL_MS
        self.index = 0
        self.state = QueueState(lambda: self.now, lambda: self.wall_ms)

    def apply(self, *commands: Command) -> Result:
        """Apply commands in order and return the last result."""
        for command in commands:
            self.index += 1
            result = self.state.apply(self.index, COMMANDS.encode(command))
        return result

    def entry(self, request_id: str) -> Entry:
        """Return the entry of a message that must be known."""
        entry = self.state.find(request_id)
        assert entry is not None, request_id
        return entry

    def restart(self, wall_s: float) -> Replica:
        """Return another replica that is restored from a snapshot, `wall_s` later by the time of day."""
        other = Replica()
        other.now = 5_000.0
        other.wall_ms = self.wall_ms + round(wall_s * 1000)
        other.index = self.index
        other.state.restore(self.state.snapshot())
        return other


@dataclass(frozen=True, slots=True)
class EndCase:
    """Expected state after the end of the current lease, for a message with `before` failed attempts."""

    outcome: AttemptOutcome
    before: int
    state: MessageState
    attempts: int


END_CASES = (
    EndCase(SUCCEEDED, 0, DONE, 0),
    EndCase(SUCCEEDED, 2, DONE, 2),
    EndCase(FAILED, 0, QUEUED, 1),
    EndCase(FAILED, 1, QUEUED, 2),
    EndCase(FAILED, 2, DEAD, 3),
    EndCase(REJECTED, 0, DEAD, 0),
    EndCase(NOT_RUN, 2, QUEUED, 2),
    EndCase(UNKNOWN, 2, QUEUED, 2),
    EndCase(ROUTE_GONE, 0, DEAD, 0),
)


class Ends(unittest.TestCase):
    """Which ends are accepted, and their effects."""

    def leased(self, before: int = 0) -> Replica:
        replica = Replica()
        replica.apply(AppendMessage(message("m")))
        for number in range(before):
            replica.apply(grant("m", f"f{number}"), end("m", f"f{number}", FAILED, 9))
        replica.apply(grant("m", "L"))
        return replica

    def test_each_outcome(self) -> None:
        for case in END_CASES:
            with self.subTest(case):
                replica = self.leased(case.before)
                result = replica.apply(end("m", "L", case.outcome))
                assert isinstance(result, AttemptEnded)
                self.assertEqual(
                    (result.accepted, result.effective, result.ended_message),
                    (True, True, case.state is not QUEUED),
                )
                entry = replica.entry("m")
                self.assertEqual((entry.state, entry.attempts), (case.state, case.attempts))
                self.assertIsNone(entry.lease)
                self.assertEqual(entry.stamp, "stamp-L" if case.state is DONE else "")

    def test_a_repeated_end_gets_the_same_answer(self) -> None:
        for outcome in AttemptOutcome:
            with self.subTest(outcome):
                replica = self.leased()
                replica.apply(end("m", "L", outcome), grant("m", "L2"), end("m", "L2", NOT_RUN))
                attempts = replica.entry("m").attempts
                for _ in range(3):
                    result = replica.apply(end("m", "L", outcome))
                    self.assertEqual(result, AttemptEnded(end("m", "L", outcome), accepted=True))
                self.assertEqual(replica.entry("m").attempts, attempts)

    def test_another_end_of_an_ended_lease_is_not_accepted(self) -> None:
        replica = self.leased()
        replica.apply(end("m", "L", NOT_RUN))
        result = replica.apply(end("m", "L", SUCCEEDED))
        self.assertEqual(result, AttemptEnded(end("m", "L", SUCCEEDED)))
        self.assertIs(replica.entry("m").state, QUEUED)

    def test_the_end_of_a_lease_that_is_not_current_is_not_accepted(self) -> None:
        replica = self.leased()
        replica.apply(grant("m", "L2"))
        for lease in ("L", "never granted"):
            result = replica.apply(end("m", lease, SUCCEEDED))
            self.assertEqual(result, AttemptEnded(end("m", lease, SUCCEEDED)))
        self.assertIs(replica.entry("m").state, QUEUED)
        self.assertEqual(replica.apply(end("unknown", "L", SUCCEEDED)).accepted, False)

    def test_a_late_success_of_the_latest_lease_is_accepted(self) -> None:
        replica = self.leased()
        replica.now += 1_000.0
        self.assertTrue(replica.apply(end("m", "L", SUCCEEDED)).ended_message)

    def test_no_command_changes_a_done_message(self) -> None:
        replica = self.leased()
        replica.apply(end("m", "L", SUCCEEDED))
        before = replace(replica.entry("m"))
        replica.apply(
            end("m", "L2", SUCCEEDED), grant("m", "L3"), end("m", "L3", FAILED, 1), ExpireMessage("m"),
            AppendMessage(message("m")),
        )  # fmt: skip
        self.assertEqual(replica.entry("m"), before)


class Appends(unittest.TestCase):
    """Appends, bodies, counts, call-backs, expiries and tombstones."""

    def test_a_known_request_id_has_no_effect(self) -> None:
        replica = Replica()
        self.assertTrue(replica.apply(AppendMessage(message("m"))).is_new)
        other = structs.replace(message("m"), body=b"other")
        self.assertEqual(
            (replica.apply(AppendMessage(other)).is_new, replica.entry("m").message.body), (False, b"body")
        )
        replica.apply(grant("m", "L"), end("m", "L", SUCCEEDED))
        result = replica.apply(AppendMessage(other))
        self.assertEqual((result.is_new, result.state), (False, DONE))
        self.assertEqual(replica.state.queued, 0)

    def test_a_body_is_dropped_when_done_and_kept_with_a_dead_letter(self) -> None:
        for outcome, body in ((SUCCEEDED, b""), (REJECTED, b"body")):
            replica = Replica()
            replica.apply(AppendMessage(message("m")), grant("m", "L"), end("m", "L", outcome))
            self.assertEqual(replica.entry("m").message.body, body)
            self.assertEqual(replica.state.body_bytes, len(body))
            replica.apply(RemoveTombstones(("m",)))
            self.assertEqual((replica.state.find("m"), replica.state.body_bytes), (None, 0))

    def test_only_tombstones_are_removed(self) -> None:
        replica = Replica()
        replica.apply(AppendMessage(message("m")))
        self.assertEqual(replica.apply(RemoveTombstones(("m", "unknown"))).count, 0)
        self.assertIsNotNone(replica.state.find("m"))

    def test_a_call_back_is_pending_from_the_end_to_its_confirmation(self) -> None:
        replica = Replica()
        replica.apply(AppendMessage(message("m", callback_url="http://10.0.0.9:80/")))
        self.assertEqual(replica.apply(ConfirmCallbacks(("m", "unknown"))).count, 0)
        replica.apply(grant("m", "L"), end("m", "L", REJECTED))
        self.assertTrue(replica.entry("m").callback_pending)
        self.assertEqual(replica.apply(ConfirmCallbacks(("m", "unknown"))).count, 1)
        self.assertFalse(replica.entry("m").callback_pending)

    def test_an_expiry_is_fenced_by_the_lease(self) -> None:
        cases = (("", "", True), ("", "L", False), ("L", "L", True), ("L", "", False), ("L2", "L", False))
        for current, named, ended in cases:
            with self.subTest(current=current, named=named):
                replica = Replica()
                replica.apply(AppendMessage(message("m")))
                if current:
                    replica.apply(grant("m", current))
                self.assertEqual(replica.apply(ExpireMessage("m", named)).ended_message, ended)
                self.assertIs(replica.entry("m").state, DEAD if ended else QUEUED)

    def test_bytes_that_are_no_command_are_refused(self) -> None:
        with self.assertRaises(CodecError):
            Replica().state.apply(1, b"\xff")


class Order(unittest.TestCase):
    """Only the head of an order key may be leased."""

    def test_the_successor_may_be_leased_after_any_end(self) -> None:
        for ending in (end("a", "L", SUCCEEDED), end("a", "L", FAILED, 1), end("a", "L", REJECTED)):
            with self.subTest(ending):
                replica = Replica()
                replica.apply(AppendMessage(message("a", "k")), AppendMessage(message("b", "k")))
                self.assertFalse(replica.apply(grant("b", "X")).granted)
                self.assertTrue(replica.apply(grant("a", "L")).granted)
                self.assertFalse(replica.apply(grant("b", "X")).granted)
                replica.apply(ending)
                self.assertTrue(replica.apply(grant("b", "X")).granted)

    def test_the_route_does_not_matter(self) -> None:
        replica = Replica()
        replica.apply(AppendMessage(message("a", "k")))
        replica.apply(AppendMessage(structs.replace(message("b", "k"), route="other", target="/y/")))
        self.assertFalse(replica.apply(grant("b", "X")).granted)

    def test_keys_do_not_block_one_another(self) -> None:
        replica = Replica()
        replica.apply(
            AppendMessage(message("a", "k")), AppendMessage(message("b", "l")), AppendMessage(message("c"))
        )
        self.assertTrue(all(replica.apply(grant(name, f"L{name}")).granted for name in "abc"))

    def test_a_message_that_ends_in_the_middle_is_skipped(self) -> None:
        replica = Replica()
        replica.apply(*(AppendMessage(message(name, "k")) for name in "abc"))
        replica.apply(ExpireMessage("b"), ExpireMessage("a"))
        self.assertTrue(replica.apply(grant("c", "L")).granted)
        replica.apply(end("c", "L", SUCCEEDED))
        self.assertIsNone(replica.state.order_head("k"))


@dataclass(frozen=True, slots=True)
class DelayCase:
    """A delay of 10 s with `waited_s` before a restart that takes `restart_s` by the time of day."""

    waited_s: float
    restart_s: float
    left_s: float


DELAY_CASES = (
    DelayCase(0.0, 0.0, 10.0),
    DelayCase(4.0, 0.0, 6.0),
    DelayCase(4.0, 2.0, 6.0),  # a forward step of 2 s must not shorten the delay
    DelayCase(4.0, -2.0, 6.0),  # a backward step does not prolong it
    DelayCase(4.0, 5.0, 3.0),
    DelayCase(4.0, 60.0, 0.0),
    DelayCase(12.0, 0.0, 0.0),
)


class Restarts(unittest.TestCase):
    """A restored state is complete, and its times continue."""

    def test_a_delay_goes_on_after_a_snapshot(self) -> None:
        for case in DELAY_CASES:
            with self.subTest(case):
                replica = Replica()
                replica.apply(AppendMessage(message("m", delay_ms=10_000)))
                replica.now += case.waited_s
                other = replica.restart(case.restart_s)
                self.assertAlmostEqual(other.entry("m").due_at - other.now, case.left_s, places=3)

    def test_a_delay_goes_on_after_a_replay_of_the_log(self) -> None:
        for elapsed_s, left_s in ((0.0, 10.0), (2.0, 10.0), (-5.0, 10.0), (6.0, 6.0), (60.0, 0.0)):
            with self.subTest(elapsed_s=elapsed_s):
                replica = Replica()
                replica.wall_ms += round(elapsed_s * 1000)
                replica.apply(AppendMessage(message("m", delay_ms=10_000)))
                self.assertAlmostEqual(replica.entry("m").due_at - replica.now, left_s)

    def test_retention_continues_and_is_never_shortened_by_a_clock_step(self) -> None:
        for restart_s, age_s in ((0.0, 20.0), (9.0, 20.0), (-9.0, 20.0), (40.0, 20.0), (3_600.0, 20.0)):
            with self.subTest(restart_s=restart_s):
                replica = Replica()
                replica.apply(AppendMessage(message("m")))
                replica.now += 20.0
                other = replica.restart(restart_s)
                self.assertAlmostEqual(other.now - other.entry("m").accepted_at, age_s, places=3)

    def test_everything_survives(self) -> None:
        replica = Replica()
        replica.apply(*random_commands(Random(1), 400))
        other = replica.restart(0.0)
        self.assertEqual(contents(other), contents(replica))
        self.assertEqual(other.state.applied_index, 400)
        more = random_commands(Random(2), 400)
        self.assertEqual(
            [replica.apply(command) for command in more], [other.apply(command) for command in more]
        )
        self.assertEqual(contents(other), contents(replica))

    def test_a_damaged_snapshot_changes_nothing(self) -> None:
        replica = Replica()
        replica.apply(*random_commands(Random(3), 100))
        before, data = contents(replica), replica.state.snapshot()
        for damaged in (b"", data[:2], data[:-1], data[: len(data) // 2], data + b"\0"):
            with self.subTest(length=len(damaged)), self.assertRaises(CodecError):
                replica.state.restore(damaged)
            self.assertEqual(contents(replica), before)


def random_commands(random: Random, number: int) -> list[Command]:
    """Return random commands for a few messages in all states."""
    return [random_command(random) for _ in range(number)]


def random_command(random: Random) -> Command:
    """Return one random command."""
    request_id = f"m{random.randint(1, 30)}"
    lease = f"L{random.randint(1, 40)}"
    key = random.choice(("", "k", "l"))
    url = random.choice(("", "http://10.0.0.9:80/"))
    choices: tuple[Command, ...] = (
        AppendMessage(message(request_id, key, random.choice((0, 5_000)), url)),
        grant(request_id, lease),
        end(request_id, lease, random.choice(list(AttemptOutcome))),
        ExpireMessage(request_id, random.choice(("", lease))),
        ConfirmCallbacks((request_id,)),
        RemoveTombstones((request_id,)),
    )
    return random.choices(choices, (30, 30, 30, 2, 3, 1))[0]


def contents(replica: Replica) -> list[Entry]:
    """Return all entries without their local times, after checking the state's totals."""
    state = replica.state
    entries = [replace(entry, accepted_at=0.0, due_at=0.0, ended_at=0.0) for entry in state]
    assert state.queued == sum(not entry.ended for entry in entries)
    assert state.body_bytes == sum(len(entry.message.body) for entry in entries)
    return entries


class Sharding(unittest.TestCase):
    """The shard of a message, message ids and lease ids."""

    def test_a_key_determines_the_shard_regardless_of_the_preferred_one(self) -> None:
        self.assertEqual(
            {shard_for("key", preferred, 7) for preferred in range(20)}, {shard_for("key", 0, 7)}
        )
        self.assertEqual([shard_for("", preferred, 3) for preferred in range(4)], [0, 1, 2, 0])
        self.assertEqual({shard_for(f"key-{number}", 0, 5) for number in range(100)}, set(range(5)))

    def test_message_ids(self) -> None:
        cases = (
            (3, "9c41d07be2a35f68", "s3.9c41d07be2a35f68", (3, "9c41d07be2a35f68")),
            (12, "s3.a", "s12.s3.a", (12, "s3.a")),
            (0, "a" * 61, "s0." + "a" * 61, (0, "a" * 61)),
            (0, "a" * 62, "a" * 62, (None, "a" * 62)),
            (0, "a/b", "a/b", (None, "a/b")),
            (0, "é", "é", (None, "é")),
            (0, "", "", (None, "")),
        )
        for shard, request_id, text, split in cases:
            with self.subTest(request_id):
                self.assertEqual(message_id(shard, request_id), text)
                self.assertEqual(split_message_id(text), split)

    def test_lease_ids(self) -> None:
        self.assertEqual(shard_of_lease(lease_id(4, 17, 900)), 4)
        for text in ("", "4", "4-17", "4-17-900-1", "x-1-1", "4-17-900\n", "-4-17-900"):
            with self.subTest(text):
                self.assertIsNone(shard_of_lease(text))
