"""Messages never start before the end of their delay (RULES, ORDER: `early_ms`).

The tests cover clocks that differ or step, new owners and restarts.
"""

from __future__ import annotations

import unittest
from random import Random

from bitternpath.queue.actions import SendDelivery
from bitternpath.queue.commands import COMMANDS, AppendMessage
from bitternpath.queue.entries import DELAY_CLOCK_MARGIN_S
from bitternpath.queue.state import QueueState
from bitternpath.roles.wall_clock import SteadyWallClock
from bitternpath.transport.records import Message, MessageState
from tests.system.queue.owner_rig import SUCCEEDED, WALL_MS, Rig

DELAY_S = 5.0
STEPS_S = (-3_600.0, -30.0, -1.0, 0.0, 1.0, 30.0, 3_600.0)


def message(request_id: str, accepted_wall_ms: int) -> Message:
    return Message(
        request_id,
        "POST",
        "a.example",
        "/plain/x",
        (),
        "",
        "plain",
        5,
        round(DELAY_S * 1000),
        "",
        "edge-1",
        accepted_wall_ms,
        b"body",
    )


def start_delay(rig: Rig, since: float) -> float:
    """Return the seconds from `since` to the first delivery."""
    deadline = rig.now + 4 * DELAY_S
    while not rig.take_sent(SendDelivery):
        if rig.now > deadline:
            raise AssertionError("never delivered")
        rig.advance(0.01)
    return rig.now - since


class AtTheOwner(unittest.TestCase):
    """The delay of a message that this owner accepts does not depend on the clocks of other machines."""

    def test_the_edge_nodes_clock_is_off(self) -> None:
        for offset_s in STEPS_S:
            with self.subTest(offset_s):
                rig = Rig()
                sent = rig.now
                rig.apply(AppendMessage(message("m", WALL_MS + round(offset_s * 1000))))
                elapsed = start_delay(rig, sent)
                self.assertGreaterEqual(elapsed, DELAY_S)
                self.assertLess(elapsed, DELAY_S + 0.1)

    def test_an_owner_that_is_stopped_meanwhile(self) -> None:
        for stopped_s in (1.0, DELAY_S - 0.2, DELAY_S + 3.0):
            with self.subTest(stopped_s):
                rig = Rig()
                sent = rig.now
                rig.apply(AppendMessage(message("m", WALL_MS)))
                rig.now += stopped_s
                self.assertGreaterEqual(start_delay(rig, sent), DELAY_S)

    def test_random_clocks_and_times(self) -> None:
        random = Random(1)
        for _ in range(200):
            rig = Rig()
            rig.now += random.uniform(0.0, 1e6)
            sent = rig.now
            rig.apply(AppendMessage(message("m", WALL_MS + round(random.uniform(-1e6, 1e9)))))
            for _ in range(random.randrange(3)):
                rig.advance(random.uniform(0.0, 2.0))
                rig.start_owner()
            self.assertGreaterEqual(start_delay(rig, sent), DELAY_S - 0.001)


class AtASuccessor(unittest.TestCase):
    """A running replica measures the delay from its apply; a restarted one uses the time of day."""

    def test_a_step_of_its_own_clock_while_it_runs_changes_nothing(self) -> None:
        for step_s in STEPS_S:
            with self.subTest(step_s):
                steady, step = 100.0, 0.0
                clock = SteadyWallClock(lambda: round((steady + step) * 1000), lambda: steady)  # noqa: B023
                state = QueueState(lambda: steady, clock.wall_ms)  # noqa: B023
                accepted_wall_ms = clock.wall_ms()
                step = step_s
                data = COMMANDS.encode(AppendMessage(message("m", accepted_wall_ms)))
                state.apply(1, data)
                entry = state.find("m")
                assert entry is not None
                self.assertEqual(entry.due_at, steady + DELAY_S)

    def test_a_snapshot_and_a_restart_never_shorten_it(self) -> None:
        for downtime_s in (0.0, 1.0, DELAY_S / 2, DELAY_S, 3 * DELAY_S):
            for margin in (-DELAY_CLOCK_MARGIN_S, 0.0, DELAY_CLOCK_MARGIN_S):
                with self.subTest(away=downtime_s, margin=margin):
                    before = QueueState(lambda: 100.0, lambda: WALL_MS)
                    before.apply(1, COMMANDS.encode(AppendMessage(message("m", WALL_MS))))
                    wall_ms = WALL_MS + round((downtime_s + margin) * 1000)
                    after = QueueState(lambda: 7.0, lambda: wall_ms)  # noqa: B023
                    after.restore(before.snapshot())
                    entry = after.find("m")
                    assert entry is not None
                    remaining = entry.due_at - 7.0
                    self.assertGreaterEqual(remaining, DELAY_S - downtime_s - 0.001)
                    self.assertLessEqual(remaining, DELAY_S)

    def test_a_replay_of_the_log_after_a_restart(self) -> None:
        for downtime_s in (0.0, 1.0, DELAY_S, 3 * DELAY_S):
            with self.subTest(downtime_s):
                wall_ms = WALL_MS + round((downtime_s + DELAY_CLOCK_MARGIN_S) * 1000)
                state = QueueState(lambda: 7.0, lambda: wall_ms)  # noqa: B023
                state.apply(1, COMMANDS.encode(AppendMessage(message("m", WALL_MS))))
                entry = state.find("m")
                assert entry is not None
                self.assertGreaterEqual(entry.due_at - 7.0, DELAY_S - downtime_s - 0.001)


class Ages(unittest.TestCase):
    """Retention and tombstones: no clock step ends a message or removes its tombstone too early."""

    def test_an_edge_nodes_clock_that_is_off_ends_no_message(self) -> None:
        rig = Rig()
        rig.apply(AppendMessage(message("m", WALL_MS - 3_600_000)))
        self.assertIs(rig.state_of("m"), MessageState.QUEUED)
        start_delay(rig, rig.now)

    def test_a_clock_that_stepped_before_a_restart_ends_and_removes_nothing(self) -> None:
        rig = Rig()
        rig.append("waits", delay_ms=80_000)
        rig.append("done")
        rig.end(rig.delivery(), SUCCEEDED)
        for step_s in STEPS_S:
            with self.subTest(step_s):
                state = QueueState(lambda: 7.0, lambda: WALL_MS + round(step_s * 1000))  # noqa: B023
                state.restore(rig.state.snapshot())
                waits, done = state.find("waits"), state.find("done")
                assert waits is not None and done is not None
                self.assertGreaterEqual(waits.accepted_at, 7.0 - 0.001)
                self.assertGreaterEqual(done.ended_at, 7.0 - 0.001)


if __name__ == "__main__":
    unittest.main()
